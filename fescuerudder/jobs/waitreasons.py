"""Why open steps start nothing, as log lines and metrics for the operators."""

import enum
import math
from collections.abc import Iterable
from typing import Any

import attrs
import structlog

from fescuerudder.jobs.jobrun import Attempt, Phase, StepRun
from fescuerudder.jobs.latestarts import bound_worker
from fescuerudder.jobs.schedulerstate import SchedulerState
from fescuerudder.jobs.starts import StartPlanner
from fescuerudder.jobs.takeoverwaits import TakeoverWaits, is_restored
from fescuerudder.jobs.workerrecord import WorkerRecord

CHECK_INTERVAL_S = 1.0
"""Time between two checks; a check looks at all open steps."""

LONG_WAIT_S = 3.0
"""Time without a live attempt after which a step is reported."""

LOG_INTERVAL_S = 5.0
"""Time between two log lines with the same reason."""

MAX_NAMED_WORKERS = 5
"""Number of workers that a log line names."""

_log = structlog.get_logger(__name__)


class WaitReason(enum.Enum):
    """Why a step whose dependencies are done starts nothing."""

    NO_QUEUE = "queue unknown"
    EARLIER_LEADER = "attempts of earlier leaders unresolved"
    EARLIER_START = "started by an earlier leader on a worker out of reach"
    LATE_START = "start without an answer may arrive at a later incarnation"
    UNCERTAIN_START = "start without an answer"
    OUT_OF_SIGHT = "runs on a worker that does not answer"
    UNRECORDED = "record of the start not stored"
    STORE_OUT = "store out"
    HELD_BACK = "starts were lost with their workers"
    UNCONFIRMED = "leadership unconfirmed"
    AT_CAP = "account at its cap"
    NO_WORKER = "no usable worker"
    QUARANTINED = "room only on quarantined workers"
    NO_ROOM = "no room"
    OTHER = "other"


@attrs.define(kw_only=True)
class _WaitingSteps:
    """The steps that wait for one reason.

    Args:
        count: number of steps.
        longest_s: longest wait.
        example: the step that has waited longest.
        workers: workers that the reason names.
    """

    count: int = 0
    longest_s: float = 0.0
    example: StepRun | None = None
    workers: list[str] = attrs.Factory(list)

    def add(self, step: StepRun, waited_s: float, workers: Iterable[WorkerRecord]) -> None:
        """Adds a step."""
        self.count += 1
        if waited_s >= self.longest_s:
            self.longest_s, self.example = waited_s, step
            self.workers = sorted(record.id for record in workers)


class WaitMonitor:
    """Reports steps that could start and have had no attempt in sight for LONG_WAIT_S.

    An attempt on a worker that does not answer is out of sight.

    Args:
        state: state of the term.
        planner: plans the starts.
    """

    def __init__(self, *, state: SchedulerState, planner: StartPlanner) -> None:
        self._state = state
        self._planner = planner
        self._next_check_s = -math.inf
        self._logged_s: dict[WaitReason, float] = {}
        self._shown: set[WaitReason] = set()
        self._takeover = TakeoverWaits(state=state, planner=planner)

    def observe(self, now_s: float) -> None:
        """Logs one line for each reason, unless it was logged recently, and one when it is over."""
        self._takeover.observe(now_s)
        if now_s < self._next_check_s:
            return
        self._next_check_s = now_s + CHECK_INTERVAL_S
        found = self._collect(now_s)
        for reason in self._shown - set(found):
            _log.info("steps wait no more", result=reason.value)
        self._shown &= set(found)
        for reason, waiting in found.items():
            if now_s - self._logged_s.get(reason, -math.inf) >= LOG_INTERVAL_S:
                self._logged_s[reason] = now_s
                self._shown.add(reason)
                figures = self._cap_figures(waiting) if reason is WaitReason.AT_CAP else {}
                _log_waiting(reason, waiting, figures)

    def _cap_figures(self, waiting: _WaitingSteps) -> dict[str, Any]:
        """Returns what the account of the step that has waited longest has running, and its cap."""
        assert waiting.example is not None
        name = waiting.example.job.job.account
        return {"account": name, **self._state.usage.figures(name)}

    def _collect(self, now_s: float) -> dict[WaitReason, _WaitingSteps]:
        found: dict[WaitReason, _WaitingSteps] = {}
        for step in self._state.open_steps:
            waited_s = self._waited_s(step, now_s)
            if waited_s >= LONG_WAIT_S:
                reason, workers = self._diagnose(step, now_s)
                found.setdefault(reason, _WaitingSteps()).add(step, waited_s, workers)
        return found

    def _diagnose(self, step: StepRun, now_s: float) -> tuple[WaitReason, list[WorkerRecord]]:
        """Returns the first reason that applies, and the workers that it concerns."""
        state, planner = self._state, self._planner
        if step.job.job.queue not in state.queues:
            return WaitReason.NO_QUEUE, []
        startable = planner.startable_tasks(step)
        if not startable and step.startable_tasks():
            return WaitReason.EARLIER_LEADER, state.unresolved_workers(step.job)
        if any(task.is_held_back for task in step.tasks) and not startable:
            return WaitReason.HELD_BACK, []
        if not startable:
            return self._diagnose_attempts(step)
        if planner.is_store_out(now_s):
            return WaitReason.STORE_OUT, []
        if not any(planner.is_restart_safe(task) for task in startable):
            return WaitReason.UNCONFIRMED, []
        if not state.usage.may_start(step):
            return WaitReason.AT_CAP, []
        bound = {worker for task in startable if (worker := bound_worker(task)) is not None}
        if bound and all(task.late_starts for task in startable):
            return WaitReason.LATE_START, [r for r in state.workers.values() if r.id in bound]
        usable = planner.usable_workers(step, now_s)
        if not usable:
            return WaitReason.NO_WORKER, []
        with_room = [r for r in usable if state.load_of(r, now_s=now_s).has_room(step.spec)]
        if not with_room:
            return WaitReason.NO_ROOM, []
        if not any(planner.takes_work(record, now_s) for record in with_room):
            return WaitReason.QUARANTINED, with_room
        return WaitReason.OTHER, with_room

    def _diagnose_attempts(self, step: StepRun) -> tuple[WaitReason, list[WorkerRecord]]:
        """Returns the reason for a step of which each task has an attempt out of sight."""
        attempts = _attempts(step)
        names = {attempt.worker for attempt in attempts}
        workers = [r for r in self._state.workers.values() if r.id in names]
        if any(is_restored(attempt) for attempt in attempts):
            return WaitReason.EARLIER_START, workers
        if any(attempt.phase is Phase.PLANNED for attempt in attempts):
            return WaitReason.UNRECORDED, workers
        if any(attempt.phase in (Phase.STARTING, Phase.UNCERTAIN) for attempt in attempts):
            return WaitReason.UNCERTAIN_START, workers
        return WaitReason.OUT_OF_SIGHT, workers

    def _waited_s(self, step: StepRun, now_s: float) -> float:
        """Returns the time for which a step has had no attempt that is known to run."""
        if step.opened_s is None or step.is_done or not step.job.is_live:
            return 0.0
        since_s = max(step.opened_s, max(task.last_end_s for task in step.tasks))
        for attempt in _attempts(step):
            hidden_s = self._hidden_since_s(attempt)
            if hidden_s is None:
                return 0.0
            since_s = max(since_s, hidden_s)
        return now_s - since_s

    def _hidden_since_s(self, attempt: Attempt) -> float | None:
        """Returns since when it has not been known whether an attempt runs, None if it is known."""
        if attempt.phase in (Phase.PLANNED, Phase.STARTING, Phase.UNCERTAIN):
            return attempt.sent_s
        record = self._state.workers.get(attempt.worker)
        return record.silent_since_s if record is not None else None


def _attempts(step: StepRun) -> list[Attempt]:
    return [attempt for task in step.tasks for attempt in task.attempts]


def _log_waiting(reason: WaitReason, waiting: _WaitingSteps, figures: dict[str, Any]) -> None:
    assert waiting.example is not None
    _log.warning(
        "steps wait",
        result=reason.value,
        steps=waiting.count,
        longest_s=round(waiting.longest_s, 2),
        job=waiting.example.job.job.id,
        step=waiting.example.id[1:],
        workers=waiting.workers[:MAX_NAMED_WORKERS],
        worker_count=len(waiting.workers),
        **figures,
    )
