"""Records planned starts, and releases their orders.

A stored record that names a task on a worker also tells a successor that the tasks it covers may
have been started there. So only a start that no record covers waits for a write, and jobs that run
go on starting tasks while the store is out.
"""

from collections.abc import Container, Iterable

import attrs

from fescuerudder.jobs.attemptstarter import AttemptStarter
from fescuerudder.jobs.coveringstarts import CoveringStarts
from fescuerudder.jobs.jobrun import Attempt, JobRun, RecordedStart, StepRun, TaskRun
from fescuerudder.jobs.leases import LeasePolicy
from fescuerudder.jobs.rows import RowKey
from fescuerudder.jobs.schedulerstate import SchedulerState
from fescuerudder.jobs.startrecords import StoredStart, dump_starts
from fescuerudder.jobs.workerport import StartOrder
from fescuerudder.jobs.workerrecord import WorkerRecord

MAX_RECORD_WAIT_S = 0.5
"""Time for which a start waits for its record while the store is out; its task may go to a worker
that needs none then."""

RECORD_LIMIT_S = 5.0
"""The same while the store answers, unless the event that says so was lost."""


@attrs.frozen(kw_only=True)
class PendingStarts:
    """Records of starts that have to be stored.

    Args:
        rows: the records.
        deletes: keys of the records that are no longer needed. They must not be deleted before the
            progress of their jobs is stored.
        recorded: the starts that each record names, by step.
    """

    rows: dict[RowKey, bytes]
    deletes: tuple[RowKey, ...]
    recorded: dict[StepRun, frozenset[RecordedStart]]


class StartReleaser:
    """Records planned starts, and releases their orders.

    Args:
        state: state of the term.
        starter: returns the orders.
        leases: tells when the leadership was last confirmed.
    """

    def __init__(
        self, *, state: SchedulerState, starter: AttemptStarter, leases: LeasePolicy
    ) -> None:
        self._state = state
        self._starter = starter
        self._leases = leases

    @property
    def has_records(self) -> bool:
        """Whether there are records to store."""
        return bool(self._state.unrecorded_steps)

    def take_pending(self, progressed: Iterable[JobRun]) -> PendingStarts:
        """Returns the records to store, and marks them as taken.

        What they no longer name doesn't count from now on, though they are not stored yet.

        Args:
            progressed: jobs whose progress is stored together with the records. Tasks that are done
                then are no longer named.
        """
        state = self._state
        for run in progressed:
            self._drop_records_of_ended(run)
        runs = dict.fromkeys([*progressed, *(step.job for step in state.unrecorded_steps)])
        held = self._held_starts(runs)
        state.unrecorded_steps.update(dict.fromkeys(held))
        recorded = {step: _named_starts(step) for step in state.unrecorded_steps}
        rows: dict[RowKey, bytes] = {}
        for step in recorded:
            rows |= dump_starts(step, held.get(step, ()))
        pending = PendingStarts(rows=rows, deletes=self._take_deletes(rows), recorded=recorded)
        for step, starts in recorded.items():
            kept = {s for s in step.job.recorded_starts if s.task.step is not step or s in starts}
            step.job.recorded_starts = kept
        for run in progressed:
            run.recorded_starts = {s for s in run.recorded_starts if not s.task.done}
        state.recorded_steps.update(recorded)
        state.unrecorded_steps.clear()
        return pending

    def _take_deletes(self, rows: Container[RowKey]) -> tuple[RowKey, ...]:
        """Returns the keys of the records to delete, unless they are being written."""
        state = self._state
        keys = list(state.obsolete_records)
        state.obsolete_records.clear()
        for key in [key for key in state.unreadable_records if key in rows]:
            del state.unreadable_records[key]
        if state.starts_recorded:
            keys += state.unreadable_records
            state.unreadable_records.clear()
        return tuple(key for key in keys if key not in rows)

    def _drop_records_of_ended(self, run: JobRun) -> None:
        """Drops the records of an ended job, of which some steps may never have been opened."""
        if not run.is_live:
            for step in [step for step in run.steps.values() if step in self._state.recorded_steps]:
                self._state.drop_record(step)

    def _held_starts(self, runs: Iterable[JobRun]) -> dict[StepRun, list[StoredStart]]:
        """Returns what an earlier leader may have started where a task that is now done covered it.

        The record of that task tells the next leader no more of it, so each gets an entry.
        """
        held: dict[StepRun, list[StoredStart]] = {}
        for run in runs:
            starts = CoveringStarts(
                s for s in run.earlier_starts if s.task.done and self._is_unresolved(s)
            )
            for task in run.tasks() if starts else ():
                if task.done or task.attempts:
                    continue
                for start in starts.covering(task):
                    entry = StoredStart(
                        worker=start.worker,
                        incarnation_ms=start.incarnation_ms,
                        index=task.id.index,
                        number=0,
                    )
                    held.setdefault(task.step, []).append(entry)
        return held

    def _is_unresolved(self, start: RecordedStart) -> bool:
        record = self._state.workers.get(start.worker)
        return record is not None and record.may_run_covered(self._state.clock.now_s())

    def on_stored(self, recorded: dict[StepRun, frozenset[RecordedStart]]) -> None:
        """Records that the records of steps are stored."""
        for step, starts in recorded.items():
            step.job.recorded_starts |= starts

    def take_orders(self, now_s: float) -> list[StartOrder]:
        """Returns the orders of the starts that a stored record covers.

        The leadership must have been confirmed after the last attempt of the task ended: else a
        later leader may have seen that attempt end as done, or may have renewed a lease that has
        ended as far as this leader knows. A record that was planned since then shows it.

        A start that is outdated by now is withdrawn instead, and all members of its gang with it.
        The members of a gang are released together.
        """
        state = self._state
        outdated = {a: reason for a in state.planned if (reason := self._outdated_reason(a))}
        broken = {a.task.step for a in outdated if a.task.step.spec.gang}
        for attempt in [a for a in state.planned if a in outdated or a.task.step in broken]:
            state.withdraw(attempt, reason=outdated.get(attempt, "another member was withdrawn"))
        confirmed_s = self._leases.confirmed_s()
        covered = {a for a in state.planned if a.task.last_end_s <= confirmed_s and is_covered(a)}
        waiting = {a.task.step for a in state.planned if a not in covered}
        orders = []
        for attempt in list(state.planned):
            is_complete = not attempt.task.step.spec.gang or attempt.task.step not in waiting
            if attempt in covered and is_complete:
                del state.planned[attempt]
                record = state.workers[attempt.worker]
                orders.append(self._starter.order(attempt, record, now_s))
        return orders

    def withdraw_overdue(self, now_s: float) -> None:
        """Withdraws the starts that have waited too long for their records."""
        limit_s = MAX_RECORD_WAIT_S if self._leases.is_store_out(now_s) else RECORD_LIMIT_S
        for attempt in list(self._state.planned):
            if now_s - attempt.sent_s >= limit_s:
                self._state.withdraw(attempt, reason="record not stored")

    def _outdated_reason(self, attempt: Attempt) -> str:
        """Returns why a planned attempt must not be started any more, or an empty text."""
        task, state = attempt.task, self._state
        if not attempt.is_wanted:
            return "no longer needed"
        record = state.workers[attempt.worker]
        queue = state.queues[task.step.job.job.queue]
        if queue.advice is not None and not state.advice.permit(task.step.id, record):
            return "no permit"
        if not record.listed or record.gone or record.is_silent or not record.on_roster:
            return "worker lost"
        if record.info.draining or record.info.zone in state.zones_out:
            return "worker out of service"
        return "" if self._has_room(record) else "no room"

    def _has_room(self, record: WorkerRecord) -> bool:
        """Returns whether a worker that doesn't guard its capacity still has room for its tasks."""
        if self._state.guards_capacity(record):
            return True
        self._state.discard_load(record.id)
        load = self._state.load_of(record, now_s=self._state.clock.now_s())
        return not load.is_closed and not load.is_exceeded


def is_covered(attempt: Attempt) -> bool:
    """Returns whether a stored record tells a successor that an attempt may have been started.

    A successor goes by the task's own record if there is one. That of an earlier attempt doesn't
    tell, as it may count as answered.
    """
    recorded = attempt.task.step.job.recorded_starts
    own = [start for start in recorded if start.task is attempt.task]
    return any(
        start.worker == attempt.worker
        and start.incarnation_ms == attempt.incarnation_ms
        and (start.number == attempt.number if own else start.covers(attempt.task))
        for start in own or recorded
    )


def may_start_covered(task: TaskRun) -> bool:
    """Returns whether a new attempt of a task may go out under the record of another task."""
    return all(start.task is not task for start in task.step.job.recorded_starts)


def _named_starts(step: StepRun) -> frozenset[RecordedStart]:
    return frozenset(
        RecordedStart(
            task=a.task, worker=a.worker, incarnation_ms=a.incarnation_ms, number=a.number
        )
        for a in step.recorded_attempts()
    )
