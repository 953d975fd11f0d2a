"""Rows of a job's progress: ended occurrences compacted, the rest spread so that each row fits.

The first row has the state. It names how many further rows belong to it, which are written in the
same transaction. Instances of 122f4c3 read the first row alone, and all steps from it.
"""

import json
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from fescuerudder import checked
from fescuerudder.jobs.jobrun import JobRun
from fescuerudder.jobs.progress import (
    StoredFormError,
    dump_progress,
    dump_unfinished,
    least_bytes_of_ended,
    restore_steps,
)
from fescuerudder.jobs.rows import RowKey
from fescuerudder.jobs.storage import progress_key

MAX_VALUE_BYTES = 56_000
"""Size of a row up to which nothing is spread; the store's limit is 65,536 bytes."""

PART_BYTES = 40_000
"""Size of the entries of one of several rows."""

MAX_PARTS = 11
"""Rows beside the first one that still fit into one transaction of the leader."""

TASKS_PER_ENTRY = 200
"""Tasks of a step in one entry, as far as more is known of them than that they are done."""

PART_SEPARATOR = "."


def part_key(job_id: str, number: int) -> RowKey:
    """Returns the key of a further row of a job's progress; `number` counts from 1."""
    return progress_key(f"{job_id}{PART_SEPARATOR}{number}")


def dump_rows(run: JobRun, *, compact: bool) -> dict[RowKey, bytes]:
    """Returns the rows of a job's progress, the first one first.

    Args:
        run: the job.
        compact: whether every instance reads the compact form. Otherwise it is used only where the
            other one doesn't fit.
    """
    key = progress_key(run.job.id)
    if run.state.is_final or (not compact and least_bytes_of_ended(run) <= MAX_VALUE_BYTES):
        whole = dump_progress(run)
        if run.state.is_final or len(whole) <= MAX_VALUE_BYTES:
            return {key: whole}
    steps = dump_unfinished(run)
    head = {"state": run.state.value, "begun": run.begun, "ended": run.occurrences.ended}
    single = _dump({**head, "steps": steps})
    if len(single) <= MAX_VALUE_BYTES:
        return {key: single}
    parts = list(_spread(steps))
    if len(parts) > MAX_PARTS:
        # A checkpoint saves work that may be done again; everything else must be kept.
        bare = {
            name: {k: v for k, v in step.items() if k != "checkpoints"}
            for name, step in steps.items()
        }
        parts = list(_spread(bare))
    if len(parts) > MAX_PARTS:
        # The store rejects it, so the job is isolated with all that it has.
        return {key: single}
    rows = {key: _dump({**head, "parts": len(parts), "steps": {}})}
    return rows | {
        part_key(run.job.id, number): _dump({"steps": part})
        for number, part in enumerate(parts, start=1)
    }


def _spread(steps: Mapping[str, dict[str, Any]]) -> Iterator[list[list[Any]]]:
    """Yields the entries of each row: name of a step, and what is known of some of its tasks."""
    part: list[list[Any]] = []
    size = 0
    for name, step in steps.items():
        for piece in _pieces(step):
            piece_size = len(_dump([name, piece]))
            if part and size + piece_size > PART_BYTES:
                yield part
                part, size = [], 0
            part.append([name, piece])
            size += piece_size
    if part:
        yield part


def _pieces(step: dict[str, Any]) -> Iterator[dict[str, Any]]:
    """Yields the entry of a step in pieces, each with the data of TASKS_PER_ENTRY tasks at most."""
    maps = {name: value for name, value in step.items() if isinstance(value, dict)}
    rest = {name: value for name, value in step.items() if name not in maps}
    if rest:
        yield rest
    for name, values in maps.items():
        items = list(values.items())
        for first in range(0, len(items), TASKS_PER_ENTRY):
            yield {name: dict(items[first : first + TASKS_PER_ENTRY])}


def load_rows(run: JobRun, rows: Mapping[str, bytes]) -> int:
    """Restores the progress of a newly created job; returns the number of its further rows.

    Args:
        run: the job.
        rows: all rows of progress, by key.

    Raises:
        StoredFormError: a row is malformed, is missing, or doesn't fit the job.
    """
    try:
        raw = checked.load_json(rows[run.job.id])
        steps: dict[str, dict[str, Any]] = dict(raw.get("steps", {}))
        parts = checked.whole(raw.get("parts", 0))
        for number in range(1, parts + 1):
            _merge(steps, checked.load_json(rows[part_key(run.job.id, number).key])["steps"])
        restore_steps(run, {**raw, "steps": steps}, ended=_load_ranges(raw, run))
    except StoredFormError:
        raise
    except Exception as exc:
        raise StoredFormError(f"malformed progress: {type(exc).__name__}") from exc
    run.is_compact = "ended" in raw
    return parts


def _merge(steps: dict[str, dict[str, Any]], entries: Sequence[Sequence[Any]]) -> None:
    for name, piece in entries:
        known = steps.setdefault(name, {})
        for field, value in piece.items():
            if isinstance(value, dict):
                known.setdefault(field, {}).update(value)
            else:
                known[field] = value


def _load_ranges(raw: Mapping[str, Any], run: JobRun) -> list[list[int]]:
    most = run.job.occurrences
    return [
        [checked.whole(first, most=most), checked.whole(end, most=most)]
        for first, end in raw.get("ended", [])
    ]


def _dump(raw: Any) -> bytes:
    return json.dumps(raw, separators=(",", ":")).encode()
