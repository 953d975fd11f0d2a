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
from fescuerudder.jobs.storage import parse_starts_key


@attrs.frozen(kw_only=True)
class StoredStart:
    """An attempt that an earlier leader may have started.

    Args:
        worker: id of the worker.
        incarnation_ms: start time of the worker's incarnation.
        index: index of the task in its step.
        number: number of the attempt, 0 if unknown.
    """

    worker: str
    incarnation_ms: int
    index: int
    number: int


@attrs.frozen(kw_only=True)
class StepStarts:
    """The recorded starts of one step.

    Args:
        step: the step.
        starts: its live attempts when the record was written.
    """

    step: StepId
    starts: tuple[StoredStart, ...]


@attrs.frozen(kw_only=True)
class StoredStarts:
    """The records of starts that earlier leaders stored.

    Args:
        steps: the records of steps of live jobs.
        obsolete: steps of ended jobs whose records are left over.
        is_complete: the records tell of every attempt that earlier leaders may have started.
    """

    steps: tuple[StepStarts, ...] = ()
    obsolete: tuple[StepId, ...] = ()
    is_complete: bool = False


def dump_starts(step: StepRun, others: Iterable[StoredStart] = ()) -> bytes:
    """Returns the serialized live attempts of a step, grouped by the incarnation of the worker.

    Args:
        step: the step.
        others: further attempts that earlier leaders may have started.
    """
    groups: dict[tuple[str, int], list[list[int]]] = {}
    for attempt in step.live_attempts():
        group = groups.setdefault((attempt.worker, attempt.incarnation_ms), [])
        group.append([attempt.task.id.index, attempt.number])
    for start in others:
        group = groups.setdefault((start.worker, start.incarnation_ms), [])
        group.append([start.index, start.number])
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
