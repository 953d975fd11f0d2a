"""Port to a transactional row store with tables, partitions and a feed of changes."""

import math
from typing import NamedTuple, Protocol

import attrs

from fescuerudder.errors import PlatformError, StoreUnavailableError

ABSENT = 0
"""Version of a row that does not exist."""

MAX_TXN_ROWS = 100
"""Maximum number of rows that one transaction may check, write and delete in total."""

MAX_ROW_BYTES = 65_536
"""Largest value of a row that a store takes."""


class RowKey(NamedTuple):
    """Key of a row. All rows of a transaction are in one partition."""

    table: str
    partition: str
    key: str


class Row(NamedTuple):
    """A stored row; `version` comes from one counter for the whole store."""

    key: RowKey
    value: bytes
    version: int


@attrs.frozen(kw_only=True)
class RowTransaction:
    """Transaction: checks and writes that are applied atomically.

    Args:
        expects: keys of rows with the version that each must have; `ABSENT` if it must not exist.
        puts: values to write.
        deletes: rows to remove.
    """

    expects: tuple[tuple[RowKey, int], ...] = ()
    puts: tuple[tuple[RowKey, bytes], ...] = ()
    deletes: tuple[RowKey, ...] = ()


@attrs.frozen(kw_only=True)
class Page:
    """Consistent snapshot of rows of one partition.

    Args:
        rows: the rows in the order of their keys.
        more: further rows follow the last one.
        version: newest version in the store at the time of the snapshot.
        store_ms: monotonic clock of the store, in milliseconds.
    """

    rows: tuple[Row, ...]
    more: bool
    version: int
    store_ms: int


@attrs.frozen(kw_only=True)
class Changes:
    """Changes of a table since a version.

    Args:
        rows: rows that were written, in the order of their versions.
        removed: keys of rows that were deleted.
        version: version from which the next call continues.
    """

    rows: tuple[Row, ...]
    removed: tuple[RowKey, ...]
    version: int


@attrs.frozen(kw_only=True)
class StoreClock:
    """One reading of the store's monotonic clock, which all instances share.

    Args:
        reading_ms: the reading, in milliseconds.
        sent_s: when the call that returned it was sent, on this instance's clock.
        received_s: when its answer arrived.
    """

    reading_ms: int
    sent_s: float
    received_s: float

    def latest_ms(self, at_s: float) -> int:
        """Returns the latest reading that the store's clock can show at a time of this instance."""
        return self.reading_ms + math.ceil((at_s - self.sent_s) * 1000)

    def latest_s(self, store_ms: int) -> float:
        """Returns the latest time of this instance at which the store's clock shows `store_ms`."""
        return self.received_s + (store_ms - self.reading_ms) / 1000


class RowConflictError(PlatformError):
    """A transaction was not applied because a row had another version.

    Args:
        rows: the current rows.
    """

    def __init__(self, *, rows: tuple[Row, ...]) -> None:
        super().__init__("a row had another version than expected")
        self.rows = rows


class HistoryLostError(PlatformError):
    """The store no longer has the changes since a version; the table must be read again."""


class RowStore(Protocol):
    """Transactional row store.

    All methods raise StoreUnavailableError if the operation had no effect, and `write` raises
    StoreOutcomeUnknownError if it may have been, or may still be, applied.
    """

    def write(self, txn: RowTransaction, *, timeout_s: float) -> int:
        """Applies a transaction and returns its version.

        Raises:
            RowConflictError: a row had another version.
        """

    def read(
        self, *, table: str, partition: str, first: str = "", end: str = "", timeout_s: float
    ) -> Page:
        """Returns the rows with `first` <= key < `end`; an empty `end` means no bound."""

    def changes(self, *, table: str, after: int, wait_s: float) -> Changes:
        """Returns the changes after a version; waits up to `wait_s` seconds for the first one.

        Raises:
            HistoryLostError: the store no longer has the changes.
        """


def read_row(store: RowStore, key: RowKey, *, timeout_s: float) -> Row | None:
    """Returns one row, None if it does not exist.

    Raises:
        StoreUnavailableError: the row could not be read.
    """
    page = store.read(
        table=key.table,
        partition=key.partition,
        first=key.key,
        end=key.key + "\0",
        timeout_s=timeout_s,
    )
    return next((row for row in page.rows if row.key == key), None)


def read_partition(store: RowStore, *, table: str, partition: str, timeout_s: float) -> list[Page]:
    """Returns the pages that together hold all rows of a partition.

    Raises:
        StoreUnavailableError: a page could not be read.
    """
    pages = [store.read(table=table, partition=partition, timeout_s=timeout_s)]
    first = ""
    while pages[-1].more:
        last = pages[-1].rows[-1].key.key if pages[-1].rows else ""
        if last < first:
            raise StoreUnavailableError(f"pages of {table} do not advance")
        # The smallest key greater than the last one.
        first = last + "\0"
        pages.append(store.read(table=table, partition=partition, first=first, timeout_s=timeout_s))
    return pages
