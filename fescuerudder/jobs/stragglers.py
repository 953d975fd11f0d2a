"""Choice of stragglers to start again elsewhere.

A straggler is a running task that exceeds the tail of the run times of its shape. `workerhealth`
finds slow workers by comparing several tasks of a worker with others of their steps; a single slow
task shows only in what its shape has taken so far. Run times are learned only with
`OverloadOrder.LATE_LAST`.
"""

from collections.abc import Callable

import structlog

from fescuerudder.jobs.jobrun import FULL_SPEED, Attempt, Phase, StepRun
from fescuerudder.jobs.relocation import MOVE_COST_S
from fescuerudder.jobs.runtimes import RunTimes
from fescuerudder.jobs.workerrecord import WorkerRecord

MAX_LONG_SHARE = 0.25
"""Share of the tasks of a step that may exceed the tail. Where more do, the step has more work than
others of its shape, and its tasks would take as long elsewhere."""

_log = structlog.get_logger(__name__)


def mark_stragglers(
    record: WorkerRecord,
    run_times: RunTimes,
    *,
    now_s: float,
    may_move: Callable[[Attempt], bool] = lambda attempt: True,
) -> None:
    """Marks the attempts on a worker to evict because their tasks probably end sooner elsewhere.

    Speculative steps are left alone: in replays, copies of stragglers cost more than they gained.

    Args:
        record: a worker that has just reported.
        run_times: learned run times.
        now_s: the time.
        may_move: returns whether the cap of its account lets the task of an attempt start again.
    """
    for attempt in record.attempts.values():
        if not _is_movable(attempt):
            continue
        step = attempt.task.step
        tail_s = run_times.tail_s(step.job.job.queue, step.spec)
        if _ran_s(attempt, now_s) <= tail_s or _is_step_long(step, tail_s, now_s):
            continue
        expected_s = run_times.expected_s(step.job.job.queue, step.spec)
        if _left_s(attempt, now_s) <= expected_s + MOVE_COST_S or not may_move(attempt):
            continue
        attempt.evicted = True
        _log.info(
            "attempt gives up its worker",
            job=attempt.task.id.job,
            task=attempt.task.id[1:],
            attempt=attempt.number,
            worker=record.id,
            reason="straggler",
            percent=attempt.percent,
            ran_s=round(_ran_s(attempt, now_s), 1),
            tail_s=round(tail_s, 1),
            stopped=True,
        )


def _is_movable(attempt: Attempt) -> bool:
    spec = attempt.task.step.spec
    is_usual = not (spec.long_running or spec.gang or spec.speculative or spec.best_effort)
    return (
        is_usual
        and attempt.phase is Phase.RUNNING
        and attempt.confirmed_s is not None
        and attempt.throttle in (None, FULL_SPEED)
        and not (attempt.evicted or attempt.adopted or attempt.is_last_resort)
        and not attempt.task.is_likely_faulty
    )


def _ran_s(attempt: Attempt, now_s: float) -> float:
    """Returns for how long an attempt has run, 0 if that is unknown."""
    return now_s - attempt.confirmed_s if attempt.confirmed_s is not None else 0.0


def _left_s(attempt: Attempt, now_s: float) -> float:
    """Returns how long an attempt will still run at the speed that it had so far."""
    return _ran_s(attempt, now_s) * (100 - attempt.percent) / max(1, attempt.percent)


def _is_step_long(step: StepRun, tail_s: float, now_s: float) -> bool:
    """Returns whether so many tasks of a step exceed the tail that the step itself takes longer."""
    long = 0
    for task in step.tasks:
        if task.done:
            long += task.rate is not None and 100 / task.rate > tail_s
        else:
            long += any(_ran_s(attempt, now_s) > tail_s for attempt in task.attempts)
    return long > max(1, MAX_LONG_SHARE * len(step.tasks))
