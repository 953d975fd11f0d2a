"""Stored list of the workers on which tasks may run, from which a new leader starts.

The registry drops workers that can't reach the store, although their leases continue. So a leader
stores a worker here before it starts the first task on it. For a worker that has become silent it
stores the attempts that may run there, and starts nothing else on it until the stored roster no
longer restricts it. If the successor can't reach the worker either, it delays only these tasks.

A deadline on the store's clock, stored with the roster, says when everything on a silent worker has
ended, so that a further takeover doesn't count the time anew.
"""

import json
from collections.abc import Iterable
from typing import Any

import attrs
import structlog

from fescuerudder import checked
from fescuerudder.document import Size
from fescuerudder.jobs.job import TaskId
from fescuerudder.jobs.progress import StoredFormError
from fescuerudder.jobs.workerport import WorkerInfo

_log = structlog.get_logger(__name__)

MAX_ROSTER_BYTES = 60_000
"""Size up to which the roster tells what may run on silent workers; the store's limit is 65,536
bytes. Without it a successor waits for the leases of all tasks that records name there."""

ENTRY_FIELDS = 3
"""Fields of an entry that are always stored."""

AttemptRef = tuple[TaskId, int]
"""Task and number of an attempt."""


@attrs.frozen(kw_only=True)
class RosterEntry:
    """A worker on which tasks may run.

    Args:
        info: its id, incarnation and address.
        only_attempts: the only attempts that may run there, None for no restriction.
        deadline_ms: when everything that may run there has ended, on the store's clock; None if
            the worker is not silent.
    """

    info: WorkerInfo
    only_attempts: tuple[AttemptRef, ...] | None = None
    deadline_ms: int | None = None


def dump_roster(entries: Iterable[RosterEntry], *, keep_attempts: bool = False) -> bytes:
    """Returns the roster serialized into one row: id, incarnation, address and attempts of each.

    Args:
        entries: the workers.
        keep_attempts: whether the attempts are also kept if the row becomes too large.
    """
    rows = sorted((dump_entry(entry) for entry in entries), key=lambda row: row[0])
    data = json.dumps(rows, separators=(",", ":")).encode()
    if keep_attempts or len(data) <= MAX_ROSTER_BYTES:
        return data
    return json.dumps([row[:ENTRY_FIELDS] for row in rows], separators=(",", ":")).encode()


def load_roster(data: bytes) -> list[RosterEntry]:
    """Returns the deserialized roster; its workers have no capacity until the registry lists them.

    Raises:
        StoredFormError: the data is malformed.
    """
    try:
        return [load_entry(*row) for row in checked.items(checked.load_json(data))]
    except (ValueError, TypeError) as exc:
        raise StoredFormError(f"malformed roster: {checked.reason(exc)}") from exc


def recover_roster(data: bytes) -> list[RosterEntry]:
    """Returns the entries of a malformed roster that can be read, and `UNREADABLE` for the others.

    Any worker may run tasks of which no readable entry tells, so the term begins as if there were a
    worker that can't be reached.
    """
    try:
        rows = checked.items(checked.load_json(data))
    except ValueError:
        rows = []
    found = []
    for row in rows:
        try:
            found.append(load_entry(*row))
        except (ValueError, TypeError) as exc:
            _log.error("roster entry can't be read", reason=checked.reason(exc))
    return [*found, UNREADABLE]


def dump_deadlines(entries: Iterable[RosterEntry]) -> bytes:
    """Returns the serialized deadlines of the entries that have one, by worker and incarnation.

    They are a row of their own, since instances of an earlier version can't read other rosters.
    """
    rows = sorted(
        [entry.info.id, entry.info.incarnation_ms, entry.deadline_ms]
        for entry in entries
        if entry.deadline_ms is not None
    )
    return json.dumps(rows, separators=(",", ":")).encode()


def add_deadlines(entries: Iterable[RosterEntry], data: bytes) -> list[RosterEntry]:
    """Returns the entries with their serialized deadlines.

    Raises:
        StoredFormError: the data is malformed.
    """
    try:
        deadlines = {
            (checked.text(name), checked.whole(born_ms)): checked.whole(until_ms)
            for name, born_ms, until_ms in checked.items(checked.load_json(data))
        }
    except (ValueError, TypeError) as exc:
        raise StoredFormError(f"malformed deadlines: {checked.reason(exc)}") from exc
    return [
        attrs.evolve(e, deadline_ms=deadlines.get((e.info.id, e.info.incarnation_ms)))
        for e in entries
    ]


def dump_entry(entry: RosterEntry) -> list[Any]:
    """Returns the fields of an entry as they are serialized, without its deadline."""
    info = entry.info
    fields = [info.id, info.incarnation_ms, info.address]
    return (
        fields
        if entry.only_attempts is None
        else [*fields, [[*task, no] for task, no in entry.only_attempts]]
    )


def load_entry(
    name: str, incarnation_ms: int, address: str, only_attempts: list[list[Any]] | None = None
) -> RosterEntry:
    """Returns the entry with these fields.

    Raises:
        ValueError: a field is out of range.
        TypeError: a field has another type, or there are more of them.
    """
    attempts = None
    if only_attempts is not None:
        attempts = tuple(_load_attempt(*attempt) for attempt in checked.items(only_attempts))
    info = _unlisted(checked.text(name), checked.whole(incarnation_ms), checked.text(address))
    return RosterEntry(info=info, only_attempts=attempts)


def _load_attempt(job: str, occurrence: int, step: int, index: int, number: int) -> AttemptRef:
    task = TaskId(
        checked.text(job), checked.whole(occurrence), checked.whole(step), checked.whole(index)
    )
    return task, checked.whole(number)


def _unlisted(name: str, incarnation_ms: int, address: str) -> WorkerInfo:
    return WorkerInfo(
        id=name,
        incarnation_ms=incarnation_ms,
        pool="",
        address=address,
        zone="",
        rack="",
        labels=frozenset(),
        capacity=Size(processors=0.0, memory_mb=0, accelerators=0),
        draining=False,
        clock_ms=0,
    )


UNREADABLE = RosterEntry(info=_unlisted("(unreadable)", 0, ""))
"""Stands for the workers of which a malformed roster doesn't tell; it has no address."""
