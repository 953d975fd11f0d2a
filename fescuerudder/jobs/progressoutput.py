"""What the leader stores next, and what takes effect once it is stored."""

from collections.abc import Collection, Iterable

from fescuerudder.jobs.isolation import RowIsolation
from fescuerudder.jobs.jobhistory import JobHistory
from fescuerudder.jobs.jobrun import JobRun
from fescuerudder.jobs.progressbatch import ProgressBatch
from fescuerudder.jobs.progressrows import dump_rows, part_key
from fescuerudder.jobs.rosterkeeper import RosterKeeper
from fescuerudder.jobs.rows import MAX_TXN_ROWS, RowKey
from fescuerudder.jobs.schedulerstate import SchedulerState
from fescuerudder.jobs.startrelease import StartReleaser
from fescuerudder.jobs.storage import ROSTER_KEY, UNANSWERED_KEY, job_of, progress_key

MAX_HISTORY_ENTRIES = MAX_TXN_ROWS - 20
"""Number of entries up to which a transaction is filled with deletions of ended jobs' rows, so that
these never make it two."""

MIN_HISTORY_DELETES = 5
"""Deletions in each batch, so that they go on while many jobs end."""


class ProgressOutput:
    """Collects changed progress into batches, without the rows that the store rejects.

    Args:
        state: state of the term.
        roster: returns the changed roster.
        releaser: returns the records of starts.
        history: returns the ended jobs whose progress is to be deleted.
    """

    def __init__(
        self,
        *,
        state: SchedulerState,
        roster: RosterKeeper,
        releaser: StartReleaser,
        history: JobHistory,
    ) -> None:
        self._state = state
        self._roster = roster
        self._releaser = releaser
        self._history = history
        self._isolation = RowIsolation()
        self._recorded = False
        self._has_earlier_version = False

    @property
    def has_rows(self) -> bool:
        """Whether there are rows to store."""
        state = self._state
        if state.roster_changed or state.late_starts.must_store or self._releaser.has_records:
            return True
        return self._isolation.has_storable(state.dirty_jobs, state.clock.now_s())

    def take(
        self,
        *,
        pending: dict[str, int],
        knowledge: bytes | None,
        compact: bool,
        earlier_version: bool,
        roster_rows: bool,
    ) -> ProgressBatch:
        """Returns the progress to store, and marks it as clean.

        Args:
            pending: number of jobs of each queue of which no task has started.
            knowledge: serialized knowledge about tasks, None if it was stored recently.
            compact: whether every instance reads the compact form of progress.
            earlier_version: whether a follower is connected that doesn't.
            roster_rows: whether every instance reads a roster in several rows.
        """
        self._expand(earlier_version)
        now_s = self._state.clock.now_s()
        self._retry_isolated(now_s)
        stored = self._roster.take_changed(several_rows=roster_rows)
        if not self._state.unresolved_workers():
            # Attempts that this leader has learned of are recorded with this batch at the latest.
            self._state.starts_recorded = True
        dirty = self._state.dirty_jobs
        runs = [run for run in dirty if not self._isolation.is_held(run.job.id, now_s)]
        for run in runs:
            del dirty[run]
        runs = [run for run in runs if not run.is_moved]
        starts = self._releaser.take_pending(runs)
        for run in runs:
            run.dirty = False
        rows, unused = self._dump_progress(runs, compact)
        rows |= starts.rows
        self._state.obsolete_records.update(dict.fromkeys(unused))
        written = rows.keys() | (stored.roster.rows.keys() if stored is not None else set())
        deletes = tuple(key for key in self._take_deletes(starts.deletes) if key not in written)
        return ProgressBatch(
            rows=rows,
            deletes=(*deletes, *self._take_history(entries=len(rows) + len(deletes))),
            recorded=starts.recorded,
            starts_recorded=self._may_claim_recorded(),
            states={run.job.id: run.state for run in runs},
            serials={
                record.id: (record.info.incarnation_ms, record.seen_serial)
                for record in self._state.workers.values()
                if record.seen_serial > record.stored_serial
            },
            ends=self._take_new_ends(),
            pending=pending,
            knowledge=knowledge,
            roster=stored.roster if stored is not None else None,
            late_starts=self._roster.take_late_starts(),
            unanswered=self._roster.take_unanswered(has_records=bool(starts.recorded)),
            roster_incarnations=stored.incarnations if stored is not None else {},
            leases_until_s=stored.leases_until_s if stored is not None else 0.0,
        )

    def _expand(self, earlier_version: bool) -> None:
        """Has progress written anew that a follower of an earlier version can't read.

        It may lead next, and an earlier leader may have written the progress.
        """
        if earlier_version and not self._has_earlier_version:
            for run in self._state.jobs.values():
                if run.is_compact and not run.state.is_final:
                    self._state.mark_dirty(run)
        self._has_earlier_version = earlier_version

    def _dump_progress(
        self, runs: Iterable[JobRun], compact: bool
    ) -> tuple[dict[RowKey, bytes], list[RowKey]]:
        """Returns the rows of progress, and the keys of those that are no longer used."""
        rows: dict[RowKey, bytes] = {}
        unused: list[RowKey] = []
        for run in runs:
            found = dump_rows(run, compact=compact)
            rows |= found
            unused += [part_key(run.job.id, n) for n in range(len(found), run.parts + 1)]
            run.parts, run.is_compact = (
                len(found) - 1,
                b'"ended":' in found[progress_key(run.job.id)],
            )
        return rows, unused

    def _retry_isolated(self, now_s: float) -> None:
        """Marks the rows that the store rejected some time ago as to be stored."""
        for name, group in self._isolation.due(now_s).items():
            self._state.obsolete_records.update(dict.fromkeys(group.deletes))
            run = self._state.jobs.get(name)
            if run is not None:
                self._state.mark_dirty(run)
                # A step that was dropped meanwhile has nothing to record.
                held = (s for s in group.steps if run.steps.get((s.occurrence, s.number)) is s)
                self._state.unrecorded_steps.update(dict.fromkeys(held))
            elif name == ROSTER_KEY.key:
                self._state.roster_changed = True
            elif name == UNANSWERED_KEY.key:
                self._state.unanswered.reset_taken()

    def _may_claim_recorded(self) -> bool:
        """Returns whether the heartbeats may say that all starts are recorded.

        Within a term they never take it back: no start is ordered whose record was rejected, so
        only what was found running before they said so counts.
        """
        self._recorded = self._recorded or (
            self._state.starts_recorded and not self._isolation.hides_attempts()
        )
        return self._recorded

    def _take_deletes(self, keys: Iterable[RowKey]) -> tuple[RowKey, ...]:
        """Returns the records to delete; those of an isolated job stay as long as it is."""
        held = dict.fromkeys(key for key in keys if self._is_isolated(job_of(key)))
        self._state.obsolete_records.update(held)
        return tuple(key for key in keys if key not in held)

    def _take_history(self, *, entries: int) -> list[RowKey]:
        """Returns rows of ended jobs to delete, as many as a transaction has space for.

        Args:
            entries: number of its other entries.
        """
        limit = max(MIN_HISTORY_DELETES, MAX_HISTORY_ENTRIES - entries)
        return [progress_key(job_id) for job_id in self._history.take_progress(limit)]

    def _is_isolated(self, job_id: str) -> bool:
        return job_id in self._state.jobs and self._isolation.is_isolated(job_id)

    def _take_new_ends(self) -> dict[tuple[str, int], dict[str, int]]:
        """Returns the first new end of each job, by worker and incarnation; marks them as taken."""
        taken = {}
        for record in self._state.workers.values():
            if record.new_ends:
                taken[(record.id, record.info.incarnation_ms)], record.new_ends = (
                    record.new_ends,
                    {},
                )
        return taken

    def on_stored(self, batch: ProgressBatch, rejected: Collection[str]) -> None:
        """Records that a batch is stored, so that the ends in it may be acknowledged.

        Args:
            batch: the batch.
            rejected: names of the groups of rows in it that the store rejected.
        """
        self._isolate(batch, rejected)
        self._hold_ends(batch, rejected)
        batch = batch.without(rejected)
        for worker, (incarnation_ms, serial) in batch.serials.items():
            record = self._state.workers.get(worker)
            if record is not None and record.info.incarnation_ms == incarnation_ms:
                acknowledgeable = min((serial, *(first - 1 for first in record.held_ends.values())))
                record.stored_serial = max(record.stored_serial, acknowledgeable)
        if batch.roster is not None:
            self._roster.mark_stored(batch.roster, batch.roster_incarnations)
        self._releaser.on_stored(batch.recorded)

    def _isolate(self, batch: ProgressBatch, rejected: Collection[str]) -> None:
        """Isolates the groups of rows that were rejected, and ends the isolation of the others."""
        now_s = self._state.clock.now_s()
        for name in rejected:
            steps = [step for step in batch.recorded if step.id.job == name]
            deletes = [key for key in batch.deletes if job_of(key) == name]
            self._isolation.hold(name, steps=steps, deletes=deletes, now_s=now_s)
            run = self._state.jobs.get(name)
            if run is not None:
                run.is_isolated = run.dirty = True
        own = (key.key for key in batch.leader_rows())
        unknown = (job for job in map(job_of, batch.deletes) if job not in self._state.jobs)
        for name in {*batch.states, *own, *unknown} - set(rejected):
            if self._isolation.is_isolated(name):
                self._isolation.release(name)
                self._end_isolation(name)

    def _end_isolation(self, job_id: str) -> None:
        run = self._state.jobs.get(job_id)
        if run is not None and run.is_isolated:
            run.is_isolated = False
            self._state.openable_jobs[run] = None

    def _hold_ends(self, batch: ProgressBatch, rejected: Collection[str]) -> None:
        """Withholds the acknowledgement of ends whose progress isn't stored."""
        for (worker, incarnation_ms), ends in batch.ends.items() if self._isolation.names else ():
            record = self._state.workers.get(worker)
            if record is None or record.info.incarnation_ms != incarnation_ms:
                continue
            for job_id in set(ends) & self._isolation.names:
                record.held_ends.setdefault(job_id, ends[job_id])
        for record in self._state.workers.values():
            released = [job for job in record.held_ends if not self._isolation.is_isolated(job)]
            for job_id in released:
                del record.held_ends[job_id]
