import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from lab import BOUNDS, TROUBLE, CannotRun, main  # noqa: E402

KEY = "i9n73hh2b9wu3fexd9dn"
# The longest cut of a single machine in the users' list of impairments.
CUT = 5.5


def config(version, least):
    return {
        "version": version,
        "routes": [{"name": "survey", "host": "tiles.example", "prefix": "/survey/", "service": "pattern-desk",
                    "route_type": "streaming", "stream_resume": True, "timeout_ms": 10000, "target_latency_ms": 800,
                    "target_gap_ms": 250, "max_attempts": 2, "priority": 1}],
        "services": [{"name": "pattern-desk", "health_check": "/healthz", "max_connections": 360,
                      "engine": {"slots": 64, "kv_capacity": 566565},
                      "scaling": {"min": least, "max": 10, "boot_s": 30, "spot_price": 0.22,
                                  "zone_prices": {"suva-a": 1.0, "suva-b": 0.8}}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": "hule930", "api_keys": [KEY], "rate_per_s": 0, "burst": 0}],
    }


def subject(call):
    _, path, _, _, asked = call
    return path if path == "/usage" else (path, asked["service"], asked["zone"])


def check(lab, healed):
    """Returns the calls with a lower fence than the platform had seen for their duty and subject, without the excused ones."""
    highest, stale = {}, []
    for call in lab.cloud.calls:
        at, path, holder, fence, _ = call
        seen = highest.get(subject(call), (0, None))
        excused = healed is not None and healed <= at < healed + BOUNDS["thaw_ms"] / 1000
        if fence < seen[0] and not excused:
            stale.append(call)
            lab.record(f"STALE: {path} of {holder} with fence {fence} after fence {seen[0]} of {seen[1]}, "
                       f"{at - (healed or at):.2f} s after the end of the cut")
        if seen[0] <= fence:
            highest[subject(call)] = (fence, holder)
    return stale


async def case(lab):
    lab.store.put("op/config", config(7, 1))
    for number, zone in enumerate(["suva-a", "suva-b"]):
        worker = await lab.add_worker(f"i-{number}", "pattern-desk", "--events", "5", zone=zone)
        worker.say()
    await lab.add_nodes(3, behind_links=True)
    until = time.monotonic() + 20
    while not any(call[1] == "/usage" for call in lab.cloud.calls):
        if until < time.monotonic():
            raise CannotRun("no node holds the duties")
        await asyncio.sleep(0.05)
    # The first plan is made once the number of workers has been stable for some seconds.
    await asyncio.sleep(8)
    name = lab.cloud.calls[-1][2]
    holder = next(node for node in lab.nodes if node.name == name)

    # The operator asks for more workers, and the machine that holds the duties is cut off from the platform.
    lab.store.put("op/config", config(8, 3))
    lab.record("the operator writes version 8: three workers a zone at least")
    await asyncio.sleep(0.01)
    healed = None
    if TROUBLE:
        for link in holder.links:
            link.cut()
        await asyncio.sleep(CUT)
        for link in holder.links:
            link.heal()
        healed = time.monotonic()
    else:
        await asyncio.sleep(CUT)
    await asyncio.sleep(8)
    stale = check(lab, healed)
    lab.record.say(f"{len(stale)} of {len(lab.cloud.calls)} calls came with a lower fence than the platform had seen")
    return not stale


main(case, FOLDER)
