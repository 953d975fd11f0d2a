"""Begins attempts: plans them and, once their record is stored, returns their start orders."""

import structlog

from fescuerudder.jobs.crashes import RECENT_START_S, is_on_probation
from fescuerudder.jobs.jobrun import Attempt, Phase, TaskRun
from fescuerudder.jobs.leases import LeasePolicy
from fescuerudder.jobs.schedulerstate import SchedulerState
from fescuerudder.jobs.workerport import StartOrder
from fescuerudder.jobs.workerrecord import WorkerRecord

_log = structlog.get_logger(__name__)


class AttemptStarter:
    """Begins attempts in the state of a term.

    Args:
        state: state of the term.
        leases: length of the leases.
    """

    def __init__(self, *, state: SchedulerState, leases: LeasePolicy) -> None:
        self._state = state
        self._leases = leases

    def next_number(self, task: TaskRun) -> int:
        """Returns the number of the next attempt of a task."""
        return max(task.last_number + 1, self._state.term.first_attempt)

    def plan(
        self, task: TaskRun, record: WorkerRecord, now_s: float, *, number: int = 0
    ) -> Attempt:
        """Adds an attempt of a task on a worker and returns it.

        Args:
            task: the task.
            record: the worker.
            now_s: the time.
            number: number of the attempt, 0 for the next one.
        """
        attempt = Attempt(
            task=task,
            worker=record.id,
            incarnation_ms=record.info.incarnation_ms,
            number=number or self.next_number(task),
            phase=Phase.PLANNED,
            token=record.token,
            sent_s=now_s,
            checkpoint=task.checkpoint,
        )
        self._state.plan_start(attempt)
        record.last_start_s, task.quiet_wait_since_s = now_s, None
        if is_on_probation(task):
            record.probation_until_s = now_s + RECENT_START_S
            self._state.load_of(record, now_s=now_s).starts_left = 0
        self._state.health.record_start(record.id)
        return attempt

    def order(self, attempt: Attempt, record: WorkerRecord, now_s: float) -> StartOrder:
        """Returns the start order of a planned attempt, whose record must be stored."""
        task = attempt.task
        attempt.phase, attempt.token, attempt.sent_s = Phase.STARTING, record.token, now_s
        record.last_start_s = now_s
        _log.info(
            "start ordered",
            job=task.id.job,
            task=task.id[1:],
            attempt=attempt.number,
            worker=record.id,
            token=attempt.token,
            checkpoint=attempt.checkpoint,
        )
        return StartOrder(
            worker=record.id,
            address=record.info.address,
            task=task.id,
            attempt=attempt.number,
            payload=task.step.job.job.payload,
            lease_until_ms=record.extend_lease_ms(
                now_s=now_s, lease_s=self._leases.length_s(now_s)
            ),
            token=record.token,
            checkpoint=attempt.checkpoint,
            permit=self._state.advice.permit(task.step.id, record),
        )
