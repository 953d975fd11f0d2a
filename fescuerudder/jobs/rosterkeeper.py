"""Keeps the leader's list of workers: what the registry lists, and what the stored roster says."""

from collections.abc import Iterable

import attrs
import structlog

from fescuerudder.jobs.jobrun import Attempt, Phase
from fescuerudder.jobs.leases import PREDECESSOR_S
from fescuerudder.jobs.reports import ReportReader
from fescuerudder.jobs.roster import Held, RosterEntry, dump_roster
from fescuerudder.jobs.schedulerstate import SchedulerState
from fescuerudder.jobs.workerport import WorkerInfo
from fescuerudder.jobs.workerrecord import WorkerClock, WorkerRecord

HELD_SILENCES = 2
"""Unanswered renewals after which the roster says what may run on a worker."""

_log = structlog.get_logger(__name__)


@attrs.frozen(kw_only=True)
class RosterToStore:
    """A roster that is to be stored.

    Args:
        form: its stored form.
        incarnations: incarnations of the workers that may get tasks once it is stored, by id.
    """

    form: bytes
    incarnations: dict[str, int]


class RosterKeeper:
    """Brings the worker records in line with registry and roster.

    Args:
        state: the leader's picture.
        reader: takes note of workers that were born again.
    """

    def __init__(self, *, state: SchedulerState, reader: ReportReader) -> None:
        self._state = state
        self._reader = reader
        self._claimed_s = state.clock.now_s()

    def set_workers(self, infos: Iterable[WorkerInfo]) -> None:
        """Takes the complete registry of workers."""
        now_s = self._state.clock.now_s()
        listed = {info.id: info for info in infos}
        for info in listed.values():
            self._list_worker(info, now_s)
            self._state.forget_load(info.id)
        for record in list(self._state.workers.values()):
            if record.id not in listed:
                self._unlist_worker(record)

    def restore(self, entries: Iterable[RosterEntry]) -> None:
        """Takes the workers on which tasks of earlier leaders may run.

        It is called when all jobs are restored, and before `set_workers`.
        """
        now_s = self._state.clock.now_s()
        for entry in entries:
            record = self._new_record(entry.info, now_s)
            record.listed, record.recorded, record.resolved = False, True, False
            record.resolved_by_s = self._claimed_s + PREDECESSOR_S
            self._state.workers[record.id] = record
            if entry.held is not None:
                self._restore_held(record, entry.held, now_s)

    def _restore_held(self, record: WorkerRecord, held: Iterable[Held], now_s: float) -> None:
        """Takes what may run on a worker that was silent already to an earlier leader."""
        record.resolved, record.recorded, record.held = True, False, True
        record.silent_since_s, record.silences = now_s, HELD_SILENCES
        for task_id, number in held:
            task = self._state.find_task(task_id)
            if task is None or task.done or not task.step.job.is_live:
                continue
            attempt = Attempt(
                task=task,
                worker=record.id,
                number=number,
                phase=Phase.UNCERTAIN,
                token=record.token - 1,
                sent_s=now_s,
                held=True,
            )
            self._state.add_attempt(attempt)

    def _list_worker(self, info: WorkerInfo, now_s: float) -> None:
        record = self._state.workers.get(info.id)
        if record is not None and record.info.address != info.address:
            self._state.roster_changed = True
        if record is None:
            self._state.workers[info.id] = self._new_record(info, now_s)
            self._state.roster_changed = True
        elif info.incarnation_ms > record.info.incarnation_ms:
            self._reader.begin_incarnation(
                record, incarnation_ms=info.incarnation_ms, clock_ms=info.clock_ms, now_s=now_s
            )
            record.info = info
            record.listed = True
        elif info.incarnation_ms == record.info.incarnation_ms:
            record.clock.note(reading_ms=info.clock_ms, now_s=now_s)
            record.info = info
            record.listed = True

    def _new_record(self, info: WorkerInfo, now_s: float) -> WorkerRecord:
        """Returns the record of a worker on which nobody has started anything."""
        return WorkerRecord(
            info=info,
            clock=WorkerClock(reading_ms=info.clock_ms, read_s=now_s),
            token=self._state.raised_tokens.get(info.id, self._state.term.first_token),
            resolved=True,
        )

    def _unlist_worker(self, record: WorkerRecord) -> None:
        if record.listed:
            _log.info("worker left the registry", worker=record.id, attempts=len(record.attempts))
        record.listed = False
        if not record.attempts and record.resolved:
            self._state.forget_worker(record)

    def note_silence(self, record: WorkerRecord) -> None:
        """Takes note of one more renewal without an answer."""
        record.silences += 1
        if record.silences == HELD_SILENCES and record.resolved:
            self._state.roster_changed = True

    def take(self) -> RosterToStore | None:
        """Returns the roster if it has to be stored, and counts it as taken."""
        if not self._state.roster_changed:
            return None
        self._state.roster_changed = False
        form = dump_roster(_entry(record) for record in self._state.workers.values())
        held = {record.id for record in self._state.workers.values() if record.held}
        incarnations = {
            name: incarnation_ms
            for name, incarnation_ms in self._state.incarnations().items()
            if name not in held
        }
        return RosterToStore(form=form, incarnations=incarnations)

    def note_stored(self, incarnations: dict[str, int]) -> None:
        """Takes note that a roster is stored with these workers, if they are the same lives."""
        for worker, incarnation_ms in incarnations.items():
            record = self._state.workers.get(worker)
            if (
                record is not None
                and record.info.incarnation_ms == incarnation_ms
                and not record.held
            ):
                record.recorded = True


def _entry(record: WorkerRecord) -> RosterEntry:
    """Returns what the roster is to say of a worker, and notes it."""
    record.held = record.resolved and record.silences >= HELD_SILENCES
    if not record.held:
        return RosterEntry(info=record.info)
    record.recorded = False
    return RosterEntry(info=record.info, held=tuple(record.attempts))
