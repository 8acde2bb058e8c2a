"""Nodes are replaced while some reports of one node arrive with a count that is out of range."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import standins  # noqa: E402

SEED = 8
PROXIES = 12
REPLACED, DRAINS_WITHIN, DRAINS_FOR = 8, 2.8, 4.0  # of 14 nodes; the last one ends 6.8 s after the first began to drain
SPOILT_NODE, SPOILT_COUNT = "s-0000000b", 400000  # every second report of this node, an r3-slow one that stays
LOAD = 0.6                                        # of what all nodes can do
CORES = {"r3-fast": 3 * 1.6, "r2-std": 2 * 0.98, "r3-slow": 3 * 0.6}
SPEED = {"r3-fast": 1.6, "r2-std": 0.98, "r3-slow": 0.6}
KINDS = ["r3-fast", "r2-std", "r3-fast", "r3-slow", "r2-std", "r3-fast", "r3-slow", "r2-std", "r3-fast", "r2-std",
         "r3-fast", "r3-slow", "r2-std", "r3-fast"]
WORK = 0.27
SHARES = {"status-check": 0.65, "alarm-ack": 0.35}

SETTINGS = {
    "az": 0, "me": 0, "peers_total": 1, "discovery": "push", "tick": 0.005,
    "zones": ["salt-lake", "rajarhat"], "kinds": ["r3-fast", "r2-std", "r3-slow"],
    "classes": [
        {"name": "status-check", "aim": 1.5, "deadline": 5.0, "idempotency": "read_like", "late_value": 0.1,
         "worth": 3.0},
        {"name": "alarm-ack", "aim": 1.5, "deadline": 5.0, "idempotency": "non_idempotent", "late_value": 0.1,
         "worth": 2.0}],
    "feedback": {"fields": ["busy", "q"], "via": "piggyback"},
    "limits": {"conn_idle": 15.0, "connect_timeout": 0.4, "cpu_us_per_s": 400000, "max_streams": 32,
               "peer_messages": False, "probes": True},
    "weights": "rough", "worth_by": "request",
    "prices": {"cross_zone": 0.06, "connection": 0.02, "handshake": 0.02, "late_fail": 0.08, "waste": 0.05,
               "probe": 0.02},
    "rules": {"overload_factor": 4.0, "start_capacity": 0.22, "stop_sending_within": 3.0, "tip_after": 1.5,
              "warm_after": 16.0},
    "extra": {"admit": "ratio", "backlog": 24000.0, "bare": 2.0, "base_mode": 1, "exclusive": False,
              "fails_to_eject": 8, "first_wait": 0.8, "head": 4.0, "hears_per_s": 400.0, "homed_by_zone": False,
              "min_conn_cap": 84, "order_price": 0.08, "period": 1.0, "pick": "lottery", "proxy_count": PROXIES,
              "push_delay": 0.19, "push_delay_max": 0.47, "push_rate": 12000.0, "pushes_allowed": 20, "shards": 0,
              "standing": 8, "stays_local": [False, False], "update_window": 10.0, "warm_keys": False,
              "write_classes": [False, True]},
}


class Load:
    """How busy each node is: the work sent to it within the last 2 s, against what it can do now."""

    def __init__(self, world):
        self.world, self.sent = world, {}

    def capacity(self, node, now):
        entry, rules = self.world.nodes[node], SETTINGS["rules"]
        since = entry["since_ms"] / 1e3
        ratio = 1.0
        if since:
            start = rules["start_capacity"]
            ratio = start + (1 - start) * min(1.0, (now - since) / rules["warm_after"])
        return CORES[entry["type"]] * ratio

    def busy(self, node, now):
        recent = self.sent.setdefault(node, [])
        recent[:] = [at for at in recent if at > now - 2]
        span = min(2.0, max(0.5, now - self.world.nodes[node]["since_ms"] / 1e3))
        return len(recent) * WORK / span / self.capacity(node, now)

    def latency(self, node, now):
        """Service time, and the waiting that comes with it as the node fills."""
        ratio = self.capacity(node, now) / CORES[self.world.nodes[node]["type"]]
        busy = self.busy(node, now)
        waiting = busy ** 4 / (1.05 - busy) if busy < 1 else 20 * (busy - 0.95)
        return WORK / SPEED[self.world.nodes[node]["type"]] / ratio * (1 + waiting)

    def report(self, node, _):
        now = time.time()
        busy = self.busy(node, now)
        return f"util:{min(0.99, busy):.3f},queue:{max(0.0, (busy - 0.7) * 8):.2f}"


async def run(record, trouble):
    zones = SETTINGS["zones"]
    rate = LOAD * sum(CORES[kind] for kind in KINDS) / WORK / PROXIES
    world = standins.World(SETTINGS, SEED, record,
                           lambda number: {name: rate * share for name, share in SHARES.items()}, loads=("util", "queue"))
    world.add([world.node(f"s-{index:08x}", zones[index % 2], kind) for index, kind in enumerate(KINDS)])
    load = Load(world)
    now_at = {}

    def sent(proxy, node, name, now, pass_on=world.on_send):
        load.sent.setdefault(node, []).append(now)
        now_at["latency"] = load.latency(node, now)
        world.audit.on_work(proxy, node, now, WORK, CORES[world.nodes[node]["type"]])
        pass_on(proxy, node, name, now)

    deadline = SETTINGS["classes"][0]["deadline"]
    world.load_report, world.on_send = load.report, sent
    world.default = lambda *_: (now_at["latency"] > deadline, now_at["latency"])
    counts = {"reports": 0, "of the node": 0, "spoilt": 0}

    def spoil(fields):
        counts["reports"] += 1
        if fields[fields.index("host") + 1] != SPOILT_NODE:
            return fields
        counts["of the node"] += 1
        if counts["of the node"] % 2:
            return fields
        counts["spoilt"] += 1
        fields = list(fields)
        fields[fields.index("n") + 1] = SPOILT_COUNT
        record.write(f"spoilt report: {' '.join(map(str, fields))}")
        return fields

    try:
        await world.start(1, [zones[number % 2] for number in range(PROXIES)], (0.44, 2.2))
        await asyncio.sleep(5)
        if trouble:
            world.spoil = spoil
        await asyncio.sleep(5)
        await replace(world)
        await asyncio.sleep(15)
        record.write(f"reports: {counts}; the most that a cold node was sent is {world.audit.coldest:.2f} of what it "
                     "may be sent")
        for controller in world.controllers:
            if controller.has_crashed():
                raise standins.CannotRun(f"{controller.name} exited with {controller.process.returncode}")
        return world.audit.broken
    finally:
        await world.close()


async def replace(world):
    """The nodes of the first data centre drain one after another, then one of the second; each gets a successor."""
    zones = SETTINGS["zones"]
    order = sorted(world.nodes, key=lambda name: (zones.index(world.nodes[name]["zone"]), name))
    begin = time.time()
    for index, name in enumerate(order[:REPLACED]):
        await asyncio.sleep(max(0.0, begin + index * DRAINS_WITHIN / (REPLACED - 1) - time.time()))
        world.tell([world.change(name, "Terminating")])
        world.spawn(finish(world, name, index))


async def finish(world, name, index):
    """A successor starts within 1.5 s and is told 0.4 s after its start; the old node is told gone at its end."""
    begin = time.time()
    await asyncio.sleep(world.rng.uniform(0.0, 1.5))
    old, since = world.nodes[name], time.time()
    await asyncio.sleep(0.4)
    world.tell([world.node(f"n-{index:08x}", old["zone"], old["type"], since=since)])
    await asyncio.sleep(max(0.0, begin + DRAINS_FOR - time.time()))
    world.tell([world.change(name, "Gone")])


standins.main(FOLDER, run)
