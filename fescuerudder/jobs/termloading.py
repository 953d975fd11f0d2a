"""Loads the stored state at the start of a term, and keeps the leadership meanwhile.

A load may take longer than followers wait for a sign of life, so heartbeats are stored while it
goes on. Without progress they stop, and another instance claims.
"""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import structlog

from fescuerudder.clock import Clock
from fescuerudder.errors import PlatformError, StoreUnavailableError
from fescuerudder.jobs.claim import load_heartbeat
from fescuerudder.jobs.configview import ConfigView
from fescuerudder.jobs.leaderwriter import LeadershipLostError, LeaderWriter
from fescuerudder.jobs.rows import Changes, Page, RowStore, RowTransaction, read_row
from fescuerudder.jobs.scheduler import Scheduler
from fescuerudder.jobs.storage import HEARTBEAT_KEY
from fescuerudder.jobs.takeover import LoadedState, load_stored_state, restore_scheduler

LOAD_THREADS = 8
LOAD_HEARTBEAT_S = 0.25
LOAD_STALL_S = 4.0
"""Time without progress from which on a load counts as stalled. A read may take 3 s."""

READ_TIMEOUT_S = 1.0

_log = structlog.get_logger(__name__)


class LoadWatch:
    """Progress of a load, thread-safe.

    Args:
        clock: source of time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._progress_s = clock.now_s()
        self.is_loading = False
        self.is_aborted = False

    @property
    def is_stalled(self) -> bool:
        """Whether a load goes on and has made no progress for LOAD_STALL_S."""
        return self.is_loading and self._clock.now_s() - self._progress_s >= LOAD_STALL_S

    def advance(self) -> None:
        """Records progress.

        Raises:
            StoreUnavailableError: the load is of no more use.
        """
        if self.is_aborted:
            raise StoreUnavailableError("leadership lost while loading")
        self._progress_s = self._clock.now_s()


class WatchedStore:
    """Passes all calls on to a store, and records each answer as progress of a load.

    Args:
        store: the store.
        watch: records the progress.
    """

    def __init__(self, *, store: RowStore, watch: LoadWatch) -> None:
        self._store = store
        self._watch = watch

    def write(self, txn: RowTransaction, *, timeout_s: float) -> int:
        """Applies a transaction; see `RowStore.write`."""
        return self._store.write(txn, timeout_s=timeout_s)

    def read(
        self, *, table: str, partition: str, first: str = "", end: str = "", timeout_s: float
    ) -> Page:
        """Returns rows of a partition; see `RowStore.read`."""
        page = self._store.read(
            table=table, partition=partition, first=first, end=end, timeout_s=timeout_s
        )
        self._watch.advance()
        return page

    def changes(self, *, table: str, after: int, wait_s: float) -> Changes:
        """Returns changes of a table; see `RowStore.changes`."""
        return self._store.changes(table=table, after=after, wait_s=wait_s)


class TermLoader:
    """Loads the stored state of one term; a context manager that stores heartbeats meanwhile.

    Args:
        store: the store.
        clock: source of time.
        wall_ms: returns Unix time in milliseconds.
        writer: writer of the term; nobody else uses it meanwhile.
    """

    def __init__(
        self, *, store: RowStore, clock: Clock, wall_ms: Callable[[], float], writer: LeaderWriter
    ) -> None:
        self._store = store
        self._clock = clock
        self._wall_ms = wall_ms
        self._writer = writer
        self._watch = LoadWatch(clock=clock)
        self._ended = threading.Event()
        self._is_begun = False
        self._thread = threading.Thread(target=self._run, name="load-heartbeats", daemon=True)

    def __enter__(self) -> "TermLoader":
        self._watch.is_loading = True
        self._watch.advance()
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._ended.set()
        self._thread.join()
        self._watch.is_loading = False

    @property
    def is_loading(self) -> bool:
        """Whether the state is being loaded."""
        return self._watch.is_loading

    @property
    def is_stalled(self) -> bool:
        """Whether the load makes no progress."""
        return self._watch.is_stalled

    def load(self, scheduler: Scheduler, view: ConfigView) -> LoadedState:
        """Reads the stored state, and passes it to the scheduler of the term.

        Args:
            scheduler: the scheduler.
            view: the configuration.

        Raises:
            StoreUnavailableError: a partition could not be read, or another instance leads.
        """
        advance = self._watch.advance
        loaded = read_jobs(
            store=WatchedStore(store=self._store, watch=self._watch),
            clock=self._clock,
            wall_ms=self._wall_ms,
            on_progress=advance,
        )
        if view.manifest is not None:
            scheduler.set_manifest(view.manifest)
        scheduler.set_zones_out(view.zones_out)
        restore_scheduler(scheduler, loaded, on_progress=advance)
        return loaded

    def prepare_writer(self, loaded: LoadedState, scheduler: Scheduler) -> None:
        """Tells the writer what was loaded; until then it stores no bounds on leases."""
        writer = self._writer
        writer.store_clock = loaded.store_clock
        writer.inherited_until_ms = loaded.inherited_until_ms(
            claimed_s=writer.bounded_s, max_lease_s=scheduler.state.max_lease_s
        )
        writer.starts_recorded = scheduler.state.starts_recorded

    def _run(self) -> None:
        while not self._clock.wait_s(self._ended, LOAD_HEARTBEAT_S):
            try:
                self.store_heartbeat()
            except LeadershipLostError as exc:
                _log.warning("leadership lost while loading", reason=str(exc))
                self._watch.is_aborted = True
                return
            except PlatformError as exc:
                _log.warning("heartbeat of a load not stored", reason=str(exc))
            except Exception:
                _log.exception("heartbeat of a load failed")

    def store_heartbeat(self) -> None:
        """Stores a heartbeat unless the load has stalled.

        It says of the records of starts what the claim did: the load also reads it.

        Raises:
            LeadershipLostError: another instance leads.
            PlatformError: the heartbeat was not stored, or may not have been.
        """
        if self._watch.is_stalled:
            _log.warning("load makes no progress")
            return
        if not self._is_begun:
            row = read_row(self._store, HEARTBEAT_KEY, timeout_s=READ_TIMEOUT_S)
            recorded = row is not None and load_heartbeat(row.value).starts_recorded
            self._writer.starts_recorded, self._is_begun = recorded, True
        self._writer.resolve()
        self._writer.write({}, pending=None, starts_recorded=self._writer.starts_recorded)


def read_jobs(
    *,
    store: RowStore,
    clock: Clock,
    wall_ms: Callable[[], float],
    on_progress: Callable[[], None] = lambda: None,
) -> LoadedState:
    """Reads the stored state, several partitions at a time; see `load_stored_state`."""
    with ThreadPoolExecutor(LOAD_THREADS, thread_name_prefix="load") as pool:
        return load_stored_state(
            store=store, clock=clock, wall_ms=wall_ms, pool=pool, on_progress=on_progress
        )
