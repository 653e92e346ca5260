"""CONFIG: a request selected for an entry whose address can't be used is never answered."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib"))
from harness import Deployment, main, mixed_calls, now  # noqa: E402

TIMEOUT_S = 3.0  # of the routes
SECONDS = 12.0
BUDGET_S = 5.0  # clients wait longer than the routes' timeout
ADDRESS = "fe80::1%eth0..1:8185"


async def case(folder, record, trouble, edges):
    zones = {"xela-a": "occidente", "xela-b": "occidente"}
    world = Deployment(folder, edges, zones, ["xela-a", "xela-b"])
    for number in range(8):
        service = ("saldo", "libro-anticipos")[number % 2]
        zone = ("xela-a", "xela-b")[number // 2 % 2]
        await world.add_server(f"i-{number:08x}", service, zone)
    await world.start()
    start = now()
    traffic = asyncio.ensure_future(world.traffic(start + SECONDS, 40, mixed_calls, BUDGET_S))
    await asyncio.sleep(2.0)
    if trouble:
        other = {"address": ADDRESS, "born": 1,
                 "info": {"service": "libro-anticipos", "zone": "xela-a", "version": "v1",
                          "slots": 8}}  # fmt: skip
        await world.store.put("servers", "other-writer", other, {"state": "ready", "seq": 1})
        record.add(f"another writer's entry with the address {ADDRESS!r}")
    await traffic
    world.write_records(record)
    late = [
        r for r in world.requests if r["status"] == 0 and r["ended"] - r["sent"] >= BUDGET_S - 0.1
    ]
    open_at_timeout = [r for r in world.requests if r["ended"] - r["sent"] > TIMEOUT_S]
    open_later = [r for r in open_at_timeout if r["ended"] - r["sent"] > TIMEOUT_S + 0.5]
    text = (
        f"{len(world.requests)} requests; unanswered at their route's timeout of {TIMEOUT_S} s: "
        f"{len(open_at_timeout)}; still so half a second later: {len(open_later)}; without any "
        f"answer until their client left after {BUDGET_S} s: {len(late)}"
    )
    record.add(text)
    print(text)
    if open_later and 2 * len(open_later) > len(open_at_timeout):
        return [f"CONFIG: {text}"]
    return []


main(case, Path(__file__).parent)
