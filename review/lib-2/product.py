"""A small deployment of the project's own programs on loopback: a controller, proxies, and stand-ins for nodes and clients.

The controller is `wheelspread run FILE`, which reads an endpoint list and publishes tables as swapped files; the proxies are
`wheelspread proxy FILE`. Nodes answer HTTP/1.1 and count what reaches them.
"""

import asyncio
import json
import os
import shutil
import signal
import subprocess
import tempfile
import time

from standins import ROOT, CannotRun, free_port

PROGRAM = os.path.join(ROOT, "target", "release", "wheelspread")
LIST_TYPE = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
STARTED = 1700000000


class Node:
    """A node: it answers each invocation after a while and remembers when which one came."""

    def __init__(self, record, zone, kind, work=0.03):
        self.record, self.zone, self.kind, self.work = record, zone, kind, work
        self.port = free_port()
        self.name = f"127.0.0.1:{self.port}"
        self.received = []                        # (moment, invocation, its x-request-id)
        self.answer = None                        # replaces the usual answer: a coroutine of (invocation, id, writer)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
                await reader.readexactly(int(fields.get("content-length", 0)))
                name, identity = head.split("/")[1], fields.get("x-request-id", "")
                self.received.append((time.time(), name, identity))
                self.record.write(f"node {self.name} received {name} {identity}")
                if self.answer:
                    await self.answer(name, identity, writer)
                    continue
                await asyncio.sleep(self.work)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
                             b"endpoint-load-metrics: TEXT cpu_utilization=0.40, named_metrics.queue=0\r\n\r\nok\n")
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


class Deployment:
    def __init__(self, record, controller_file):
        self.record, self.controller_file = record, controller_file
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.nodes, self.processes, self.tasks = [], {}, []
        self.version = 0
        self.proxies = {}
        self.answers = []                         # (moment, proxy, invocation, id, status)

    def path(self, name):
        return os.path.join(self.folder, name)

    async def add_node(self, zone, kind, work=0.03):
        node = Node(self.record, zone, kind, work)
        await node.start()
        self.nodes.append(node)
        return node

    def write_list(self, nodes, started=None):
        """Swaps in an endpoint list of these nodes, all ready. Returns the moment of the swap."""
        self.version += 1
        zones = []
        for zone in sorted({node.zone for node in nodes}):
            entries = []
            for node in nodes:
                if node.zone != zone:
                    continue
                address = {"socketAddress": {"address": "127.0.0.1", "portValue": node.port}}
                metadata = {"kind": node.kind, "started": (started or {}).get(node.name, STARTED)}
                entries.append({"endpoint": {"address": address},
                                "metadata": {"filterMetadata": {"envoy.lb": metadata}}})
            zones.append({"locality": {"zone": zone}, "lbEndpoints": entries})
        text = json.dumps({"versionInfo": str(self.version), "typeUrl": LIST_TYPE, "resources": [
            {"@type": LIST_TYPE, "clusterName": "nodes", "endpoints": zones}]})
        with open(self.path("nodes.json.new"), "w") as file:
            file.write(text)
        os.replace(self.path("nodes.json.new"), self.path("nodes.json"))
        self.record.write(f"list {self.version} swapped in: {' '.join(node.name for node in nodes)}")
        return time.time()

    def spawn_process(self, name, arguments):
        log = open(self.path(f"{name}.log"), "ab")
        process = subprocess.Popen([PROGRAM, *arguments], cwd=self.folder, stdin=subprocess.DEVNULL,
                                   stdout=log, stderr=log)
        log.close()
        self.processes[name] = process
        return process

    async def start_controller(self):
        self.reports = free_port()
        with open(self.path("conductor.yaml"), "w") as file:
            file.write(self.controller_file.replace("REPORTS", f"127.0.0.1:{self.reports}"))
        self.spawn_process("controller", ["run", self.path("conductor.yaml")])
        await self.until_listens(self.reports, "controller")

    async def start_proxy(self, name, zone, operations, controller=True, more=""):
        """Starts a proxy that is joined to the controller, or one that follows the tables of another publisher."""
        port = free_port()
        text = f"""proxy: {{name: {name}, zone: {zone}, listen: "127.0.0.1:{port}", usual_rate: 9, seed: 7}}
conductors:
  - {{reports: "127.0.0.1:{self.reports if controller else free_port()}", tables: run/tables}}
operations:
{operations}
pick: lottery
avoid: {{after_errors: 8, span: 5s}}
repeats: {{part: 0.2, at_once: 10}}
waits: {{connect: 300ms, request: 10s, client_idle: 60s, node_idle: 15s, redial: 1s}}
publishes_status: true
{more}"""
        with open(self.path(f"{name}.yaml"), "w") as file:
            file.write(text)
        self.spawn_process(name, ["proxy", self.path(f"{name}.yaml")])
        await self.until_listens(port, name)
        self.proxies[name] = (port, zone)

    async def until_listens(self, port, name):
        until = time.time() + 20
        while time.time() < until:
            if self.processes[name].poll() is not None:
                raise CannotRun(f"{name} exited with {self.processes[name].returncode}")
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.close()
                return
            except OSError:
                await asyncio.sleep(0.02)
        raise CannotRun(f"{name} does not listen")

    async def invoke(self, proxy, invocation, identity):
        """One invocation through a proxy. Returns its status, or 0 if the connection ended without an answer."""
        port, _ = self.proxies[proxy]
        status = 0
        writer = None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(f"POST /{invocation}/1 HTTP/1.1\r\nHost: proxy\r\nx-request-id: {identity}\r\n"
                         "Content-Length: 0\r\nConnection: close\r\n\r\n".encode())
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            status = int(head.split()[1])
        except (OSError, ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer:
                writer.close()
        self.answers.append((time.time(), proxy, invocation, identity, status))
        self.record.write(f"client of {proxy} answered {status} for {invocation} {identity}")
        return status

    async def client(self, proxy, invocation, rate, rng):
        number = 0
        while True:
            await asyncio.sleep(rng.expovariate(rate))
            number += 1
            self.spawn(self.invoke(proxy, invocation, f"{proxy}-{invocation}-{number}"))

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def order(self, *arguments):
        """An operator's command. Returns its exit status and what it printed."""
        process = await asyncio.create_subprocess_exec(
            PROGRAM, *arguments, cwd=self.folder, stdin=subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT)
        out, _ = await asyncio.wait_for(process.communicate(), 30)
        text = " ".join(out.decode(errors="replace").split())
        self.record.write(f"operator: {' '.join(arguments)} -> {process.returncode}: {text}")
        return process.returncode, text

    def check_alive(self):
        """A program that ended on the way makes the outcome worthless."""
        for name, process in self.processes.items():
            if process.poll() is not None:
                raise CannotRun(f"{name} exited with {process.returncode}")

    async def close(self):
        for name, process in self.processes.items():
            if process.poll() is not None:
                self.record.write(f"{name} exited with {process.returncode}")
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
                process.wait()
        log = self.path("controller.log")
        if os.path.exists(log):
            with open(log, errors="replace") as file:
                for line in file:
                    if "WARN" in line or "order" in line or "change" in line or "drain" in line:
                        self.record.write("log " + "".join(c for c in line.strip() if c.isprintable()))
        shutil.rmtree(self.folder, ignore_errors=True)
