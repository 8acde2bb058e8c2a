"""Queries conductors from Python, using only the standard library.

    python desk.py ROOT [ROOT ...]

ROOT is a conductor's tables root (`conductor.tables`), in which its sockets lie. `docs/api.yaml` describes the
requests. `read.sock` accepts queries only; `admin.sock` accepts orders as well.
"""
import http.client
import json
import pathlib
import socket
import sys


class Conductor(http.client.HTTPConnection):
    """A connection to one conductor's socket; each socket operation fails after `timeout` seconds."""

    def __init__(self, root, timeout=2.0, allow_orders=False):
        super().__init__("conductor", timeout=timeout)
        self.path = str(pathlib.Path(root) / ("admin.sock" if allow_orders else "read.sock"))

    def connect(self):
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.sock.settimeout(self.timeout)
        self.sock.connect(self.path)

    def ask(self, target, order=None):
        """Sends a query, or `order` as the body of an order; returns the decoded answer."""
        body = None if order is None else json.dumps(order)
        self.request("GET" if order is None else "POST", target, body=body)
        response = self.getresponse()
        answer = json.loads(response.read())
        self.close()
        if response.status != 200:
            raise RuntimeError(f"{response.status}: {answer['error']}")
        return answer


def main(roots):
    failed = 0
    for root in roots:
        try:
            answer = Conductor(root).ask("/v1/status")
        except (OSError, ValueError, RuntimeError, http.client.HTTPException) as error:
            print(f"{root}: {error!r}")
            failed += 1
            continue
        nodes, gateways = answer["nodes"], answer["gateways"]
        print(f"{answer['name']}: {nodes['ready']} nodes ready, {gateways['joined']} gateways joined, "
              f"{answer['lines_waiting']:.0f} lines wait, configuration {answer['configuration']}")
    return failed


if __name__ == "__main__":
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    sys.exit(3 if main(sys.argv[1:]) else 0)
