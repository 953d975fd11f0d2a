"""Serializes jobs and their progress as compact JSON for the store."""

import json
from collections.abc import Sequence
from typing import Any

import attrs
import cattrs

from fescuerudder.errors import PlatformError
from fescuerudder.jobs.job import Job
from fescuerudder.jobs.jobcheck import check_job
from fescuerudder.jobs.jobrun import JobRun, JobState, StepRun

_CONVERTER = cattrs.Converter(omit_if_default=True)


class StoredFormError(PlatformError):
    """A stored row can't be read."""


def dump_job(job: Job) -> bytes:
    """Returns a submitted job in its serialized form."""
    return _dump(_CONVERTER.unstructure(job))


def load_job(data: bytes) -> Job:
    """Returns the deserialized job.

    Raises:
        StoredFormError: the data is malformed, or the job can't be planned.
    """
    try:
        job = _CONVERTER.structure(json.loads(data), Job)
        check_job(job)
        return job
    except Exception as exc:
        raise StoredFormError(f"malformed job: {type(exc).__name__}") from exc


def dump_progress(run: JobRun) -> bytes:
    """Returns serialized progress: the state, and what is known of each step's tasks."""
    raw: dict[str, Any] = {"state": run.state.value}
    if not run.state.is_final:
        raw["begun"] = run.begun
        raw["steps"] = _dump_all_steps(run)
    return _dump(raw)


def _dump_all_steps(run: JobRun) -> dict[str, Any]:
    """Returns the entries of all steps of which anything is known."""
    done = {
        number: {"done": f"{(1 << spec.count) - 1:x}"}
        for number, spec in enumerate(run.job.steps)
        if spec.count
    }
    entries = {
        (occurrence, number): entry
        for first, end in run.occurrences.ended
        for occurrence in range(first, end)
        for number, entry in done.items()
    }
    entries |= _dump_unfinished(run)
    return {f"{o}.{n}": entries[(o, n)] for o, n in sorted(entries)}


def _dump_unfinished(run: JobRun) -> dict[tuple[int, int], dict[str, Any]]:
    entries = {
        key: _dump_step(run.steps[key])
        for key in sorted(run.steps)
        if not run.occurrences.has_ended(key[0])
    }
    return {key: entry for key, entry in entries.items() if entry}


def dump_unfinished(run: JobRun) -> dict[str, dict[str, Any]]:
    """Returns the entries of the steps of occurrences that have not ended, by name."""
    return {f"{o}.{n}": entry for (o, n), entry in _dump_unfinished(run).items()}


def least_bytes_of_ended(run: JobRun) -> int:
    """Returns a lower bound on the bytes that ended occurrences take in `dump_progress`."""
    steps = sum(1 for spec in run.job.steps if spec.count)
    return run.occurrences.ended_count * steps * len('"0.0":{"done":"1"},')


def load_state(data: bytes) -> JobState:
    """Returns the state in serialized progress.

    Raises:
        StoredFormError: the data is malformed.
    """
    try:
        return JobState(json.loads(data)["state"])
    except Exception as exc:
        raise StoredFormError(f"malformed progress: {type(exc).__name__}") from exc


def restore_progress(run: JobRun, data: bytes) -> None:
    """Restores serialized progress into a newly created job.

    Raises:
        StoredFormError: the data is malformed or does not fit the job.
    """
    try:
        restore_steps(run, json.loads(data))
    except Exception as exc:
        raise StoredFormError(f"malformed progress: {type(exc).__name__}") from exc


def restore_steps(run: JobRun, raw: dict[str, Any], *, ended: Sequence[Sequence[int]] = ()) -> None:
    """Restores progress into a newly created job.

    Args:
        run: the job.
        raw: the progress.
        ended: ranges of the occurrences whose tasks are all done, each with its first occurrence
            and the one after its last.

    Raises:
        KeyError, ValueError, TypeError, AttributeError: the progress doesn't fit the job.
    """
    run.state = JobState(raw["state"])
    run.begun = bool(raw.get("begun", False))
    for first, end in ended:
        run.done_work += run.occurrences.add_ended(first, end) * run.job.occurrence_work
    last = max((n for n, spec in enumerate(run.job.steps) if spec.count), default=0)
    for name, entry in raw.get("steps", {}).items():
        occurrence, number = (int(part) for part in name.split("."))
        if run.occurrences.has_ended(occurrence):
            continue
        step = run.find_step(occurrence, number)
        if step is None:
            raise KeyError(name)
        _restore_step(step, entry)
        if number == last:
            _drop_if_done(run, occurrence)
    for occurrence in {occurrence for occurrence, _ in run.steps}:
        _drop_if_done(run, occurrence)


def _drop_if_done(run: JobRun, occurrence: int) -> None:
    """Records the end of an occurrence whose tasks are all done; nothing of it is known to run."""
    if run.end_occurrence_if_done(occurrence) and run.job.repetition is not None:
        run.drop_occurrence(occurrence)


def _dump_step(step: StepRun) -> dict[str, Any]:
    done = sum(1 << task.id.index for task in step.tasks if task.done)
    failed = {
        str(t.id.index): t.failed_attempts for t in step.tasks if t.failed_attempts and not t.done
    }
    crashed = {
        str(t.id.index): t.crashed_attempts for t in step.tasks if t.crashed_attempts and not t.done
    }
    possible = {
        str(t.id.index): t.possible_crashes for t in step.tasks if t.possible_crashes and not t.done
    }
    saved = {
        str(t.id.index): t.own_checkpoint for t in step.tasks if t.own_checkpoint and not t.done
    }
    raw = {
        "done": f"{done:x}" if done else "",
        "failed": failed,
        "crashed": crashed,
        "possible": possible,
        "checkpoints": saved,
        "gang": [step.checkpoint_attempt, step.gang_checkpoint] if step.gang_checkpoint else [],
    }
    return {name: value for name, value in raw.items() if value}


def _restore_step(step: StepRun, raw: dict[str, Any]) -> None:
    done = int(raw.get("done") or "0", 16)
    failed, saved = raw.get("failed", {}), raw.get("checkpoints", {})
    crashed, possible = raw.get("crashed", {}), raw.get("possible", {})
    for task in step.tasks:
        index = str(task.id.index)
        task.done = bool(done >> task.id.index & 1)
        step.job.done_work += step.spec.work if task.done else 0.0
        task.failed_attempts = [int(number) for number in failed.get(index, ())]
        task.crashed_attempts = [int(number) for number in crashed.get(index, ())]
        task.possible_crashes = [int(number) for number in possible.get(index, ())]
        task.own_checkpoint = str(saved.get(index, ""))
    if step.spec.gang:
        _restore_gang(step, raw.get("gang", ()))


def _restore_gang(step: StepRun, saved: Sequence[Any]) -> None:
    """Restores the checkpoint of a gang.

    Leaders up to 7f57da8 stored one for each member. The first is as valid as the others, and all
    members must resume from the same.
    """
    if saved:
        attempt, checkpoint = saved
        step.checkpoint_attempt, step.gang_checkpoint = int(attempt), str(checkpoint)
        return
    stored = [task.own_checkpoint for task in step.tasks if task.own_checkpoint]
    step.gang_checkpoint = stored[0] if stored and not step.is_done else ""
    for task in step.tasks:
        task.own_checkpoint = ""


def _dump(raw: dict[str, Any]) -> bytes:
    return json.dumps(raw, separators=(",", ":")).encode()


@attrs.frozen(kw_only=True)
class StoredJob:
    """A job read from the store, with the version of its row."""

    job: Job
    version: int
