"""Stand-in of a worker, after the section "Running tasks" of the users' protocol page."""

import asyncio
import dataclasses
import json
import time
from collections.abc import Callable
from typing import Any

from common.http import NO_ANSWER, SILENCE, Request, Server
from common.store import Store

HEARTBEAT_S = 1.5
MAX_HOLD_S = 6.0
STOP_S = 0.2
GANG_TIMEOUT_S = 3.0
CHECKPOINT_INTERVAL_S = 0.5
FAILS_AFTER = 0.6
"""Share of its work after which a run that fails through its own fault ends."""

TICK_S = 0.01
MAX_LISTED = 500

CPU, MEM_MB = 32_000, 128_000


@dataclasses.dataclass
class Run:
    """One run of a task."""

    task: str
    number: int
    checkpoint: str
    started_s: float
    works_since_s: float | None
    work_s: float
    fails: bool
    cpu: int
    mem_mb: int
    stops_at_s: float | None = None
    percent: int = 100


class Tasks:
    """What the submitted jobs say of their tasks; shared by all workers."""

    def __init__(self) -> None:
        self._jobs: dict[str, dict[str, Any]] = {}
        self.gangs: dict[tuple[str, int], set[tuple[str, str]]] = {}

    def add(self, job_id: str, job: dict[str, Any]) -> None:
        """Adds a job as a client submits it."""
        self._jobs[job_id] = job

    def step(self, task: str) -> dict[str, Any]:
        """Returns the step of a task."""
        job_id, _, step, _ = task.split(".")
        return self._jobs[job_id]["steps"][int(step)]

    def count(self, job_id: str) -> int:
        """Returns the number of tasks of a job that is not repeated."""
        return sum(step["count"] for step in self._jobs[job_id]["steps"])

    def plan(self, task: str, number: int) -> tuple[float, bool]:
        """Returns the work of a run in seconds, and whether it fails at its end.

        The text `spec` of a job holds both: `work_s`, and under `fails` the tasks (STEP.INDEX)
        whose first runs fail, with how many.
        """
        job_id, _, step, index = task.split(".")
        spec = json.loads(self._jobs[job_id]["spec"])
        return spec["work_s"], number <= spec.get("fails", {}).get(f"{step}.{index}", 0)


Record = Callable[..., None]


class Worker:
    """One worker at one address; `crash` and `start` begin a new life under the same id."""

    def __init__(
        self, *, name: str, zone: str, rack: str, tasks: Tasks, store: Store, record: Record
    ) -> None:
        self.id, self.zone, self._rack = name, zone, rack
        self.kind = "a"
        self._tasks, self._store, self._record = tasks, store, record
        self._server = Server(self._handle)
        self._background: list[asyncio.Task[None]] = []
        self.address = "127.0.0.1:0"
        self.up = False
        self.silent = False
        self.state = "ready"
        self.late: Callable[[str, int], bool] = lambda task, number: False
        self.late_orders: list[dict[str, Any]] = []
        self.born_ms = 0
        self._begin_life()

    def _begin_life(self) -> None:
        self._began_s = time.monotonic()
        # Two lives never begin in the same millisecond.
        self.born_ms = max(self.born_ms + 1, int(time.time() * 1000))
        self.token = 0
        self.lease_until_s = 0.0
        self.runs: dict[str, Run] = {}
        self._ended: list[list[Any]] = []
        self._last_end = 0
        self._closed_numbers: dict[str, int] = {}
        self._sequence = 0
        self._saved = 0

    async def start(self) -> None:
        """Begins a life: listens and reports to the store."""
        self._begin_life()
        self.address = await self._server.open(self.address)
        self.up, self.silent = True, False
        self._background = [
            asyncio.create_task(self._report()),
            asyncio.create_task(self._tick_always()),
        ]
        self._record("worker", self.id, "up", born=self.born_ms)

    def crash(self) -> None:
        """Ends the life; everything that runs is lost, and connections are reset."""
        self._lose("crashed")
        self.up = False
        self._server.close()

    def lose_power(self) -> None:
        """Ends the life without a sign: no report, no answer, and no reset of connections."""
        self._lose("lost power")
        self.silent = True

    async def start_again(self) -> None:
        """Begins a new life under the same id at the same address."""
        self._server.close()
        await self.start()

    def _lose(self, how: str) -> None:
        for task in self._background:
            task.cancel()
        for run in self.runs.values():
            self._record("run", self.id, "lost", task=run.task, run=run.number)
        self.runs.clear()
        self._record("worker", self.id, how)

    def clock_ms(self) -> int:
        """Returns the worker's steady clock."""
        return int((time.monotonic() - self._began_s) * 1000)

    # --- what it says of itself

    async def _report(self) -> None:
        while True:
            self._sequence += 1
            entry = {
                "service": "entries",
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "coldRemainingMs": 0,
                "capacity": {"cpu": CPU, "memMb": MEM_MB, "gpu": 0},
                "labels": [self.kind, self._rack],
                "clockMs": self.clock_ms(),
                "sequence": self._sequence,
                "born": self.born_ms,
            }
            await self._store.put("servers", self.id, json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_S)

    async def _tick_always(self) -> None:
        while True:
            self._tick()
            await asyncio.sleep(TICK_S)

    # --- runs

    def _tick(self) -> None:
        now_s = time.monotonic()
        for run in list(self.runs.values()):
            step = self._tasks.step(run.task)
            if now_s >= self.lease_until_s:
                self._end(run, "lapsed")
            elif run.stops_at_s is not None and now_s >= run.stops_at_s:
                self._end(run, "stopped")
            elif run.works_since_s is None:
                self._join_gang(run, step, now_s)
            elif step.get("longLived"):
                continue
            elif step.get("gang") and not self._tasks.gangs[_gang(run)]:
                self._end(run, "broken")
            elif run.fails and now_s - run.works_since_s >= FAILS_AFTER * run.work_s:
                if step.get("gang"):
                    self._tasks.gangs[_gang(run)] = set()
                self._end(run, "failed")
            elif now_s - run.works_since_s >= run.work_s:
                self._end(run, "done")

    def _join_gang(self, run: Run, step: dict[str, Any], now_s: float) -> None:
        """Begins the work once all tasks of a run are present, all with the same checkpoint."""
        members = self._tasks.gangs.setdefault(_gang(run), set())
        members.add((run.task, run.checkpoint))
        same = [task for task, checkpoint in members if checkpoint == run.checkpoint]
        if len(same) == step["count"]:
            run.works_since_s = now_s
            self._record("run", self.id, "works", task=run.task, run=run.number)
        elif now_s - run.started_s >= GANG_TIMEOUT_S:
            members.discard((run.task, run.checkpoint))
            self._end(run, "alone")

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self._last_end += 1
        self._closed_numbers[run.task] = max(self._closed_numbers.get(run.task, 0), run.number)
        saved = self._checkpoint(run)
        self._ended.append([self._last_end, run.task, run.number, how, saved])
        self._record("run", self.id, how, task=run.task, run=run.number, saved=saved)

    def _checkpoint(self, run: Run) -> str:
        step = self._tasks.step(run.task)
        if not step.get("savesProgress") or run.works_since_s is None:
            return run.checkpoint
        kept = int((time.monotonic() - run.works_since_s) / CHECKPOINT_INTERVAL_S)
        if not kept:
            return run.checkpoint
        return f"{kept:08x}{abs(hash((run.task, run.number))) & 0xFFFFFFFF:08x}"

    # --- orders

    async def _handle(self, req: Request) -> Any:
        if not self.up:
            return NO_ANSWER
        if self.silent:
            return SILENCE
        if req.path == "/health":
            return 200, {}
        if req.headers.get("x-target-instance", self.id) != self.id:
            return 421, {"clockMs": self.clock_ms()}
        raw = req.json()
        if req.path == "/run-start" and self.late(raw["task"], raw["run"]):
            self._record("order", self.id, "start delayed", task=raw["task"], run=raw["run"])
            self.late_orders.append(raw)
            return SILENCE
        return await self._carry_out(req.path, raw)

    async def carry_out_late(self) -> None:
        """Carries out the delayed orders, whose callers got no answer."""
        orders, self.late_orders = self.late_orders, []
        for raw in orders:
            status, body = await self._carry_out("/run-start", raw)
            fields = {"task": raw["task"], "run": raw["run"], "reason": body.get("reason", "")}
            self._record("order", self.id, f"start carried out late: {status}", **fields)

    async def _carry_out(self, path: str, raw: dict[str, Any]) -> Any:
        if raw.get("fencingToken", 0) < self.token:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.token = raw.get("fencingToken", 0)
        if path == "/hold":
            return await self._hold(raw)
        calls = {"/run-start": self._start_run, "/run-stop": self._stop_run, "/pace": self._pace}
        status, reason = calls[path](raw)
        body = {"clockMs": self.clock_ms()}
        return status, {**body, "reason": reason} if reason else body

    def _start_run(self, raw: dict[str, Any]) -> tuple[int, str]:
        task, number = raw["task"], raw["run"]
        if raw["deadlineMs"] <= self.clock_ms():
            return 409, "late"
        current = self.runs.get(task)
        if current is not None and current.number == number:
            self._extend(raw["deadlineMs"])
            return 200, ""
        if number <= self._closed_numbers.get(task, 0) or current is not None:
            self._extend(raw["deadlineMs"])
            return 409, "old"
        step = self._tasks.step(task)
        cpu = 0 if step.get("fills") else step.get("cpu", 0)
        used_cpu = sum(run.cpu for run in self.runs.values()) + cpu
        used_mb = sum(run.mem_mb for run in self.runs.values()) + step.get("memMb", 0)
        self._extend(raw["deadlineMs"])
        if used_cpu > CPU or used_mb > MEM_MB:
            return 409, "room"
        work_s, fails = self._tasks.plan(task, number)
        now_s = time.monotonic()
        self.runs[task] = Run(
            task=task,
            number=number,
            checkpoint=raw.get("checkpoint", ""),
            started_s=now_s,
            works_since_s=None if step.get("gang") else now_s,
            work_s=work_s,
            fails=fails,
            cpu=cpu,
            mem_mb=step.get("memMb", 0),
        )
        fields = {"token": raw["fencingToken"], "checkpoint": raw.get("checkpoint", "")}
        self._record("run", self.id, "start", task=task, run=number, **fields)
        return 200, ""

    def _stop_run(self, raw: dict[str, Any]) -> tuple[int, str]:
        task, number = raw["task"], raw["run"]
        run = self.runs.get(task)
        if run is not None and run.number == number:
            run.stops_at_s = run.stops_at_s or time.monotonic() + STOP_S
        else:
            self._closed_numbers[task] = max(self._closed_numbers.get(task, 0), number)
        return 200, ""

    def _pace(self, raw: dict[str, Any]) -> tuple[int, str]:
        run = self.runs.get(raw["task"])
        if run is not None and run.number == raw["run"]:
            run.percent = raw["percent"]
        return 200, ""

    async def _hold(self, raw: dict[str, Any]) -> Any:
        taken = [row for row in self._ended if row[0] <= raw["ackSeq"]]
        for number, task, run, how, _ in taken:
            self._record("end", self.id, "taken note of", n=number, task=task, run=run, how=how)
        self._ended = [row for row in self._ended if row[0] > raw["ackSeq"]]
        if raw.get("deadlineMs") is not None:
            self._extend(raw["deadlineMs"])
        until_s = time.monotonic() + raw.get("waitMs", 0) / 1000
        while not self._ended and time.monotonic() < until_s and self.up:
            await asyncio.sleep(TICK_S)
        if not self.up:
            return NO_ANSWER
        now_s = time.monotonic()
        return 200, {
            "clockMs": self.clock_ms(),
            "born": self.born_ms,
            "running": [
                [run.task, run.number, self._checkpoint(run), self._progress(run, now_s), 0]
                for run in self.runs.values()
            ],
            "endedRuns": self._ended[:MAX_LISTED],
        }

    def _progress(self, run: Run, now_s: float) -> int:
        if run.works_since_s is None:
            return 0
        if self._tasks.step(run.task).get("longLived"):
            return 100
        return min(99, int(100 * (now_s - run.works_since_s) / run.work_s))

    def _extend(self, deadline_ms: int) -> None:
        now_s = time.monotonic()
        until_s = min(self._began_s + deadline_ms / 1000, now_s + MAX_HOLD_S)
        self.lease_until_s = max(self.lease_until_s, until_s)


def _gang(run: Run) -> tuple[str, int]:
    return run.task.rpartition(".")[0], run.number
