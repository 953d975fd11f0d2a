"""What the answer to a start, or that there was none, tells of the attempt and its worker."""

import structlog

from fescuerudder.jobs.jobrun import Attempt, Phase
from fescuerudder.jobs.schedulerstate import SchedulerState
from fescuerudder.jobs.workerport import OrderAnswer, OrderResult, StartOrder
from fescuerudder.jobs.workerrecord import WorkerRecord

REFUSED_START_PAUSE_S = 0.3
"""Time without further starts on a worker that had no room for one, was unhealthy or was not
connected."""

_log = structlog.get_logger(__name__)


def apply_start_answer(
    state: SchedulerState,
    record: WorkerRecord,
    attempt: Attempt,
    order: StartOrder,
    answer: OrderAnswer,
) -> None:
    """Updates an attempt and its worker from the answer to its start order.

    An answer of another worker at the address leaves the attempt to the caller, as everything that
    ran on the worker has ended.
    """
    now_s = state.clock.now_s()
    attempt.is_answered |= answer.result is not OrderResult.UNKNOWN
    record.update_clock(answer.clock_ms, token=order.token, now_s=now_s)
    if answer.result is OrderResult.DONE:
        _apply_confirmation(state, record, attempt, answer, now_s)
        return
    _log.info(
        "start not confirmed",
        job=order.task.job,
        task=order.task[1:],
        attempt=order.attempt,
        worker=order.worker,
        result=answer.result.value,
    )
    if answer.result is OrderResult.UNKNOWN:
        state.fence_start(attempt)
    elif answer.result is not OrderResult.OTHER_LIFE:
        _apply_refusal(state, record, attempt, answer, now_s)


def _apply_confirmation(
    state: SchedulerState,
    record: WorkerRecord,
    attempt: Attempt,
    answer: OrderAnswer,
    now_s: float,
) -> None:
    """Marks an attempt as running, unless a later incarnation of its worker has begun it."""
    if answer.clock_ms is not None and not record.clock.may_have_shown(
        answer.clock_ms, since_s=attempt.sent_s
    ):
        # A report of that incarnation shows that it has begun, and that the last one has ended. The
        # deadline was on another clock, so its lease may be the longest, and late renewals may
        # extend it: the task stays bound as after a start without an answer.
        _log.info("start answered by a later incarnation", worker=record.id)
        attempt.is_answered = False
        state.fence_start(attempt)
        record.expect_longest_lease(now_s=now_s, max_lease_s=state.max_lease_s)
        state.roster_changed = True
        return
    if attempt.phase is not Phase.STOPPING:
        attempt.phase = Phase.RUNNING
    attempt.confirmed_s = now_s
    state.mark_begun(attempt.task.step.job)


def _apply_refusal(
    state: SchedulerState,
    record: WorkerRecord,
    attempt: Attempt,
    answer: OrderAnswer,
    now_s: float,
) -> None:
    """Requeues an attempt that the worker refused, or that was not sent."""
    if answer.result is OrderResult.NO_PERMIT:
        state.advice.drop_permit(attempt.task.step.id, record.id)
    elif answer.result in (OrderResult.NO_ROOM, OrderResult.UNHEALTHY, OrderResult.NOT_SENT):
        record.no_starts_until_s = now_s + REFUSED_START_PAUSE_S
    state.requeue(attempt, checkpoint="", reason=answer.result.value)
