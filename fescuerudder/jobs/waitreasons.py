"""Why open steps start nothing, as log lines and metrics for the operators."""

import enum
import math
from collections.abc import Iterable

import attrs
import structlog

from fescuerudder.jobs.jobrun import Phase, StepRun
from fescuerudder.jobs.schedulerstate import SchedulerState
from fescuerudder.jobs.starts import StartPlanner
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
    UNCERTAIN_START = "start without an answer"
    HELD_BACK = "starts were lost with their workers"
    UNCONFIRMED = "leadership unconfirmed"
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
    """Reports steps that could start and have had no live attempt for LONG_WAIT_S.

    Args:
        state: state of the term.
        planner: plans the starts.
    """

    def __init__(self, *, state: SchedulerState, planner: StartPlanner) -> None:
        self._state = state
        self._planner = planner
        self._next_check_s = -math.inf
        self._logged_s: dict[WaitReason, float] = {}

    def observe(self, now_s: float) -> None:
        """Logs one line for each reason, unless it was logged recently."""
        if now_s < self._next_check_s:
            return
        self._next_check_s = now_s + CHECK_INTERVAL_S
        for reason, waiting in self._collect(now_s).items():
            if now_s - self._logged_s.get(reason, -math.inf) >= LOG_INTERVAL_S:
                self._logged_s[reason] = now_s
                _log_waiting(reason, waiting)

    def _collect(self, now_s: float) -> dict[WaitReason, _WaitingSteps]:
        found: dict[WaitReason, _WaitingSteps] = {}
        for step in self._state.open_steps:
            waited_s = _waited_s(step, now_s)
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
            names = {attempt.worker for task in step.tasks for attempt in task.attempts}
            return WaitReason.UNCERTAIN_START, [r for r in state.workers.values() if r.id in names]
        if not any(planner.is_restart_safe(task) for task in startable):
            return WaitReason.UNCONFIRMED, []
        usable = planner.usable_workers(step, now_s)
        if not usable:
            return WaitReason.NO_WORKER, []
        with_room = [r for r in usable if state.load_of(r, now_s=now_s).has_room(step.spec)]
        if not with_room:
            return WaitReason.NO_ROOM, []
        if not any(planner.takes_work(record, now_s) for record in with_room):
            return WaitReason.QUARANTINED, with_room
        return WaitReason.OTHER, with_room


def _waited_s(step: StepRun, now_s: float) -> float:
    """Returns the time for which a step has had no attempt that is known to run."""
    if step.opened_s is None or step.is_done or not step.job.is_live:
        return 0.0
    phases = {attempt.phase for task in step.tasks for attempt in task.attempts}
    if phases - {Phase.UNCERTAIN, Phase.STARTING}:
        return 0.0
    sent_s = (a.sent_s for task in step.tasks for a in task.attempts)
    ended_s = max(task.last_end_s for task in step.tasks)
    return now_s - max(step.opened_s, ended_s, max(sent_s, default=-math.inf))


def _log_waiting(reason: WaitReason, waiting: _WaitingSteps) -> None:
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
    )
