"""Starts a conductor and three stand-in nodes on loopback and checks that the gRPC client follows weights and a drain.

    python check.py PROGRAM

PROGRAM is the built `wheelspread`.
"""
import collections
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
from concurrent import futures

import follow

CONDUCTOR_FILE = """
conductor: {name: c0, listen: "127.0.0.1:%d", tables: tables, list: nodes.json}
deployment:
  zones: [north]
  operations:
    - {name: quote, latency_objective: 1s, integration_timeout: 4s, billed_value: 1, repeat: idempotent}
  proxies: {count: 1, usual_rate: 20}
  rules: {without_node_at_most: 2s, drain_grace: 2s, cold_start_share: 0.2, warm_after: 10s,
          cold_overload_factor: 4, cold_overload_span: 2s}
  channel: {lines_waiting_at_most: 1000, lines_per_second: 1000, delay_at_most: 500ms}
"""


def free_port():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


def node():
    """Starts a stand-in node that answers every call with its own address."""
    import grpc
    server = grpc.server(futures.ThreadPoolExecutor(4))
    port = server.add_insecure_port("127.0.0.1:0")
    answer = grpc.unary_unary_rpc_method_handler(lambda request, context: f"127.0.0.1:{port}".encode())
    server.add_generic_rpc_handlers([grpc.method_handlers_generic_handler("stand.In", {"Answer": answer})])
    server.start()
    return server, port


def publish(directory, version, nodes):
    """Replaces the endpoint list; `nodes` has (port, weight, drains) of each node."""
    url = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
    endpoints = [{
        "endpoint": {"address": {"socketAddress": {"address": "127.0.0.1", "portValue": port}}},
        "healthStatus": "DRAINING" if drains else "HEALTHY",
        "loadBalancingWeight": weight,
    } for port, weight, drains in nodes]
    entries = [{"locality": {"zone": "north"}, "lbEndpoints": endpoints}]
    endpoint_list = {"versionInfo": str(version), "typeUrl": url,
                     "resources": [{"@type": url, "clusterName": "nodes", "endpoints": entries}]}
    temporary_file = directory / ".nodes.json"
    temporary_file.write_text(json.dumps(endpoint_list))
    temporary_file.rename(directory / "nodes.json")


def shares(channel, calls):
    counts = collections.Counter(follow.call(channel) for _ in range(calls))
    return {int(address.split(":")[1]): count / calls for address, count in counts.items()}


def until(what, wanted, seconds=15.0):
    """Calls `what` until `wanted` accepts its result; on timeout, exits with the last result."""
    end = time.monotonic() + seconds
    while True:
        seen = what()
        if wanted(seen):
            return seen
        if time.monotonic() > end:
            raise SystemExit(f"FAILED: {seen}")


def main():
    port = free_port()
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        (directory / "conductor.yaml").write_text(CONDUCTOR_FILE % port)
        os.environ["GRPC_XDS_BOOTSTRAP_CONFIG"] = follow.bootstrap(f"127.0.0.1:{port}", "python-1", "north")
        servers = [node() for _ in range(3)]
        ports = [port for _, port in servers]
        publish(directory, 1, [(port, 1, False) for port in ports])
        log = open(directory / "log", "w")
        # The client starts first and waits for the conductor, which starts later.
        channel = follow.dial(f"127.0.0.1:{port}", "python-1", "north", "quote")
        ready = follow.ready(channel)
        time.sleep(0.3)
        conductor = subprocess.Popen([sys.argv[1], "run", str(directory / "conductor.yaml")], stderr=log)
        try:
            ready.result(timeout=20.0)
            even = until(lambda: shares(channel, 300), lambda seen: len(seen) == 3, 20.0)
            print("three nodes answer:", even)
            publish(directory, 2, [(ports[0], 4, False), (ports[1], 1, False), (ports[2], 1, False)])
            heavy = until(lambda: shares(channel, 600), lambda seen: seen.get(ports[0], 0) > 0.5)
            print("one of four times the weight:", heavy)
            started_at = time.monotonic()
            publish(directory, 3, [(ports[0], 4, True), (ports[1], 1, False), (ports[2], 1, False)])
            until(lambda: shares(channel, 20), lambda seen: ports[0] not in seen)
            duration = time.monotonic() - started_at
            print(f"it drains: nothing goes there after {duration:.2f} s")
            if duration > 2.0:
                raise SystemExit("FAILED: the grace is 2 s")
            conductor.terminate()
            conductor.wait(10)
            if len(shares(channel, 20)) != 2:
                raise SystemExit("FAILED: without a conductor the last tables should be gone by")
            print("without a conductor the last tables stand")
        except BaseException:
            log.flush()
            print((directory / "log").read_text()[-4000:], file=sys.stderr)
            raise
        finally:
            if conductor.poll() is None:
                conductor.kill()
            for server, _ in servers:
                server.stop(0)


if __name__ == "__main__":
    main()
