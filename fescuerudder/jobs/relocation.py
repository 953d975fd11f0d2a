"""Choice of attempts to move away from slow or stalled workers, or because of a throttle."""

from collections.abc import Callable, Iterable
from typing import Any

import structlog

from fescuerudder.jobs.headroom import READY_PERCENT
from fescuerudder.jobs.jobplacement import Demand, fits
from fescuerudder.jobs.jobrun import FULL_SPEED, Attempt, Phase, StepRun
from fescuerudder.jobs.load import Load
from fescuerudder.jobs.workerhealth import HealthStatus
from fescuerudder.jobs.workerrecord import WorkerRecord

MAX_RESTART_PERCENT = 60
"""Progress up to which a task without checkpoints is restarted elsewhere; later it is faster to let
it finish."""

MIN_THROTTLED_S = 0.6
"""Time for which an attempt must be throttled before it may move; many throttles are short."""

MIN_RUN_S = 1.5
"""Time for which an attempt must run before it may move, so that none moves back and forth."""

MOVE_COST_S = 1.5
"""Time from the stop of an attempt until its successor works on another worker."""

_log = structlog.get_logger(__name__)


def mark_evictions(
    record: WorkerRecord,
    health: HealthStatus,
    *,
    has_room_elsewhere: bool,
    may_move: Callable[[Attempt], bool] = lambda attempt: True,
) -> None:
    """Marks the attempts to evict from a worker; a speculative task may get a copy instead.

    Args:
        record: the worker.
        health: its health.
        has_room_elsewhere: another worker takes tasks.
        may_move: returns whether the cap of its account lets the task of an attempt start again.
    """
    for attempt in record.attempts.values():
        if attempt.phase is not Phase.RUNNING or attempt.evicted or attempt.worker_in_doubt:
            continue
        if attempt.is_last_resort:
            continue
        spec = attempt.task.step.spec
        if spec.speculative and not spec.gang:
            attempt.worker_in_doubt = True
        elif has_room_elsewhere and may_move(attempt) and _is_worth_moving(attempt, health):
            attempt.evicted = True
        else:
            continue
        _log_given_up(attempt, reason=health.value)


def evict(attempt: Attempt, *, reason: str, **figures: Any) -> None:
    """Lets an attempt be stopped, for another reason than its worker, so its task starts elsewhere.

    Args:
        attempt: the attempt.
        reason: the reason, for the log.
        figures: further fields of the log line.
    """
    attempt.evicted = attempt.leaves_healthy_worker = True
    _log_given_up(attempt, reason=reason, **figures)


def _log_given_up(attempt: Attempt, *, reason: str, **figures: Any) -> None:
    _log.info(
        "attempt gives up its worker",
        job=attempt.task.id.job,
        task=attempt.task.id[1:],
        attempt=attempt.number,
        worker=attempt.worker,
        reason=reason,
        percent=attempt.percent,
        stopped=attempt.evicted,
        **figures,
    )


def _is_worth_moving(attempt: Attempt, health: HealthStatus) -> bool:
    spec = attempt.task.step.spec
    if spec.gang or attempt.task.is_likely_faulty:
        return False
    if spec.long_running:
        return health is HealthStatus.STALLED and may_interrupt(attempt.task.step)
    if health is HealthStatus.STALLED or spec.checkpoints:
        return True
    return attempt.percent <= MAX_RESTART_PERCENT


class ThrottledMoves:
    """Moves throttled best-effort attempts to workers where they can run at full speed."""

    def __init__(self) -> None:
        self._throttled_since_s: dict[Attempt, float] = {}

    def plan(self, attempts: Iterable[Attempt], loads: list[Load], *, now_s: float) -> None:
        """Marks the attempts to move, and adds them to the loads that have room for them.

        Args:
            attempts: attempts on workers that have just reported.
            loads: loads of the workers that take tasks.
            now_s: the time.
        """
        for attempt in attempts:
            if not _is_throttled_and_movable(attempt):
                self._throttled_since_s.pop(attempt, None)
                continue
            since_s = self._throttled_since_s.setdefault(attempt, now_s)
            if now_s - since_s < MIN_THROTTLED_S or not _ends_sooner_elsewhere(attempt, now_s):
                continue
            load = _find_room(attempt, loads)
            if load is None:
                continue
            load.add(attempt.task.step.spec)
            evict(attempt, reason="throttled", throttle=attempt.throttle)

    def forget_ended(self) -> None:
        """Drops the data of attempts that are no longer live."""
        self._throttled_since_s = {
            a: s for a, s in self._throttled_since_s.items() if a in a.task.attempts
        }


def _is_throttled_and_movable(attempt: Attempt) -> bool:
    spec = attempt.task.step.spec
    return (
        spec.best_effort
        and spec.checkpoints
        and not spec.gang
        and attempt.phase is Phase.RUNNING
        and not attempt.evicted
        and attempt.throttle is not None
        and attempt.throttle < FULL_SPEED
    )


def _ends_sooner_elsewhere(attempt: Attempt, now_s: float) -> bool:
    """Returns whether the rest of the work ends sooner elsewhere, including the move."""
    if attempt.confirmed_s is None or now_s - attempt.confirmed_s < MIN_RUN_S:
        return False
    estimated_s = attempt.task.step.spec.estimated_ms / 1000
    left_s = estimated_s * (1 - attempt.percent / 100)
    speed = (attempt.throttle or 0) / FULL_SPEED
    return left_s * (1 - speed) > MOVE_COST_S * speed


def _find_room(attempt: Attempt, loads: list[Load]) -> Load | None:
    demand = Demand(step=attempt.task.step.spec, count=1)
    return next(
        (load for load in loads if load.record.id != attempt.worker and fits(demand, load)), None
    )


def may_interrupt(step: StepRun) -> bool:
    """Returns whether the scheduler may interrupt one more task of a long-running step."""
    if step.spec.max_unavailable is None:
        return True
    unavailable = sum(
        1
        for task in step.tasks
        if not any(a.percent >= READY_PERCENT and not a.evicted for a in task.attempts)
    )
    return unavailable < step.spec.max_unavailable
