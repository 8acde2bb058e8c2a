"""Six in ten nodes are replaced within 7 s, zone by zone, at the settings of a small deployment with a message cap."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import standins  # noqa: E402

SEED = 6
NODES, PROXIES, CONTROLLERS = 24, 12, 2
REPLACED, WITHIN = 14, 7.0
CORES = {"type-a": 2 * 1.3, "type-b": 3 * 0.97, "type-c": 3 * 0.69}
WORK = {"hint-read": 0.12, "stamp-write": 0.18}

SETTINGS = {
    "az": 0, "me": 0, "peers_total": CONTROLLERS, "discovery": "push", "tick": 0.005,
    "zones": ["petrzalka", "ruzinov", "senec"], "kinds": ["type-a", "type-b", "type-c"],
    "classes": [
        {"name": "hint-read", "aim": 0.75, "deadline": 2.5, "idempotency": "read_like", "group": "all",
         "key_ttl": 5.0, "late_value": 0.2, "worth": 1.0},
        {"name": "stamp-write", "aim": 1.0, "deadline": 2.5, "idempotency": "idempotency_key", "group": "all",
         "key_ttl": 5.0, "late_value": 0.1, "worth": 5.0}],
    "feedback": {"fields": ["busy"], "via": "piggyback"},
    "limits": {"conn_idle": 15.0, "connect_timeout": 0.25, "cpu_us_per_s": 600000, "max_streams": 32,
               "peer_messages": False, "probes": False},
    "weights": "rough", "worth_by": "request",
    "prices": {"cross_zone": 0.01, "connection": 0.02, "handshake": 0.04, "late_fail": 0.05, "waste": 0.03},
    "rules": {"overload_factor": 2.5, "start_capacity": 0.18, "stop_sending_within": 1.5, "tip_after": 1.5,
              "warm_after": 13.0},
    "extra": {"admit": "rps", "backlog": 7000.0, "bare": 2.0, "base_mode": 0, "exclusive": False,
              "fails_to_eject": 0, "first_wait": 1.2, "head": 10.0, "hears_per_s": 100.0,
              "homed_by_zone": False, "min_conn_cap": 260, "order_price": 0.02, "period": 0.5, "pick": "wheel",
              "proxy_count": PROXIES, "push_delay": 0.3, "push_delay_max": 0.75, "push_rate": 3500.0,
              "pushes_allowed": 12, "shards": 0, "standing": 5, "stays_local": [False, False],
              "update_window": 10.0, "warm_keys": False, "write_classes": [False, True]},
}


async def run(record, trouble):
    zones, kinds = SETTINGS["zones"], SETTINGS["kinds"]
    world = standins.World(SETTINGS, SEED, record, lambda number: {"hint-read": 12.0, "stamp-write": 7.0})
    world.add([world.node(f"s-{index:08x}", zones[index % 3], kinds[world.rng.randrange(3)])
               for index in range(NODES)])
    work = {}

    def busy(node, _):
        """The node's load report: how busy its cores were over the last 2 s."""
        now = time.time()
        work[node] = [(at, size) for at, size in work.get(node, []) if at > now - 2]
        cores = CORES[world.nodes[node]["type"]]
        return f"util:{min(0.98, sum(size for _, size in work[node]) / 2 / cores):.3f}"

    def sent(proxy, node, name, now, pass_on=world.on_send):
        work.setdefault(node, []).append((now, WORK[name]))
        pass_on(proxy, node, name, now)

    world.load_report, world.on_send = busy, sent
    try:
        await world.start(CONTROLLERS, [zones[number % 3] for number in range(PROXIES)], (0.16, 2.3))
        await asyncio.sleep(12)
        if trouble:
            await replace(world, record)
        else:
            await asyncio.sleep(WITHIN)
        await asyncio.sleep(8)
        late = max(world.audit.latest_send.values(), default=0.0)
        record.write(f"the last send to a draining node came {late:.2f} s after the list told of it")
        return world.audit.broken
    finally:
        await world.close()


async def replace(world, record):
    """The first zone's nodes drain one after another, then those of the second; each gets a successor."""
    zones = SETTINGS["zones"]
    order = sorted(world.nodes, key=lambda name: (zones.index(world.nodes[name]["zone"]), name))
    begin = time.time()
    for index, name in enumerate(order[:REPLACED]):
        await asyncio.sleep(max(0.0, begin + index * WITHIN / (REPLACED - 1) - time.time()))
        world.tell([world.change(name, "Terminating")])
        old = world.nodes[name]
        successor = world.node(f"n-{index:08x}", old["zone"], old["type"], since=time.time())
        world.spawn(finish(world, name, successor))


async def finish(world, name, successor):
    await asyncio.sleep(world.rng.uniform(0.5, 1.8))
    world.tell([successor])
    await asyncio.sleep(3)
    world.tell([world.change(name, "Gone")])


standins.main(FOLDER, run)
