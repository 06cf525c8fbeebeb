"""Executors as PROTOCOL.md describes them, each on a port of its own."""

import asyncio
import time

from http11 import Server

MAX_LISTED_ENDS = 500

# An executor with more runs than this looks at them less often.
MANY_RUNS = 200
MANY_RUNS_INTERVAL_S = 0.1


def split_task(name):
    submission, occurrence, step, index = name.rsplit(".", 3)
    return submission, int(occurrence), int(step), int(index)


class Run:
    def __init__(self, task, number, spec, checkpoint, now):
        self.task, self.number, self.spec = task, number, spec
        self.given = checkpoint
        self.checkpoint = checkpoint
        self.arrived = now
        self.began = None  # None while a gang is not complete
        self.base_ms = int(checkpoint[:8], 16) if checkpoint else 0
        self.pace = 100

    def progress_ms(self, now):
        return self.base_ms + (now - self.began if self.began else 0)


class Fleet:
    """What all executors share: the bounds, the plans and the record."""

    def __init__(self, bounds, plans, note, checkpoint_suffix=None):
        self.bounds, self.plans, self.note = bounds, plans, note
        self.workers = []
        self.starts = []   # (ms, worker, task, run, checkpoint, labels)
        self.ends = []     # (ms, worker, task, run, how)
        self.noted = []    # the same, for ends that lastSeen has reached
        self.checkpoint_suffix = checkpoint_suffix or (lambda task: task[4:12])

    def step_of(self, task):
        submission, _, step, _ = split_task(task)
        plan = self.plans.get(submission)
        return plan["steps"][step] if plan else {}

    def gang_members(self, task, number):
        """Returns the present members (worker, run) of a run of a gang."""
        group = task.rsplit(".", 1)[0]
        return [(worker, run) for worker in self.workers if worker.up
                for run in worker.runs.values()
                if run.number == number
                and run.task.rsplit(".", 1)[0] == group]

    def check_gang(self, task, number, now):
        """Lets a gang begin to work once all tasks of a run are present.

        All must carry the same checkpoint: with different ones there is no
        point from which they could go on together, and they wait.
        """
        members = self.gang_members(task, number)
        step = self.step_of(task)
        if (len(members) == step.get("count", 1)
                and len({run.given for _, run in members}) == 1):
            for _, run in members:
                run.began = now

    def end_gang(self, task, number, how, now):
        for worker, run in self.gang_members(task, number):
            worker.end(run.task, how, now)


class Worker:
    def __init__(self, fleet, store, ip, worker_id, zone, service, labels,
                 capacity):
        self.fleet, self.store = fleet, store
        self.id, self.zone, self.service = worker_id, zone, service
        self.labels, self.capacity = labels, capacity
        self.server = Server(ip, 0, self.handle)
        self.reaches_store = True
        self.draining = False
        self.up = False
        self.last_beat = None
        fleet.workers.append(self)

    # Life

    async def start(self):
        self.born = int(time.time() * 1000)
        self.began_at = time.monotonic()
        self.token = 0
        self.lease = 0
        self.runs = {}
        self.used = {"cpu": 0, "memMb": 0, "gpu": 0}
        self.advanced_at = 0
        self.refused = {}
        self.finished = []
        self.last_end = 0
        self.sequence = 0
        self.event = asyncio.Event()
        self.up = True
        await self.server.start()
        self.beat()

    def crash(self):
        """Ends the process: what runs there is gone, calls are reset."""
        self.up = False
        self.server.stop()
        now = self.now_wall()
        gangs = {(run.task, run.number) for run in self.runs.values()
                 if self.fleet.step_of(run.task).get("gang")}
        for run in self.runs.values():
            self.fleet.ends.append((now, self.id, run.task, run.number,
                                    "crashed"))
        self.runs = {}
        for task, number in gangs:
            self.fleet.end_gang(task, number, "broken", now)

    def now_wall(self):
        return int(time.monotonic() * 1000)

    def clock(self):
        return int((time.monotonic() - self.began_at) * 1000) + 1000

    def entry(self):
        return {"service": self.service,
                "address": f"{self.server.ip}:{self.server.port}",
                "zone": self.zone, "version": "v1", "slots": 8,
                "state": "draining" if self.draining else "ready",
                "coldLeftMs": 0, "capacity": self.capacity,
                "labels": self.labels, "clockMs": self.clock(),
                "born": self.born, "sequence": self.sequence}

    def beat(self):
        if self.up and self.reaches_store:
            self.sequence += 1
            self.last_beat = time.monotonic()
            self.store.put("servers/" + self.id, self.entry())

    def expire_entry(self, silence_s):
        if (self.last_beat is not None
                and time.monotonic() - self.last_beat > silence_s):
            self.store.remove("servers/" + self.id)
            self.last_beat = None

    # Work

    def reserve(self, step, sign):
        self.used["cpu"] += 0 if step.get("fills") else (
            sign * step.get("cpu", 0))
        self.used["memMb"] += sign * step.get("memMb", 0)
        self.used["gpu"] += sign * step.get("gpu", 0)

    def end(self, task, how, now):
        run = self.runs.pop(task, None)
        if run is None:
            return
        self.reserve(self.fleet.step_of(task), -1)
        self.last_end += 1
        self.refused[task] = max(self.refused.get(task, 0), run.number)
        self.finished.append([self.last_end, task, run.number, how,
                              run.checkpoint])
        self.fleet.ends.append((now, self.id, task, run.number, how))
        self.event.set()
        self.event = asyncio.Event()

    def advance(self):
        """Ends runs that are done, lapsed or alone; renews checkpoints."""
        if not self.up:
            return
        if len(self.runs) > MANY_RUNS:
            if time.monotonic() - self.advanced_at < MANY_RUNS_INTERVAL_S:
                return
            self.advanced_at = time.monotonic()
        now = self.now_wall()
        for task, run in list(self.runs.items()):
            if task not in self.runs:
                continue
            step = self.fleet.step_of(task)
            if self.lease < self.clock():
                if step.get("gang"):
                    self.end(task, "lapsed", now)
                    self.fleet.end_gang(task, run.number, "broken", now)
                else:
                    self.end(task, "lapsed", now)
                continue
            if run.began is None:
                if now - run.arrived >= self.fleet.bounds["gangWaitMs"]:
                    self.end(task, "alone", now)
                continue
            progress = run.progress_ms(now)
            period = int(self.fleet.bounds["checkpointS"] * 1000)
            if step.get("checkpointing") and progress >= period:
                saved = progress // period * period
                run.checkpoint = (f"{saved:08x}"
                                  + self.fleet.checkpoint_suffix(task))
            if step.get("longRunning"):
                continue
            if progress >= step.get("estimateMs", 1000):
                if step.get("gang"):
                    self.fleet.end_gang(task, run.number, "done", now)
                else:
                    self.end(task, "done", now)

    # Orders

    def answer(self, status=200, **more):
        body = {"clockMs": self.clock(), "born": self.born}
        body.update(more)
        return status, body

    async def handle(self, request):
        if not self.up:
            return None
        if request.headers.get("expected-instance", self.id) != self.id:
            return self.answer(421)
        order = request.json()
        token = order.get("fenceToken", 0)
        if token < self.token:
            return self.answer(409, reason="fence")
        self.token = token
        if "deadlineMs" in order:
            self.lease = max(self.lease, min(
                order["deadlineMs"],
                self.clock() + self.fleet.bounds["maxHoldMs"]))
        self.advance()
        if request.path == "/api/hold":
            return await self.hold(order)
        if request.path == "/api/run-start":
            return self.run_start(order)
        if request.path == "/api/run-stop":
            return self.run_stop(order)
        if request.path == "/api/pace":
            return self.answer()
        return self.answer(400)

    async def hold(self, order):
        seen = order.get("lastSeen", 0)
        while self.finished and self.finished[0][0] <= seen:
            _, task, number, how, _ = self.finished.pop(0)
            self.fleet.noted.append((self.now_wall(), self.id, task, number,
                                     how))
        loop = asyncio.get_running_loop()
        end = loop.time() + order.get("waitMs", 0) / 1000
        while not self.finished and loop.time() < end:
            try:
                await asyncio.wait_for(self.event.wait(), end - loop.time())
            except asyncio.TimeoutError:
                break
        if not self.up:
            return None
        self.advance()
        now = self.now_wall()
        rows = []
        for task, run in self.runs.items():
            step = self.fleet.step_of(task)
            if step.get("longRunning"):
                percent = 100
            else:
                percent = min(99, int(100 * run.progress_ms(now)
                                      / max(1, step.get("estimateMs", 1000))))
            rows.append([task, run.number, run.checkpoint, percent,
                         step.get("cpu", 0)])
        return self.answer(running=rows,
                           finished=self.finished[:MAX_LISTED_ENDS])

    def run_start(self, order):
        task, number = order["task"], order["runId"]
        if task in self.runs and self.runs[task].number == number:
            return self.answer()
        if order["deadlineMs"] < self.clock():
            return self.answer(409, reason="late")
        if number <= self.refused.get(task, 0) or task in self.runs:
            return self.answer(409, reason="old")
        step = self.fleet.step_of(task)
        self.reserve(step, 1)
        if any(self.used[each] > self.capacity[each] for each in self.used):
            self.reserve(step, -1)
            return self.answer(409, reason="room")
        now = self.now_wall()
        checkpoint = order.get("checkpoint", "")
        run = Run(task, number, order.get("spec", ""), checkpoint, now)
        self.runs[task] = run
        self.fleet.starts.append((now, self.id, task, number, checkpoint,
                                  list(self.labels)))
        self.fleet.note(f"start  {self.id} {task} run {number}"
                        + (f" checkpoint {checkpoint}" if checkpoint else ""))
        if step.get("gang"):
            self.fleet.check_gang(task, number, now)
        else:
            run.began = now
        return self.answer()

    def run_stop(self, order):
        task, number = order["task"], order["runId"]
        self.refused[task] = max(self.refused.get(task, 0), number)
        run = self.runs.get(task)
        if run and run.number <= number:
            now = self.now_wall()
            gang = self.fleet.step_of(task).get("gang")
            self.end(task, "stopped", now)
            if gang:
                self.fleet.end_gang(task, run.number, "broken", now)
        return self.answer()
