"""Model of the members of gangs, over all workers: they work only together."""

from collections.abc import Callable

from fescuerudder.jobs.job import TaskId

GANG_TIMEOUT_S = 3.0
"""Time for which a member waits for the others."""

Key = tuple[str, int, int, int]


class Gangs:
    """Attempts of gangs.

    Args:
        size_of: returns the number of members of a task's gang, 0 if it belongs to none.
    """

    def __init__(self, *, size_of: Callable[[TaskId], int]) -> None:
        self._size_of = size_of
        self._present: dict[Key, dict[TaskId, str]] = {}
        self._working: set[Key] = set()
        self._broken: set[Key] = set()
        self._done: set[Key] = set()

    def join(self, task: TaskId, attempt: int, checkpoint: str) -> bool:
        """Adds a member that starts; returns whether the task belongs to a gang."""
        size = self._size_of(task)
        if not size:
            return False
        key = _key(task, attempt)
        present = self._present.setdefault(key, {})
        present[task] = checkpoint
        # Members that would resume from different states can't work together.
        if len(present) == size and len(set(present.values())) == 1:
            self._working.add(key)
        return True

    def leave(self, task: TaskId, attempt: int, *, is_done: bool) -> None:
        """Removes a member that ended; the others end with it if the gang has begun to work."""
        key = _key(task, attempt)
        if self._present.get(key, {}).pop(task, None) is not None and key in self._working:
            (self._done if is_done else self._broken).add(key)

    def works(self, task: TaskId, attempt: int) -> bool:
        """Returns whether all members of an attempt were present."""
        return _key(task, attempt) in self._working

    def is_broken(self, task: TaskId, attempt: int) -> bool:
        """Returns whether another member ended before the work was done."""
        key = _key(task, attempt)
        return key in self._broken and key not in self._done

    def is_done(self, task: TaskId, attempt: int) -> bool:
        """Returns whether another member ended with the work done."""
        return _key(task, attempt) in self._done


def _key(task: TaskId, attempt: int) -> Key:
    return (*task[:3], attempt)
