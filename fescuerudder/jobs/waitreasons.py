"""Why open steps start nothing, as log lines and metrics for the operators."""

import enum
import math
from collections.abc import Iterable, Iterator
from typing import Any

import attrs
import structlog

from fescuerudder.jobs.jobrun import Attempt, Phase, StepRun, TaskRun
from fescuerudder.jobs.latestarts import bound_worker
from fescuerudder.jobs.schedulerstate import SchedulerState
from fescuerudder.jobs.starts import StartPlanner
from fescuerudder.jobs.takeoverwaits import TakeoverWaits, is_restored
from fescuerudder.jobs.taskrelease import why_untaken
from fescuerudder.jobs.usableworkers import takes_work, workers_for
from fescuerudder.jobs.workerrecord import WorkerRecord

CHECK_INTERVAL_S = 1.0
"""Time between two checks; a check looks at all open steps."""

LONG_WAIT_S = 3.0
"""Time without a live attempt after which a step is reported."""

LOG_INTERVAL_S = 5.0
"""Time between two log lines with the same reason."""

MAX_NAMED_WORKERS = 5
"""Number of workers that a log line names."""

MAX_NAMED_TASKS = 5
"""Number of tasks that a log line names."""

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
class _Waiting:
    """Tasks that wait together: those of a step, or those of them that wait for the same.

    Args:
        step: their step.
        tasks: the tasks.
        waited_s: for how long they have had no attempt that is known to run.
    """

    step: StepRun
    tasks: list[TaskRun] = attrs.Factory(list)
    waited_s: float = 0.0

    @property
    def attempts(self) -> list[Attempt]:
        """Their live attempts."""
        return [attempt for task in self.tasks for attempt in task.attempts]

    @property
    def startable(self) -> list[TaskRun]:
        """Those of them that may be started."""
        return [task for task in self.tasks if task.is_startable]


@attrs.define(kw_only=True)
class _WaitingSteps:
    """The steps that wait for one reason.

    Args:
        steps: the steps.
        longest_s: longest wait.
        example: the tasks that have waited longest.
        workers: workers that the reason names.
    """

    steps: set[StepRun] = attrs.Factory(set)
    longest_s: float = 0.0
    example: _Waiting | None = None
    workers: list[str] = attrs.Factory(list)

    def add(self, waiting: _Waiting, workers: Iterable[WorkerRecord]) -> None:
        """Adds tasks that wait."""
        self.steps.add(waiting.step)
        if waiting.waited_s >= self.longest_s:
            self.longest_s, self.example = waiting.waited_s, waiting
            self.workers = sorted(record.id for record in workers)


class WaitMonitor:
    """Reports steps that could start and have had no attempt in sight for LONG_WAIT_S.

    Each task of a step that lasts counts by itself, whether others run or not. An attempt on a
    worker that does not answer is out of sight.

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
        self._silent: set[str] = set()
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
                _log_waiting(reason, waiting, self._figures(reason, waiting, now_s))

    def _figures(self, reason: WaitReason, waiting: _WaitingSteps, now_s: float) -> dict[str, Any]:
        """Returns further fields of the line on the step that has waited longest.

        They are what its account has running, and its cap, or what keeps the workers that its tasks
        are bound to from taking them.
        """
        assert waiting.example is not None
        if reason is WaitReason.AT_CAP:
            name = waiting.example.step.job.job.account
            return {"account": name, **self._state.usage.figures(name)}
        if reason is WaitReason.LATE_START:
            return {"bound_to": self._bonds(waiting.example, now_s)}
        return {}

    def _bonds(self, waiting: _Waiting, now_s: float) -> dict[str, str]:
        """Returns why the workers that waiting tasks are bound to don't take them."""
        records = self._state.workers
        return {
            worker: why_untaken(self._state, task, record, now_s)
            for task in waiting.startable[:MAX_NAMED_WORKERS]
            if (worker := bound_worker(task)) is not None
            and (record := records.get(worker)) is not None
        }

    def _collect(self, now_s: float) -> dict[WaitReason, _WaitingSteps]:
        found: dict[WaitReason, _WaitingSteps] = {}
        self._silent = {record.id for record in self._state.workers.values() if record.is_silent}
        for step in self._state.open_steps:
            for waiting in self._waiting_tasks(step, now_s):
                reason, workers = self._diagnose(waiting, now_s)
                found.setdefault(reason, _WaitingSteps()).add(waiting, workers)
        return found

    def _waiting_tasks(self, step: StepRun, now_s: float) -> Iterator[_Waiting]:
        """Yields the tasks of a step that have waited long, by what they wait for."""
        if not step.spec.long_running or step.spec.gang:
            waited_s = self._waited_s(step, step.tasks, now_s)
            if waited_s >= LONG_WAIT_S:
                yield _Waiting(step=step, tasks=step.tasks, waited_s=waited_s)
            return
        groups: dict[tuple[str | None, bool], _Waiting] = {}
        for task in step.tasks:
            if self._is_in_sight(task):
                continue
            waited_s = self._waited_s(step, [task], now_s)
            if waited_s >= LONG_WAIT_S and not task.done:
                key = (bound_worker(task), task.is_startable)
                group = groups.setdefault(key, _Waiting(step=step))
                group.tasks.append(task)
                group.waited_s = max(group.waited_s, waited_s)
        yield from groups.values()

    def _is_in_sight(self, task: TaskRun) -> bool:
        """Returns whether a task clearly runs, as almost all of the many that last do."""
        attempts = task.attempts
        if not attempts or attempts[0].phase is not Phase.RUNNING:
            return False
        return attempts[0].worker not in self._silent

    def _diagnose(self, waiting: _Waiting, now_s: float) -> tuple[WaitReason, list[WorkerRecord]]:
        """Returns the first reason that applies, and the workers that it concerns."""
        state, planner, step = self._state, self._planner, waiting.step
        if step.job.job.queue not in state.queues:
            return WaitReason.NO_QUEUE, []
        waits = set(waiting.tasks)
        startable = [task for task in planner.startable_tasks(step) if task in waits]
        if not startable and waiting.startable:
            return WaitReason.EARLIER_LEADER, state.unresolved_workers(step.job)
        if any(task.is_held_back for task in waiting.tasks) and not startable:
            return WaitReason.HELD_BACK, []
        if not startable:
            return self._diagnose_attempts(waiting)
        if planner.is_store_out(now_s):
            return WaitReason.STORE_OUT, []
        if not any(planner.is_restart_safe(task) for task in startable):
            return WaitReason.UNCONFIRMED, []
        if not state.usage.may_start(step):
            return WaitReason.AT_CAP, []
        bound = {worker for task in startable if (worker := bound_worker(task)) is not None}
        if bound and all(task.late_starts for task in startable):
            return WaitReason.LATE_START, [r for r in state.workers.values() if r.id in bound]
        usable = workers_for(state, step, now_s)
        if not usable:
            return WaitReason.NO_WORKER, []
        with_room = [r for r in usable if state.load_of(r, now_s=now_s).has_room(step.spec)]
        if not with_room:
            return WaitReason.NO_ROOM, []
        if not any(takes_work(state, record, now_s) for record in with_room):
            return WaitReason.QUARANTINED, with_room
        return WaitReason.OTHER, with_room

    def _diagnose_attempts(self, waiting: _Waiting) -> tuple[WaitReason, list[WorkerRecord]]:
        """Returns the reason for tasks of which each has an attempt out of sight."""
        attempts = waiting.attempts
        names = {attempt.worker for attempt in attempts}
        workers = [r for r in self._state.workers.values() if r.id in names]
        if any(is_restored(attempt) for attempt in attempts):
            return WaitReason.EARLIER_START, workers
        if any(attempt.phase is Phase.PLANNED for attempt in attempts):
            return WaitReason.UNRECORDED, workers
        if any(attempt.phase in (Phase.STARTING, Phase.UNCERTAIN) for attempt in attempts):
            return WaitReason.UNCERTAIN_START, workers
        return WaitReason.OUT_OF_SIGHT, workers

    def _waited_s(self, step: StepRun, tasks: list[TaskRun], now_s: float) -> float:
        """Returns the time for which tasks have had no attempt that is known to run."""
        if step.opened_s is None or step.is_done or not step.job.is_live:
            return 0.0
        since_s = max(step.opened_s, max(task.last_end_s for task in tasks))
        for attempt in (attempt for task in tasks for attempt in task.attempts):
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


def _log_waiting(reason: WaitReason, waiting: _WaitingSteps, figures: dict[str, Any]) -> None:
    assert waiting.example is not None
    step = waiting.example.step
    _log.warning(
        "steps wait",
        result=reason.value,
        steps=len(waiting.steps),
        longest_s=round(waiting.longest_s, 2),
        job=step.job.job.id,
        step=step.id[1:],
        tasks=[task.id.index for task in waiting.example.tasks[:MAX_NAMED_TASKS]],
        workers=waiting.workers[:MAX_NAMED_WORKERS],
        worker_count=len(waiting.workers),
        **figures,
    )
