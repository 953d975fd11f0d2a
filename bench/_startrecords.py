"""Candidate records of starts: the rows that each writes with the leader's transactions."""

import json
from collections.abc import Iterable
from typing import Any, Protocol

import attrs

from fescuerudder.jobs.job import TaskId
from fescuerudder.jobs.jobrun import Attempt, JobRun, RecordedStart, StepRun, TaskRun
from fescuerudder.jobs.progress import dump_progress
from fescuerudder.jobs.rows import Row, RowKey
from fescuerudder.jobs.storage import LEADER_PARTITION, progress_key

STARTS_TABLE = "starts"
COMPACTED_SHARE = 0.25
"""Share of live attempts in a row of the log below which they move to the next row."""

AttemptKey = tuple[TaskId, int]


@attrs.define(kw_only=True)
class RecordChanges:
    """Rows that a record writes and deletes in the next batch."""

    puts: dict[RowKey, bytes] = attrs.Factory(dict)
    deletes: list[RowKey] = attrs.Factory(list)


class StartRecord(Protocol):
    """A record of the live attempts.

    `on_start` is called before a start order is sent, `on_end` after an attempt has ended.
    """

    waits: bool

    def on_start(self, attempt: Attempt) -> None:
        """Takes note of an attempt that begins."""

    def on_end(self, attempt: Attempt) -> None:
        """Takes note of an attempt that has ended; a task that is done is marked so."""

    def dump_progress(self, run: JobRun) -> bytes:
        """Returns the serialized progress of a job."""

    def take(self) -> RecordChanges:
        """Returns the changes since the last call."""

    def on_stored(self) -> None:
        """Takes note that the changes that were taken last are stored."""

    def covering_workers(self, task: TaskRun) -> list[str]:
        """Returns the workers on which a task may start without a record of its own."""

    def load(self, rows: Iterable[Row]) -> set[AttemptKey]:
        """Returns the attempts that a successor finds in the rows of all tables."""


class NoRecord:
    """Starts are not recorded, and sent at once."""

    waits = False

    def on_start(self, attempt: Attempt) -> None:
        """Does nothing."""

    def on_end(self, attempt: Attempt) -> None:
        """Does nothing."""

    def dump_progress(self, run: JobRun) -> bytes:
        """Returns the progress as it is stored today."""
        return dump_progress(run)

    def take(self) -> RecordChanges:
        """Returns no changes."""
        return RecordChanges()

    def on_stored(self) -> None:
        """Does nothing."""

    def covering_workers(self, task: TaskRun) -> list[str]:
        """Returns nothing, as each start needs a record of its own."""
        return []

    def load(self, rows: Iterable[Row]) -> set[AttemptKey]:
        """Returns nothing, as no row tells of attempts."""
        return set()


@attrs.define(kw_only=True)
class StepRecord(NoRecord):
    """One row for each step with live attempts; deleted when the step is done.

    Args:
        born_ms: incarnation of each worker.
    """

    born_ms: dict[str, int]
    waits: bool = True
    _dirty: dict[StepRun, None] = attrs.Factory(dict)
    _stored: set[StepRun] = attrs.Factory(set)

    def on_start(self, attempt: Attempt) -> None:
        """Marks the row of the step as changed."""
        self._dirty[attempt.task.step] = None

    def on_end(self, attempt: Attempt) -> None:
        """Marks the row of a step that is done; other ends stand in the progress."""
        if attempt.task.step.is_done:
            self._dirty[attempt.task.step] = None

    def take(self) -> RecordChanges:
        """Returns the rows of the changed steps."""
        changes = RecordChanges()
        for step in self._dirty:
            if not step.is_done:
                changes.puts[_step_key(step)] = _dump(_live_in(step, self.born_ms))
                self._stored.add(step)
            elif step in self._stored:
                changes.deletes.append(_step_key(step))
                self._stored.discard(step)
        self._dirty.clear()
        return changes

    def load(self, rows: Iterable[Row]) -> set[AttemptKey]:
        """Returns the attempts in the rows of the steps."""
        found = set()
        for row in rows:
            if row.key.table == STARTS_TABLE:
                job, occurrence, number = row.key.key.split(".")
                for _, _, index, attempt in json.loads(row.value):
                    found.add((TaskId(job, int(occurrence), int(number), index), attempt))
        return found


@attrs.define(kw_only=True)
class CoveringStepRecord(StepRecord):
    """As StepRecord; a stored entry also covers starts of the same index in other steps.

    Follows StartReleaser of the product. An entry counts from the answer of the store until
    progress or a record without it is taken to be stored.
    """

    _taken: set[RecordedStart] = attrs.Factory(set)
    _recorded: dict[JobRun, set[RecordedStart]] = attrs.Factory(dict)

    def take(self) -> RecordChanges:
        """Returns the rows of the changed steps; what they no longer name doesn't count."""
        steps = list(self._dirty)
        self._taken = {
            RecordedStart(
                task=attempt.task,
                worker=attempt.worker,
                incarnation_ms=self.born_ms[attempt.worker],
            )
            for step in steps
            for attempt in step.recorded_attempts()
        }
        for step in steps:
            recorded = self._recorded.get(step.job, set())
            self._recorded[step.job] = {
                start for start in recorded if start.task.step is not step or start in self._taken
            }
        return super().take()

    def dump_progress(self, run: JobRun) -> bytes:
        """Returns the progress; entries of tasks that are done in it no longer count."""
        recorded = {start for start in self._recorded.pop(run, set()) if not start.task.done}
        if recorded:
            self._recorded[run] = recorded
        return super().dump_progress(run)

    def on_stored(self) -> None:
        """Lets the entries that were taken last count."""
        for start in self._taken:
            self._recorded.setdefault(start.task.step.job, set()).add(start)
        self._taken = set()

    def covering_workers(self, task: TaskRun) -> list[str]:
        """Returns the workers on which entries cover a task."""
        recorded = self._recorded.get(task.step.job, ())
        return sorted({start.worker for start in recorded if start.covers(task)})


@attrs.define(kw_only=True)
class ProgressRecord(NoRecord):
    """The live attempts of a job in the row of its progress.

    Args:
        born_ms: incarnation of each worker.
        dirty_jobs: jobs whose progress has to be stored; shared with the leader.
    """

    born_ms: dict[str, int]
    dirty_jobs: dict[JobRun, None]
    waits: bool = True

    def on_start(self, attempt: Attempt) -> None:
        """Marks the progress of the job as changed."""
        self.dirty_jobs[attempt.task.step.job] = None

    def dump_progress(self, run: JobRun) -> bytes:
        """Returns the progress with the live attempts of each step."""
        raw = json.loads(dump_progress(run))
        live = {f"{o}.{n}": _live_in(step, self.born_ms) for (o, n), step in run.steps.items()}
        if not run.state.is_final:
            raw["attempts"] = {name: attempts for name, attempts in live.items() if attempts}
        return _dump(raw)

    def load(self, rows: Iterable[Row]) -> set[AttemptKey]:
        """Returns the attempts in the rows of the progress."""
        found = set()
        for row in rows:
            if row.key != progress_key(row.key.key):
                continue
            for name, attempts in json.loads(row.value).get("attempts", {}).items():
                occurrence, number = map(int, name.split("."))
                for _, _, index, attempt in attempts:
                    found.add((TaskId(row.key.key, occurrence, number, index), attempt))
        return found


@attrs.define(kw_only=True)
class LogRecord(NoRecord):
    """One row for the starts of each batch, deleted when the last of them has ended.

    Args:
        born_ms: incarnation of each worker.
    """

    born_ms: dict[str, int]
    waits: bool = True
    _count: int = 0
    _new: list[Attempt] = attrs.Factory(list)
    _row_of: dict[Attempt, RowKey] = attrs.Factory(dict)
    _live: dict[RowKey, list[Attempt]] = attrs.Factory(dict)
    _sizes: dict[RowKey, int] = attrs.Factory(dict)
    _changed: dict[RowKey, None] = attrs.Factory(dict)

    def on_start(self, attempt: Attempt) -> None:
        """Adds the attempt to the next row."""
        self._new.append(attempt)

    def on_end(self, attempt: Attempt) -> None:
        """Removes the attempt; its row is deleted later."""
        key = self._row_of.pop(attempt, None)
        if key is None:
            self._new.remove(attempt)
            return
        self._live[key].remove(attempt)
        self._changed[key] = None

    def take(self) -> RecordChanges:
        """Returns the next row, and deletes those of which little is left."""
        changes = RecordChanges()
        if not self._new and not self._changed:
            return changes
        for key in self._changed:
            if len(self._live[key]) <= COMPACTED_SHARE * self._sizes[key]:
                self._new += self._live.pop(key)
                changes.deletes.append(key)
        self._changed.clear()
        if self._new:
            self._count += 1
            key = RowKey(STARTS_TABLE, LEADER_PARTITION, f"{self._count:08d}")
            self._live[key], self._sizes[key] = self._new, len(self._new)
            self._row_of.update(dict.fromkeys(self._new, key))
            changes.puts[key] = _dump([_named(attempt, self.born_ms) for attempt in self._new])
            self._new = []
        return changes

    def load(self, rows: Iterable[Row]) -> set[AttemptKey]:
        """Returns the attempts in the rows of the log."""
        return {
            (TaskId(*task), attempt)
            for row in rows
            if row.key.table == STARTS_TABLE
            for *task, _, _, attempt in json.loads(row.value)
        }


@attrs.define(kw_only=True)
class WorkerRecordRows(NoRecord):
    """One row for each worker with all that runs there.

    Args:
        born_ms: incarnation of each worker.
    """

    born_ms: dict[str, int]
    waits: bool = True
    _live: dict[str, dict[Attempt, None]] = attrs.Factory(dict)
    _dirty: dict[str, None] = attrs.Factory(dict)
    _stored: set[str] = attrs.Factory(set)

    def on_start(self, attempt: Attempt) -> None:
        """Adds the attempt to the row of its worker."""
        self._live.setdefault(attempt.worker, {})[attempt] = None
        self._dirty[attempt.worker] = None

    def on_end(self, attempt: Attempt) -> None:
        """Removes the attempt; the row is written with the next start, or deleted if empty."""
        live = self._live[attempt.worker]
        del live[attempt]
        if not live:
            self._dirty[attempt.worker] = None

    def take(self) -> RecordChanges:
        """Returns the rows of the changed workers."""
        changes = RecordChanges()
        for worker in self._dirty:
            key = RowKey(STARTS_TABLE, LEADER_PARTITION, worker)
            live = self._live[worker]
            if live:
                named = [[*attempt.task.id, attempt.number] for attempt in live]
                changes.puts[key] = _dump([self.born_ms[worker], named])
                self._stored.add(worker)
            elif worker in self._stored:
                changes.deletes.append(key)
                self._stored.discard(worker)
        self._dirty.clear()
        return changes

    def load(self, rows: Iterable[Row]) -> set[AttemptKey]:
        """Returns the attempts in the rows of the workers."""
        return {
            (TaskId(*task), attempt)
            for row in rows
            if row.key.table == STARTS_TABLE
            for *task, attempt in json.loads(row.value)[1]
        }


RECORDS = ("none", "A step", "A with I", "B progress", "C log", "D worker")


def make_record(
    name: str, *, born_ms: dict[str, int], dirty_jobs: dict[JobRun, None]
) -> StartRecord:
    """Returns the candidate with a name of RECORDS."""
    if name == "A step":
        return StepRecord(born_ms=born_ms)
    if name == "A with I":
        return CoveringStepRecord(born_ms=born_ms)
    if name == "B progress":
        return ProgressRecord(born_ms=born_ms, dirty_jobs=dirty_jobs)
    if name == "C log":
        return LogRecord(born_ms=born_ms)
    return WorkerRecordRows(born_ms=born_ms) if name == "D worker" else NoRecord()


def load_entries(rows: Iterable[Row]) -> Iterable[tuple[TaskId, str]]:
    """Yields task and worker of each entry in the rows of the steps."""
    for row in rows:
        if row.key.table == STARTS_TABLE:
            job, occurrence, number = row.key.key.split(".")
            for worker, _, index, _ in json.loads(row.value):
                yield TaskId(job, int(occurrence), int(number), index), worker


def _step_key(step: StepRun) -> RowKey:
    return RowKey(STARTS_TABLE, LEADER_PARTITION, ".".join(map(str, step.id)))


def _live_in(step: StepRun, born_ms: dict[str, int]) -> list[list[Any]]:
    """Returns worker, incarnation, index of the task and number of each live attempt of a step."""
    return [
        [attempt.worker, born_ms[attempt.worker], task.id.index, attempt.number]
        for task in step.tasks
        for attempt in task.attempts
    ]


def _named(attempt: Attempt, born_ms: dict[str, int]) -> list[Any]:
    return [*attempt.task.id, attempt.worker, born_ms[attempt.worker], attempt.number]


def _dump(raw: Any) -> bytes:
    return json.dumps(raw, separators=(",", ":")).encode()
