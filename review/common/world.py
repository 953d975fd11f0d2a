"""A small deployment on loopback addresses: nodes as processes, and the platform around them."""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from common.http import call
from common.store import Store
from common.worker import Tasks, Worker

ROOT = Path(__file__).resolve().parents[2]
RESTART_S = 0.5
"""Delay after which the platform starts a process again that has ended."""

START_TIMEOUT_S = 20.0

MEMORY_MB = 300
"""`memoryMb` of the settings; a process that exceeds it is killed."""

BROKEN, HELD, NOT_RUN = 3, 0, 2
"""Exit codes of a case; Python itself ends with 1 on an error, so run.sh turns 3 into 1."""

QUEUES = {
    "entry-check": {"priority": 0, "maxAttempts": 3, "targetCompletionMs": 600, "stretch": 1.5},
    "plot-draw": {"priority": 2, "maxAttempts": 3, "targetCompletionMs": 1000, "stretch": 2.0},
    "coop-sync": {"priority": 0, "maxAttempts": 4, "targetCompletionMs": 3000, "stretch": 2.2},
}
HOST = "nony24.example"

ENDS = ("done", "failed", "lapsed", "stopped", "broken", "alone", "lost")

PROBE_STEP = {"count": 1, "cpu": 3500, "memMb": 6400, "estimatedMs": 2200}
PROBE = [PROBE_STEP, *({**PROBE_STEP, "after": [number]} for number in range(4))]
"""A chain of 5 steps, the most that the site file has, of tasks of 2.2 s."""

PROBE_WORK_S = 2.2

SETTINGS = """\
node = "{name}"
role = "node"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "z1"
region = "r1"
internalPorts = [7720, 7735]
seedNodes = []
bootstrap = true
heartbeatMs = 1500
orders = "call"
[zones]
z1 = "r1"
[listenAddrs]
front = "{ip}:8161"
readyAddr = "{ip}:8167"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = {memory_mb}
maxFds = 4100
[bounds]
contactMs = 4000
ackTimeoutMs = 5000
graceS = 6
configApplyMs = 3000
maxHoldMs = 6000
stopTimeoutMs = 900
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
checkpointIntervalS = 0.5
[platform]
address = "{store}"
form = "table"
writesPerS = 800
readsPerS = 2000
txnTimeoutMs = 8.0
writeOpsS = 150
maxRowBytes = 65536
historyS = 20
"""


class CannotRunError(Exception):
    """The case could not run, so it says nothing."""


class Node:
    """One process of the deploy file; the platform starts it again when it ends."""

    def __init__(self, *, name: str, ip: str, store: str, folder: Path, world: "World") -> None:
        self.name, self.ip = name, ip
        self.front = f"{ip}:8161"
        self.ready = f"{ip}:8167"
        self._folder, self._world = folder, world
        self.settings = folder / f"{name}.toml"
        self.settings.write_text(
            SETTINGS.format(name=name, ip=ip, store=store, memory_mb=MEMORY_MB)
        )
        self.process: subprocess.Popen[bytes] | None = None
        self.keep = True
        self.ends: list[int] = []

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split()
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"FESCUERUDDER_NODE_FILE": str(self.settings), "PYTHONPATH": "target/deps:."}
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=subprocess.STDOUT
            )
        self._world.record("node", self.name, "started", pid_of_run=len(self.ends) + 1)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, which this script started."""
        assert self.process is not None
        if self.process.poll() is None:
            self._world.record("node", self.name, number.name)
            self.process.send_signal(number)

    def memory_mb(self) -> float:
        """Returns the resident memory of the process."""
        if self.process is None:
            return 0.0
        try:
            pages = Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]
        except (OSError, IndexError):
            return 0.0
        return int(pages) * os.sysconf("SC_PAGE_SIZE") / 2**20

    async def watch(self) -> None:
        """Kills the process if it exceeds its memory, and starts it again after each end."""
        while True:
            await asyncio.sleep(0.02)
            if self.process is not None and self.memory_mb() > MEMORY_MB:
                self._world.record("node", self.name, "over its memory", mb=int(self.memory_mb()))
                self.process.kill()
                self.process.wait()
            if self.process is None or self.process.poll() is None:
                continue
            code = self.process.returncode
            self.process = None
            self.ends.append(code)
            self._world.record("node", self.name, "ended", code=code)
            if self.keep:
                await asyncio.sleep(RESTART_S)
                self.start()

    def log_events(self) -> list[dict[str, Any]]:
        """Returns the log lines of the process so far, which serve as an explanation only."""
        events = []
        path = self._folder / f"{self.name}.log"
        for line in path.read_text(errors="replace").splitlines() if path.exists() else ():
            with contextlib.suppress(ValueError):
                event = json.loads(line)
                if isinstance(event, dict):
                    events.append(event)
        return events


class World:
    """Platform, workers, nodes and clients of one run; an asynchronous context manager."""

    def __init__(self, case: str, *, nodes: int = 3, workers: int = 8) -> None:
        self._began_s = time.monotonic()
        self._file = (Path(case).resolve().parent / "record.txt").open("w")
        self.events: list[dict[str, Any]] = []
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.tasks = Tasks()
        self.store = Store()
        self._counts = (nodes, workers)
        self.nodes: list[Node] = []
        self.workers: list[Worker] = []
        self._watchers: list[asyncio.Task[None]] = []
        self._rng = random.Random(time.time_ns())
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._version = 0

    def now_s(self) -> float:
        """Returns the time since the start of the run."""
        return time.monotonic() - self._began_s

    def record(self, kind: str, who: str, what: str, **fields: Any) -> None:
        """Writes one line of the record."""
        event = {"at": round(self.now_s(), 3), "kind": kind, "who": who, "what": what, **fields}
        self.events.append(event)
        rest = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{event['at']:9.3f} {kind:7} {who:14} {what} {rest}\n")
        self._file.flush()

    async def __aenter__(self) -> "World":
        self.record("script", "trouble", "on" if self.trouble else "off")
        await self.write_manifest()
        nodes, workers = self._counts
        for number in range(workers):
            worker = Worker(
                name=f"i-{number + 1:010x}",
                zone="z1",
                rack=f"r1-{number // 4}",
                tasks=self.tasks,
                store=self.store,
                record=self.record,
            )
            self.workers.append(worker)
            await worker.start()
        net = f"127.{self._rng.randint(10, 250)}.{self._rng.randint(1, 250)}"
        for number in range(nodes):
            name = f"front-z1-{number + 1}"
            node = Node(
                name=name,
                ip=f"{net}.{number + 11}",
                store=await self.store.open(name),
                folder=self._folder,
                world=self,
            )
            self.nodes.append(node)
            node.start()
            self._watchers.append(asyncio.create_task(node.watch()))
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for watcher in self._watchers:
            watcher.cancel()
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        for worker in self.workers:
            if worker.up:
                worker.crash()
        self.store.close()
        self._file.close()
        if os.environ.get("KEEP"):
            print("kept:", self._folder)
        else:
            shutil.rmtree(self._folder, ignore_errors=True)

    async def write_manifest(self) -> None:
        """Writes the manifest as the operator does."""
        self._version += 3
        routes = [
            {
                "name": name,
                "hostname": HOST,
                "prefix": f"/{name}/",
                "kind": "unsafe",
                "timeoutMs": 3000,
                "service": "entries",
                "allowedRegions": [],
                **fields,
            }
            for name, fields in QUEUES.items()
        ]
        service = {"name": "entries", "maxConnections": 64, "rejectsOverload": True}
        manifest = {
            "version": self._version,
            "routes": routes,
            "services": [{**service, "standby": False, "healthPath": "/health"}],
            "limits": {"maxBodyBytes": 262144},
        }
        await self.store.put("op", "config", json.dumps(manifest).encode())

    async def until_ready(self) -> None:
        """Waits until all nodes are ready and one leads.

        Raises:
            CannotRunError: that took too long.
        """
        end_s = self.now_s() + START_TIMEOUT_S
        while self.now_s() < end_s:
            statuses = [(await call("GET", n.ready, "/ready"))[0] for n in self.nodes]
            if all(status == 200 for status in statuses) and self.leader() is not None:
                await asyncio.sleep(1.0)
                return
            await asyncio.sleep(0.2)
        raise CannotRunError("the nodes are not ready")

    def leader(self) -> Node | None:
        """Returns the node that last wrote the claim, as the platform's store shows it."""
        raw = self.store.get("jobs", "leader", "claim")
        name = json.loads(raw)["instance"] if raw is not None else ""
        return next((node for node in self.nodes if node.name == name), None)

    def new_id(self) -> str:
        """Returns an id for a job."""
        return f"{self._rng.getrandbits(64):016x}"

    async def submit(
        self, queue: str, steps: list[dict[str, Any]], spec: dict[str, Any], **fields: Any
    ) -> str:
        """Submits a job, again at other nodes until it is accepted; returns its id.

        Raises:
            CannotRunError: no node took it.
        """
        job_id = self.new_id()
        job = {"spec": json.dumps(spec), "steps": steps, **fields}
        self.tasks.add(job_id, job)
        for tries in range(5):
            node = self.nodes[(int(job_id, 16) + tries) % len(self.nodes)]
            path = f"/{queue}/{job_id}"
            status, _ = await call("POST", node.front, path, host=HOST, body=job)
            self.record("client", node.name, "POST", job=job_id, queue=queue, status=status)
            if 200 <= status < 300:
                return job_id
            await asyncio.sleep(0.5)
        raise CannotRunError("a job was not accepted")

    async def state(self, queue: str, job_id: str, *, quiet: bool = False) -> str:
        """Returns the state that a node shows for a job, or the status of its answer."""
        for node in self._rng.sample(self.nodes, len(self.nodes)):
            status, body = await call("GET", node.front, f"/{queue}/{job_id}", host=HOST)
            shown = body.get("state", "") if status == 200 and isinstance(body, dict) else status
            if not quiet or shown in ("completed", "failed", "cancelled"):
                self.record("client", node.name, "GET", job=job_id, answer=shown)
            if status in (200, 410):
                return str(shown)
        return "no answer"

    async def until_state(
        self, queue: str, job_id: str, states: tuple[str, ...], timeout_s: float
    ) -> str:
        """Waits until a job is shown in one of some states; returns the last one shown."""
        end_s = self.now_s() + timeout_s
        shown = ""
        while self.now_s() < end_s:
            shown = await self.state(queue, job_id, quiet=True)
            if shown in states:
                return shown
            await asyncio.sleep(0.25)
        return shown

    async def until(self, condition: Any, timeout_s: float, *, poll_s: float = 0.02) -> bool:
        """Waits until a condition holds; returns whether it did."""
        end_s = self.now_s() + timeout_s
        while self.now_s() < end_s:
            if condition():
                return True
            await asyncio.sleep(poll_s)
        return bool(condition())

    def runs_of(self, job_id: str) -> list[dict[str, Any]]:
        """Returns the recorded starts and ends of a job's runs."""
        return [
            event
            for event in self.events
            if event["kind"] == "run" and event["task"].startswith(job_id)
        ]

    def longest_idle_s(self, job_id: str, *, since_s: float) -> float:
        """Returns the longest time after `since_s` in which a job with work left had no run."""
        runs = self.runs_of(job_id)
        done = {event["task"] for event in runs if event["what"] == "done"}
        is_done = len(done) == self.tasks.count(job_id)
        live: set[tuple[str, int, str]] = set()
        longest_s, idle_from_s = 0.0, since_s
        for event in runs:
            run = (event["task"], event["run"], event["who"])
            if event["what"] == "start":
                if not live:
                    longest_s = max(longest_s, event["at"] - idle_from_s)
                live.add(run)
            elif event["what"] in ENDS:
                live.discard(run)
                idle_from_s = max(since_s, event["at"])
        if not live and not is_done:
            longest_s = max(longest_s, self.now_s() - idle_from_s)
        return longest_s

    def worker_of(self, task: str) -> Worker | None:
        """Returns the worker on which a task runs now."""
        return next((worker for worker in self.workers if task in worker.runs), None)


def run_case(main: Any) -> None:
    """Runs a case and exits with its result, which run.sh translates."""
    try:
        code = asyncio.run(main())
    except CannotRunError as exc:
        print(f"could not run: {exc}")
        code = NOT_RUN
    except Exception as exc:
        print(f"could not run: {type(exc).__name__}: {exc}")
        code = NOT_RUN
    print({BROKEN: "broken", HELD: "held", NOT_RUN: "not run"}[code])
    sys.exit(code)
