"""Stand-ins for the platform of a controller: discovery, proxies, collectors and the update channel.

Everything runs on loopback and the real clock, in one asyncio loop. The stand-ins follow the users' PROTOCOL page and do
only what it allows. `Audit` checks the rules as that page words them, with its 300 ms of slack, and by what passed on the
sockets alone.
"""

import asyncio
import json
import math
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
SLACK = 0.3
MAX_FRAME = 1 << 20


class CannotRun(Exception):
    """The case could not be set up, so that it says nothing about the rule (exit status 2)."""


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def deploy_command(name):
    """A command of deploy/balancer.toml."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        for line in file:
            key, _, value = line.partition("=")
            if key.strip() == name:
                return json.loads(value.strip())
    raise CannotRun(f"deploy/balancer.toml has no `{name}`")


def encode(fields):
    out = [b"*%d\r\n" % len(fields)]
    for field in fields:
        data = str(field).encode()
        out.append(b"$%d\r\n%s\r\n" % (len(data), data))
    return b"".join(out)


async def read_message(reader):
    """One RESP2 array of bulk strings."""
    head = await reader.readline()
    if not head.endswith(b"\r\n") or not head.startswith(b"*"):
        raise ConnectionError("end of stream")
    fields = []
    for _ in range(int(head[1:])):
        size = await reader.readline()
        if not size.startswith(b"$"):
            raise ConnectionError("end of stream")
        data = await reader.readexactly(int(size[1:]) + 2)
        fields.append(data[:-2].decode())
    return fields


class Record:
    """`record.txt`: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.start = time.time()

    def at(self, moment):
        return moment - self.start

    def write(self, text):
        if self.file.closed:
            return
        self.file.write(f"{time.time() - self.start:9.3f} {text}\n")

    def close(self):
        self.file.close()


class Discovery:
    """The agent of one controller: it answers at once with what it has been sent."""

    def __init__(self, record, version=40):
        self.record, self.version = record, version
        self.entries, self.objects, self.watches = {}, [], []
        self.server = None
        self.silent = False

    async def start(self):
        self.port = free_port()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=MAX_FRAME)

    def complete(self):
        listed = [entry for entry in self.entries.values() if entry["status"] != "Gone"]
        return {"index": self.version, "snapshot": True, "endpoints": listed}

    def publish(self, entries):
        """Writes changed entries to every watch. Returns the moment of the writing."""
        self.version += 1
        for entry in entries:
            self.entries[entry["name"]] = entry
        change = {"index": self.version, "snapshot": False, "endpoints": entries}
        self.objects.append(change)
        for writer in list(self.watches):
            self.send(writer, json.dumps(change) + "\n")
        for entry in entries:
            self.record.write(f"told {entry['name']} {entry['status']} index {self.version}")
        return time.time()

    def send(self, writer, text):
        data = text.encode()
        try:
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        except (ConnectionError, RuntimeError):
            pass

    async def serve(self, reader, writer):
        try:
            line = (await reader.readline()).decode()
            while (await reader.readline()) not in (b"\r\n", b""):
                pass
            if "watch=1" not in line:
                text = json.dumps(self.complete()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
                await writer.drain()
                writer.close()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            since = line.partition("from=")[2].split()[0].split("&")[0] if "from=" in line else ""
            later = [change for change in self.objects if since and change["index"] > int(since)]
            known = since and int(since) >= self.version - len(self.objects)
            for change in later if known else [self.complete()]:
                self.send(writer, json.dumps(change) + "\n")
            self.watches.append(writer)
            try:
                while True:
                    await asyncio.sleep(1.5)
                    if writer in self.watches:
                        self.send(writer, "\n")
                        await writer.drain()
                    elif writer.is_closing():
                        return
            finally:
                if writer in self.watches:
                    self.watches.remove(writer)
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass

    def close(self):
        if self.server:
            self.server.close()


class Channel:
    """A controller's channel: messages leave one after the other and reach a proxy in order, a little later."""

    def __init__(self, settings, delays, record):
        extra = settings["extra"]
        self.rate, self.head, self.backlog = extra["push_rate"], extra["head"], extra["backlog"]
        self.delays, self.record = delays, record
        self.free_at, self.left, self.peak = 0.0, [], 0.0
        self.slower = 1.0

    def enter(self, lines, now):
        """Returns when the message leaves the channel."""
        self.left = [(at, size) for at, size in self.left if at > now]
        begin = max(now, self.free_at)
        self.free_at = begin + (lines + self.head) * self.slower / self.rate
        self.left.append((self.free_at, lines + self.head))
        waiting = sum(size for _, size in self.left)
        self.peak = max(self.peak, waiting)
        return self.free_at

    def delay(self):
        return self.delays()


class Table:
    """The table of one class at a proxy, with its level."""

    def __init__(self, rows):
        self.rows = dict(rows)
        self.gate, self.again = None, None

    def pick(self, dropped, rng):
        names = [name for name in self.rows if name not in dropped]
        if not names:
            return None
        return rng.choices(names, [self.rows[name] for name in names])[0]


class Proxy:
    """A proxy: it holds tables, follows the orders on its stream, sends by weight, and reports."""

    def __init__(self, world, number, zone, rates):
        self.world, self.number, self.zone, self.rates = world, number, zone, rates
        self.rng = random.Random(world.seed * 1000 + number)
        self.tables, self.dropped = {}, set()
        self.fresh = True
        self.joined_at, self.controller, self.writer = None, None, None
        self.applied_sent_at = 0.0                # when the last message that it applied was sent
        self.messages, self.arrived = [], 0.0
        self.counts = {}
        self.sends = []                       # (moment, node, class)
        self.bare_since = {}
        self.standing()
        self.cut = False
        self.tasks = []

    def standing(self):
        """A small table of listed nodes, drawn by chance in the proxy's zone where three are present."""
        settings = self.world.settings
        listed = [e for e in self.world.list().values() if e["status"] == "Ready"]
        near = [e for e in listed if e["zone"] == self.zone]
        pool = near if len(near) >= 3 else listed
        chosen = self.rng.sample(pool, min(len(pool), settings["extra"]["standing"]))
        for index, kind in enumerate(settings["classes"]):
            local = settings["extra"]["stays_local"][index]
            rows = {e["name"]: 1.0 for e in chosen if not local or e["zone"] == self.zone}
            self.tables[kind["name"]] = Table(rows)

    # ---- the stream ----

    async def run(self, controllers, redial):
        """Dials, joins, obeys, and dials again after any break."""
        turn = 0
        while True:
            controller = controllers[turn % len(controllers)]
            try:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", controller.port, limit=MAX_FRAME
                )
            except OSError:
                turn += 1
                await asyncio.sleep(self.rng.uniform(*redial))
                continue
            self.writer, self.controller = writer, controller
            try:
                await self.stream(reader, writer, controller)
            except (ConnectionError, asyncio.IncompleteReadError, OSError):
                pass
            finally:
                self.left(controller)
                writer.close()
            await asyncio.sleep(self.rng.uniform(*redial))

    def left(self, controller):
        if self.joined_at is not None:
            self.world.record.write(f"proxy {self.number} left {controller.name}")
        self.joined_at, self.writer = None, None

    async def stream(self, reader, writer, controller):
        total = sum(self.rates.values())
        self.messages = []
        writer.write(encode(["joined", "sidecar", self.number, "az", self.zone, "share",
                             f"{total * self.rng.uniform(0.8, 1.25):.2f}",
                             "standing", 1 if self.fresh else 0]))
        self.joined_at = time.time()
        self.arrived = self.joined_at
        self.world.record.write(f"proxy {self.number} joined {controller.name}")
        parts = []
        while True:
            message = await read_message(reader)
            if message[0] != "update":
                continue
            fields = dict(zip(message[1::2], message[2::2]))
            parts.append(fields)
            if fields.get("part") != "1":
                self.receive(parts, writer, controller)
                parts = []

    def receive(self, parts, writer, controller):
        now = time.time()
        self.messages.append(now)
        self.world.audit.on_message(self, now)
        lines = sum(count_lines(part) for part in parts)
        leaves = controller.channel.enter(lines, now)
        self.world.audit.on_channel(controller, now)
        self.arrived = max(self.arrived + 1e-3, leaves + controller.channel.delay())
        rows = " ".join(f"{part.get('for', 'all')}{'!' if part.get('replace') else ''}:{part.get('rows', '')}"
                        f"{' gate ' + part['gate'] + ' again ' + part['again'] if 'gate' in part else ''}"
                        for part in parts)
        self.world.record.write(
            f"proxy {self.number} message {len(self.messages)} of {controller.name} lines {lines} {rows}")
        joined = self.joined_at
        loop = asyncio.get_running_loop()
        handle = loop.call_later(max(0.0, self.arrived - now), self.apply, parts, writer, now, joined)
        self.world.handles.append(handle)

    def apply(self, parts, writer, sent_at, joined):
        if self.joined_at != joined:
            return                                  # the stream broke: the message is lost
        for part in parts:
            names = part["for"].split("+") if "for" in part else list(self.tables)
            for name in names:
                table = self.tables[name]
                if part.get("replace") == "1":
                    table.rows, table.gate, table.again = {}, None, None
                for row in filter(None, part.get("rows", "").split(",")):
                    node, _, weight = row.rpartition(":")
                    if node not in self.world.ever_listed:
                        self.world.audit.fail(f"proxy {self.number} got the unlisted node {node}")
                    if float(weight) > 0:
                        table.rows[node] = float(weight)
                    else:
                        table.rows.pop(node, None)
                if "gate" in part:
                    table.gate, table.again = float(part["gate"]), int(part["again"])
                    self.world.audit.on_again(name, table.again)
            self.dropped |= set(filter(None, part.get("drop", "").split(",")))
            self.dropped -= set(filter(None, part.get("undrop", "").split(",")))
        self.fresh = False
        self.applied_sent_at = sent_at
        for part in parts:
            if "stamp" in part and not writer.is_closing():
                lag = (time.time() - sent_at) * 1e3
                writer.write(encode(["applied", "sidecar", self.number, "version", part["stamp"],
                                     "lag_ms", f"{lag:.1f}"]))

    def reset(self):
        """Breaks the stream with a reset."""
        if self.writer:
            raw = self.writer.get_extra_info("socket")
            if raw:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
            self.writer.transport.abort()

    # ---- the traffic ----

    async def traffic(self, name, rate):
        """Invocations of one class, each sent by the table that is held at that moment."""
        while True:
            await asyncio.sleep(self.rng.expovariate(rate))
            self.send(name)

    def send(self, name):
        table, now = self.tables[name], time.time()
        count = self.counts.setdefault(name, [0, 0])
        count[0] += 1
        if table.gate is not None:
            if self.world.settings["extra"]["admit"] == "ratio":
                if self.rng.random() >= table.gate:
                    return
            elif table.gate <= 0:
                return
        node = table.pick(self.dropped, self.rng)
        if node is None:
            count[1] += 1
            return
        self.world.on_send(self, node, name, now)

    def lines(self, name):
        return [node for node in self.tables[name].rows if node not in self.dropped]

    async def report(self):
        period = self.world.settings["extra"]["period"]
        await asyncio.sleep(self.rng.uniform(0, period))
        while True:
            await asyncio.sleep(period)
            counts, self.counts = self.counts, {}
            await self.world.reports_delay()
            if self.joined_at is None or not self.writer:
                continue
            for name, (n, bad) in counts.items():
                self.writer.write(encode(["usage", "sidecar", self.number, "kind", name, "n", n,
                                          "bad", bad, "window", f"{period * 1e3:.1f}"]))


def count_lines(part):
    lines = len(list(filter(None, part.get("rows", "").split(","))))
    lines += len(list(filter(None, part.get("drop", "").split(","))))
    lines += len(list(filter(None, part.get("undrop", "").split(","))))
    return lines + sum(1 for field in ("replace", "gate", "stamp") if field in part)


class Controller:
    """The project's own program, started by the deploy file's `run`."""

    def __init__(self, world, number):
        self.world, self.name, self.number = world, f"n{number}", number
        self.port = free_port()
        self.folder = os.path.join(world.folder, self.name)
        os.makedirs(os.path.join(self.folder, "tmp"))
        self.discovery = Discovery(world.record)
        self.channel = Channel(world.settings, world.delay, world.record)
        self.process, self.known, self.ready_at = None, None, None

    def configure(self, settings=None, discovery=None):
        settings = dict(settings or self.world.settings)
        settings["me"] = self.number
        config = {
            "name": self.name, "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery or self.discovery.port}",
            "seed": f"{random.Random(self.world.seed + self.number).getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512},
            "known": self.known, "settings": settings,
        }
        path = os.path.join(self.folder, "config.json")
        with open(path + ".new", "w") as file:
            json.dump(config, file)
        os.replace(path + ".new", path)
        return path

    async def start(self):
        self.known = self.discovery.complete()
        path = self.configure()
        env = dict(os.environ, BALANCER_NAME=self.name, BALANCER_LISTEN=f"127.0.0.1:{self.port}",
                   BALANCER_DISCOVERY=f"127.0.0.1:{self.discovery.port}", BALANCER_CONFIG=path,
                   TMPDIR=os.path.join(self.folder, "tmp"))
        self.log = open(os.path.join(self.folder, "log"), "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", deploy_command("run")], cwd=ROOT, env=env,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.channel.free_at, self.channel.left = 0.0, []
        until = time.time() + 30
        while time.time() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} exited with {self.process.returncode} at its start")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(encode(["ping"]))
                if (await asyncio.wait_for(read_message(reader), 2))[0] == "pong":
                    writer.close()
                    self.ready_at = time.time()
                    self.world.record.write(f"{self.name} ready")
                    return
            except (OSError, ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.02)
        raise CannotRun(f"{self.name} is not ready within 30 s")

    def signal(self, number):
        self.process.send_signal(number)
        self.world.record.write(f"{self.name} signal {signal.Signals(number).name}")

    async def ended(self, within):
        until = time.time() + within
        while self.process.poll() is None and time.time() < until:
            await asyncio.sleep(0.01)
        return self.process.poll()

    def has_crashed(self):
        return self.process is not None and self.process.poll() is not None

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.discovery.close()


class World:
    """One deployment: its settings, nodes, proxies, controllers, and the audit of the rules."""

    def __init__(self, settings, seed, record, rates, loads=("util",)):
        self.settings, self.seed, self.record = settings, seed, record
        self.rng = random.Random(seed)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.nodes, self.ever_listed = {}, set()
        self.controllers, self.proxies, self.tasks, self.handles = [], [], [], []
        self.audit = Audit(self)
        self.rates, self.loads = rates, loads
        self.heard = {}
        self.behaviour = {}                       # node -> function of a send: (failed, latency)
        self.default = lambda *_: (False, 0.2)
        self.spoil = lambda fields: fields        # what becomes of a collector's report on its way
        self.report_delay = lambda: self.rng.uniform(0.43, 0.9)
        self.delay = lambda: self.rng.uniform(0.5, 1.5) * self.settings["extra"]["push_delay"]

    def list(self):
        return self.nodes

    def node(self, name, zone, kind, status="Ready", since=0, weight=1.0):
        """An entry of the endpoint list."""
        self.ever_listed.add(name)
        number = len(self.ever_listed)
        return {"name": name, "address": f"127.0.1.{number % 250 + 1}:9000", "zone": zone, "type": kind,
                "group": 1, "status": status, "weight": weight, "since_ms": int(since * 1000)}

    def add(self, entries):
        for entry in entries:
            self.nodes[entry["name"]] = entry

    def tell(self, entries):
        """Discovery writes these changes to every controller."""
        entries = [dict(entry) for entry in entries]
        for entry in entries:
            self.nodes[entry["name"]] = entry
            self.ever_listed.add(entry["name"])
        for controller in self.controllers:
            at = controller.discovery.publish(entries)
            for entry in entries:
                self.audit.told(controller, entry, at)

    def change(self, name, status):
        return dict(self.nodes[name], status=status)

    def on_send(self, proxy, node, name, now):
        failed, latency = self.behaviour.get(node, self.default)(proxy, name, now)
        proxy.sends.append((now, node, name))
        self.audit.on_send(proxy, node, name, now)
        sums = self.heard.setdefault((proxy.zone, node), [0, 0, 0.0])
        sums[0] += 1
        if failed:
            sums[1] += 1
        else:
            sums[2] += latency

    async def reports_delay(self):
        await asyncio.sleep(self.report_delay())

    async def collector(self, zone, controller):
        """Passes on what the proxies of a zone met."""
        period = self.settings["extra"]["period"]
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", controller.port)
                writer.write(encode(["collector", "az", zone]))
                while True:
                    await asyncio.sleep(period)
                    sums = {key: value for key, value in self.heard.items() if key[0] == zone}
                    for key in sums:
                        del self.heard[key]
                    await self.reports_delay()
                    for (_, node), (n, bad, seconds) in sums.items():
                        fields = ["heard", "az", zone, "host", node, "n", n, "bad", bad]
                        if n > bad:
                            fields += ["avg", f"{seconds / (n - bad) * 1e3:.1f}"]
                        fields += ["window", f"{period * 1e3:.1f}"]
                        load = self.load_report(node, n / period)
                        if load:
                            fields += ["report", load]
                        writer.write(encode(self.spoil(fields)))
                    await writer.drain()
            except (OSError, ConnectionError):
                await asyncio.sleep(0.3)

    def load_report(self, node, rate):
        shares = {"util": min(0.95, 0.3 + rate / 40), "queue": 0, "inflight": 1, "latency_ms": 200}
        return ",".join(f"{name}:{shares[name]:.3f}" for name in self.loads)

    async def start(self, controllers, zones_of_proxies, redial):
        for number in range(controllers):
            controller = Controller(self, number)
            await controller.discovery.start()
            controller.discovery.entries = {name: dict(entry) for name, entry in self.nodes.items()}
            self.controllers.append(controller)
        for controller in self.controllers:
            await controller.start()
        self.audit.begins_at = time.time() + 1.0
        for number, zone in enumerate(zones_of_proxies):
            proxy = Proxy(self, number, zone, self.rates(number))
            self.proxies.append(proxy)
            home = number % controllers
            order = self.controllers[home:] + self.controllers[:home]
            self.spawn(proxy.run(order, redial))
            for name, rate in proxy.rates.items():
                self.spawn(proxy.traffic(name, rate))
            self.spawn(proxy.report())
        for index, zone in enumerate(self.settings["zones"]):
            self.spawn(self.collector(zone, self.controllers[index % controllers]))
        self.spawn(self.audit.watch())

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for handle in self.handles:
            handle.cancel()
        self.handles = []
        for controller in self.controllers:
            controller.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


class Audit:
    """The rules on sockets, by what passed on them."""

    def __init__(self, world):
        self.world, self.broken, self.begins_at = world, {}, math.inf
        self.told_at = {}                         # (controller, node) -> moment of the first Terminating or Gone
        self.latest_send, self.pause_until = {}, 0.0
        self.started_at = {}                      # (controller, node) -> moment of the latest Ready, and its start
        self.cold, self.coldest = {}, 0.0         # recent work by cold node; the largest ratio to what was allowed

    def fail(self, text, rule="other"):
        if rule not in self.broken:
            self.world.record.write(f"BROKEN {rule}: {text}")
        self.broken.setdefault(rule, []).append(text)

    def told(self, controller, entry, at):
        key = (controller.name, entry["name"])
        if entry["status"] == "Ready":
            self.started_at[key] = (at, entry["since_ms"])
            self.told_at.pop(key, None)
        else:
            self.told_at.setdefault(key, at)

    def on_send(self, proxy, node, name, now):
        if proxy.joined_at is None or proxy.controller is None:
            return
        told = self.told_at.get((proxy.controller.name, node))
        if told is None:
            return
        since = max(told, proxy.joined_at, self.begins_at, self.pause_until)
        late = now - since
        limit = self.world.settings["rules"]["stop_sending_within"] + SLACK
        key = (proxy.number, node)
        self.latest_send[key] = max(late, self.latest_send.get(key, 0.0))
        if late > limit:
            self.fail(f"proxy {proxy.number} sent {name} to {node} {late:.2f} s after the list told "
                      f"{proxy.controller.name}; the grace is {limit - SLACK:.1f} s and {SLACK} s", "drain")

    def knows(self, proxy, node, now):
        """Whether the proxy has applied a message that was sent after its conductor was told of the node's start, or the
        conductor has been aware of it for the grace."""
        controller = proxy.controller
        told, since = self.started_at.get((controller.name, node), (0, 0)) if controller else (0, 0)
        if not told or since != self.world.nodes[node]["since_ms"]:
            return False
        return proxy.applied_sent_at > told or now - told > self.world.settings["rules"]["stop_sending_within"]

    def on_work(self, proxy, node, now, work, full):
        """Counts `work`, in seconds, sent to a node of capacity `full` that may be cold. The node has as little capacity as
        the settings allow; the slack for chance is three invocations. Two thirds of the work have to come from proxies
        that know of the start."""
        rules = self.world.settings["rules"]
        since = self.world.nodes[node]["since_ms"] / 1e3
        if not since or now - since > rules["warm_after"]:
            return
        recent = self.cold.setdefault(node, [])
        recent.append((now, work, self.knows(proxy, node, now)))
        begin = max(since, now - rules["tip_after"])
        recent[:] = [item for item in recent if item[0] >= begin]
        sent = sum(size for _, size, _ in recent)
        if sum(size for _, size, known in recent if known) < sent * 2 / 3:
            return
        middle = (now - rules["tip_after"] / 2 - since) / rules["warm_after"]
        ratio = rules["start_capacity"] + (1 - rules["start_capacity"]) * min(1.0, max(0.0, middle))
        room = rules["overload_factor"] * full * ratio * rules["tip_after"]
        self.coldest = max(self.coldest, sent / room)
        if sent > room + 3 * work:
            self.fail(f"{node} was sent {sent:.2f} s of work within {rules['tip_after']} s, {now - since:.1f} s after its "
                      f"start; it can do {room:.2f} s at {rules['overload_factor']} times its capacity", "cold")

    def on_message(self, proxy, now):
        extra = self.world.settings["extra"]
        cap, window = extra["pushes_allowed"], extra["update_window"]
        recent = [at for at in proxy.messages if at > now - window]
        if cap and len(recent) > cap:
            self.fail(f"proxy {proxy.number} got {len(recent)} messages within {window:.0f} s; {cap:.0f} allowed",
                      "messages")

    def on_channel(self, controller, now):
        channel = controller.channel
        if channel.peak > channel.backlog:
            self.fail(f"{channel.peak:.0f} lines wait in the channel; {channel.backlog:.0f} allowed", "queue")

    def on_again(self, name, again):
        for kind in self.world.settings["classes"]:
            if kind["name"] == name and kind["idempotency"] == "non_idempotent" and again > 1:
                self.fail(f"{name} may be tried again after any failure", "twice")

    async def watch(self):
        """No joined proxy is without a line for a class while the list has a warm node that is open to it."""
        settings = self.world.settings
        while True:
            await asyncio.sleep(0.02)
            now = time.time()
            for controller in self.world.controllers:
                if controller.has_crashed() and not getattr(controller, "stopping", False):
                    self.fail(f"{controller.name} exited with {controller.process.returncode}", "crash")
            for proxy in self.world.proxies:
                for index, kind in enumerate(settings["classes"]):
                    name = kind["name"]
                    if proxy.joined_at is None or now < max(self.begins_at, self.pause_until) or \
                            proxy.lines(name) or not self.has_open(proxy, index, now):
                        proxy.bare_since.pop(name, None)
                        continue
                    since = proxy.bare_since.setdefault(name, now)
                    if now - since > settings["extra"]["bare"] + SLACK:
                        self.fail(f"proxy {proxy.number} had no node for {name} for {now - since:.2f} s", "bare")

    def has_open(self, proxy, index, now):
        settings = self.world.settings
        local = settings["extra"]["stays_local"][index]
        warm = settings["rules"]["warm_after"]
        entries = proxy.controller.discovery.entries.values()
        return any(entry["status"] == "Ready" and (not local or entry["zone"] == proxy.zone)
                   and now - entry["since_ms"] / 1e3 >= warm for entry in entries)


def main(folder, run):
    """Runs a case and exits with 1 if a rule was broken, 0 if all held, 2 if the case could not run.

    `run(record, trouble)` is a coroutine that returns the broken rules: texts by the name of the rule.
    """
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"case {os.path.basename(folder)}, disruption: {'yes' if trouble else 'no'}")

    async def bounded():
        task = asyncio.ensure_future(run(record, trouble))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(task, 115)

    try:
        broken = asyncio.run(bounded())
    # Whatever keeps the case from running, a signal too, says nothing about the rule.
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        record.close()
        os._exit(2)
    for rule, texts in broken.items():
        text = f"{rule} broken {len(texts)} times, first: {texts[0]}"
        record.write(text)
        print(text)
    print("broken" if broken else "held")
    record.write("broken" if broken else "held")
    record.close()
    os._exit(1 if broken else 0)
