"""The workers that may run tasks, as stored for a successor.

The registry forgets workers that can't reach the store, while their leases go on. A leader stores
a worker here before it gives it the first task. Of a worker that has gone silent it stores what may
run there: it starts nothing on it before the list is gone from the store, so a successor that
can't reach the worker either has to wait only with these tasks.
"""

import json
from collections.abc import Iterable
from typing import Any

import attrs

from fescuerudder.document import Size
from fescuerudder.jobs.job import TaskId
from fescuerudder.jobs.progress import StoredFormError
from fescuerudder.jobs.workerport import WorkerInfo

AttemptRef = tuple[TaskId, int]
"""Task and number of an attempt."""


@attrs.frozen(kw_only=True)
class RosterEntry:
    """A worker on which tasks may run.

    Args:
        info: how to reach it.
        only_attempts: the only attempts that may run there, None if any may.
    """

    info: WorkerInfo
    only_attempts: tuple[AttemptRef, ...] | None = None


def dump_roster(entries: Iterable[RosterEntry]) -> bytes:
    """Returns the stored form: what is needed to reach the workers, and what they may run."""
    rows = sorted((_dump_entry(entry) for entry in entries), key=lambda row: row[0])
    return json.dumps(rows, separators=(",", ":")).encode()


def load_roster(data: bytes) -> list[RosterEntry]:
    """Returns the workers of a stored form; they have no capacity until they are listed.

    Raises:
        StoredFormError: the data is malformed.
    """
    try:
        return [_load_entry(*row) for row in json.loads(data)]
    except (ValueError, TypeError) as exc:
        raise StoredFormError(f"malformed roster: {type(exc).__name__}") from exc


def _dump_entry(entry: RosterEntry) -> list[Any]:
    info = entry.info
    place = [info.id, info.incarnation_ms, info.address]
    return (
        place
        if entry.only_attempts is None
        else [*place, [[*task, no] for task, no in entry.only_attempts]]
    )


def _load_entry(
    name: str, incarnation_ms: int, address: str, only_attempts: list[list[Any]] | None = None
) -> RosterEntry:
    attempts = None
    if only_attempts is not None:
        attempts = tuple(
            (TaskId(str(job), int(occurrence), int(step), int(index)), int(number))
            for job, occurrence, step, index, number in only_attempts
        )
    return RosterEntry(
        info=_unlisted(str(name), int(incarnation_ms), str(address)), only_attempts=attempts
    )


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
