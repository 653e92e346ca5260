"""CONFIG: machines in touch apply a manifest late when the watching machines are cut off."""

import asyncio
import sys
from hashlib import blake2b
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib"))
from harness import (  # noqa: E402
    BOUNDS,
    Deployment,
    Edge,
    Proxy,
    free_ports,
    main,
    manifest,
    now,
)  # fmt: skip

CUT_S = 5.5
WATCHERS = 4  # berylchute/assignments.py, WATCHER_COUNT


def rank(name):
    """Return the order in which members watch the store (berylchute/assignments.py)."""
    return blake2b(f"watch/{name}".encode(), digest_size=8).digest()


def lookups(rng):
    return ("GET", f"/lookup/{rng.randrange(10**6)}", f"k{rng.randrange(200)}")


async def case(folder, record, trouble, edges):
    zones = {"xela-a": "occidente", "xela-b": "occidente"}
    world = Deployment(folder, edges, zones, [])
    proxies = {}
    for zone in zones:
        for number in range(1, 4):
            name = f"front-{zone}-{number}"
            proxies[name] = Proxy(free_ports(1)[0], world.store.port)
            await proxies[name].start()
            edges.append(Edge(folder, name, zone, zones, proxies[name].port))
    for number in range(8):
        service = ("saldo", "otro")[number % 2]
        await world.add_server(f"i-{number:08x}", service, ("xela-a", "xela-b")[number // 2 % 2])
    await world.start()
    start = now()
    by_rank = sorted(edges, key=lambda edge: rank(edge.name), reverse=True)
    cut, in_touch = by_rank[:WATCHERS], by_rank[WATCHERS:]
    world.edges = in_touch  # only what these do is judged
    await asyncio.sleep(6.0)
    traffic = asyncio.ensure_future(world.traffic(start + 20.0, 60, lookups))
    # Watches wait for 4 s; the cut comes soon after they were begun again.
    seen = world.store.watches
    await asyncio.sleep(4.2)
    del seen[:]
    while len(seen) < 6 or now() - seen[-1] < 0.3:
        await asyncio.sleep(0.02)
    if trouble:
        for edge in cut:
            proxies[edge.name].is_silent = True
            record.add(f"{edge.name} is partitioned from the store")
    await asyncio.sleep(0.2)
    routes = [("balance-lookup", "/lookup/", "safe", "otro")]
    acked = await world.store.put("config", "main", manifest(15, routes, ["saldo", "otro"]))
    record.add("r15 is acknowledged: /lookup/ goes to otro", acked)
    await asyncio.sleep(CUT_S)
    for proxy in proxies.values():
        proxy.is_silent = False
    record.add("the cuts end")
    await traffic
    world.write_records(record)
    sent = {r["id"]: r["sent"] for r in world.requests}
    old = [r for r in world.runs if r["ran"] and world.servers[r["server"]].service == "saldo"]
    late = [run for run in old if sent[run["id"]] > acked + BOUNDS["config-apply-s"]]
    last = max((sent[run["id"]] - acked for run in old), default=0)
    text = (
        f"{len(late)} requests sent to machines in touch later than {BOUNDS['config-apply-s']} s "
        f"after the acknowledgement were run by the old service, the last one sent {last:.2f} s "
        "after"
    )
    record.add(text)
    print(text)
    return [f"CONFIG: {text}"] if late else []


main(case, Path(__file__).parent)
