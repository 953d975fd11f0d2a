"""Rows of the roster: one while it fits, otherwise several, written in one transaction.

The first of several rows is an object that counts the further ones. Instances that know only the
single row take it for a malformed roster and wait for all leases, so none of them starts a task
again that runs on a worker of a further row. Deadlines are in the entries then, not in a row of
their own, which would not hold those of thousands of silent workers.
"""

import json
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

import attrs
import structlog

from fescuerudder import checked
from fescuerudder.jobs.progress import StoredFormError
from fescuerudder.jobs.roster import (
    ENTRY_FIELDS,
    MAX_ROSTER_BYTES,
    UNREADABLE,
    RosterEntry,
    dump_deadlines,
    dump_entry,
    dump_roster,
    load_entry,
    load_roster,
    recover_roster,
)
from fescuerudder.jobs.rows import MAX_ROW_BYTES, Row, RowKey
from fescuerudder.jobs.storage import (
    DEADLINES_KEY,
    ROSTER_KEY,
    roster_key,
    roster_row_number,
)

ROW_BYTES = 40_000
"""Size of the entries in one of several rows; an entry without attempts has about 50 bytes."""

MAX_FURTHER_ROWS = 11
"""Rows beside the first one, 440 kB, that fit into one transaction of the leader."""

_log = structlog.get_logger(__name__)


@attrs.frozen(kw_only=True)
class SerializedRoster:
    """A roster as it is stored.

    Args:
        rows: values of its rows, and of the row of deadlines with the form of one row.
        workers: number of its workers.
        fits: whether the store takes it; otherwise its rows are rejected, and workers that are not
            on the stored roster get no tasks.
        is_whole: whether no attempts were left out.
    """

    rows: dict[RowKey, bytes]
    workers: int
    fits: bool = True
    is_whole: bool = True

    @property
    def further_rows(self) -> int:
        """Number of its rows beside the first one."""
        return max(map(roster_row_number, self.rows))


def dump_roster_rows(entries: Sequence[RosterEntry], *, several: bool) -> SerializedRoster:
    """Returns the serialized roster.

    Args:
        entries: its workers.
        several: whether every instance reads several rows. Otherwise they are used only if one row
            doesn't hold the workers even without their attempts.
    """
    entries = sorted(entries, key=lambda entry: entry.info.id)
    whole = single = dump_roster(entries, keep_attempts=True)
    if not several and len(whole) > MAX_ROSTER_BYTES:
        single = dump_roster(entries)
    if len(single) <= (MAX_ROSTER_BYTES if several else MAX_ROW_BYTES):
        if single != whole:
            _log_left_out(entries)
        rows = {ROSTER_KEY: single, DEADLINES_KEY: dump_deadlines(entries)}
        return SerializedRoster(rows=rows, workers=len(entries), is_whole=single == whole)
    parts = list(_spread(_dump_long(entry) for entry in entries))
    if len(parts) > MAX_FURTHER_ROWS:
        _log_left_out(entries)
        parts = list(_spread(_without_attempts(_dump_long(entry)) for entry in entries))
    fits = len(parts) <= MAX_FURTHER_ROWS
    if not fits:
        _log.error("roster does not fit into the store", workers=len(entries), rows=len(parts))
    further = {roster_key(number): _dump(part) for number, part in enumerate(parts, start=1)}
    return SerializedRoster(
        rows={ROSTER_KEY: _dump({"rows": len(parts)}), **further}, workers=len(entries), fits=fits
    )


def load_roster_rows(stored: Mapping[RowKey, Row]) -> list[RosterEntry]:
    """Returns the stored roster; its workers have no capacity until the registry lists them.

    Args:
        stored: the leader's rows, with that of the roster.

    Raises:
        StoredFormError: a row is missing or malformed, or is of another transaction.
    """
    further = _further_rows(stored)
    if further is None:
        return load_roster(stored[ROSTER_KEY].value)
    try:
        return [_load_long(*fields) for row in further for fields in _items(row)]
    except (ValueError, TypeError) as exc:
        raise StoredFormError(f"malformed roster: {checked.reason(exc)}") from exc


def recover_roster_rows(stored: Mapping[RowKey, Row]) -> list[RosterEntry]:
    """Returns the entries of a malformed roster that can be read, and `UNREADABLE` for others."""
    count = _count(stored[ROSTER_KEY].value)
    if count is None:
        return recover_roster(stored[ROSTER_KEY].value)
    found = []
    for number in range(1, min(count, MAX_FURTHER_ROWS) + 1):
        row = stored.get(roster_key(number))
        for fields in _readable_items(row) if row is not None else ():
            try:
                found.append(_load_long(*fields))
            except (ValueError, TypeError) as exc:
                _log.error("roster entry can't be read", reason=checked.reason(exc))
    return [*found, UNREADABLE]


def _log_left_out(entries: Sequence[RosterEntry]) -> None:
    if any(entry.only_attempts for entry in entries):
        _log.warning("attempts on silent workers left out of the roster", workers=len(entries))


def _further_rows(stored: Mapping[RowKey, Row]) -> list[Row] | None:
    """Returns the further rows, None if the roster is in one row.

    Raises:
        StoredFormError: a row is missing or is of another transaction.
    """
    first = stored[ROSTER_KEY]
    count = _count(first.value)
    if count is None:
        return None
    if count > MAX_FURTHER_ROWS:
        raise StoredFormError("malformed roster: too many rows")
    rows = [stored.get(roster_key(number)) for number in range(1, count + 1)]
    if any(row is None or row.version != first.version for row in rows):
        raise StoredFormError("malformed roster: a row is missing")
    return [row for row in rows if row is not None]


def _count(data: bytes) -> int | None:
    """Returns the number of further rows that the first row tells, None if it has the entries."""
    try:
        raw = checked.load_json(data)
        return checked.whole(raw["rows"]) if isinstance(raw, dict) else None
    except (ValueError, TypeError, KeyError):
        return None


def _items(row: Row) -> list[Any]:
    return checked.items(checked.load_json(row.value))


def _readable_items(row: Row) -> list[Any]:
    try:
        return _items(row)
    except ValueError:
        return []


def _dump_long(entry: RosterEntry) -> list[Any]:
    """Returns the fields of an entry with its deadline, which follows the attempts."""
    fields = dump_entry(entry)
    if entry.deadline_ms is None:
        return fields
    attempts = fields[ENTRY_FIELDS] if len(fields) > ENTRY_FIELDS else None
    return [*fields[:ENTRY_FIELDS], attempts, entry.deadline_ms]


def _without_attempts(fields: list[Any]) -> list[Any]:
    bare = fields[:ENTRY_FIELDS]
    has_deadline = len(fields) > ENTRY_FIELDS + 1
    return [*bare, None, fields[-1]] if has_deadline else bare


def _load_long(
    name: str, incarnation_ms: int, address: str, attempts: Any = None, deadline_ms: Any = None
) -> RosterEntry:
    entry = load_entry(name, incarnation_ms, address, attempts)
    if deadline_ms is None:
        return entry
    return attrs.evolve(entry, deadline_ms=checked.whole(deadline_ms))


def _spread(entries: Iterable[list[Any]]) -> Iterator[list[list[Any]]]:
    """Yields the entries of each row."""
    part: list[list[Any]] = []
    size = 0
    for fields in entries:
        entry_size = len(_dump(fields)) + 1
        if part and size + entry_size > ROW_BYTES:
            yield part
            part, size = [], 0
        part.append(fields)
        size += entry_size
    if part:
        yield part


def _dump(raw: Any) -> bytes:
    return json.dumps(raw, separators=(",", ":")).encode()
