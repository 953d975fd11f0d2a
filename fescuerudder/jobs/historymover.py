"""Moves ended jobs out of the rows that a claimant reads, and later removes them, in batches."""

import threading
from collections.abc import Callable, Iterator

import structlog

from fescuerudder.clock import Clock
from fescuerudder.errors import PlatformError, StoreOutcomeUnknownError, StoreUnavailableError
from fescuerudder.jobs.cancellations import Cancellation
from fescuerudder.jobs.endedjobs import (
    KEPT_S,
    ROWS_PER_REMOVAL,
    EndedJob,
    cancel_transaction,
    load_ended,
    move_transaction,
    removal_transaction,
)
from fescuerudder.jobs.jobhistory import MoveBatch
from fescuerudder.jobs.progress import StoredFormError
from fescuerudder.jobs.rows import Row, RowConflictError, RowStore, RowTransaction
from fescuerudder.jobs.storage import ENDED_TABLE, JOB_PARTITIONS, job_key

STORE_TIMEOUT_S = 1.5
MOVE_PAUSE_S = 0.05
LATENCY_FACTOR = 1.0
"""Pause after a call, in times of its duration, so that a slow store has little of this work."""

IDLE_PAUSE_S = 1.0
FAILURE_PAUSE_S = 1.0
MIN_TERM_AGE_S = 5.0
"""Time after the claim in which followers of earlier versions connect; they can't find moved
jobs."""

MAX_MOVE_UNCONFIRMED_S = 0.9
"""Time without a stored heartbeat from which on ended jobs are left where they are."""

SWEEP_INTERVAL_S = 60.0
"""Time between two searches for rows that have been kept long enough."""

_log = structlog.get_logger(__name__)


class HistoryMover:
    """Moves the ended jobs of one term.

    Args:
        store: the store.
        clock: source of time.
        stopping: set at the end of the term.
        epoch: number of the term.
        may_move: returns whether the store has time, and all followers find moved jobs.
        take: returns what to move next.
        on_moved: called with what was moved.
        on_kept: called with what was taken and not moved.
    """

    def __init__(
        self,
        *,
        store: RowStore,
        clock: Clock,
        stopping: threading.Event,
        epoch: int,
        may_move: Callable[[], bool],
        take: Callable[[], MoveBatch],
        on_moved: Callable[[MoveBatch], None],
        on_kept: Callable[[MoveBatch], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._stopping = stopping
        self._epoch = epoch
        self._may_move = may_move
        self._take = take
        self._on_moved = on_moved
        self._on_kept = on_kept
        self._started_s = clock.now_s()
        self._next_sweep_s = self._started_s + KEPT_S
        self._sweep: Iterator[None] = iter(())

    def run(self) -> None:
        """Works until the term ends; an error doesn't end it."""
        while not self._stopping.is_set():
            began_s = self._clock.now_s()
            try:
                pause_s = MOVE_PAUSE_S if self.step() else IDLE_PAUSE_S
            except PlatformError as exc:
                _log.warning("ended jobs not moved", reason=str(exc))
                pause_s = FAILURE_PAUSE_S
            except Exception:
                _log.exception("ended jobs not moved")
                pause_s = FAILURE_PAUSE_S
            took_s = self._clock.now_s() - began_s
            self._clock.wait_s(self._stopping, max(pause_s, LATENCY_FACTOR * took_s))

    def step(self) -> bool:
        """Moves or removes one batch; returns whether there may be more to do.

        Raises:
            PlatformError: the store didn't take it, or may not have.
        """
        if self._clock.now_s() - self._started_s < MIN_TERM_AGE_S or not self._may_move():
            return False
        batch = self._take()
        if batch.jobs or batch.cancels:
            self._move(batch)
            return True
        return self._sweep_page()

    def _move(self, batch: MoveBatch) -> None:
        try:
            if batch.jobs:
                self._move_jobs(list(batch.jobs))
            for cancel in batch.cancels:
                self._remove_cancel(cancel)
        except PlatformError:
            # A move without an answer finds its rows gone when it is tried again.
            self._on_kept(batch)
            raise
        self._on_moved(batch)

    def _move_jobs(self, jobs: list[EndedJob]) -> None:
        while jobs:
            txn = move_transaction(jobs, epoch=self._epoch, now_s=self._clock.now_s())
            try:
                self._store.write(txn, timeout_s=STORE_TIMEOUT_S)
                return
            except RowConflictError as exc:
                # The others were moved by a transaction whose answer was lost, or by an earlier
                # leader.
                versions = {row.key: row.version for row in exc.rows}
                left = [job for job in jobs if versions.get(job_key(job.id)) == job.version]
                if len(left) == len(jobs):
                    raise StoreUnavailableError("conflict of unchanged rows") from exc
                jobs = left

    def _remove_cancel(self, cancel: Cancellation) -> None:
        try:
            self._store.write(cancel_transaction(cancel), timeout_s=STORE_TIMEOUT_S)
        except RowConflictError:
            # Removed by a transaction whose answer was lost, stored anew, or its job has come.
            _log.debug("cancellation not removed", job=cancel.job_id)

    def _sweep_page(self) -> bool:
        """Removes the outdated rows of one page; returns whether there are further pages."""
        if next(self._sweep, self) is not self:
            return True
        if self._clock.now_s() < self._next_sweep_s:
            return False
        self._next_sweep_s = self._clock.now_s() + SWEEP_INTERVAL_S
        self._sweep = self._remove_outdated()
        return True

    def _remove_outdated(self) -> Iterator[None]:
        for partition in JOB_PARTITIONS:
            first, more = "", True
            while more:
                page = self._store.read(
                    table=ENDED_TABLE, partition=partition, first=first, timeout_s=STORE_TIMEOUT_S
                )
                yield from self._remove([row for row in page.rows if self._is_outdated(row)])
                more = page.more and bool(page.rows)
                first = page.rows[-1].key.key + "\0" if page.rows else ""
                yield

    def _remove(self, rows: list[Row]) -> Iterator[None]:
        for first in range(0, len(rows), ROWS_PER_REMOVAL):
            txn: RowTransaction = removal_transaction(rows[first : first + ROWS_PER_REMOVAL])
            try:
                self._store.write(txn, timeout_s=STORE_TIMEOUT_S)
            except (RowConflictError, StoreOutcomeUnknownError) as exc:
                _log.info("outdated rows left for the next search", reason=str(exc))
            yield

    def _is_outdated(self, row: Row) -> bool:
        try:
            ended = load_ended(row.value)
        except StoredFormError as exc:
            _log.error("ended job can't be read", job=row.key.key, reason=str(exc))
            return False
        return ended.is_outdated(
            epoch=self._epoch, now_s=self._clock.now_s(), term_started_s=self._started_s
        )
