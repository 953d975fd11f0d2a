"""A row store that notes when it was last reached."""

from fescuerudder.clock import Clock
from fescuerudder.jobs.rows import (
    Changes,
    HistoryLostError,
    Page,
    RowConflictError,
    RowStore,
    RowsTxn,
)


class WatchedStore:
    """Passes all calls on to a store.

    Args:
        store: the store.
        clock: source of time.
    """

    def __init__(self, *, store: RowStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._reached_s = clock.now_s()

    @property
    def age_s(self) -> float:
        """Time since the store last answered, in seconds."""
        return self._clock.now_s() - self._reached_s

    def write(self, txn: RowsTxn, *, timeout_s: float) -> int:
        """Applies a transaction; see `RowStore.write`."""
        try:
            version = self._store.write(txn, timeout_s=timeout_s)
        except RowConflictError:
            self._note()
            raise
        self._note()
        return version

    def read(
        self, *, table: str, part: str, first: str = "", end: str = "", timeout_s: float
    ) -> Page:
        """Returns rows of a partition; see `RowStore.read`."""
        page = self._store.read(table=table, part=part, first=first, end=end, timeout_s=timeout_s)
        self._note()
        return page

    def changes(self, *, table: str, after: int, wait_s: float) -> Changes:
        """Returns changes of a table; see `RowStore.changes`."""
        try:
            changes = self._store.changes(table=table, after=after, wait_s=wait_s)
        except HistoryLostError:
            self._note()
            raise
        self._note()
        return changes

    def _note(self) -> None:
        self._reached_s = self._clock.now_s()
