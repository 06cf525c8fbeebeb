"""The owner is killed while an executor refuses all starts."""

import asyncio
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-3"))

from deployment import BOUNDS, Deployment, new_id, run_case  # noqa: E402
from workers import Worker  # noqa: E402

ROUTE = ("menu-plan", "/plans/", {})
LABEL = "b"
GREY_S = 6.5
SUBMISSIONS = 20


class GreyWorker(Worker):
    """Rejects starts while `grey`, with good answers to all else."""

    grey = False

    def run_start(self, order):
        if self.grey:
            return self.answer(503)
        return super().run_start(order)


async def play(deployment, trouble):
    rng = random.Random(14)
    fleet = deployment.fleet
    await deployment.start([ROUTE])
    await asyncio.sleep(4)
    owner = deployment.owner()
    front = next(each for each in deployment.daemons if each is not owner)
    special = next(each for each in deployment.workers
                   if LABEL in each.labels)
    deployment.note(f"owner {owner.node}, clients call {front.node}")
    work = {"spec": "menu plan", "steps": [
        {"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 500,
         "requires": LABEL}]}
    special.grey = trouble
    deployment.note(f"executor {special.id} rejects all starts: {trouble}")
    began = deployment.ms()
    accepted = {}
    for _ in range(SUBMISSIONS):
        each = new_id(rng)
        status, _ = await deployment.submit(front, ROUTE[1], each, work)
        if status == 200:
            accepted[each] = deployment.ms()
    await asyncio.sleep(0.4)
    if trouble:
        owner.signal(signal.SIGKILL)
    wrong = []
    # The value may be 2 s old, and acceptance may take `visible_ms` to show.
    wait_ms = BOUNDS["visible_ms"] + 2000
    while deployment.ms() < began + GREY_S * 1000 - 200:
        await asyncio.sleep(0.1)
        sent = deployment.ms()
        begun = {start[2].rsplit(".", 3)[0] for start in fleet.starts}
        due = [each for each, at in accepted.items()
               if at + wait_ms < sent and each not in begun]
        if not due:
            continue
        status, answer = await front.call("GET", ROUTE[1])
        if status == 200 and answer["pending"] * 2 < len(due):
            wrong.append(f"MIXED: at {sent} ms pending is "
                          f"{answer['pending']}; {len(due)} "
                         "submissions, accepted over "
                         f"{wait_ms} ms before, have not begun")
    deployment.note(f"{len(wrong)} answers were wrong")
    special.grey = False
    await asyncio.sleep(4)
    completed = 0
    for each in accepted:
        _, state = await deployment.state(front, ROUTE[1], each)
        completed += state == "completed"
    deployment.note(f"{completed} of {len(accepted)} submissions completed")
    return wrong[-1:]


if __name__ == "__main__":
    it = Deployment(os.path.join(HERE, "record.txt"),
                    ["arima", "chaguanas", "arima", "san-fernando",
                     "chaguanas", "san-fernando"])
    for i in range(12):
        GreyWorker(it.fleet, it.store, it.subnet + ".250", f"i-7f3a91c{i:x}",
                   ["arima", "chaguanas", "san-fernando"][i % 3], "dispatch",
                   [LABEL if i == 5 else "a", f"r1-{i // 4}"],
                   {"cpu": 16000, "memMb": 64000, "gpu": 0})
    run_case(play, it)
