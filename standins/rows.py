"""Row store in memory with transactions, pages, a feed of changes, and faults."""

import threading
from collections.abc import Callable

import attrs

from fescuerudder.errors import (
    StoreOutcomeUnknownError,
    StoreRejectedError,
    StoreUnavailableError,
)
from fescuerudder.jobs.rows import (
    ABSENT,
    Changes,
    HistoryLostError,
    Page,
    Row,
    RowConflictError,
    RowKey,
    RowTransaction,
)

PAGE_ROWS = 500


@attrs.define(kw_only=True)
class RowFaults:
    """Faults of the store.

    Args:
        down: whether every call fails without effect.
        lose_answers: number of next writes that apply but whose answers are lost.
        lose_writes: number of next writes that are delayed and fail with an unknown outcome.
        delayed: delayed writes, which `apply_delayed` applies.
        rejects: returns whether the store rejects a write because of the key and value of a row.
    """

    down: bool = False
    lose_answers: int = 0
    lose_writes: int = 0
    delayed: list[RowTransaction] = attrs.Factory(list)
    rejects: Callable[[RowKey, bytes], bool] = lambda key, value: False


class MemoryRowStore:
    """Thread-safe implementation of `RowStore` in memory.

    Args:
        now_ms: returns the store's steady clock, in milliseconds.
    """

    def __init__(self, *, now_ms: Callable[[], int] = lambda: 0) -> None:
        self._now_ms = now_ms
        self._rows: dict[RowKey, Row] = {}
        self._log: list[tuple[int, RowKey, bytes | None]] = []
        self._version = 0
        self._oldest_version = 0
        self._changed = threading.Condition()
        self.faults = RowFaults()
        self.writes = 0
        self.reads = 0

    def write(self, txn: RowTransaction, *, timeout_s: float) -> int:
        """Applies a transaction; see `RowStore.write`."""
        with self._changed:
            self._check_available()
            self.writes += 1
            self._check_accepted(txn)
            if self.faults.lose_writes > 0:
                self.faults.lose_writes -= 1
                self.faults.delayed.append(txn)
                raise StoreOutcomeUnknownError("the request is delayed")
            version = self._apply(txn)
            if self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                raise StoreOutcomeUnknownError("the answer was lost")
            return version

    def apply_delayed(self) -> None:
        """Applies the delayed writes whose checks still hold, and drops the others."""
        with self._changed:
            delayed, self.faults.delayed = self.faults.delayed, []
            for txn in delayed:
                try:
                    self._apply(txn)
                except RowConflictError:
                    continue

    def forget_history(self) -> None:
        """Drops the history of changes, so that older positions of the feed are lost."""
        with self._changed:
            self._log.clear()
            self._oldest_version = self._version

    def read(
        self, *, table: str, partition: str, first: str = "", end: str = "", timeout_s: float
    ) -> Page:
        """Returns rows of a partition; see `RowStore.read`."""
        with self._changed:
            self._check_available()
            self.reads += 1
            rows = sorted(
                (row.key.key, row)
                for row in self._rows.values()
                if row.key.table == table
                and row.key.partition == partition
                and row.key.key >= first
                and (not end or row.key.key < end)
            )
            found = tuple(row for _, row in rows)
            return Page(
                rows=found[:PAGE_ROWS],
                more=len(found) > PAGE_ROWS,
                version=self._version,
                store_ms=self._now_ms(),
            )

    def changes(self, *, table: str, after: int, wait_s: float) -> Changes:
        """Returns changes of a table; see `RowStore.changes`."""
        with self._changed:
            self._check_available()
            self._changed.wait_for(lambda: self._entries_since(table, after), timeout=wait_s)
            self._check_available()
            if after < self._oldest_version:
                raise HistoryLostError(f"changes after {after} are gone")
            latest = {
                key: (version, value) for version, key, value in self._entries_since(table, after)
            }
            rows = tuple(
                Row(key, value, version)
                for key, (version, value) in latest.items()
                if value is not None
            )
            removed = tuple(key for key, (_, value) in latest.items() if value is None)
            return Changes(rows=rows, removed=removed, version=self._version)

    def get(self, key: RowKey) -> Row | None:
        """Returns one row regardless of faults, or None if it does not exist."""
        return self._rows.get(key)

    def _entries_since(self, table: str, after: int) -> list[tuple[int, RowKey, bytes | None]]:
        return [entry for entry in self._log if entry[0] > after and entry[1].table == table]

    def _check_available(self) -> None:
        if self.faults.down:
            raise StoreUnavailableError("the store is down")

    def _check_accepted(self, txn: RowTransaction) -> None:
        if any(self.faults.rejects(key, value) for key, value in txn.puts):
            raise StoreRejectedError("a row is not acceptable")

    def _apply(self, txn: RowTransaction) -> int:
        current = {key: self._rows.get(key) for key, _ in txn.expects}
        if any(
            (row.version if (row := current[key]) else ABSENT) != version
            for key, version in txn.expects
        ):
            raise RowConflictError(rows=tuple(row for row in current.values() if row))
        self._version += 1
        for key, value in txn.puts:
            self._rows[key] = Row(key, value, self._version)
            self._log.append((self._version, key, value))
        for key in txn.deletes:
            if self._rows.pop(key, None) is not None:
                self._log.append((self._version, key, None))
        self._changed.notify_all()
        return self._version
