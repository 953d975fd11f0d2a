"""Recorded starts of a job, by the tasks that they cover."""

from collections.abc import Iterable, Iterator

from fescuerudder.jobs.taskrun import RecordedStart, TaskRun


class CoveringStarts:
    """Set of recorded starts that finds those that cover a task without a look at the others.

    See `RecordedStart.covers`. A worker may leave hundreds of them to a successor, which looks them
    up for each task that waits.

    Args:
        starts: the starts.
    """

    def __init__(self, starts: Iterable[RecordedStart] = ()) -> None:
        self._starts: dict[RecordedStart, None] = {}
        # By occurrence and number of tasks of the step, and then by index.
        self._by_index: dict[tuple[int, int], dict[int, list[RecordedStart]]] = {}
        for start in starts:
            self.add(start)

    def __iter__(self) -> Iterator[RecordedStart]:
        return iter(self._starts)

    def __len__(self) -> int:
        return len(self._starts)

    def add(self, start: RecordedStart) -> None:
        """Adds a start, unless it is there."""
        if start in self._starts:
            return
        self._starts[start] = None
        key = start.task.id.occurrence, len(start.task.step.tasks)
        self._by_index.setdefault(key, {}).setdefault(start.task.id.index, []).append(start)

    def covering(self, task: TaskRun) -> Iterator[RecordedStart]:
        """Yields the starts that cover a task, also those of the task itself."""
        for (occurrence, count), by_index in self._by_index.items():
            if occurrence == task.id.occurrence:
                yield from by_index.get(task.id.index % count, ())
