"""Loads the state that earlier leaders stored, at the start of a term."""

from collections.abc import Callable, Collection
from concurrent.futures import Executor

import attrs
import structlog

from fescuerudder.clock import Clock
from fescuerudder.jobs.cancellations import Cancellation, load_cancellation
from fescuerudder.jobs.claim import load_heartbeat, load_lease_bound
from fescuerudder.jobs.endedjobs import EndedJob
from fescuerudder.jobs.job import Job
from fescuerudder.jobs.jobrun import JobRun
from fescuerudder.jobs.latestarts import StoredLateStart, load_late_starts
from fescuerudder.jobs.leases import predecessor_leases_s
from fescuerudder.jobs.progress import (
    StoredFormError,
    StoredJob,
    load_job,
    load_state,
)
from fescuerudder.jobs.progressrows import PART_SEPARATOR, load_rows, part_key
from fescuerudder.jobs.roster import RosterEntry, add_deadlines
from fescuerudder.jobs.rosterrows import load_roster_rows, recover_roster_rows
from fescuerudder.jobs.rows import Row, RowKey, RowStore, StoreClock, read_partition
from fescuerudder.jobs.scheduler import Scheduler
from fescuerudder.jobs.startrecords import StoredStarts, load_starts
from fescuerudder.jobs.storage import (
    CANCEL_SUFFIX,
    CLAIM_KEY,
    DEADLINES_KEY,
    HEARTBEAT_KEY,
    JOB_PARTITIONS,
    JOBS_TABLE,
    KNOWLEDGE_KEY,
    LATE_STARTS_KEY,
    LEADER_PARTITION,
    LEADER_TABLE,
    LEASES_KEY,
    PROGRESS_TABLE,
    ROSTER_KEY,
    STARTS_TABLE,
    UNANSWERED_KEY,
    job_of,
    progress_key,
    roster_row_number,
)
from fescuerudder.jobs.unansweredstarts import StoredUnanswered

LOAD_TIMEOUT_S = 3.0

ACCOUNT_FIELD = b'"account":'
"""What the row of a job has if it belongs to an account; rows without it need not be parsed."""

_log = structlog.get_logger(__name__)


@attrs.frozen(kw_only=True)
class LoadedState:
    """Stored state of all jobs and of the leader.

    Args:
        live: jobs that have not ended, with their progress.
        ended: the other jobs, which are to be moved.
        unused: rows of progress that belong to ended jobs and to nothing that is loaded.
        moved: ids of jobs that were moved and whose progress is still stored.
        cancels: the requested cancellations.
        ended_jobs: the ended jobs that belong to an account.
        version: version from which to follow the feed of jobs.
        knowledge: what earlier leaders learned about tasks, serialized; None if not stored.
        roster: workers on which tasks of earlier leaders may run, with these tasks.
        roster_rows: highest number of one of its further rows, also of those no longer used.
        starts: the records of starts.
        late_starts: the late starts, and those without an answer, that the last leader knew.
        store_clock: reading of the store's clock, None if the store told none.
        leases_until_ms: when all leases of earlier leaders have expired, on the store's clock; None
            if the last one stored no bound.
    """

    live: list[JobRun]
    ended: list[EndedJob]
    cancels: list[Cancellation]
    version: int
    moved: list[str] = attrs.Factory(list)
    unused: list[RowKey] = attrs.Factory(list)
    knowledge: bytes | None = None
    ended_jobs: list[Job] = attrs.Factory(list)
    roster: list[RosterEntry] = attrs.Factory(list)
    roster_rows: int = 0
    starts: StoredStarts = attrs.Factory(StoredStarts)
    late_starts: list[StoredLateStart] = attrs.Factory(list)
    store_clock: StoreClock | None = None
    leases_until_ms: int | None = None

    def inherited_until_ms(self, *, claimed_s: float, max_lease_s: float) -> int:
        """Returns when all leases of earlier leaders have ended at the latest.

        It is a time on the store's clock, 0 if the store told none.

        Args:
            claimed_s: when this leader claimed, on this instance's clock.
            max_lease_s: longest lease that a worker grants, in seconds.
        """
        if self.leases_until_ms is not None or self.store_clock is None:
            return self.leases_until_ms or 0
        return self.store_clock.latest_ms(claimed_s + predecessor_leases_s(max_lease_s))


def load_stored_state(
    *,
    store: RowStore,
    clock: Clock,
    wall_ms: Callable[[], float],
    pool: Executor,
    on_progress: Callable[[], None] = lambda: None,
) -> LoadedState:
    """Reads jobs, their progress and the leader's own rows from the store.

    Args:
        store: the store.
        clock: source of time.
        wall_ms: returns Unix time in milliseconds.
        pool: runs the reads of several partitions at a time.
        on_progress: called with each job.

    Raises:
        StoreUnavailableError: a partition could not be read.
    """
    sent_s = clock.now_s()
    head = store.read(table=JOBS_TABLE, partition=LEADER_PARTITION, timeout_s=LOAD_TIMEOUT_S)
    store_clock = StoreClock(reading_ms=head.store_ms, sent_s=sent_s, received_s=clock.now_s())

    def read_rows(partition_key: tuple[str, str]) -> list[Row]:
        table, partition = partition_key
        pages = read_partition(store, table=table, partition=partition, timeout_s=LOAD_TIMEOUT_S)
        return [row for page in pages for row in page.rows]

    partition_keys = [
        (LEADER_TABLE, LEADER_PARTITION),
        (PROGRESS_TABLE, LEADER_PARTITION),
        (STARTS_TABLE, LEADER_PARTITION),
        *((JOBS_TABLE, partition) for partition in JOB_PARTITIONS),
    ]
    leader_rows, progress, starts, *jobs = list(pool.map(read_rows, partition_keys))
    loaded = _assemble(
        [row for partition in jobs for row in partition],
        {row.key.key: row.value for row in progress},
        now_s=clock.now_s(),
        wall_ms=wall_ms(),
        version=head.version,
        on_progress=on_progress,
    )
    # Records of any other job are left over. A job whose row can't be read may not have ended.
    unfinished = {row.key.key for rows in jobs for row in rows} - {job.id for job in loaded.ended}
    stored = {row.key: row for row in leader_rows}
    knowledge, unanswered = stored.get(KNOWLEDGE_KEY), _read_unanswered(stored)
    return attrs.evolve(
        loaded,
        knowledge=knowledge.value if knowledge is not None else None,
        roster=_read_roster(stored),
        roster_rows=max(map(roster_row_number, stored), default=0),
        starts=_read_starts(starts, stored.get(HEARTBEAT_KEY), unfinished, unanswered),
        late_starts=[*_read_late_starts(stored, unanswered), *unanswered.starts],
        store_clock=store_clock if head.store_ms else None,
        leases_until_ms=_read_lease_bound(stored),
    )


def _read_lease_bound(stored: dict[RowKey, Row]) -> int | None:
    """Returns the bound on leases if the leader before this claim stored one.

    That of an earlier one says nothing of the leases that the leader before this claim granted.
    """
    heartbeat, row = stored.get(HEARTBEAT_KEY), stored.get(LEASES_KEY)
    if heartbeat is None or row is None:
        return None
    claimed, bound = _parse(load_heartbeat, heartbeat.value), _parse(load_lease_bound, row.value)
    if claimed is None or bound is None or bound.epoch != claimed.epoch - 1:
        return None
    return bound.until_ms


def _read_late_starts(
    stored: dict[RowKey, Row], unanswered: StoredUnanswered
) -> list[StoredLateStart]:
    """Returns the late starts that a leader of the previous version stored.

    Those of this version are among the starts without an answer.
    """
    row = stored.get(LATE_STARTS_KEY)
    if row is None or row.version <= unanswered.version:
        return []
    return _parse(load_late_starts, row.value) or []


def _read_unanswered(stored: dict[RowKey, Row]) -> StoredUnanswered:
    """Returns the starts without an answer; if the row can't be read, all count as unanswered."""
    row = stored.get(UNANSWERED_KEY)
    starts = _parse(load_late_starts, row.value) if row is not None else None
    if row is None or starts is None:
        return StoredUnanswered()
    return StoredUnanswered(starts=tuple(starts), version=row.version)


def _read_starts(
    rows: list[Row],
    heartbeat: Row | None,
    unfinished: Collection[str],
    unanswered: StoredUnanswered,
) -> StoredStarts:
    """Returns the records of starts; they are complete only if all of them can be read.

    Args:
        rows: the rows of the records.
        heartbeat: the heartbeat row, None if there is none.
        unfinished: ids of the jobs that have not ended.
        unanswered: the starts without an answer.
    """
    records, unreadable = [], []
    for row in rows:
        record = _parse(lambda data, row=row: load_starts(row.key.key, data), row.value)
        if record is None:
            unreadable.append(row.key)
        else:
            records.append(unanswered.mark_answered(record, version=row.version))
    return StoredStarts(
        steps=tuple(record for record in records if record.step.job in unfinished),
        obsolete=tuple(record.step for record in records if record.step.job not in unfinished),
        unreadable=tuple(unreadable),
        is_complete=not unreadable and _were_recorded(heartbeat),
    )


def _were_recorded(heartbeat: Row | None) -> bool:
    """Returns whether the earlier leaders recorded their starts, as the claim took over."""
    if heartbeat is None:
        return False
    loaded = _parse(load_heartbeat, heartbeat.value)
    return loaded is not None and loaded.starts_recorded


def _read_roster(stored: dict[RowKey, Row]) -> list[RosterEntry]:
    """Returns the roster, with the deadlines if they were written in the same transaction.

    Of a malformed roster it returns what is safe to use instead.
    """
    roster, deadlines = stored.get(ROSTER_KEY), stored.get(DEADLINES_KEY)
    if roster is None:
        return []
    try:
        entries = load_roster_rows(stored)
    except StoredFormError as exc:
        _log.error("roster can't be read, older jobs wait for all leases", reason=str(exc))
        return recover_roster_rows(stored)
    if deadlines is None or deadlines.version != roster.version:
        return entries
    try:
        return add_deadlines(entries, deadlines.value)
    except StoredFormError as exc:
        _log.error("deadlines can't be read, all leases are waited for", reason=str(exc))
        return entries


def _assemble(
    rows: list[Row],
    progress: dict[str, bytes],
    *,
    now_s: float,
    wall_ms: float,
    version: int,
    on_progress: Callable[[], None],
) -> LoadedState:
    heads = {key: data for key, data in progress.items() if PART_SEPARATOR not in key}
    states = {job_id: _parse(load_state, data) for job_id, data in heads.items()}
    final = {job_id: state for job_id, state in states.items() if state and state.is_final}
    ended = [
        EndedJob(id=row.key.key, version=row.version, state=final[row.key.key])
        for row in rows
        if row.key.key in final
    ]
    # Most rows of ended jobs are not parsed: it takes most of the time of a load.
    stored, cancels = split_job_rows([row for row in rows if row.key.key not in final])
    live: list[JobRun] = []
    for item in sorted(stored, key=lambda item: item.version):
        on_progress()
        data = progress.get(item.job.id)
        received_s = now_s - _age_s(item.job, wall_ms)
        run = JobRun.create(job=item.job, version=item.version, received_s=received_s)
        if data is not None:
            run.parts = _parse(lambda _, run=run: load_rows(run, progress), data) or 0
        live.append(run)
    known = {row.key.key for row in rows}
    moved = [job_id for job_id in final if job_id not in known]
    used = {part_key(r.job.id, n).key for r in live for n in range(1, r.parts + 1)}
    unused = [key for key in progress.keys() - heads.keys() if job_of(progress_key(key)) in final]
    return LoadedState(
        live=live,
        ended=ended,
        cancels=cancels,
        version=version,
        moved=moved,
        unused=[progress_key(key) for key in unused if key not in used],
        ended_jobs=_ended_jobs_of_accounts(rows, final),
    )


def _ended_jobs_of_accounts(rows: list[Row], ended: Collection[str]) -> list[Job]:
    """Returns the ended jobs that belong to an account, as their tasks may still run."""
    owned = [row for row in rows if row.key.key in ended and ACCOUNT_FIELD in row.value]
    stored, _ = split_job_rows(owned)
    return [item.job for item in stored if item.job.account]


def _age_s(job: Job, wall_ms: float) -> float:
    """Returns the time since a job was accepted, as far as the clocks of two instances agree."""
    return max(0.0, wall_ms - job.submitted_ms) / 1000 if job.submitted_ms else 0.0


def split_job_rows(rows: list[Row]) -> tuple[list[StoredJob], list[Cancellation]]:
    """Splits rows of the table of jobs into jobs and cancellations."""
    jobs, cancels = [], []
    for row in rows:
        if row.key == CLAIM_KEY:
            continue
        if row.key.key.endswith(CANCEL_SUFFIX):
            cancels.append(load_cancellation(row))
            continue
        job = _parse(load_job, row.value)
        if job is not None and job.id != row.key.key:
            _log.error("stored row names another job", row=row.key.key)
        elif job is not None:
            jobs.append(StoredJob(job=job, version=row.version))
    return jobs, cancels


def _parse(parse: Callable, data: bytes):
    try:
        return parse(data)
    except StoredFormError as exc:
        _log.error("stored row can't be read", reason=str(exc))
        return None


def restore_scheduler(
    scheduler: Scheduler, loaded: LoadedState, *, on_progress: Callable[[], None] = lambda: None
) -> None:
    """Passes the stored state to the scheduler of a new term, which must know the configuration.

    Args:
        scheduler: the scheduler.
        loaded: the stored state.
        on_progress: called with each job.
    """
    for run in loaded.live:
        on_progress()
        scheduler.restore(run)
    for job in loaded.ended_jobs:
        scheduler.state.usage.remember_ended(job)
    scheduler.state.obsolete_records.update(dict.fromkeys(loaded.unused))
    scheduler.restore_ended(loaded.ended, moved=loaded.moved)
    if loaded.knowledge is not None:
        try:
            scheduler.state.knowledge.restore(loaded.knowledge)
        except StoredFormError as exc:
            _log.error("knowledge can't be read", reason=str(exc))
    store_ms = loaded.store_clock.reading_ms if loaded.store_clock is not None else None
    scheduler.cancel(loaded.cancels, store_ms=store_ms)
    scheduler.restore_roster(
        loaded.roster,
        stored_rows=loaded.roster_rows,
        store_clock=loaded.store_clock,
        starts=loaded.starts,
        late_starts=loaded.late_starts,
        leases_until_ms=loaded.leases_until_ms,
    )
