"""A nested route is added while one daemon is frozen."""

import asyncio
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-3"))

from deployment import BOUNDS, Deployment, new_id, run_case  # noqa: E402

PARENT = ("menu-plan", "/plans/", {})
CHILD = ("weekly-plan", "/plans/weekly/", {})


async def play(deployment, trouble):
    rng = random.Random(5)
    await deployment.start([PARENT])
    await asyncio.sleep(4)
    owner = deployment.owner()
    # The daemon of the owner's region that reads the manifest for the others.
    frozen = min((each for each in deployment.daemons
                  if each.region == owner.region and each is not owner),
                 key=lambda each: each.node)
    front = next(each for each in deployment.daemons
                 if each.region != owner.region)
    deployment.note(f"owner {owner.node}, clients call {front.node}")
    if trouble:
        frozen.signal(signal.SIGSTOP)
    deployment.put_config([PARENT, CHILD])
    await asyncio.sleep(0.1)
    accepted = {}
    work = {"spec": "weekly plan", "steps": [
        {"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 500}]}
    for _ in range(8):
        each = new_id(rng)
        status, _ = await deployment.submit(front, CHILD[1], each, work)
        if status == 200:
            accepted[each] = deployment.ms()
        await asyncio.sleep(0.02)
    await asyncio.sleep(3)
    if trouble:
        frozen.signal(signal.SIGCONT)
    await asyncio.sleep(2)
    broken = []
    for each in accepted:
        assert deployment.ms() - accepted[each] > BOUNDS["visible_ms"]
        status, state = await deployment.state(front, CHILD[1], each)
        if status == 410:
            broken.append(f"LOST: {each} was accepted at {accepted[each]} ms "
                          f"and is answered 410 by {front.node}")
    sent = set(deployment.plans)
    unasked = [start for start in deployment.fleet.starts
               if start[2].rsplit(".", 3)[0] not in sent]
    if unasked:
        broken.append(f"UNASKED: {len(unasked)} starts of what no client sent;"
                      f" the first is {unasked[0][2]} on {unasked[0][1]}")
    return broken


if __name__ == "__main__":
    it = Deployment(os.path.join(HERE, "record.txt"),
                    ["arima", "chaguanas", "arima", "san-fernando",
                     "san-fernando", "san-fernando"])
    for i in range(12):
        it.add_worker(f"i-7f3a91c{i:x}",
                      ["arima", "chaguanas", "san-fernando"][i % 3],
                      ["a", f"r1-{i // 4}"])
    run_case(play, it)
