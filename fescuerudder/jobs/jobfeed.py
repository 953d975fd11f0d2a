"""Follows the feed of submitted jobs, cancellations and claims during a term."""

import threading
from collections.abc import Callable

import structlog

from fescuerudder.clock import Clock
from fescuerudder.errors import StoreUnavailableError
from fescuerudder.jobs.cancellations import Cancellation
from fescuerudder.jobs.leaderwriter import STORE_RETRY_S
from fescuerudder.jobs.progress import StoredJob
from fescuerudder.jobs.rows import HistoryLostError, RowStore
from fescuerudder.jobs.storage import CLAIM_KEY, JOBS_TABLE
from fescuerudder.jobs.takeover import LoadedState, split_job_rows

FEED_WAIT_S = 1.0

_log = structlog.get_logger(__name__)


class JobFeed:
    """Reads what other instances store in the table of jobs.

    Args:
        store: the store.
        clock: source of time.
        stopping: set at the end of the term.
        claim_version: version of the claim of the term.
        read_all: reads all jobs, for when the store has lost the history of the feed.
        on_jobs: called with the jobs and the cancellations that were stored.
        on_reloaded: called with all live jobs and cancellations after the history was lost.
        on_claimed: called when another instance has claimed.
    """

    def __init__(
        self,
        *,
        store: RowStore,
        clock: Clock,
        stopping: threading.Event,
        claim_version: int,
        read_all: Callable[[], LoadedState],
        on_jobs: Callable[[list[StoredJob], list[Cancellation]], None],
        on_reloaded: Callable[[list[StoredJob], list[Cancellation]], None],
        on_claimed: Callable[[], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._stopping = stopping
        self._claim_version = claim_version
        self._read_all = read_all
        self._on_jobs = on_jobs
        self._on_reloaded = on_reloaded
        self._on_claimed = on_claimed

    def run(self, version: int) -> None:
        """Follows the feed from a version until the term ends; an error doesn't end it."""
        while not self._stopping.is_set():
            try:
                version = self._take_changes(version)
                continue
            except StoreUnavailableError as exc:
                _log.warning("feed of jobs not read", reason=str(exc))
            except Exception:
                _log.exception("feed of jobs not taken", version=version)
            self._clock.wait_s(self._stopping, STORE_RETRY_S)

    def _take_changes(self, version: int) -> int:
        """Takes the jobs stored after a version; returns the version to go on from.

        Raises:
            StoreUnavailableError: the feed can't be read.
        """
        try:
            changes = self._store.changes(table=JOBS_TABLE, after=version, wait_s=FEED_WAIT_S)
        except HistoryLostError:
            _log.warning("feed of jobs lost its history", version=version)
            return self._reload()
        if any(row.key == CLAIM_KEY and row.version > self._claim_version for row in changes.rows):
            # Jobs stored after another instance's claim belong to the next leader.
            self._on_claimed()
            return changes.version
        jobs, cancels = split_job_rows(list(changes.rows))
        if jobs or cancels:
            self._on_jobs(jobs, cancels)
        return changes.version

    def _reload(self) -> int:
        """Reads all jobs again; returns the version from which to follow the feed."""
        try:
            loaded = self._read_all()
        except StoreUnavailableError as exc:
            _log.warning("jobs not read", reason=str(exc))
            return 0
        jobs = [StoredJob(job=run.job, version=run.version) for run in loaded.live]
        self._on_reloaded(jobs, loaded.cancels)
        return loaded.version
