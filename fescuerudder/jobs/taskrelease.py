"""Release of bound tasks whose worker answers but doesn't take them, as it drains, say, or is full.

A task is bound to the worker of a start without an answer, as only a later incarnation of that
worker may carry the order out (see `latestarts`). While the worker is in contact, its present
incarnation lives, and that has refused the order: a run elsewhere is the only one. Once a call gets
no answer the task is bound again, though its run elsewhere goes on. Once no connection can be
established the worker may have crashed, and its next incarnation may begin a run of its own: the
run elsewhere is stopped.

Nothing is stored: the record of a step names late starts and live attempts, and a successor treats
a late start beside an attempt elsewhere in the same way.
"""

import structlog

from fescuerudder.jobs.headroom import READY_PERCENT
from fescuerudder.jobs.jobrun import Attempt, Phase, TaskRun
from fescuerudder.jobs.relocation import evict, may_interrupt
from fescuerudder.jobs.schedulerstate import SchedulerState
from fescuerudder.jobs.usableworkers import why_takes_no_work
from fescuerudder.jobs.workerrecord import WorkerRecord

RELEASE_WAIT_S = 2.0
"""Time for which a bound task waits for its worker to take it."""

MAY_START_ELSEWHERE = "may start elsewhere"
"""Reason, in the log, of a run that ends as its task may begin another one."""

_log = structlog.get_logger(__name__)


def release_untaken(state: SchedulerState, task: TaskRun, now_s: float) -> None:
    """Releases a task from the workers that have reported since it has waited for them."""
    waited_s = max(task.step.opened_s or now_s, task.last_end_s) + RELEASE_WAIT_S
    for late in task.late_starts:
        record = state.workers.get(late.worker)
        if not late.is_released and record is not None and _is_in_contact(record, waited_s):
            late.is_released = True
            _log.info(
                "task released from its worker",
                job=task.id.job,
                task=task.id[1:],
                attempt=late.number,
                worker=late.worker,
                reason=why_untaken(state, task, record, now_s),
            )


def bind_again(state: SchedulerState, record: WorkerRecord, *, may_have_crashed: bool) -> None:
    """Binds the tasks that were released from a worker to it again.

    Args:
        state: state of the term.
        record: a worker that gave no answer, or before its record is reset for a new incarnation.
        may_have_crashed: runs elsewhere are stopped, unless that would leave a step with fewer
            tasks at work than it allows. Else only those not begun yet are withdrawn.
    """
    for late in [*state.late_starts.of_worker(record.id), *_unanswered_starts(record)]:
        if late.task.step.spec.speculative or late.task.done:
            continue
        late.is_released = False
        for attempt in list(late.task.attempts):
            if attempt.worker == record.id:
                continue
            if attempt.phase is Phase.PLANNED:
                state.withdraw(attempt, reason=MAY_START_ELSEWHERE)
            elif may_have_crashed:
                _stop(attempt, lost=record.id)


def why_untaken(state: SchedulerState, task: TaskRun, record: WorkerRecord, now_s: float) -> str:
    """Returns why a worker doesn't take a task that is bound to it, as far as can be told."""
    if reason := why_takes_no_work(state, record, now_s):
        return reason
    if record.id in task.avoided_workers:
        return "avoided"
    if not state.load_of(record, now_s=now_s).has_room(task.step.spec):
        return "no room"
    return "other"


def _is_in_contact(record: WorkerRecord, since_s: float) -> bool:
    """Returns whether a worker has reported since a time, and refuses earlier orders."""
    has_reported = record.report_s is not None and record.report_s >= since_s
    is_fenced = record.is_fenced and record.resolved
    return has_reported and is_fenced and not record.is_silent and not record.gone


def _unanswered_starts(record: WorkerRecord) -> list[Attempt]:
    """Returns the starts of an earlier leader that the next incarnation may carry out."""
    attempts = record.attempts.values()
    return [a for a in attempts if a.phase is Phase.UNCERTAIN and not a.is_answered]


def _stop(attempt: Attempt, *, lost: str) -> None:
    """Stops an attempt whose task may begin a run at a worker that may have crashed."""
    step = attempt.task.step
    is_at_work = step.spec.long_running and attempt.percent >= READY_PERCENT
    if attempt.evicted or (is_at_work and not may_interrupt(step)):
        return
    evict(attempt, reason=MAY_START_ELSEWHERE, elsewhere=lost)
