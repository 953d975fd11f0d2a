"""Stops of attempts that are no longer wanted."""

import math

import structlog

from fescuerudder.jobs.job import TaskId
from fescuerudder.jobs.jobrun import Phase
from fescuerudder.jobs.schedulerstate import SchedulerState
from fescuerudder.jobs.workerport import StopOrder
from fescuerudder.jobs.workerrecord import WorkerRecord

RESEND_STOP_S = 0.5

STOP_SCAN_INTERVAL_S = 0.1
"""Time between two searches for attempts that must stop; a search looks at all attempts."""

START_ANSWER_LIMIT_S = 5.0
"""Time by which a start is answered or has failed, unless the event that says so was lost."""

_log = structlog.get_logger(__name__)


class StopPlanner:
    """Finds the attempts that must stop, and fences the starts whose answers are overdue.

    Args:
        state: state of the term.
    """

    def __init__(self, *, state: SchedulerState) -> None:
        self._state = state
        self._next_scan_s = -math.inf

    def plan(self, now_s: float) -> list[StopOrder]:
        """Returns the stops that are due."""
        if now_s < self._next_scan_s:
            return []
        self._next_scan_s = now_s + STOP_SCAN_INTERVAL_S
        orders: list[StopOrder] = []
        for record in self._state.workers.values():
            self._fence_overdue_starts(record, now_s)
            if not record.is_silent:
                orders += _plan_stops(record, now_s)
                orders += _plan_orphan_stops(record, now_s)
        return orders

    def _fence_overdue_starts(self, record: WorkerRecord, now_s: float) -> None:
        """Fences the starts whose answers are overdue, as their events were lost."""
        for attempt in record.attempts.values():
            if attempt.phase is Phase.STARTING and now_s - attempt.sent_s >= START_ANSWER_LIMIT_S:
                _log.error(
                    "start neither answered nor failed",
                    job=attempt.task.id.job,
                    task=attempt.task.id[1:],
                    attempt=attempt.number,
                    worker=record.id,
                )
                self._state.fence_start(attempt)


def _plan_stops(record: WorkerRecord, now_s: float) -> list[StopOrder]:
    orders = []
    for attempt in record.attempts.values():
        if attempt.phase is Phase.PLANNED or attempt.is_wanted:
            continue
        if attempt.stop_sent_s is None or now_s - attempt.stop_sent_s >= RESEND_STOP_S:
            attempt.stop_sent_s = now_s
            if attempt.phase is Phase.RUNNING:
                attempt.phase = Phase.STOPPING
            orders.append(_stop_order(record, attempt.task.id, attempt.number))
    return orders


def _plan_orphan_stops(record: WorkerRecord, now_s: float) -> list[StopOrder]:
    if not record.orphans or now_s - record.orphan_stop_sent_s < RESEND_STOP_S:
        return []
    record.orphan_stop_sent_s = now_s
    return [_stop_order(record, task, number) for task, number in record.orphans]


def _stop_order(record: WorkerRecord, task: TaskId, number: int) -> StopOrder:
    return StopOrder(
        worker=record.id,
        address=record.info.address,
        task=task,
        attempt=number,
        token=record.token,
    )
