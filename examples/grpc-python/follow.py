"""Calls an operation without a proxy: gRPC's xDS resolver reads the tables from a conductor.

    python follow.py CONDUCTOR ZONE OPERATION [CALLS]

CONDUCTOR is the address that a conductor listens on (`conductor.listen`), OPERATION a name from its file. Prints the
number of calls that each node answered. A program needs three parts of this example: the bootstrap, the target
`xds:///OPERATION`, and the wait until the channel is ready before the first call. A call that begins while no conductor
answers has no table, and gRPC does not assign it a table that arrives later: the call waits until its deadline.
"""
import collections
import json
import os
import sys


def bootstrap(conductor, name, zone):
    """The gRPC bootstrap configuration for the conductor; needed before a channel is created."""
    return json.dumps({
        "xds_servers": [{
            "server_uri": conductor,
            "channel_creds": [{"type": "insecure"}],
            "server_features": ["xds_v3"],
        }],
        "node": {"id": name, "locality": {"zone": zone}},
    })


def dial(conductor, name, zone, operation):
    os.environ["GRPC_XDS_BOOTSTRAP_CONFIG"] = bootstrap(conductor, name, zone)
    import grpc
    return grpc.insecure_channel(f"xds:///{operation}")


def ready(channel):
    """A future that completes when tables have arrived; wait with `.result(timeout=seconds)`."""
    import grpc
    return grpc.channel_ready_future(channel)


def call(channel, seconds=5.0):
    """Makes one call; the stand-in nodes of `check.py` answer with their address."""
    method = channel.unary_unary("/stand.In/Answer")
    return method(b"", timeout=seconds, wait_for_ready=True).decode()


if __name__ == "__main__":
    if len(sys.argv) < 4:
        sys.exit(__doc__)
    channel = dial(sys.argv[1], f"python-{os.getpid()}", sys.argv[2], sys.argv[3])
    ready(channel).result(timeout=20.0)
    calls = int(sys.argv[4]) if len(sys.argv) > 4 else 100
    counts = collections.Counter(call(channel) for _ in range(calls))
    for node, count in sorted(counts.items()):
        print(f"{node} {count}")
