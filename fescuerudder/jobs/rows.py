"""Port to a transactional row store with tables, partitions and a feed of changes."""

from typing import NamedTuple, Protocol

import attrs

from fescuerudder.errors import PlatformError

ABSENT = 0
"""Version of a row that does not exist."""

MAX_TXN_ROWS = 100
"""Rows that one transaction may check, write and delete, taken together."""


class RowKey(NamedTuple):
    """Place of a row. Rows of one transaction share the partition."""

    table: str
    part: str
    key: str


class Row(NamedTuple):
    """A stored row; `version` comes from one counter for the whole store."""

    key: RowKey
    value: bytes
    version: int


@attrs.frozen(kw_only=True)
class RowsTxn:
    """Checks and writes that apply wholly or not at all.

    Args:
        expects: version that each of these rows must have; `ABSENT` if it must not exist.
        puts: values to write.
        deletes: rows to remove.
    """

    expects: tuple[tuple[RowKey, int], ...] = ()
    puts: tuple[tuple[RowKey, bytes], ...] = ()
    deletes: tuple[RowKey, ...] = ()


@attrs.frozen(kw_only=True)
class Page:
    """Rows of one partition as of one moment.

    Args:
        rows: in the order of their keys.
        more: further rows follow the last one.
        version: newest version in the store at that moment.
        store_ms: steady clock of the store, in milliseconds.
    """

    rows: tuple[Row, ...]
    more: bool
    version: int
    store_ms: int


@attrs.frozen(kw_only=True)
class Changes:
    """Changes of a table since a version.

    Args:
        rows: rows written, in the order of their versions.
        removed: rows deleted.
        version: version to go on from.
    """

    rows: tuple[Row, ...]
    removed: tuple[RowKey, ...]
    version: int


class RowConflictError(PlatformError):
    """A transaction was not applied: a row had another version. `rows` are the current ones."""

    def __init__(self, *, rows: tuple[Row, ...]) -> None:
        super().__init__("a row had another version than expected")
        self.rows = rows


class HistoryLostError(PlatformError):
    """The changes since the version asked for are gone; the table must be read anew."""


class RowStore(Protocol):
    """Transactional row store.

    All methods raise StoreUnavailableError if the operation certainly had no effect, and `write`
    raises StoreOutcomeUnknownError if it may have been, or may still be, applied.
    """

    def write(self, txn: RowsTxn, *, timeout_s: float) -> int:
        """Applies a transaction and returns its version.

        Raises:
            RowConflictError: a row had another version.
        """

    def read(
        self, *, table: str, part: str, first: str = "", end: str = "", timeout_s: float
    ) -> Page:
        """Returns the rows with `first` <= key < `end`; an empty `end` means no bound."""

    def changes(self, *, table: str, after: int, wait_s: float) -> Changes:
        """Returns the changes after a version; waits up to `wait_s` for the first one.

        Raises:
            HistoryLostError: the changes are no longer kept.
        """


def read_row(store: RowStore, key: RowKey, *, timeout_s: float) -> Row | None:
    """Returns one row, None if it does not exist.

    Raises:
        StoreUnavailableError: it could not be read.
    """
    page = store.read(
        table=key.table,
        part=key.part,
        first=key.key,
        end=key.key + "\0",
        timeout_s=timeout_s,
    )
    return next((row for row in page.rows if row.key == key), None)


def read_part(store: RowStore, *, table: str, part: str, timeout_s: float) -> list[Page]:
    """Returns all rows of a partition, as the pages that the store gave.

    Raises:
        StoreUnavailableError: a page could not be read.
    """
    pages = [store.read(table=table, part=part, timeout_s=timeout_s)]
    while pages[-1].more:
        # The smallest key greater than the last one.
        first = pages[-1].rows[-1].key.key + "\0"
        pages.append(store.read(table=table, part=part, first=first, timeout_s=timeout_s))
    return pages
