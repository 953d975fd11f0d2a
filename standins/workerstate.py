"""Simulated worker: attempts, leases, fencing, commitments, slots and usage reports.

Each call first processes all ends since the last call (finished work, expired leases) in order,
each at its exact time. A worker that was frozen therefore never reports a task that outlived its
lease.
"""

import json
import threading
from collections import Counter
from collections.abc import Callable
from typing import Any

import attrs

from fescuerudder.clock import Clock
from fescuerudder.document import Size
from standins._simattempt import SimAttempt, decode_payload
from standins._usagereports import UsageReports
from standins.interference import FactorTable

FAILING_RUN_S = 0.05
"""Run time of tasks while the `fail_tasks` fault is active."""

Record = Callable[..., None]


class RefusedError(Exception):
    """The worker refuses a command; `reason` is the code sent in the answer."""

    def __init__(self, *, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class WorkerState:
    """State of one worker; thread-safe.

    Args:
        clock: the worker's own clock.
        capacity: resources for tasks.
        slots: number of concurrent requests.
        factors: interference between services.
        record: called as record(event, at_s, **fields) for the event file.
        usage_lag_s: age at which usage reports become visible, in seconds.
        incarnation: id of this run of the worker.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        capacity: Size,
        slots: int,
        factors: FactorTable,
        record: Record,
        usage_lag_s: float,
        incarnation: str = "",
    ) -> None:
        self.incarnation = incarnation
        self._clock = clock
        self._capacity = capacity
        self._slots = slots
        self._factors = factors
        self._record = record
        self._usage = UsageReports(lag_s=usage_lag_s, slowdown=self._slowdown, load=self._load)
        self._lock = threading.RLock()
        self._now_s = clock.now_s()
        self._attempts: dict[tuple[str, int], SimAttempt] = {}
        self._highest_attempt: dict[str, int] = {}
        self._busy_slots = 0
        self.highest_epoch = 0
        self.leaving = False
        self.fail_starts = False
        self.fail_tasks = False
        self.counts: Counter[str] = Counter()

    def status(self) -> dict[str, Any]:
        """Returns the variable part of the status."""
        with self._lock:
            now_s = self._advance()
            return {
                "clock_s": now_s,
                "leaving": self.leaving,
                "highest_epoch": self.highest_epoch,
                "tasks": [item.describe() for item in self._attempts.values()],
                "usage": self._usage.visible(now_s),
            }

    def start(self, command: dict[str, Any], *, done_s: float) -> None:
        """Starts an attempt of which `done_s` seconds of work are already done.

        Raises:
            RefusedError: the attempt was not started.
        """
        size = Size(**command["size"])
        with self._lock:
            now_s = self._advance()
            self._fence("start", command)
            reason = self._start_refusal(command, size, now_s)
            if reason:
                self._refuse("start", reason, command)
            item = SimAttempt(
                task=command["task"],
                attempt=command["attempt"],
                service=command["service"],
                kind=command["kind"],
                size=size,
                payload=decode_payload(command.get("payload", "")),
                lease_until_s=command["lease_until_s"],
                started_at_s=now_s,
                done_s=done_s,
            )
            self._highest_attempt[item.task] = item.attempt
            self._attempts[(item.task, item.attempt)] = item
            self._record_start(item, command, now_s)

    def renew(self, command: dict[str, Any]) -> list[str]:
        """Extends leases and returns the tasks whose attempt does not run here."""
        with self._lock:
            now_s = self._advance()
            self._fence("renew", command)
            unknown, renewed = [], {}
            for task, lease in command["leases"].items():
                item = self._attempts.get((task, lease["attempt"]))
                if item is None or item.state != "running":
                    unknown.append(task)
                    continue
                item.lease_until_s = max(item.lease_until_s, lease["until_s"])
                renewed[(task, item.attempt)] = item.lease_until_s
            if renewed:
                self._record("renewed", now_s, leases=renewed)
            return unknown

    def begin_stop(self, command: dict[str, Any]) -> SimAttempt | None:
        """Stops an attempt, or pauses it if a checkpoint is to be written first.

        The number of an attempt that is not here is recorded, so that a delayed start is refused.

        Returns:
            The attempt, `paused` if its checkpoint must be written; None if it is not here.
        """
        with self._lock:
            now_s = self._advance()
            self._fence("stop", command)
            task, number = command["task"], command["attempt"]
            item = self._attempts.get((task, number))
            if item is None:
                self._highest_attempt[task] = max(number, self._highest_attempt.get(task, 0))
                return None
            if item.state == "running" and command.get("checkpoint"):
                item.paused = True
            elif item.state == "running":
                self._end(item, "stopped", now_s)
            return item

    def end_stop(self, item: SimAttempt, *, checkpoint: str) -> None:
        """Ends a paused attempt with its checkpoint, or resumes it if there is none.

        Raises:
            RefusedError: the checkpoint was not written; the attempt continues.
        """
        with self._lock:
            now_s = self._advance()
            item.paused = False
            if item.state != "running":
                item.checkpoint = item.checkpoint or checkpoint
                return
            if not checkpoint:
                self._refuse("stop", "checkpoint_failed", {"task": item.task})
            item.checkpoint = checkpoint
            self._end(item, "checkpointed", now_s)

    def throttle(self, command: dict[str, Any]) -> None:
        """Limits an attempt to a share of its processors."""
        with self._lock:
            self._advance()
            self._fence("throttle", command)
            item = self._attempts.get((command["task"], command["attempt"]))
            if item is None or item.state != "running":
                self._refuse("throttle", "not_running", command)
            item.share = min(1.0, max(0.0, float(command["share"])))

    def acknowledge(self, command: dict[str, Any]) -> None:
        """Drops acknowledged attempts that have ended."""
        with self._lock:
            now_s = self._advance()
            self._fence("acknowledge", command)
            for entry in command["ended"]:
                key = (entry["task"], entry["attempt"])
                item = self._attempts.get(key)
                if item is not None and item.state != "running":
                    del self._attempts[key]
                    self._record("acknowledged", now_s, task=key[0], attempt=key[1])

    def set_faults(self, *, leaving: bool, fail_starts: bool, fail_tasks: bool) -> None:
        """Makes the worker leave, refuse all starts, or fail all tasks."""
        with self._lock:
            self._advance()
            self.leaving = leaving
            self.fail_starts = fail_starts
            self.fail_tasks = fail_tasks

    def lapsed_without_checkpoint(self) -> list[SimAttempt]:
        """Returns the expired attempts whose checkpoint is not written yet."""
        with self._lock:
            self._advance()
            items = self._attempts.values()
            return [i for i in items if i.state == "lapsed" and not i.checkpoint]

    def take_slot(self, service: str) -> tuple[str, float]:
        """Occupies a slot for a request.

        Returns:
            The reason for a refusal, empty if the slot was taken; the slowdown of the request.
        """
        with self._lock:
            self._advance()
            if self.leaving:
                return "leaving", 1.0
            if not self.runs_replica(service):
                return "no_replica", 1.0
            if self._busy_slots >= self._slots:
                return "no_slot", 1.0
            self._busy_slots += 1
            self.counts["peak_slots"] = max(self.counts["peak_slots"], self._busy_slots)
            return "", self._slowdown(service)

    def free_slot(self, service: str, *, took_ms: float) -> None:
        """Frees a slot and records how long the request took."""
        with self._lock:
            self._busy_slots -= 1
            self._usage.add_request(service, took_ms)

    def runs_replica(self, service: str) -> bool:
        """Returns whether a replica of `service` runs here."""
        with self._lock:
            items = self._running()
            return any(i.kind == "replica" and i.service == service for i in items)

    def sample_usage(self) -> None:
        """Measures all running attempts; their reports become visible after the lag."""
        with self._lock:
            now_s = self._advance()
            self._usage.sample(self._running(), now_s)

    def shut_down(self) -> None:
        """Stops all attempts."""
        with self._lock:
            now_s = self._advance()
            for item in self._running():
                self._end(item, "stopped", now_s)

    def committed(self) -> Size:
        """Returns the sum of the sizes of running attempts."""
        total = Size()
        for item in self._running():
            total = total.plus(item.size)
        return total

    def _running(self) -> list[SimAttempt]:
        return [item for item in self._attempts.values() if item.state == "running"]

    def _advance(self) -> float:
        """Processes all ends up to now, in order, and returns the present time."""
        now_s = max(self._clock.now_s(), self._now_s)
        while True:
            ends = [(*self._next_end(item), item) for item in self._running()]
            due = min((e for e in ends if e[0] <= now_s), key=lambda e: e[0], default=None)
            self._progress_to(max(due[0], self._now_s) if due else now_s)
            if due is None:
                return now_s
            self._end(due[2], due[1], self._now_s)

    def _next_end(self, item: SimAttempt) -> tuple[float, str]:
        """Returns when and how `item` ends if nothing changes until then."""
        if self.fail_tasks and item.kind == "replica":
            return item.started_at_s + FAILING_RUN_S, "failed"
        speed = self._speed(item)
        work_s = FAILING_RUN_S if self.fail_tasks else item.work_s
        remaining_s = max(0.0, work_s - item.done_s)
        done_at_s = self._now_s + remaining_s / speed if speed else float("inf")
        if item.lease_until_s <= done_at_s:
            return item.lease_until_s, "lapsed"
        failed = self.fail_tasks or item.payload.get("fail")
        return done_at_s, "failed" if failed else "finished"

    def _progress_to(self, until_s: float) -> None:
        speeds = [(item, self._speed(item)) for item in self._running()]
        for item, speed in speeds:
            item.done_s += (until_s - self._now_s) * speed
        self._now_s = until_s

    def _speed(self, item: SimAttempt) -> float:
        """Returns seconds of work done per second; 0 for replicas and paused attempts."""
        if item.paused or item.kind == "replica":
            return 0.0
        return item.share / self._slowdown(item.service)

    def _slowdown(self, service: str) -> float:
        others = [(i.service, i.share) for i in self._running() if i.service != service]
        return self._factors.slowdown(service, others, load=self._load())

    def _load(self) -> float:
        return self.committed().processors / max(self._capacity.processors, 1e-9)

    def _end(self, item: SimAttempt, how: str, at_s: float) -> None:
        item.state = how
        item.paused = False
        if how == "finished":
            item.result = json.dumps({"work_s": item.work_s})
        elif how == "failed":
            item.result = "task exited with status 1"
        self._record(
            "end",
            at_s,
            task=item.task,
            attempt=item.attempt,
            how=how,
            checkpoint=item.checkpoint,
            committed=attrs.asdict(self.committed()),
        )

    def _record_start(self, item: SimAttempt, command: dict[str, Any], now_s: float) -> None:
        self._record(
            "start",
            now_s,
            task=item.task,
            attempt=item.attempt,
            epoch=command["epoch"],
            service=item.service,
            kind=item.kind,
            leases={(item.task, item.attempt): item.lease_until_s},
            size=attrs.asdict(item.size),
            checkpoint=command.get("checkpoint", ""),
            trace_id=command.get("trace_id", ""),
            committed=attrs.asdict(self.committed()),
            capacity=attrs.asdict(self._capacity),
        )

    def _fence(self, name: str, command: dict[str, Any]) -> None:
        """Refuses a command of a former owner, and records a higher epoch."""
        epoch = int(command["epoch"])
        if epoch < self.highest_epoch:
            self._refuse(name, "stale_epoch", command)
        self.highest_epoch = epoch

    def _start_refusal(self, command: dict[str, Any], size: Size, now_s: float) -> str:
        """Returns the reason to refuse a start, or an empty string."""
        task = command["task"]
        if command["incarnation"] != self.incarnation:
            return "stale_incarnation"
        if command["attempt"] <= self._highest_attempt.get(task, 0):
            return "attempt_known"
        if self.leaving:
            return "leaving"
        if self.fail_starts:
            return "broken"
        if now_s > command["start_by_s"] or now_s >= command["lease_until_s"]:
            return "too_late"
        if any(item.task == task for item in self._running()):
            return "task_running"
        if not self.committed().plus(size).fits_in(self._capacity):
            self.counts["violation_over_commit_order"] += 1
            return "over_committed"
        return ""

    def _refuse(self, name: str, reason: str, command: dict[str, Any]) -> None:
        self.counts[f"refused_{reason}"] += 1
        self._record(
            "refusal",
            self._now_s,
            command=name,
            reason=reason,
            task=command.get("task", ""),
            attempt=command.get("attempt", 0),
            epoch=command.get("epoch", 0),
        )
        raise RefusedError(reason=reason)
