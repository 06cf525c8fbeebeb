"""Stand-ins of the platform for the script cases of the second review.

One asyncio process holds the store, the executors and the clients. The daemons
are separate processes that are started with the commands of the deploy file.
All addresses are loopback addresses; each daemon and each executor has one of
its own.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

# Exit statuses of case.py. An error of Python itself exits with 1, so run.sh
# maps these to the statuses of a case.
HELD, COULD_NOT_RUN, BROKEN = 0, 2, 10

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


def now_ms():
    return int(time.monotonic() * 1000)


def unix_ms():
    return int(time.time() * 1000)


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.start = time.monotonic()

    def seconds(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.seconds():8.3f} {text}\n")


# --- HTTP -------------------------------------------------------------------

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected", 400: "Bad Request",
           503: "Service Unavailable"}


class Server:
    """HTTP/1.1 server; `handle(method, target, headers, body)` is awaited and
    returns (status, object), or None to close the connection unanswered."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def listen(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, target, _ = line.decode("latin-1").split(" ", 2)
                headers = {}
                while True:
                    field = (await reader.readline()).decode("latin-1").strip()
                    if not field:
                        break
                    name, value = field.split(":", 1)
                    headers[name.lower()] = value.strip()
                body = await reader.readexactly(
                    int(headers.get("content-length", 0)))
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    break
                status, content = answer
                data = b"" if content is None else json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def abort(self):
        """Closes the port and resets all connections, as a crash does."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


async def request(host, port, method, target, headers=None, body=None,
                  timeout=3.0):
    """One request on a connection of its own. Returns (status, object), or
    (None, reason) if there was no complete answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {target} HTTP/1.1", "Connection: close",
                     f"Content-Length: {len(data)}"]
            if data:
                lines.append("Content-Type: application/json")
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            raw = await reader.read()
        head, _, content = raw.partition(b"\r\n\r\n")
        if not head:
            return None, "closed"
        status = int(head.split(b" ", 2)[1])
        try:
            return status, json.loads(content) if content else None
        except ValueError:
            return status, None
    except (OSError, asyncio.TimeoutError, TimeoutError) as error:
        return None, type(error).__name__
    finally:
        if writer:
            writer.close()


# --- Store ------------------------------------------------------------------


class Store:
    """The platform's store: linearizable, one revision counter, watches."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.server = Server(self.handle)

    def put(self, key, value):
        self.revision += 1
        self._put(key, base64.b64encode(value).decode())
        self._notify()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            self._remove(key)
            self._notify()

    def _put(self, key, value):
        old = self.items.get(key)
        item = {"key": key, "value": value, "revision": self.revision,
                "created": old["created"] if old else self.revision, "lease": 0}
        self.items[key] = item
        self.history.append(item)

    def _remove(self, key):
        if self.items.pop(key, None):
            self.history.append({"key": key, "revision": self.revision,
                                 "deleted": True})

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(
            url.query, keep_blank_values=True).items()}
        if url.path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (200, item | {"atRev": self.revision}) if item \
                else (404, {"atRev": self.revision})
        if url.path == "/api/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"])
                          and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "hasMore": len(keys) > 500, "atRev": self.revision}
        if url.path == "/api/kv-watch":
            return await self.watch(query)
        if url.path == "/api/kv-txn":
            return self.transact(json.loads(body))
        return 400, {}

    async def watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changed = self.changed
            events = [e for e in self.history if e["revision"] > after
                      and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "atRev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except (asyncio.TimeoutError, TimeoutError):
                pass

    def transact(self, call):
        current = {e["key"]: self.items.get(e["key"]) for e in call["expected"]}
        if any((current[e["key"]] or {"revision": 0})["revision"]
               != e["revision"] for e in call["expected"]):
            return 412, {"items": [i or {"key": k, "revision": 0}
                                   for k, i in current.items()]}
        if call.get("puts") or call.get("remove"):
            self.revision += 1
            for each in call.get("puts", []):
                self._put(each["key"], each["value"])
            for key in call.get("remove", []):
                self._remove(key)
            self._notify()
        return 200, {"revision": self.revision}


# --- Executors --------------------------------------------------------------


class Run:
    def __init__(self, name, number, step, checkpoint):
        self.name = name
        self.number = number
        self.step = step
        self.given = checkpoint
        self.saved = checkpoint
        self.began = now_ms()
        # Start of its work; a member of a gang waits for the others.
        self.works_since = None if step.get("gang") else self.began
        self.worked_before = self.work_in(checkpoint)

    @staticmethod
    def work_in(checkpoint):
        return int(checkpoint[:8], 16) if checkpoint else 0

    def worked(self, now):
        return self.worked_before + (now - self.works_since
                                     if self.works_since is not None else 0)


class Executor:
    """Runs tasks as PROTOCOL.md says under "Running tasks"."""

    def __init__(self, world, ident, host, port, rack, capacity, zone):
        self.world = world
        self.id = ident
        self.host, self.port = host, port
        self.rack, self.capacity, self.zone = rack, capacity, zone
        self.server = Server(self.handle)
        self.up = False
        self.beats = None

    async def start(self):
        self.up = True
        self.born = unix_ms()
        self.clock_zero = now_ms() - 1000
        self.token = 0
        self.deadline = 0
        self.runs = {}
        self.finished = []
        self.last_end = 0
        self.highest_ended = {}
        self.sequence = 0
        self.answered_at = 0
        self.end_listed = asyncio.Event()
        await self.server.listen(self.host, self.port)
        self.beats = asyncio.create_task(self.beat())
        self.world.record(f"executor {self.id} starts at {self.host}:"
                          f"{self.port}")

    def crash(self):
        ran = [f"{r.name} run {r.number} saved '{r.saved}'"
               for r in self.runs.values()]
        self.world.record(f"executor {self.id} crashes, it ran "
                          + ", ".join(ran))
        self.up = False
        self.server.abort()
        self.beats.cancel()
        gone, self.runs = self.runs, {}
        for run in gone.values():
            self.world.member_ended(run)

    async def beat(self):
        while True:
            self.sequence += 1
            self.world.store.put("servers/" + self.id, json.dumps({
                "service": self.world.service, "address":
                f"{self.host}:{self.port}", "zone": self.zone, "version": "v1",
                "slots": 8, "state": "ready", "coldLeftMs": 0, "capacity":
                self.capacity, "labels": ["a", self.rack], "clockMs":
                self.clock(), "sequence": self.sequence,
                "born": self.born}).encode())
            await asyncio.sleep(1.5)

    def clock(self):
        return now_ms() - self.clock_zero

    def end(self, run, how):
        self.runs.pop(run.name, None)
        self.last_end += 1
        self.finished.append([self.last_end, run.name, run.number, how,
                              "" if how == "done" else run.saved])
        self.highest_ended[run.name] = max(
            self.highest_ended.get(run.name, 0), run.number)
        self.world.record(f"executor {self.id}: {run.name} run {run.number} "
                          f"ends {how}, saved '{run.saved}'")
        self.world.ended(self, run, how)
        self.end_listed.set()
        self.end_listed = asyncio.Event()

    def free(self):
        used = {"cpu": 0, "memMb": 0}
        for run in self.runs.values():
            if not run.step.get("fills"):
                used["cpu"] += run.step.get("cpu", 0)
            used["memMb"] += run.step.get("memMb", 0)
        return {k: self.capacity[k] - used[k] for k in used}

    async def handle(self, method, target, headers, body):
        if headers.get("expected-instance") != self.id:
            return 421, None
        if method != "POST":
            return 400, None
        call = json.loads(body)
        stamp = {"clockMs": self.clock(), "born": self.born}
        token = call.get("fenceToken", 0)
        if token < self.token:
            return 409, stamp | {"reason": "fence"}
        self.token = token
        if "deadlineMs" in call:
            self.deadline = max(self.deadline, min(
                call["deadlineMs"], self.clock() + self.world.max_hold))
        if target == "/api/hold":
            return await self.hold(call)
        if target == "/api/run-start":
            return self.run_start(call, stamp)
        if target == "/api/run-stop":
            name, number = call["task"], call["runId"]
            self.highest_ended[name] = max(self.highest_ended.get(name, 0),
                                           number)
            run = self.runs.get(name)
            self.world.record(f"executor {self.id}: told to stop {name} run "
                              f"{number}")
            if run and run.number <= number:
                self.save(run)
                self.end(run, "stopped")
            return 200, stamp
        return 200, stamp

    def run_start(self, call, stamp):
        name, number = call["task"], call["runId"]
        step = self.world.step_of(name)
        run = self.runs.get(name)
        if run and run.number == number:
            return 200, stamp
        if call["deadlineMs"] < self.clock():
            return 409, stamp | {"reason": "late"}
        if number <= self.highest_ended.get(name, 0) or run:
            return 409, stamp | {"reason": "old"}
        if step is None:
            self.world.record(f"executor {self.id}: UNASKED {name}")
            return 400, stamp
        free = self.free()
        if step.get("memMb", 0) > free["memMb"] or (
                not step.get("fills") and step.get("cpu", 0) > free["cpu"]):
            return 409, stamp | {"reason": "room"}
        run = Run(name, number, step, call.get("checkpoint", ""))
        self.runs[name] = run
        self.world.record(f"executor {self.id}: starts {name} run {number} "
                          f"checkpoint '{run.given}'")
        self.world.started(self, run)
        return 200, stamp

    async def hold(self, call):
        self.finished = [e for e in self.finished if e[0] > call["lastSeen"]]
        end = now_ms() + min(call.get("waitMs", 0), 2000)
        while not self.finished and now_ms() < end and self.up:
            try:
                await asyncio.wait_for(self.end_listed.wait(),
                                       (end - now_ms()) / 1000)
            except (asyncio.TimeoutError, TimeoutError):
                pass
        if not self.up:
            return None
        self.step_runs()
        self.answered_at = now_ms()
        running = []
        for run in self.runs.values():
            last = run.step.get("longRunning")
            percent = (100 if last else min(99, run.worked(now_ms()) * 100
                                            // run.step["_work"]))
            running.append([run.name, run.number, run.saved, percent,
                            run.step.get("cpu", 0)])
        return 200, {"clockMs": self.clock(), "born": self.born,
                     "running": running, "finished": self.finished[:500]}

    def save(self, run):
        """Produces the checkpoint of the work done so far."""
        if run.step.get("checkpointing") and run.works_since is not None:
            run.saved = self.world.checkpoint(run, run.worked(now_ms()))

    def step_runs(self):
        now = now_ms()
        for run in list(self.runs.values()):
            if self.runs.get(run.name) is not run:
                continue
            if self.clock() > self.deadline:
                self.end(run, "lapsed")
                continue
            if run.works_since is None:
                if now - run.began > self.world.gang_wait:
                    self.end(run, "alone")
                continue
            worked = run.worked(now)
            if run.step.get("checkpointing"):
                period = self.world.checkpoint_ms
                at = run.worked_before + (
                    (worked - run.worked_before) // period) * period
                if at > run.worked_before:
                    run.saved = self.world.checkpoint(run, at)
            if worked >= run.step["_work"] and not run.step.get("longRunning"):
                self.end(run, "done")


# --- The deployment ---------------------------------------------------------


class World:
    """A small deployment: store, executors, daemons, one queue."""

    service = "dispatch-a"
    host = "queue.example"
    prefix = "/queue/"
    max_hold = 10000
    gang_wait = 3000
    checkpoint_ms = 2000
    cpu_share = 0.25

    def __init__(self, folder, daemons=3):
        self.folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.store = Store()
        self.executors = {}
        self.submissions = {}
        self.processes = {}
        self.daemon_count = daemons
        self.gangs = {}
        self.alone = []
        self.work = tempfile.mkdtemp(prefix="jaydrift-review-")
        self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"

    # Names and ports.

    def address_free(self, host, port):
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
                return True
            except OSError:
                return False

    async def begin(self, executors, capacity, attempts=4):
        self.store_host = f"{self.net}.1"
        self.ports = self.free_ports()
        await self.store.server.listen(self.store_host, self.ports["store"])
        self.store.put("op/config", json.dumps({
            "version": 7, "routes": [{
                "name": "r-a", "host": self.host, "prefix": self.prefix,
                "type": "non_idempotent", "timeoutMs": 3000,
                "targetLatencyMs": 1000, "priority": 0, "service": self.service,
                "attempts": attempts, "slackFactor": 2.0,
                "allowedRegions": []}],
            "services": [{"name": self.service, "healthPath": "/health",
                          "maxConns": 64, "protocol": "h1", "tls": False,
                          "coldStartS": 0.0, "coldPerS": 0.0,
                          "rejectsOverload": True, "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        }).encode())
        for i in range(executors):
            await self.add_executor(i, capacity)
        self.ticker = asyncio.create_task(self.tick())
        for i in range(self.daemon_count):
            self.start_daemon(i)
        await self.wait_ready()

    def free_ports(self):
        while True:
            base = random.randint(20000, 29000)
            ports = {"store": base, "front": base + 1, "ready": base + 2,
                     "control": base + 3, "peer": base + 4,
                     "executor": base + 9}
            hosts = [f"{self.net}.{n}" for n in
                     [1] + [10 + i for i in range(self.daemon_count)]]
            if all(self.address_free(h, p) for h in hosts
                   for p in ports.values()):
                return ports

    async def add_executor(self, index, capacity, life=0):
        ident = f"i-{index:02d}{life:02d}" + "%06x" % random.randrange(1 << 24)
        executor = Executor(self, ident, f"{self.net}.{100 + index}",
                            self.ports["executor"] + life, f"r1-{index // 2}",
                            capacity, ["z1", "z2", "z3"][index % 3])
        executor.index = index
        executor.life = life
        self.executors[index] = executor
        await executor.start()
        return executor

    # Daemons.

    def daemon_host(self, i):
        return f"{self.net}.{10 + i}"

    def start_daemon(self, i):
        ip = self.daemon_host(i)
        settings = {
            "nodeName": f"edge-z{i + 1}-1", "role": "scheduler",
            "machineClass": "edge", "serves": ["edge"], "ip": ip,
            "zone": f"z{i + 1}", "region": "north",
            "zones": {"z1": "north", "z2": "north", "z3": "north"},
            "listenAddrs": {n: f"{ip}:{self.ports[n]}"
                            for n in ("front", "ready", "control")},
            "portRange": [self.ports["peer"], self.ports["peer"]],
            "seeds": [], "bootstrap": True, "lossCounts": False,
            "limits": {"cpuShare": self.cpu_share, "cores": 1, "memoryMb": 260,
                       "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip",
            "heartbeatMs": 1500, "contracts": ["base", "drain", "config",
                                               "recover", "sched", "platform"],
            "bounds": {"stableMs": 3000, "ackMs": 4000, "graceS": 6,
                       "maxHoldMs": self.max_hold, "stopGraceMs": 900,
                       "gangWaitMs": self.gang_wait, "cancel_ms": 3000,
                       "visible_ms": 3000, "finish_s": 14, "status_s": 120,
                       "checkpointS": self.checkpoint_ms / 1000,
                       "restoreMs": 100, "leaseMs": 3000},
            "orders": "invocation",
            "platform": {"address": f"{self.store_host}:{self.ports['store']}",
                         "form": "kv", "writesPerS": 400, "readsPerS": 2000,
                         "retentionS": 20, "valueBytes": 1048576,
                         "minTtlMs": 1000}}
        path = os.path.join(self.work, f"settings-{i}.json")
        with open(path, "w") as file:
            json.dump(settings, file)
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            run = tomllib.load(file)["roles"]["scheduler"]["run"].split(" ")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
                       if k in os.environ} | {"JAYDRIFT_CONFIG": path}
        log = open(os.path.join(self.work, f"daemon-{i}.log"), "ab")
        self.processes[i] = subprocess.Popen(
            run, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log)
        self.record(f"daemon {i} starts, pid {self.processes[i].pid}")

    def signal_daemon(self, i, number):
        process = self.processes[i]
        if process.poll() is None:
            self.record(f"daemon {i} gets {signal.Signals(number).name}")
            process.send_signal(number)

    def owner(self):
        """Number of the daemon that the store names as the owner; None."""
        item = self.store.items.get("jaydrift/coordination/owner/0")
        if item:
            node = json.loads(base64.b64decode(item["value"])).get("node", "")
            for i in range(self.daemon_count):
                if node == f"edge-z{i + 1}-1":
                    return i
        return None

    async def wait_ready(self):
        end = time.monotonic() + 20
        for i in range(self.daemon_count):
            while True:
                status, _ = await request(self.daemon_host(i),
                                          self.ports["ready"], "GET",
                                          "/api/ready", timeout=1.0)
                if status == 200:
                    break
                if time.monotonic() > end:
                    raise RuntimeError("the daemons are not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    async def run(self, case, limit_s):
        """Awaits the case and returns its exit status.
        Ends all daemons in any case, also after SIGTERM."""
        task = asyncio.ensure_future(case)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(task, limit_s)
        except (Exception, asyncio.CancelledError) as error:
            self.record(f"could not run: {type(error).__name__} {error}")
            return COULD_NOT_RUN
        finally:
            self.close()

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for executor in self.executors.values():
            executor.server.abort()
        shutil.rmtree(self.work, ignore_errors=True)

    # Work.

    def step_of(self, name):
        ident, _, step, _ = name.split(".")
        work = self.submissions.get(ident)
        return work["steps"][int(step)] if work else None

    async def tick(self):
        while True:
            for executor in list(self.executors.values()):
                if executor.up:
                    executor.step_runs()
            await asyncio.sleep(0.01)

    def checkpoint(self, run, worked):
        """The same for all members of a gang at the same work."""
        return "%08x" % worked + run.name.split(".")[0][:8]

    @staticmethod
    def gang_key(run):
        ident, occurrence, step, _ = run.name.split(".")
        return ident, occurrence, step, run.number

    def started(self, executor, run):
        if not run.step.get("gang"):
            return
        members = self.gangs.setdefault(self.gang_key(run), {})
        members[run.name] = (executor, run)
        # All members must carry the same checkpoint, so that they go on from
        # the same point; else they cannot work together.
        if len(members) == run.step.get("count", 1) \
                and len({r.given for _, r in members.values()}) == 1:
            for _, member in members.values():
                member.works_since = now_ms()

    def ended(self, executor, run, how):
        if not run.step.get("gang"):
            return
        if how == "alone":
            self.alone.append((self.record.seconds(), run.name, run.number,
                               run.given))
        if how == "done":
            self.end_members(run, "done")
        else:
            self.member_ended(run)

    def member_ended(self, run):
        """A member has ended otherwise: those that work with it end too."""
        if run.step.get("gang"):
            members = self.gangs.get(self.gang_key(run), {})
            members.pop(run.name, None)
            if run.works_since is not None:
                self.end_members(run, "broken")

    def end_members(self, run, how):
        members = self.gangs.pop(self.gang_key(run), {})
        for executor, member in members.values():
            if member is not run and executor.runs.get(member.name) is member:
                executor.end(member, how)

    # Clients.

    async def call(self, daemon, method, ident, body=None):
        headers = {"Host": self.host, "Request-Timeout": "3000"}
        status, content = await request(
            self.daemon_host(daemon), self.ports["front"], method,
            self.prefix + ident, headers, body)
        self.record(f"client: {method} {ident} at daemon {daemon} -> {status} "
                    f"{content if content else ''}")
        return status, content

    async def submit(self, ident, steps, work_ms, **more):
        """Hands a submission in, with up to 4 repetitions."""
        sent = [dict(s) for s in steps]
        self.submissions[ident] = {"steps": [
            s | {"_work": w} for s, w in zip(sent, work_ms)]}
        for attempt in range(5):
            status, _ = await self.call(
                (hash(ident) + attempt) % self.daemon_count, "POST", ident,
                {"spec": "text", "steps": sent} | more)
            if status and 200 <= status < 300:
                return True
            await asyncio.sleep(1.0)
        return False

    async def state(self, ident, daemon=0):
        status, content = await self.call(daemon, "GET", ident)
        return content.get("state") if status == 200 and content else None


def new_id():
    return "%016x" % random.getrandbits(64)
