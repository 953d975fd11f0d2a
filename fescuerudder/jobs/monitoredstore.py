"""A row store that records when it last answered, and how long its calls take."""

from collections.abc import Iterator
from contextlib import contextmanager

from fescuerudder.clock import Clock
from fescuerudder.errors import PlatformError, StoreRejectedError
from fescuerudder.jobs.jobmetrics import JobMetrics
from fescuerudder.jobs.rows import (
    Changes,
    HistoryLostError,
    Page,
    RowConflictError,
    RowStore,
    RowTransaction,
)

DOWN_AFTER_S = 0.2
"""Time without a successful call, after one that failed, until the store counts as down."""

_ANSWERS = (RowConflictError, HistoryLostError, StoreRejectedError)
"""Errors that a store raises only while it is up."""


class MonitoredStore:
    """Passes all calls on to a store and records their outcomes.

    Args:
        store: the store.
        clock: source of time.
        metrics: metrics of this instance.
    """

    def __init__(self, *, store: RowStore, clock: Clock, metrics: JobMetrics) -> None:
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._answered_s = clock.now_s()
        self._failing_since_s: float | None = None

    @property
    def answer_age_s(self) -> float:
        """Time since the store last answered, in seconds."""
        return self._clock.now_s() - self._answered_s

    @property
    def is_down(self) -> bool:
        """Whether all calls have failed for at least `DOWN_AFTER_S`."""
        return self.down_s > 0.0

    @property
    def down_s(self) -> float:
        """Time for which all calls have failed, in seconds; 0 if it is less than `DOWN_AFTER_S`."""
        since_s = self._failing_since_s
        failing_s = 0.0 if since_s is None else self._clock.now_s() - since_s
        return failing_s if failing_s >= DOWN_AFTER_S else 0.0

    def write(self, txn: RowTransaction, *, timeout_s: float) -> int:
        """Applies a transaction; see `RowStore.write`."""
        with self._timed("write"):
            return self._store.write(txn, timeout_s=timeout_s)

    def read(
        self, *, table: str, partition: str, first: str = "", end: str = "", timeout_s: float
    ) -> Page:
        """Returns rows of a partition; see `RowStore.read`."""
        with self._timed("read"):
            return self._store.read(
                table=table, partition=partition, first=first, end=end, timeout_s=timeout_s
            )

    def changes(self, *, table: str, after: int, wait_s: float) -> Changes:
        """Returns changes of a table; see `RowStore.changes`."""
        with self._timed("changes"):
            return self._store.changes(table=table, after=after, wait_s=wait_s)

    @contextmanager
    def _timed(self, operation: str) -> Iterator[None]:
        """Records whether the store answered, the outcome and the duration of a call."""
        started_s, outcome, answered = self._clock.now_s(), "answered", True
        try:
            yield
        except PlatformError as exc:
            outcome = type(exc).__name__
            answered = isinstance(exc, _ANSWERS)
            raise
        finally:
            now_s = self._clock.now_s()
            if answered:
                self._answered_s, self._failing_since_s = now_s, None
            elif self._failing_since_s is None:
                self._failing_since_s = now_s
            self._record(operation, outcome, now_s - started_s)

    def _record(self, operation: str, outcome: str, seconds: float) -> None:
        self._metrics.record_call(
            peer="store", operation=operation, outcome=outcome, seconds=seconds
        )
