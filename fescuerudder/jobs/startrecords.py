"""Record of the starts of a step, stored before the start orders are sent.

A successor so knows which tasks an earlier leader may have started, and on which workers. All other
tasks may start at once, whichever workers are out of reach.
"""

import json
from collections.abc import Iterable

import attrs

from fescuerudder import checked
from fescuerudder.jobs.job import StepId
from fescuerudder.jobs.jobrun import StepRun
from fescuerudder.jobs.progress import StoredFormError
from fescuerudder.jobs.rows import RowKey
from fescuerudder.jobs.storage import parse_starts_key, starts_key

TASKS_PER_ROW = 400
"""Number of tasks whose attempts one row holds, so that it fits into the store's limit of 64 kB
also with two copies of each."""


@attrs.frozen(kw_only=True)
class StoredStart:
    """An attempt that an earlier leader may have started.

    Args:
        worker: id of the worker.
        incarnation_ms: start time of the worker's incarnation.
        index: index of the task in its step.
        number: number of the attempt, 0 if unknown.
        is_answered: an earlier leader knew that its worker had answered the start or listed it.
    """

    worker: str
    incarnation_ms: int
    index: int
    number: int
    is_answered: bool = False


@attrs.frozen(kw_only=True)
class StepStarts:
    """The recorded starts of one step, or of some of its tasks.

    Args:
        step: the step.
        starts: the live attempts and the late starts when the record was written.
    """

    step: StepId
    starts: tuple[StoredStart, ...]


@attrs.frozen(kw_only=True)
class StoredStarts:
    """The records of starts that earlier leaders stored.

    Args:
        steps: the records of steps of live jobs.
        obsolete: steps of ended jobs whose records are left over.
        unreadable: keys of the rows that can't be read.
        is_complete: the records tell of every attempt that earlier leaders may have started.
    """

    steps: tuple[StepStarts, ...] = ()
    obsolete: tuple[StepId, ...] = ()
    unreadable: tuple[RowKey, ...] = ()
    is_complete: bool = False


def dump_starts(step: StepRun, others: Iterable[StoredStart] = ()) -> dict[RowKey, bytes]:
    """Returns the rows of a step's record, each with the attempts of some tasks.

    Args:
        step: the step.
        others: further attempts that earlier leaders may have started.
    """
    live = (
        StoredStart(
            worker=attempt.worker,
            incarnation_ms=attempt.incarnation_ms,
            index=attempt.task.id.index,
            number=attempt.number,
        )
        for attempt in step.recorded_attempts()
    )
    keys = record_keys(step)
    groups: list[dict[tuple[str, int], list[list[int]]]] = [{} for _ in keys]
    for start in (*live, *others):
        group = groups[start.index // TASKS_PER_ROW]
        starts = group.setdefault((start.worker, start.incarnation_ms), [])
        starts.append([start.index, start.number])
    return {key: _dump_row(group) for key, group in zip(keys, groups, strict=True)}


def record_keys(step: StepRun) -> list[RowKey]:
    """Returns the keys of the rows of a step's record."""
    return [starts_key(step.id, row) for row in range(-(-len(step.tasks) // TASKS_PER_ROW))]


def _dump_row(groups: dict[tuple[str, int], list[list[int]]]) -> bytes:
    rows = [[worker, born_ms, starts] for (worker, born_ms), starts in groups.items()]
    return json.dumps(rows, separators=(",", ":")).encode()


def load_starts(key: str, data: bytes) -> StepStarts:
    """Returns a deserialized record.

    Args:
        key: key of its row.
        data: its value.

    Raises:
        StoredFormError: key or data are malformed.
    """
    try:
        return StepStarts(
            step=parse_starts_key(key),
            starts=tuple(_load_rows(checked.items(checked.load_json(data)))),
        )
    except (ValueError, TypeError) as exc:
        raise StoredFormError(f"malformed record of starts: {checked.reason(exc)}") from exc


def _load_rows(rows: Iterable) -> Iterable[StoredStart]:
    for worker, born_ms, starts in rows:
        for index, number in checked.items(starts):
            yield StoredStart(
                worker=checked.text(worker),
                incarnation_ms=checked.whole(born_ms),
                index=checked.whole(index),
                number=checked.whole(number),
            )
