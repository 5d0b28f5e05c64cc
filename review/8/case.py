"""Machines are stopped and started in turn, first the holder of the duties; it is killed while it stops.

Each round: the holder A gets SIGTERM right after one of its calls and is killed 0.2 s later; it starts again at once. The next
holder, B, gets SIGTERM right after its first calls, about 1.5 s after A, and starts again when it has ended.
"""
import os, sys
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from kit import *

ROUNDS, KILL_AFTER_S, LEASE_S = 6, 0.2, 3.0


async def next_call(cloud, is_wanted, limit):
    """Returns the next call to the platform that is wanted; None if there is none in time."""
    seen, end = len(cloud.calls), time.monotonic() + limit
    while time.monotonic() < end:
        for made in cloud.calls[seen:]:
            if is_wanted(made):
                return made
        seen = len(cloud.calls)
        await asyncio.sleep(0.002)
    return None


async def restart(node, kill_after=None):
    process = node.process
    node.signal(signal.SIGTERM)
    if kill_after is not None:
        await asyncio.sleep(kill_after)
        if process.returncode is None:
            note("machine", node.name, "is killed (SIGKILL)")
            process.kill()
    await process.wait()
    await node.start()


def returns(calls):
    """Returns how long after the last call of a holder A, and calls of another one, A called again."""
    found = []
    for at in range(1, len(calls)):
        holder = calls[at][1]
        if calls[at - 1][1] == holder:
            continue
        before = [made for made in calls[:at] if made[1] == holder]
        if before:
            found.append((calls[at][0] - before[-1][0], holder, calls[at - 1][1], calls[at][3]))
    return found


async def main(trouble):
    async with Deployment(3) as d:
        tenants = [{"name": "guild-1", "api_keys": ["key-1"], "unit": "token", "uncached_tokens": 200, "rate_per_s": 280000, "burst": 280000}]
        d.store.put("op/config", config(7, [route("orders", "/order/", "unsafe", "ledger")], [service("ledger")], tenants))
        await Worker(d.store, "ledger", "a").start()
        await d.start()
        nodes = {node.name: node for node in d.nodes}
        for _ in range(ROUNDS):
            made = await next_call(d.cloud, lambda made: True, 12)
            if made is None:
                raise RuntimeError("no holder calls the platform")
            if not trouble:
                continue
            first = made[1]
            tasks = [asyncio.create_task(restart(nodes[first], KILL_AFTER_S))]
            made = await next_call(d.cloud, lambda made: made[1] != first, 8)
            if made is not None:
                tasks.append(asyncio.create_task(restart(nodes[made[1]])))
            await asyncio.gather(*tasks)
            for node in d.nodes:
                await node.wait_ready()
            await asyncio.sleep(3.5)
        found = returns(d.cloud.calls)
        for gap, holder, other, fence in found:
            is_broken = gap < LEASE_S
            note("holder %s, then %s, then %s again (fence %d) after %.3f s" % (holder, other, holder, fence, gap), "ONE" if is_broken else "")
        broken = sum(1 for gap, *_ in found if gap < LEASE_S)
        print("ONE: in %d of %d rounds holders acted in the order A, B, A inside %.1f s" % (broken, ROUNDS, LEASE_S))
        return broken > 0


run(main, FOLDER)
