"""A small deployment on loopback: the project's daemons as processes, and
stand-ins for the platform's store, the executors, the operator and clients.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

from http11 import call
from store import Access, Store
from workers import Fleet, Worker

REPOSITORY = os.path.realpath(
    os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))

# The bounds of the site kallaloo-ops.
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "stableMs": 3000, "ackMs": 4000,
    "syncS": 4, "drainMs": 2500, "graceS": 6, "lossSlackMs": 200,
    "configApplyMs": 2500, "rollbackSlackMs": 250, "maxSkewMs": 5000,
    "coldBurst": 1.5, "coldSlack": 5, "evacuateMs": 5000, "recoveryS": 12,
    "maxHoldMs": 10000, "stopGraceMs": 900, "gangWaitMs": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
    "status_s": 120, "remoteFactor": 3, "checkpointS": 2, "restoreMs": 100,
    "noticeMs": 4500, "migrateS": 1.5, "maintenanceS": 2,
    "requireFencing": False, "leaseMs": 3000, "thawSlackMs": 300,
    "paceMs": 100, "impactMs": 4000}

ZONES = {"arima": "north", "chaguanas": "north", "san-fernando": "south"}
SERVICE = "dispatch"
HOST = "plans.example"
HEARTBEAT_MS = 1500
STORE_ANSWER_MS = 4


def new_id(rng):
    return f"{rng.getrandbits(64):016x}"


class Daemon:
    """One process of the project's scheduler on an address of its own."""

    def __init__(self, deployment, number, zone):
        self.deployment, self.zone = deployment, zone
        self.region = ZONES[zone]
        self.node = f"edge-{zone}-{number}"
        self.ip = f"{deployment.subnet}.{11 + number}"
        self.access = Access(deployment.store, self.ip, 0, STORE_ANSWER_MS)
        self.process = None
        self.log_path = os.path.join(deployment.folder, self.node + ".log")

    def settings(self):
        ports = self.deployment.ports
        return {
            "nodeName": self.node, "role": "scheduler", "machineClass": "edge",
            "serves": ["edge"], "ip": self.ip, "zone": self.zone,
            "region": self.region, "zones": ZONES,
            "listenAddrs": {"front": f"{self.ip}:{ports[0]}",
                            "ready": f"{self.ip}:{ports[1]}"},
            "portRange": [ports[2], ports[2] + 15], "seeds": [],
            "bootstrap": True, "lossCounts": False,
            "limits": {"cpuShare": self.deployment.cpu_share, "cores": 1,
                       "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0,
                       "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip",
            "heartbeatMs": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "recover",
                          "sched", "places", "platform"],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS, "orders": "invocation",
            "platform": {
                "address": f"{self.ip}:{self.access.server.port}",
                "form": "kv", "writesPerS": 400, "readsPerS": 2000,
                "retentionS": 20,
                "valueBytes": self.deployment.store.value_bytes,
                "minTtlMs": 1000}}

    async def start(self):
        if self.access.server.server is None:
            await self.access.server.start()
        path = os.path.join(self.deployment.folder, self.node + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(), file)
        environment = {"JAYDRIFT_CONFIG": path, "PATH": os.environ["PATH"],
                       "HOME": os.environ.get("HOME", "/"), "LANG": "C"}
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.deployment.command, cwd=REPOSITORY, env=environment,
                stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL)
        self.deployment.note(f"daemon {self.node} started")

    def running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.running():
            self.deployment.note(
                f"daemon {self.node} gets {signal.Signals(number).name}")
            os.kill(self.process.pid, number)

    async def call(self, method, target, body=None, timeout_ms=3000,
                   host=HOST):
        """One request of a client to this daemon."""
        sent = self.deployment.ms()
        status, answer = await call(self.ip, self.deployment.ports[0], method,
                                    target, host, body, timeout_ms)
        self.deployment.note(
            f"client {method} {target} at {self.node}, sent {sent}: "
            f"{status} {json.dumps(answer)[:120]}")
        return status, answer

    async def ready(self):
        status, _ = await call(self.ip, self.deployment.ports[1], "GET",
                               "/api/ready", self.ip, None, 500)
        return status == 200


class Deployment:
    def __init__(self, record_path, zones, value_bytes=1048576, cpu_share=0.1,
                 checkpoint_suffix=None):
        self.record = open(record_path, "w", encoding="utf-8")
        self.began = time.monotonic()
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"),
                  "rb") as file:
            roles = tomllib.load(file)["roles"]
        self.command = next(iter(roles.values()))["run"].split()
        self.command[0] = os.path.join(REPOSITORY, self.command[0])
        if not os.path.exists(self.command[0]):
            raise RuntimeError("the scheduler is not built: "
                               + self.command[0])
        self.folder = tempfile.mkdtemp(prefix="jaydrift-review-")
        # A network of its own in the loopback range, so that the daemons can
        # use the same ports, as in production.
        self.subnet = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        self.cpu_share = cpu_share
        self.ports = self._free_ports()
        self.store = Store(value_bytes)
        self.plans = {}
        self.fleet = Fleet(BOUNDS, self.plans, self.note, checkpoint_suffix)
        self.daemons = [Daemon(self, number, zone)
                        for number, zone in enumerate(zones)]
        self.workers = self.fleet.workers
        self.version = 0
        self.tasks = []

    def _free_ports(self):
        """Three free ports; the third begins a free range."""
        base = random.randint(20000, 28000)
        for port in range(base, base + 3000, 20):
            try:
                for offset in (0, 1, 2):
                    with socket.socket() as probe:
                        probe.bind((self.subnet + ".11", port + offset))
            except OSError:
                continue
            return port, port + 1, port + 2
        raise RuntimeError("no free ports")

    def ms(self):
        return int((time.monotonic() - self.began) * 1000)

    def note(self, text):
        self.record.write(f"{self.ms():7d} {text}\n")

    def add_worker(self, worker_id, zone, labels, capacity=None):
        return Worker(self.fleet, self.store, self.subnet + ".250", worker_id,
                      zone, SERVICE, labels,
                      capacity or {"cpu": 16000, "memMb": 64000, "gpu": 0})

    def put_config(self, routes):
        """The operator writes a manifest; `routes` are (name, prefix, more)."""
        self.version += 3
        rows = []
        for name, prefix, more in routes:
            row = {"name": name, "host": HOST, "prefix": prefix,
                   "type": "non_idempotent", "timeoutMs": 3000,
                   "targetLatencyMs": 1000, "priority": 0, "service": SERVICE,
                   "attempts": 4, "slackFactor": 2.0, "allowedRegions": []}
            row.update(more)
            rows.append(row)
        self.store.put("op/config", {
            "version": self.version, "routes": rows,
            "services": [{"name": SERVICE, "healthPath": "/health",
                          "maxConns": 64, "protocol": "h1", "tls": False,
                          "coldStartS": 0.0, "coldPerS": 0.0,
                          "rejectsOverload": True, "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
        self.note(f"operator: version {self.version} is acknowledged, routes "
                  + " ".join(prefix for _, prefix, _ in routes))

    async def start(self, routes):
        for worker in self.workers:
            await worker.start()
        self.tasks.append(asyncio.create_task(self._run_workers()))
        self.put_config(routes)
        for daemon in self.daemons:
            await daemon.start()
        await self.until(self._all_ready, 15, "all daemons are ready")
        await self.until(lambda: self.owner() is not None, 15,
                         "the shard has an owner")

    async def _all_ready(self):
        return all([await daemon.ready() for daemon in self.daemons])

    async def until(self, condition, limit_s, what):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.02)
        raise RuntimeError("did not happen: " + what)

    async def _run_workers(self):
        next_beat = {}
        while True:
            now = time.monotonic()
            for worker in self.workers:
                worker.advance()
                if now >= next_beat.get(worker.id, 0):
                    next_beat[worker.id] = now + HEARTBEAT_MS / 1000
                    worker.beat()
                worker.expire_entry(3 * HEARTBEAT_MS / 1000)
            await asyncio.sleep(0.01)

    def owner(self, shard=0):
        """The daemon that the owner record of the shard names."""
        record = self.store.value(f"jaydrift/coordination/owner/{shard}")
        if not record:
            return None
        return next((daemon for daemon in self.daemons
                     if daemon.node in json.dumps(record)), None)

    async def submit(self, daemon, prefix, submission_id, work,
                     timeout_ms=3000):
        self.plans.setdefault(submission_id, work)
        return await daemon.call("POST", prefix + submission_id, work,
                                 timeout_ms)

    async def state(self, daemon, prefix, submission_id):
        status, answer = await daemon.call("GET", prefix + submission_id)
        return status, (answer or {}).get("state") if isinstance(
            answer, dict) else None

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons:
            if daemon.running():
                os.kill(daemon.process.pid, signal.SIGCONT)
                daemon.process.kill()
                await daemon.process.wait()
            daemon.access.server.stop()
        for worker in self.workers:
            worker.server.stop()
        self.record.close()
        if os.environ.get("KEEP") == "1":
            print("logs of the daemons:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case, deployment):
    """Runs `case(deployment, trouble)`, which returns what broke the rule.

    Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
    run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        try:
            broken = await case(deployment, trouble)
            for line in broken:
                deployment.note("BROKEN " + line)
            deployment.note("the rule was broken" if broken
                            else "the rule held")
            return broken
        finally:
            await deployment.stop()

    try:
        broken = asyncio.run(asyncio.wait_for(play(), 115))
    except Exception as error:  # pylint: disable=broad-except
        print("the case could not run:", repr(error))
        sys.exit(2)
    for line in broken:
        print("BROKEN", line)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
