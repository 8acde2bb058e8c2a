"""Stand-ins for an operator's platform, by the pages PROTOCOL and DEPLOY: a discovery agent, proxies with their
channel, collectors and nodes, all in one process on loopback. The controllers under test are separate processes.

Every stand-in behaves soundly unless a case tells it otherwise. What a case judges is what passes on the sockets:
when discovery has written a change to a controller, and where each proxy sends each request afterwards.
"""

import asyncio
import heapq
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib

import guard

START = time.time()


def now():
    return time.time()


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, path):
        self.file = open(path, "w")

    def __call__(self, kind, text):
        self.file.write(f"{now() - START:9.3f} {kind:<9} {text}\n")

    def close(self):
        self.file.close()


def free_address(host="127.0.0.1"):
    with socket.socket() as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind((host, 0))
        return f"{host}:{s.getsockname()[1]}"


def encode(words):
    out = [b"*%d\r\n" % len(words)]
    for word in words:
        data = str(word).encode()
        out.append(b"$%d\r\n%s\r\n" % (len(data), data))
    return b"".join(out)


async def read_message(reader):
    """One RESP2 array of bulk strings."""
    head = await reader.readline()
    if not head.startswith(b"*"):
        raise ConnectionError(f"end or unreadable: {head[:40]!r}")
    words = []
    for _ in range(int(head[1:])):
        length = await reader.readline()
        if not length.startswith(b"$"):
            raise ConnectionError("unreadable")
        data = await reader.readexactly(int(length[1:]) + 2)
        words.append(data[:-2].decode())
    return words


class Node:
    """A server. Its cores serve requests in order; a cold one is slower until it is warm."""

    def __init__(self, day, name, zone, kind, cores, speed, since=0.0, cold_from=1.0, cold_s=0.0, queue=20):
        self.day, self.name, self.zone, self.kind = day, name, zone, kind
        self.cores, self.speed, self.since = cores, speed, since
        self.cold_from, self.cold_s, self.queue = cold_from, cold_s, queue
        self.status, self.running, self.silent = "Ready", True, False
        self.free = [0.0] * cores
        self.busy = []  # (begin, end) of served work
        self.waiting = []  # begin times of work that waits
        self.work = []  # (time, work, knowing) sent to it since its start

    def ratio(self, t):
        if not self.since or t >= self.since + self.cold_s:
            return 1.0
        return self.cold_from + (1 - self.cold_from) * max(0.0, t - self.since) / self.cold_s

    def entry(self):
        return {"name": self.name, "address": f"127.0.0.1:{9000}", "zone": self.zone, "type": self.kind,
                "group": 1, "status": self.status, "weight": round(self.cores * self.speed, 2),
                "since_ms": int(self.since * 1000)}

    def serve(self, t, work):
        """Returns the time of the answer, or None if the node refuses."""
        if not self.running:
            return None
        self.waiting = [begin for begin in self.waiting if begin > t]
        if len(self.waiting) >= self.queue * self.cores:
            return None
        begin = max(t, heapq.heappop(self.free))
        end = begin + work / (self.speed * self.ratio(begin))
        heapq.heappush(self.free, end)
        if begin > t:
            self.waiting.append(begin)
        self.busy.append((begin, end))
        return end

    def utilization(self, t, span):
        self.busy = [pair for pair in self.busy if pair[1] > t - 5]
        used = sum(max(0.0, min(end, t) - max(begin, t - span)) for begin, end in self.busy)
        return min(1.0, used / span / self.cores)


class Table:
    """The lines of one class, picked by weight at random (lottery) or in turn (wheel)."""

    def __init__(self, lines=None):
        self.lines, self.credit = dict(lines or {}), {}

    def pick(self, how, without, rng):
        lines = {name: w for name, w in self.lines.items() if name not in without and w > 0}
        if not lines:
            return None
        if how == "wheel":
            total = sum(lines.values())
            for name, weight in lines.items():
                self.credit[name] = self.credit.get(name, rng.random() * weight) + weight
            best = max(lines, key=lambda name: self.credit[name])
            self.credit[best] -= total
            return best
        return rng.choices(list(lines), list(lines.values()))[0]


class Channel:
    """The channel of one controller: messages leave one after the other at a number of lines a second and arrive
    later, in order for each proxy."""

    def __init__(self, day, controller):
        self.day, self.controller = day, controller
        self.clear_at = 0.0
        self.slow = 1.0
        self.waiting = []  # (leaves at, lines)
        self.most = 0

    def enter(self, lines):
        """A message has come whole. Returns when it leaves the channel."""
        t = now()
        self.waiting = [item for item in self.waiting if item[0] > t]
        self.clear_at = max(t, self.clear_at) + lines / self.day.settings["extra"]["push_rate"] * self.slow
        self.waiting.append((self.clear_at, lines))
        total = sum(item[1] for item in self.waiting)
        self.most = max(self.most, total)
        if total > self.day.settings["extra"]["backlog"]:
            self.day.breach("backlog", f"{total} lines wait in the channel of {self.controller.name}")
        return self.clear_at


class Proxy:
    """A plain proxy: it sends by its tables, and applies what its controller writes to it."""

    def __init__(self, day, number, zone, rate):
        self.day, self.number, self.zone, self.rate = day, number, zone, rate
        self.rng = random.Random(f"{day.seed} proxy {number}")
        self.classes = [c["name"] for c in day.settings["classes"]]
        local = [node for node in day.nodes.values() if node.zone == zone and node.status == "Ready"]
        if len(local) < 3:
            local = [node for node in day.nodes.values() if node.status == "Ready"]
        drawn = self.rng.sample(local, min(len(local), day.settings["extra"]["standing"]))
        self.tables = {name: Table({node.name: 1.0 for node in drawn}) for name in self.classes}
        self.gates = {name: None for name in self.classes}
        self.again = {name: day.settings["extra"]["base_mode"] for name in self.classes}
        self.dropped, self.standing = set(), True
        self.controller, self.writer, self.joined_at = None, None, None
        self.messages = []
        self.usage = {name: 0 for name in self.classes}
        self.stop = False
        self.without_since = {name: None for name in self.classes}
        self.levels = {name: (0.0, 0.0) for name in self.classes}
        self.known_starts = 0.0  # when the controller wrote the last applied message
        self.failures, self.avoided = {}, {}

    # The stream.

    async def live(self):
        low, high = self.day.redial
        while not self.stop:
            try:
                await self.stream(self.day.controller_for(self))
            except (OSError, ConnectionError, asyncio.IncompleteReadError, ValueError) as error:
                self.day.record("stream", f"proxy {self.number} lost its stream: {error}")
            self.leave()
            await asyncio.sleep(self.rng.uniform(low, high))

    async def stream(self, controller):
        host, port = controller.listen.split(":")
        reader, self.writer = await asyncio.open_connection(host, int(port))
        try:
            self.writer.write(encode(["joined", "sidecar", self.number, "az", self.zone, "share",
                                      round(self.rate, 1), "standing", int(self.standing)]))
            self.controller, self.joined_at = controller, now()
            self.messages = []
            self.day.record("joined", f"proxy {self.number} at {controller.name}")
            loop = asyncio.get_running_loop()
            parts, arrive = [], 0.0
            while True:
                words = await read_message(reader)
                if words[0] == "pong":
                    continue
                part = dict(zip(words[1::2], words[2::2]))
                parts.append((words[0], part))
                if part.get("part") == "1":
                    continue
                written = now()
                lines = self.day.settings["extra"]["head"] + sum(self.lines_of(p) for _, p in parts)
                leaves = controller.channel.enter(lines)
                self.count_message(written)
                way = self.day.rng.uniform(*self.day.message_delay)
                arrive = max(arrive + 0.001, leaves + way)  # in order
                generation = self.writer
                loop.call_later(max(0.0, arrive - now()), self.apply, parts, written, generation)
                parts = []
        finally:
            self.writer.close()

    @staticmethod
    def lines_of(part):
        count = len(part["rows"].split(",")) if part.get("rows") else 0
        for name in ("drop", "undrop"):
            count += len(part[name].split(",")) if part.get(name) else 0
        return count + sum(1 for name in ("gate", "stamp", "replace") if name in part)

    def count_message(self, t):
        extra = self.day.settings["extra"]
        self.messages = [at for at in self.messages if at > t - extra["update_window"]] + [t]
        if extra["pushes_allowed"] and len(self.messages) > extra["pushes_allowed"]:
            self.day.breach("backlog", f"{len(self.messages)} messages to proxy {self.number} in the window")

    def apply(self, parts, written, generation):
        if generation is not self.writer or self.controller is None:
            return
        t = now()
        for kind, part in parts:
            names = part["for"].split("+") if "for" in part else self.classes
            rows = [row.rsplit(":", 1) for row in part["rows"].split(",")] if part.get("rows") else []
            for name in names:
                table = self.tables[name]
                if part.get("replace") == "1":
                    table.lines = {}
                    self.gates[name], self.again[name] = None, self.day.settings["extra"]["base_mode"]
                for node, weight in rows:
                    if float(weight) > 0:
                        table.lines[node] = float(weight)
                    else:
                        table.lines.pop(node, None)
                if "gate" in part:
                    self.gates[name], self.again[name] = float(part["gate"]), int(part["again"])
            self.dropped |= set(part["drop"].split(",")) if part.get("drop") else set()
            self.dropped -= set(part["undrop"].split(",")) if part.get("undrop") else set()
            if "rows" in part:
                self.standing = False
            text = " ".join(f"{key} {value}" for key, value in part.items())
            self.day.record("applied", f"proxy {self.number}: {kind} {text}")
            if "stamp" in part:
                self.send(["applied", "sidecar", self.number, "version", part["stamp"], "lag_ms",
                           round((t - written) * 1000, 1)])
        self.known_starts = written

    def send(self, words):
        if self.writer and self.controller and not self.writer.is_closing():
            self.writer.write(encode(words))

    def leave(self):
        if self.controller:
            self.day.record("left", f"proxy {self.number}")
        self.controller, self.joined_at = None, None
        self.without_since = {name: None for name in self.classes}

    def cut(self):
        """The stream breaks: the connection is reset."""
        if self.writer:
            self.writer.transport.abort()

    # Requests.

    def admits(self, name, t):
        gate = self.gates[name]
        if gate is None:
            return True
        if self.day.settings["extra"]["admit"] == "ratio":
            return self.rng.random() < gate
        tokens, at = self.levels[name]
        tokens = min(max(1.0, gate), tokens + (t - at) * gate)
        ok = tokens >= 1.0
        self.levels[name] = (tokens - (1.0 if ok else 0.0), t)
        return ok

    def request(self, name, again=0, first=None):
        """A request of a client, or its next try."""
        t = now()
        first = first or t
        self.usage[name] += 1
        if not self.admits(name, t):
            self.day.count("refused")
            self.come_again(name, again, first)
            return
        self.send_to_node(name, again, first, 0, set())

    def come_again(self, name, again, first):
        day = self.day
        deadline = next(c["deadline"] for c in day.settings["classes"] if c["name"] == name)
        wait = day.backoff * 2 ** again * self.rng.uniform(0.5, 1.5)
        if again < day.client_retries and now() + wait < first + deadline:
            asyncio.get_running_loop().call_later(wait, self.request, name, again + 1, first)

    def send_to_node(self, name, again, first, tries, tried):
        t, day = now(), self.day
        without = self.dropped | tried | {n for n, until in self.avoided.items() if until > t}
        node = self.tables[name].pick(day.settings["extra"]["pick"], without, self.rng)
        if node is None:
            node = self.tables[name].pick(day.settings["extra"]["pick"], self.dropped | tried, self.rng)
        if node is None:
            day.count("no line")
            self.come_again(name, again, first)
            return
        day.attempt(self, name, node, t, lambda good, ran: self.ended(name, again, first, tries, tried, node, good, ran))

    def ended(self, name, again, first, tries, tried, node, good, ran):
        if good:
            self.failures[node] = 0
            return
        day = self.day
        most = day.settings["extra"]["fails_to_eject"]
        self.failures[node] = self.failures.get(node, 0) + 1
        if most and self.failures[node] >= most:
            self.failures[node], self.avoided[node] = 0, now() + self.rng.uniform(*day.avoid_s)
        cls = next(c for c in day.settings["classes"] if c["name"] == name)
        mode = self.again[name]
        may = (mode == 1 and not ran and tries < 1) or (mode == 2 and tries < 1) or (mode == 3 and tries < 2)
        if may and now() < first + cls["deadline"]:
            if ran and cls["idempotency"] == "non_idempotent":
                day.breach("duplicate", f"proxy {self.number} is told to repeat {name} that may have run")
            self.send_to_node(name, again, first, tries + 1, tried | {node})
        elif cls["idempotency"] != "non_idempotent" or not ran:
            self.come_again(name, again, first)

    def check_lines(self):
        """Rule 1: no line to pick for longer than allowed."""
        if self.controller is None:
            return
        t, bare = now(), self.day.settings["extra"]["bare"] + 0.3
        for name in self.classes:
            has = any(w > 0 and n not in self.dropped for n, w in self.tables[name].lines.items())
            if has or not self.day.has_warm(self.controller, t):
                self.without_since[name] = None
                continue
            since = self.without_since[name] = self.without_since[name] or t
            since = max(since, self.joined_at, self.controller.first_pong + 1.0)
            if t - since > bare:
                self.day.breach("lost", f"proxy {self.number} has no line for {name} for {t - since:.2f} s")


class Controller:
    """A controller process under test, with its discovery agent."""

    def __init__(self, day, number, zone):
        self.day, self.number, self.zone, self.name = day, number, zone, f"n{number}"
        self.listen = free_address()
        self.channel = Channel(day, self)
        self.index = 1
        self.told = {}  # node -> (status, since_ms), as written to this controller
        self.told_at = {}  # node -> when it was told that the node drains or is gone
        self.starts_told = {}  # node -> when it was told of the start
        self.log = []  # the objects of the watch
        self.watchers = set()
        self.first_pong = None
        self.process = None
        self.discovery = None
        self.collectors = {}
        self.list = {}  # what discovery has sent to the agent
        self.met = {}  # (zone, node) -> failures, sum of the times of the others, their number, since when
        self.garble = None

    async def start_agent(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.discovery = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.list = {node.name: node.entry() for node in self.day.nodes.values()}

    def write_config(self):
        settings = json.loads(json.dumps(self.day.settings))
        settings["az"] = settings["zones"].index(self.zone)
        settings["me"] = self.number
        config = {"name": self.name, "listen": self.listen, "discovery": self.discovery,
                  "seed": "%016x" % self.day.rng.getrandbits(64), "limits": self.day.limits,
                  "known": {"index": self.index, "snapshot": True, "endpoints": list(self.list.values())},
                  "settings": settings}
        self.config = os.path.join(self.day.folder, f"{self.name}.json")
        with open(self.config + ".new", "w") as file:
            json.dump(config, file)
        os.replace(self.config + ".new", self.config)

    async def start(self):
        self.write_config()
        environment = dict(os.environ, BALANCER_NAME=self.name, BALANCER_LISTEN=self.listen,
                           BALANCER_DISCOVERY=self.discovery, BALANCER_CONFIG=self.config, TMPDIR=self.day.folder)
        log = open(os.path.join(self.day.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", self.day.run_command, cwd=self.day.root, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log)
        guard.add(self.process)
        log.close()
        self.day.record("run", f"{self.name}: {self.day.run_command} (pid {self.process.pid})")
        host, port = self.listen.split(":")
        for _ in range(600):
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(encode(["ping"]))
                words = await asyncio.wait_for(read_message(reader), 2)
                writer.close()
                if words == ["pong"]:
                    self.first_pong = now()
                    self.day.record("ready", self.name)
                    return
            except (OSError, ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            if self.process.returncode is not None:
                raise RuntimeError(f"{self.name} ended with {self.process.returncode}")
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready")

    # Discovery.

    def publish(self, entries):
        """Discovery sends changes to the agent, which writes them to the controller at once."""
        self.index += 1
        for entry in entries:
            if entry["status"] == "Gone":
                self.list.pop(entry["name"], None)
            else:
                self.list[entry["name"]] = entry
        item = {"index": self.index, "snapshot": False, "endpoints": entries}
        self.log.append(item)
        for writer in list(self.watchers):
            self.write_object(writer, item)

    def write_object(self, writer, item):
        line = json.dumps(item).encode() + b"\n"
        if self.garble:
            line = self.garble(line)
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))
        t = now()
        names = ",".join(f"{e['name']}={e['status']}" for e in item["endpoints"])
        self.day.record("told", f"{self.name} index {item['index']}: {names if not item['snapshot'] else 'whole list'}")
        self.note_told(item, t)

    def note_told(self, item, t):
        if item["snapshot"]:
            here = {e["name"] for e in item["endpoints"]}
            for name in list(self.told):
                if name not in here:
                    self.told_at.setdefault(name, t)
        for entry in item["endpoints"]:
            name = entry["name"]
            self.told[name] = entry
            if entry["status"] == "Ready":
                self.told_at.pop(name, None)
                self.starts_told.setdefault((name, entry["since_ms"]), t)
            else:
                self.told_at.setdefault(name, t)

    async def serve(self, reader, writer):
        try:
            line = (await reader.readline()).decode()
            while (await reader.readline()) not in (b"\r\n", b""):
                pass
            whole = {"index": self.index, "snapshot": True, "endpoints": list(self.list.values())}
            if "watch=1" not in line:
                body = json.dumps(whole).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                             % (len(body), body))
                self.day.record("told", f"{self.name} index {self.index}: whole list")
                self.note_told(whole, now())
                await writer.drain()
                writer.close()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            start = line.split("from=")[1].split()[0] if "from=" in line else None
            self.day.record("watch", f"{self.name} from {start}")
            if start is None or int(start) > self.index:
                self.write_object(writer, whole)
            else:
                for item in self.log:
                    if item["index"] > int(start):
                        self.write_object(writer, item)
            self.watchers.add(writer)
            empty = asyncio.ensure_future(self.empty_lines(writer))
            await reader.read(1)  # until the controller ends the connection
            empty.cancel()
        except (OSError, ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.watchers.discard(writer)
            writer.close()

    @staticmethod
    async def empty_lines(writer):
        while True:
            await asyncio.sleep(2)
            writer.write(b"1\r\n\n\r\n")

    # Collectors.

    def met_sum(self, zone, node):
        return self.met.setdefault((zone, node), [0, 0.0, 0, now()])

    async def collect(self, zone):
        while True:
            try:
                host, port = self.listen.split(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(encode(["collector", "az", zone]))
                self.collectors[zone] = writer
                await reader.read(1)
            except OSError:
                pass
            self.collectors.pop(zone, None)
            await asyncio.sleep(0.3)


class Day:
    """One day: nodes, proxies, controllers, requests, and the rules."""

    def __init__(self, settings, limits, seed, record, root, run_command, redial, message_delay, report_delay):
        self.settings, self.limits, self.seed = settings, limits, seed
        self.rng = random.Random(seed)
        self.record, self.root, self.run_command = record, root, run_command
        self.redial, self.message_delay, self.report_delay = redial, message_delay, report_delay
        self.folder = tempfile.mkdtemp(prefix="wheelspread-review-")
        self.nodes, self.proxies, self.controllers = {}, [], []
        self.breaches, self.counts = {}, {}
        self.tasks = []
        self.work_ms = {}
        self.shares = {}
        self.client_retries, self.backoff, self.avoid_s, self.try_share = 0, 0.3, (2.3, 7.6), 1.0
        self.steady = False  # requests at even intervals with equal work, as in a calm hour

    def count(self, kind):
        self.counts[kind] = self.counts.get(kind, 0) + 1

    def breach(self, rule, text):
        seen = self.breaches.setdefault(rule, [])
        seen.append(text)
        if len(seen) <= 50:
            self.record("BROKEN", f"rule {rule}: {text}")

    def controller_for(self, proxy):
        alive = [c for c in self.controllers if c.process and c.process.returncode is None]
        home = [c for c in alive if c.zone == proxy.zone]
        return (home or alive or self.controllers)[proxy.number % len(home or alive or self.controllers)]

    def has_warm(self, controller, t):
        warm = self.settings["rules"]["warm_after"]
        return any(e["status"] == "Ready" and t - e["since_ms"] / 1000 >= warm for e in controller.told.values())

    def attempt(self, proxy, name, node_name, t, then):
        self.count("sent")
        node = self.nodes.get(node_name)
        controller = proxy.controller
        self.record("sent", f"proxy {proxy.number} -> {node_name} {name}")
        if controller is not None:
            told = controller.told_at.get(node_name)
            if told is not None:
                grace = self.settings["rules"]["stop_sending_within"] + 0.3
                since = max(told, proxy.joined_at, controller.first_pong + 1.0)
                if t - since > grace:
                    self.breach("drain", f"proxy {proxy.number} sends to {node_name} {t - told:.2f} s after "
                                         f"{controller.name} was told that it is {controller.told[node_name]['status']}"
                                         f" ({t - since:.2f} s counted, {grace:.1f} s allowed)")
        work = (1.0 if self.steady else self.rng.lognormvariate(-0.1, 0.5)) * self.work_ms[name] / 1000
        if node is not None and node.running:
            told = 1e18 if controller is None else controller.starts_told.get((node_name, int(node.since * 1000)), 1e18)
            knowing = proxy.known_starts >= told or t - told > self.settings["rules"]["stop_sending_within"] + 0.3
            node.work.append((t, work, knowing))
            self.check_cold(node, t)
        cls = next(c for c in self.settings["classes"] if c["name"] == name)
        limit = t + cls["deadline"] * self.try_share
        if node is None or node.silent:
            at, good, ran = limit, False, True
        else:
            end = node.serve(t, work)
            if end is None:
                at, good, ran = t + 0.002, False, False
            else:
                at, good, ran = min(end, limit), end <= limit, True
        asyncio.get_running_loop().call_later(max(0.0, at - t), self.answer, proxy, controller, node_name, t, good, ran, then)

    def answer(self, proxy, controller, node_name, begin, good, ran, then):
        self.count("answered" if good else "failed")
        if controller is not None:
            met = controller.met_sum(proxy.zone, node_name)
            met[0] += 0 if good else 1
            met[1] += (now() - begin) if good else 0.0
            met[2] += 1 if good else 0
        then(good, ran)

    def check_cold(self, node, t):
        """Rule 4: work sent to a cold node within the window, against a multiple of what it can do."""
        if not node.since or t >= node.since + node.cold_s:
            return
        rules = self.settings["rules"]
        span, first = rules["tip_after"], self.controllers[0].first_pong
        if first is None or t - span < first + 1.0:
            return
        node.work = [item for item in node.work if item[0] > t - span]
        total = sum(item[1] for item in node.work)
        knowing = sum(item[1] for item in node.work if item[2])
        room = rules["overload_factor"] * node.cores * node.speed * node.ratio(t) * span
        if total > room * 1.15 and knowing >= total * 2 / 3:
            self.breach("failback", f"cold {node.name} was sent {total / room * rules['overload_factor']:.2f} times what "
                                    f"it can do for {span} s")

    async def requests(self):
        """Requests by Poisson streams, one for each proxy and class."""
        due = []
        for proxy in self.proxies:
            for name, share in self.shares.items():
                heapq.heappush(due, (now() + self.rng.expovariate(proxy.rate * share), proxy.number, name))
        by_number = {proxy.number: proxy for proxy in self.proxies}
        while True:
            t = now()
            while due and due[0][0] <= t:
                at, number, name = heapq.heappop(due)
                by_number[number].request(name)
                rate = by_number[number].rate * self.shares[name]
                heapq.heappush(due, (max(at, t - 0.5) + self.interval(rate), number, name))
            for proxy in self.proxies:
                proxy.check_lines()
            await asyncio.sleep(0.004)

    def interval(self, rate):
        return 1 / rate if self.steady else self.rng.expovariate(rate)

    async def reports(self):
        """Each period, sums of what proxies met, and the requests that came, some time later. A controller is given a
        number of lines a second at most, the oldest first; the rest adds up."""
        period = self.settings["extra"]["period"]
        most = int(self.settings["extra"]["hears_per_s"] * period)
        loop = asyncio.get_running_loop()
        usage_since = {proxy.number: {name: now() for name in proxy.usage} for proxy in self.proxies}
        while True:
            await asyncio.sleep(period)
            t = now()
            for controller in self.controllers:
                lines = [(entry[3], "heard", key) for key, entry in controller.met.items()]
                lines += [(usage_since[proxy.number][name], "usage", (proxy, name)) for proxy in self.proxies
                          if proxy.controller is controller for name, count in proxy.usage.items() if count]
                for since, kind, key in sorted(lines, key=lambda line: line[0])[:most]:
                    window = round(max(period, t - since) * 1000, 1)
                    late = self.rng.uniform(*self.report_delay)
                    if kind == "usage":
                        proxy, name = key
                        words = ["usage", "sidecar", proxy.number, "kind", name, "n", proxy.usage[name], "bad", 0,
                                 "window", window]
                        proxy.usage[name], usage_since[proxy.number][name] = 0, t
                        loop.call_later(late, proxy.send, words)
                        continue
                    bad, total, good, _ = controller.met.pop(key)
                    words = ["heard", "az", key[0], "host", key[1], "n", bad + good, "bad", bad]
                    if good:
                        words += ["avg", round(total / good * 1000, 1)]
                    words += ["window", window]
                    node = self.nodes.get(key[1])
                    if good and node is not None and node.running:
                        words += ["report", f"util:{node.utilization(t, 1.0):.3f}"]
                    loop.call_later(late, self.send_heard, controller, key[0], words)

    @staticmethod
    def send_heard(controller, zone, words):
        writer = controller.collectors.get(zone)
        if writer and not writer.is_closing():
            writer.write(encode(words))

    def tell(self, entries, delay=(0.0, 0.0)):
        """Discovery tells every controller, each at its own time."""
        loop = asyncio.get_running_loop()
        for controller in self.controllers:
            loop.call_later(self.rng.uniform(*delay), controller.publish, entries)

    async def begin(self):
        for controller in self.controllers:
            await controller.start_agent()
        for controller in self.controllers:
            await controller.start()
        for controller in self.controllers:
            for zone in self.settings["zones"]:
                self.tasks.append(asyncio.ensure_future(controller.collect(zone)))
        for proxy in self.proxies:
            self.tasks.append(asyncio.ensure_future(proxy.live()))
        self.tasks.append(asyncio.ensure_future(self.requests()))
        self.tasks.append(asyncio.ensure_future(self.reports()))

    def crashed(self):
        return [c.name for c in self.controllers if c.process and c.process.returncode is not None]

    async def end(self):
        for proxy in self.proxies:
            proxy.stop = True
        for task in self.tasks:
            task.cancel()
        await guard.end_children()

    def verdict(self, rules):
        for controller in self.controllers:
            self.record("channel", f"{controller.name}: at most {controller.channel.most} lines waited")
        self.record("counts", json.dumps(self.counts))
        broken = [rule for rule in rules if self.breaches.get(rule)]
        for rule, texts in self.breaches.items():
            self.record("verdict", f"rule {rule}: {len(texts)} breaches")
            print(f"rule {rule}: {len(texts)} breaches; first: {texts[0]}; last: {texts[-1]}")
        print(json.dumps(self.counts))
        return 1 if broken else 0


async def play(day, run, rules):
    """Plays a day and returns the exit code: 1 if one of these rules was broken."""
    try:
        await run(day)
        crashed = day.crashed()
        await day.end()
        if crashed:
            raise RuntimeError(f"{', '.join(crashed)} ended")
        code = day.verdict(rules)
        day.record("exit", str(code))
        return code
    finally:
        day.record.close()
        shutil.rmtree(day.folder, ignore_errors=True)


def deploy_run(root):
    """The command `run` of the deploy file."""
    with open(os.path.join(root, "deploy", "balancer.toml"), "rb") as file:
        return tomllib.load(file)["run"]
