"""Begins attempts: records them and returns the orders that start them."""

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

    def start(
        self, task: TaskRun, record: WorkerRecord, now_s: float, *, number: int = 0
    ) -> StartOrder:
        """Adds an attempt of a task on a worker and returns its order.

        Args:
            task: the task.
            record: the worker.
            now_s: the time.
            number: number of the attempt, 0 for the next one.
        """
        attempt = Attempt(
            task=task,
            worker=record.id,
            number=number or self.next_number(task),
            phase=Phase.STARTING,
            token=record.token,
            sent_s=now_s,
            checkpoint=task.checkpoint,
        )
        self._state.add_attempt(attempt)
        record.last_start_s, task.quiet_wait_since_s = now_s, None
        if is_on_probation(task):
            record.probation_until_s = now_s + RECENT_START_S
            self._state.load_of(record, now_s=now_s).starts_left = 0
        self._state.health.record_start(record.id)
        run = task.step.job
        _log.info(
            "start ordered",
            job=task.id.job,
            task=task.id[1:],
            attempt=attempt.number,
            worker=record.id,
            token=attempt.token,
            checkpoint=task.checkpoint,
        )
        return StartOrder(
            worker=record.id,
            address=record.info.address,
            task=task.id,
            attempt=attempt.number,
            payload=run.job.payload,
            lease_until_ms=record.extend_lease_ms(
                now_s=now_s, lease_s=self._leases.length_s(now_s)
            ),
            token=record.token,
            checkpoint=task.checkpoint,
            permit=self._state.advice.permit(task.step.id, record),
        )
