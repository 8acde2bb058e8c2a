"""The deployment of the cases on operators' orders: three halls, and an operation that stays in its hall."""

import asyncio
import random

import product

ZONES = ["halle-nord", "halle-sued", "halle-west"]
GATEWAYS = 9
WITHOUT_NODE = 2.1
OPERATIONS = """  - {name: quote, repeat: idempotent, integration_timeout: 4s}
  - {name: tour-plan, repeat: idempotent, integration_timeout: 3s}"""
CONTROLLER = """conductor: {name: c0, number: 0, seed: 9, listen: "REPORTS", tables: run/tables, list: nodes.json}
log: {form: lines, level: info}
deployment:
  zones: [halle-nord, halle-sued, halle-west]
  kinds: [three-core, two-core]
  operations:
    - {name: quote, latency_objective: 1.2s, integration_timeout: 4s, billed_value: 2, late_share: 0.2, repeat: idempotent}
    - {name: tour-plan, latency_objective: 1.2s, integration_timeout: 3s, billed_value: 1, late_share: 0.2,
       repeat: idempotent, stays_in_zone: true}
  conductors: {count: 1}
  proxies: {count: 9, errors_until_avoided: 3, connection_idle: 15s, usual_rate: 9}
  rules: {without_node_at_most: 2100ms, drain_grace: GRACE, cold_start_share: 0.16, warm_after: 18s,
          cold_overload_factor: 4, cold_overload_span: 3s}
  channel: {lines_waiting_at_most: 11100, head_lines: 6, lines_per_second: 11100, delay_at_most: 500ms,
            messages_at_most: 0, messages_window: 10s}
  sums: {period: 1s, loads: [queue]}
  admission: share
  cross_zone_price: 0.04
"""
FLEET = """conductors:
  - {name: c0, root: run/tables}
within: 2s
order_within: 10s
"""


async def start(record, seed, grace="2s"):
    """A running deployment: 15 hosts in three halls, all warm, and nine gateways."""
    rng = random.Random(seed)
    world = product.Deployment(record, CONTROLLER.replace("GRACE", grace))
    try:
        for index in range(15):
            await world.add_node(ZONES[index % 3], "two-core" if index % 5 in (1, 3) else "three-core")
        world.write_list(world.nodes)
        with open(world.path("fleet.yaml"), "w") as file:
            file.write(FLEET)
        await world.start_controller()
        for number in range(GATEWAYS):
            name = f"gateway-{number}"
            await world.start_proxy(name, ZONES[number % 3], OPERATIONS)
            world.spawn(world.client(name, "quote", 5.0, rng))
            world.spawn(world.client(name, "tour-plan", 4.0, rng))
        await asyncio.sleep(4)
    except BaseException:
        await world.close()
        raise
    return world


def longest_without_node(world, zone, invocation, since):
    """The longest time, at any one gateway of the zone, in which it answered every such invocation that it had no node
    (503, nothing was sent), and the gateway. The time begins and ends with such an answer."""
    longest = (0.0, None)
    for proxy, (_, of) in world.proxies.items():
        if of != zone:
            continue
        begin = None
        for at, answered, name, _, status in world.answers:
            if answered != proxy or name != invocation or at < since:
                continue
            if status != 503:
                begin = None
                continue
            begin = at if begin is None else begin
            longest = max(longest, (at - begin, proxy), key=lambda item: item[0])
    return longest
