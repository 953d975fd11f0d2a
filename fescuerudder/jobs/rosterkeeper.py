"""Keeps the leader's worker records consistent with the registry and with the stored roster."""

from collections.abc import Iterable

import attrs
import structlog

from fescuerudder.jobs.jobrun import (
    MAX_ORDER_DELAY_S,
    Attempt,
    Phase,
    RecordedStart,
    TaskRun,
)
from fescuerudder.jobs.latestarts import StoredLateStart
from fescuerudder.jobs.leases import predecessor_leases_s
from fescuerudder.jobs.reports import ReportReconciler
from fescuerudder.jobs.roster import (
    UNREADABLE,
    AttemptRef,
    RosterEntry,
)
from fescuerudder.jobs.rosterrows import SerializedRoster, dump_roster_rows
from fescuerudder.jobs.rows import StoreClock
from fescuerudder.jobs.schedulerstate import SchedulerState
from fescuerudder.jobs.startrecords import StepStarts, StoredStarts
from fescuerudder.jobs.storage import roster_key, starts_key
from fescuerudder.jobs.workerport import WorkerInfo
from fescuerudder.jobs.workerrecord import WorkerClock, WorkerRecord, longest_lease_s

RESTRICT_AFTER_RENEWALS = 2
"""Number of unanswered renewals after which the roster restricts a worker to its attempts."""

_log = structlog.get_logger(__name__)


@attrs.frozen(kw_only=True)
class PendingRoster:
    """A changed roster that has to be stored.

    Args:
        roster: the serialized roster.
        incarnations: incarnations of the workers that may get tasks once it is stored, by id.
        leases_until_s: when the last lease has ended that an order to an earlier incarnation of one
            of these workers may have extended; the bound on leases must cover it.
    """

    roster: SerializedRoster
    incarnations: dict[str, int]
    leases_until_s: float


class RosterKeeper:
    """Updates worker records from the registry and the stored roster, and prepares new rosters.

    Args:
        state: state of the scheduler.
        reconciler: handles new incarnations of workers.
    """

    def __init__(self, *, state: SchedulerState, reconciler: ReportReconciler) -> None:
        self._state = state
        self._reconciler = reconciler
        self._claimed_s = state.clock.now_s()
        self._store_clock: StoreClock | None = None
        self._leases_until_ms: int | None = None
        self._is_roster_complete = True
        self._stored_rows = 0
        self._has_several_rows = False
        self._is_whole = True

    def set_workers(self, infos: Iterable[WorkerInfo]) -> None:
        """Updates the records from the complete registry of workers."""
        now_s = self._state.clock.now_s()
        listed = {info.id: info for info in infos}
        for info in listed.values():
            self._update_listed(info, now_s)
            self._state.discard_load(info.id)
        for record in list(self._state.workers.values()):
            if record.id not in listed:
                self._mark_unlisted(record)

    def restore(
        self,
        entries: Iterable[RosterEntry],
        *,
        stored_rows: int = 0,
        store_clock: StoreClock | None,
        starts: StoredStarts,
        late_starts: Iterable[StoredLateStart] = (),
        leases_until_ms: int | None,
    ) -> None:
        """Adds the workers on which tasks of earlier leaders may run, and these tasks.

        Must be called after all jobs are restored and before `set_workers`.

        Args:
            entries: the stored roster.
            stored_rows: highest number of one of its further rows.
            store_clock: reading of the store's clock, None if the store told none.
            starts: the records of starts.
            late_starts: the late starts, and those without an answer, that the last leader knew.
            leases_until_ms: when all leases of earlier leaders have expired, on the store's clock;
                None if it tells no more than the claim.
        """
        now_s = self._state.clock.now_s()
        self._store_clock, self._leases_until_ms = store_clock, leases_until_ms
        self._stored_rows = stored_rows
        # Instances that read only one row may follow, and one may have led and left rows behind.
        self._state.roster_changed = self._state.roster_changed or stored_rows > 0
        entries = list(entries)
        self._is_roster_complete = UNREADABLE not in entries
        self._state.starts_recorded = starts.is_complete and self._is_roster_complete
        for entry in entries:
            record = self._new_record(entry.info, now_s)
            record.listed, record.on_roster = False, True
            record.late_orders_until_s = self._late_orders_end_s()
            self._expect_earlier_attempts(record, until_s=self._ended_by_s(entry))
            self._state.workers[record.id] = record
            if entry.only_attempts is not None or entry.deadline_ms is not None:
                record.on_roster, record.is_restricted = False, True
                record.silent_since_s, record.unanswered_renewals = now_s, RESTRICT_AFTER_RENEWALS
            if entry.only_attempts is not None:
                record.resolved, record.may_run_unknown = True, False
            if entry.only_attempts is not None and not self._state.starts_recorded:
                self._restore_listed_attempts(record, entry.only_attempts, now_s)
        self._state.obsolete_records.update(dict.fromkeys(map(starts_key, starts.obsolete)))
        self._state.unreadable_records.update(dict.fromkeys(starts.unreadable))
        for recorded in starts.steps:
            self._restore_recorded_attempts(recorded, now_s)
        for late in late_starts:
            self._restore_late_start(late, now_s)
        for record in self._state.workers.values():
            self._expect_late_orders(record)

    def _expect_late_orders(self, record: WorkerRecord) -> None:
        """Sets until when the restored starts without an answer may be carried out."""
        if record.may_run_unknown:
            late_run_s = longest_lease_s(self._state.max_lease_s)
            record.covered_starts_until_s = self._late_orders_end_s() + late_run_s
        for attempt in record.attempts.values():
            if not attempt.is_answered and attempt.late_until_s is None:
                attempt.late_until_s = self._late_orders_end_s()

    def _late_orders_end_s(self) -> float:
        """Returns when no order that an earlier leader sent can be carried out any more.

        One that is paused or cut off sends orders until the leases that it may grant would end.
        """
        until_s, clock = self._earlier_leases_end_s(), self._store_clock
        if clock is not None and self._leases_until_ms is not None:
            until_s = min(until_s, clock.latest_s(self._leases_until_ms))
        return max(until_s, self._claimed_s) + MAX_ORDER_DELAY_S

    def _ended_by_s(self, entry: RosterEntry) -> float:
        """Returns when everything that earlier leaders left on a worker has ended."""
        until_s = self._earlier_leases_end_s()
        clock = self._store_clock
        bounds_ms = [ms for ms in (entry.deadline_ms, self._leases_until_ms) if ms is not None]
        if clock is None or not bounds_ms:
            return until_s
        return min(until_s, clock.latest_s(min(bounds_ms)))

    def _earlier_leases_end_s(self) -> float:
        """Returns when all leases that began before the claim have ended."""
        return self._claimed_s + predecessor_leases_s(self._state.max_lease_s)

    def _expect_earlier_attempts(self, record: WorkerRecord, *, until_s: float) -> None:
        """Marks a worker on which attempts of earlier leaders may run until their leases end."""
        record.resolved, record.resolved_by_s = False, until_s
        record.may_run_unknown, record.unknown_until_s = True, until_s

    def _restore_listed_attempts(
        self, record: WorkerRecord, only_attempts: Iterable[AttemptRef], now_s: float
    ) -> None:
        """Restores the attempts on a worker that did not answer an earlier leader either."""
        for task_id, number in only_attempts:
            task = self._state.find_task(task_id)
            if task is not None:
                self._state.unrecorded_steps[task.step] = None
                self._restore_attempt(record, task, number, record.info.incarnation_ms, now_s)

    def _restore_recorded_attempts(self, recorded: StepStarts, now_s: float) -> None:
        """Restores the attempts in the record of a step.

        Those on a worker that is not on the roster have ended, else it would still be there.
        """
        step = self._state.find_step(recorded.step)
        if step is None:
            self._state.obsolete_records[starts_key(recorded.step)] = None
            return
        self._state.recorded_steps.add(step)
        if step.is_done:
            self._state.drop_record(step)
            return
        for start in recorded.starts if self._state.starts_recorded else ():
            record, task = self._state.workers.get(start.worker), step.task(start.index)
            if record is None or task is None or task.done:
                continue
            if (task.id, start.number) in record.attempts:
                # Several entries without a number tell of one start.
                continue
            self._restore_attempt(
                record,
                task,
                start.number,
                start.incarnation_ms,
                now_s,
                is_answered=start.is_answered,
            )
            recorded_start = RecordedStart(
                task=task,
                worker=record.id,
                incarnation_ms=start.incarnation_ms,
                number=start.number,
            )
            step.job.earlier_starts.add(recorded_start)
            step.job.recorded_starts.add(recorded_start)

    def _restore_attempt(
        self,
        record: WorkerRecord,
        task: TaskRun,
        number: int,
        incarnation_ms: int,
        now_s: float,
        *,
        is_answered: bool = False,
    ) -> None:
        """Restores an attempt as uncertain, unless its task no longer needs it."""
        if task.done or not task.step.job.is_live:
            if number and task.step.job.job.account:
                # It may still run, and counts for its account until a report or its lease tells.
                self._state.set_orphans(record, record.orphans | {(task.id, number)})
            return
        attempt = Attempt(
            task=task,
            worker=record.id,
            incarnation_ms=incarnation_ms,
            number=number,
            phase=Phase.UNCERTAIN,
            token=record.token - 1,
            sent_s=now_s,
            throttle=None,
            adopted=True,
            restored=True,
            is_answered=is_answered or number in task.failed_attempts,
        )
        self._state.add_attempt(attempt)

    def _restore_late_start(self, late: StoredLateStart, now_s: float) -> None:
        """Restores how long a late start may still be carried out, and the start if no record does.

        Instances of the previous version don't update the row, so it may hold outdated ones. One
        without an attempt, as its task has ended, is stored again for the next leader.
        """
        record, task = self._state.workers.get(late.worker), self._state.find_task(late.task)
        if record is None:
            return
        until_s = self._late_orders_end_s()
        if self._store_clock is not None and late.until_ms:
            until_s = min(until_s, self._store_clock.latest_s(late.until_ms))
        key = (late.task, late.number)
        if key not in record.attempts and task is not None and now_s < until_s:
            self._restore_attempt(record, task, late.number, late.incarnation_ms, now_s)
        attempt = record.attempts.get(key)
        if attempt is not None:
            attempt.late_until_s = max(until_s, attempt.late_until_s or until_s)
        if now_s < until_s:
            self._state.late_starts.expect_stored(
                late, until_s=until_s, is_live=attempt is not None
            )

    def _update_listed(self, info: WorkerInfo, now_s: float) -> None:
        record = self._state.workers.get(info.id)
        if record is not None and record.info.address != info.address:
            self._state.roster_changed = True
        if record is None:
            record = self._state.workers[info.id] = self._new_record(info, now_s)
            until_s = self._earlier_leases_end_s()
            if not self._is_roster_complete and now_s < until_s:
                self._expect_earlier_attempts(record, until_s=until_s)
            record.update_info(info)
            self._state.roster_changed = True
        elif info.incarnation_ms == record.info.incarnation_ms:
            record.clock.update(reading_ms=info.clock_ms, now_s=now_s)
            record.update_info(info)
        elif record.has_begun(info.incarnation_ms):
            self._reconciler.begin_incarnation(
                record, incarnation_ms=info.incarnation_ms, clock_ms=info.clock_ms, now_s=now_s
            )
            record.update_info(info)

    def _new_record(self, info: WorkerInfo, now_s: float) -> WorkerRecord:
        """Returns the record of a worker on which no leader has started anything."""
        return WorkerRecord(
            info=info,
            clock=WorkerClock(reading_ms=info.clock_ms, read_s=now_s),
            token=self._state.raised_tokens.get(info.id, self._state.term.first_token),
            first_token=self._state.raised_tokens.get(info.id, 0),
            resolved=True,
        )

    def _mark_unlisted(self, record: WorkerRecord) -> None:
        if record.listed:
            _log.info("worker left the registry", worker=record.id, attempts=len(record.attempts))
        record.listed = False
        if self._state.may_forget(record):
            self._state.forget_worker(record)

    def count_unanswered_renewal(self, record: WorkerRecord) -> None:
        """Counts a renewal without an answer."""
        record.unanswered_renewals += 1
        if record.unanswered_renewals == _restrict_after(record):
            self._state.roster_changed = True

    def take_changed(self, *, several_rows: bool) -> PendingRoster | None:
        """Returns the roster if it has changed, and clears the mark that it has.

        Args:
            several_rows: whether every instance reads a roster in several rows.
        """
        if several_rows != self._has_several_rows and (self._stored_rows or not self._is_whole):
            self._state.roster_changed = True
        self._has_several_rows = several_rows
        if not self._state.roster_changed:
            return None
        self._state.roster_changed = False
        entries = [self._entry(record) for record in self._state.workers.values()]
        incarnations = {
            record.id: record.info.incarnation_ms
            for record in self._state.workers.values()
            if record.is_fenced and not record.is_restricted
        }
        return PendingRoster(
            roster=dump_roster_rows(entries, several=several_rows),
            incarnations=incarnations,
            leases_until_s=max(
                (record.longest_lease_until_s for record in self._state.workers.values()),
                default=0.0,
            ),
        )

    def take_late_starts(self) -> bytes | None:
        """Returns the late starts if more have to be stored, and marks them as taken."""
        return self._state.late_starts.take_changed(self._store_clock)

    def take_unanswered(self, *, has_records: bool) -> bytes | None:
        """Returns the starts without an answer if they have to be stored; see `UnansweredStarts`.

        Args:
            has_records: records of starts are stored in the same batch.
        """
        state = self._state
        return state.unanswered.take(
            state.late_starts, has_records=has_records, store_clock=self._store_clock
        )

    def _entry(self, record: WorkerRecord) -> RosterEntry:
        """Returns the roster entry of a worker, and restricts the worker if it has been silent.

        It names the latest fenced incarnation, so that a successor fences a later one anew.
        """
        info = attrs.evolve(record.info, incarnation_ms=record.fenced_incarnation_ms)
        record.is_restricted = record.unanswered_renewals >= _restrict_after(record)
        if not record.is_restricted:
            return RosterEntry(info=info)
        record.on_roster = False
        ended_by_s, clock = record.lapsed_by_s(), self._store_clock
        return RosterEntry(
            info=info,
            only_attempts=None if record.may_run_unknown else tuple(record.attempts),
            deadline_ms=clock.latest_ms(ended_by_s) if clock is not None else None,
        )

    def mark_stored(self, roster: SerializedRoster, incarnations: dict[str, int]) -> None:
        """Marks workers as on the stored roster if they are still the given incarnations.

        Args:
            roster: the roster that was stored.
            incarnations: the incarnations of its workers that may get tasks, by id.
        """
        unused = range(roster.further_rows + 1, self._stored_rows + 1)
        self._state.obsolete_records.update(dict.fromkeys(map(roster_key, unused)))
        self._stored_rows, self._is_whole = roster.further_rows, roster.is_whole
        for worker, incarnation_ms in incarnations.items():
            record = self._state.workers.get(worker)
            if (
                record is not None
                and record.info.incarnation_ms == incarnation_ms
                and not record.is_restricted
            ):
                record.on_roster = True


def _restrict_after(record: WorkerRecord) -> int:
    """Returns the number of unanswered renewals after which the roster restricts a worker.

    A worker that this leader has never reached runs nothing of this leader, so one is enough.
    """
    return 1 if record.may_run_unknown else RESTRICT_AFTER_RENEWALS
