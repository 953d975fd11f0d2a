"""Decides which attempts leave a worker that is slow or stands still."""

import structlog

from fescuerudder.jobs.headroom import AT_WORK
from fescuerudder.jobs.jobrun import Attempt, Phase, StepRun
from fescuerudder.jobs.workerbook import WorkerBook
from fescuerudder.jobs.workerhealth import Verdict

MOST_DONE_PERCENT = 60
"""Progress up to which it pays to start a task anew elsewhere, if it saves none."""

_log = structlog.get_logger(__name__)


def evict_from(book: WorkerBook, verdict: Verdict, *, has_room_elsewhere: bool) -> None:
    """Marks the attempts that are to leave; a speculative task gets a copy instead.

    Args:
        book: the worker.
        verdict: how it does.
        has_room_elsewhere: another worker takes work.
    """
    for attempt in book.attempts.values():
        if attempt.phase is not Phase.RUNNING or attempt.evicted or attempt.doubted:
            continue
        spec = attempt.task.step.spec
        if spec.speculative and not spec.gang:
            attempt.doubted = True
        elif has_room_elsewhere and _pays(attempt, verdict):
            attempt.evicted = True
        else:
            continue
        _log.info(
            "attempt gives up its worker",
            job=attempt.task.id.job,
            task=attempt.task.id[1:],
            attempt=attempt.number,
            worker=book.id,
            reason=verdict.value,
            percent=attempt.percent,
            stopped=attempt.evicted,
        )


def _pays(attempt: Attempt, verdict: Verdict) -> bool:
    spec = attempt.task.step.spec
    if spec.gang or attempt.task.is_odd:
        return False
    if spec.long_running:
        return verdict is Verdict.STILL and may_interrupt(attempt.task.step)
    if verdict is Verdict.STILL or spec.checkpoints:
        return True
    return attempt.percent <= MOST_DONE_PERCENT


def may_interrupt(step: StepRun) -> bool:
    """Returns whether one more task of a long-running step may be away because of the scheduler."""
    if step.spec.max_unavailable is None:
        return True
    away = sum(
        1
        for task in step.tasks
        if not any(a.percent >= AT_WORK and not a.evicted for a in task.attempts)
    )
    return away < step.spec.max_unavailable
