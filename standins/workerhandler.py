"""HTTP handler of a `JobWorker`: a worker's interface on the job platform."""

import threading
import time
from collections.abc import Callable
from typing import Any

import attrs

from fescuerudder.jobs.job import TaskId
from fescuerudder.jobs.workerport import (
    EndedAttempt,
    OrderAnswer,
    OrderResult,
    RenewOrder,
    RunningAttempt,
    StartOrder,
    StopOrder,
    ThrottleOrder,
    WorkerFencedError,
)
from standins._http import Answer, Request
from standins.heldcalls import HeldCalls
from standins.jobworker import JobWorker

POLL_INTERVAL_S = 0.02
"""Time between checks for an ended attempt while a report waits for one."""

_REASON_BY_RESULT = {
    OrderResult.FENCED: "fence",
    OrderResult.STALE: "old",
    OrderResult.LATE: "late",
    OrderResult.NO_ROOM: "room",
    OrderResult.NO_PERMIT: "ticket",
}


class WorkerHandler:
    """Serves a worker's interface to several clients at a time.

    Args:
        worker: model of the worker.

    Attributes:
        held_calls: calls that arrive while they are held are not carried out here.
        is_listed: whether the registry may list the worker while it is up.
        on_arrival: called with each call, also with those that are held.
        on_execution: called with each call that the worker is about to carry out.
    """

    def __init__(self, *, worker: JobWorker) -> None:
        self.worker = worker
        self.lock = threading.RLock()
        self.held_calls = HeldCalls()
        self.is_listed = True
        self.on_arrival: Callable[[Request], None] = lambda req: None
        self.on_execution: Callable[[Request], None] = lambda req: None

    def tick(self) -> None:
        """Ends all attempts that are due."""
        with self.lock:
            self.worker.tick()

    def registry_entry(self) -> dict[str, Any]:
        """Returns the worker's entry in the registry, in the platform's format."""
        with self.lock:
            info = self.worker.registry_entry()
        capacity = {"cpu": int(info.capacity.processors * 1000), "memMb": info.capacity.memory_mb}
        return {
            "service": info.pool,
            "address": info.address,
            "zone": info.zone,
            "state": "draining" if info.draining else "ready",
            "capacity": {**capacity, "gpu": info.capacity.accelerators},
            "labels": ["a", info.rack],
            "clockMs": info.clock_ms,
            "born": info.incarnation_ms,
        }

    def handle(self, req: Request) -> Answer:
        """Answers one order; closes the connection without an answer if calls are held."""
        self.on_arrival(req)
        if self.held_calls.hold(req):
            return Answer(abort=True)
        return self.carry_out(req)

    def carry_out(self, req: Request) -> Answer:
        """Answers one order; closes the connection without an answer if the worker is down."""
        if not self.worker.is_up:
            return Answer(abort=True)
        if req.headers.get("x-target-instance") != self.worker.info.id:
            return Answer(status=421, body={})
        self.on_execution(req)
        raw = req.json()
        orders = {"/run-start": self._start, "/run-stop": self._stop, "/pace": self._pace}
        if req.path == "/hold":
            return self._hold(raw)
        return _answer(orders[req.path](raw))

    def _start(self, raw: dict[str, Any]) -> OrderAnswer:
        order = StartOrder(
            **self._attempt_fields(raw),
            payload=raw["spec"],
            lease_until_ms=int(raw["deadlineMs"]),
            checkpoint=raw.get("checkpoint", ""),
            permit=raw.get("ticket", ""),
        )
        with self.lock:
            return self.worker.start(order)

    def _stop(self, raw: dict[str, Any]) -> OrderAnswer:
        with self.lock:
            return self.worker.stop(StopOrder(**self._attempt_fields(raw)))

    def _pace(self, raw: dict[str, Any]) -> OrderAnswer:
        order = ThrottleOrder(**self._attempt_fields(raw), percent=int(raw["percent"]))
        with self.lock:
            return self.worker.throttle(order)

    def _hold(self, raw: dict[str, Any]) -> Answer:
        lease = raw.get("deadlineMs")
        order = RenewOrder(
            **self._worker_fields(),
            token=int(raw["fencingToken"]),
            acknowledged=int(raw["ackSeq"]),
            lease_until_ms=None if lease is None else int(lease),
            wait_ms=int(raw.get("waitMs", 0)),
        )
        end_s = time.monotonic() + order.wait_ms / 1000
        while True:
            with self.lock:
                if not self.worker.is_up:
                    return Answer(abort=True)
                try:
                    report = self.worker.renew(order)
                except WorkerFencedError:
                    return _answer(OrderAnswer(OrderResult.FENCED, int(self.worker.clock_ms())))
            # The deadline and the acknowledgement apply once, not for as long as the report waits.
            order = attrs.evolve(order, acknowledged=0, lease_until_ms=None)
            if report.ended or time.monotonic() >= end_s:
                break
            time.sleep(POLL_INTERVAL_S)
        return Answer(
            body={
                "clockMs": report.clock_ms,
                "born": report.incarnation_ms,
                "running": [_format_running(row) for row in report.running],
                "endedRuns": [_format_ended(row) for row in report.ended],
            }
        )

    def _worker_fields(self) -> dict[str, str]:
        return {"worker": self.worker.info.id, "address": self.worker.info.address}

    def _attempt_fields(self, raw: dict[str, Any]) -> dict[str, Any]:
        job, occurrence, step, index = raw["task"].split(".")
        return {
            **self._worker_fields(),
            "task": TaskId(job, int(occurrence), int(step), int(index)),
            "attempt": int(raw["run"]),
            "token": int(raw["fencingToken"]),
        }


def _answer(answer: OrderAnswer) -> Answer:
    body: dict[str, Any] = {"clockMs": answer.clock_ms}
    if answer.result is OrderResult.DONE:
        return Answer(body=body)
    if answer.result is OrderResult.UNHEALTHY:
        return Answer(status=503, body=body)
    return Answer(status=409, body={**body, "reason": _REASON_BY_RESULT[answer.result]})


def _format_task(task: TaskId) -> str:
    return ".".join(str(part) for part in task)


def _format_running(row: RunningAttempt) -> list[Any]:
    return [_format_task(row.task), row.attempt, row.checkpoint, row.percent, 0]


def _format_ended(row: EndedAttempt) -> list[Any]:
    return [row.serial, _format_task(row.task), row.attempt, row.end.value, row.checkpoint]
