"""Which occurrences of a repeated job exist as steps and tasks.

Those that have ended are ranges, and those to come are a count, so that the memory and the rows of
a job don't grow with the number of its repetitions.
"""

from bisect import bisect_left, bisect_right
from operator import itemgetter

from fescuerudder.jobs.job import Repetition

CREATE_AHEAD_MS = 1000
"""Time before an occurrence is due at which it is created, so that the creation of a wide one
doesn't delay its start."""


class Occurrences:
    """What has become of the occurrences of a job.

    Args:
        count: number of occurrences.
    """

    def __init__(self, *, count: int) -> None:
        self._count = count
        self._next = 0
        self._ended: list[tuple[int, int]] = []
        self._ended_count = 0
        self._droppable: dict[int, None] = {}

    @property
    def ended(self) -> list[tuple[int, int]]:
        """The ended occurrences as ranges, each with its first one and the one after its last."""
        return list(self._ended)

    @property
    def ended_count(self) -> int:
        """Number of occurrences that have ended."""
        return self._ended_count

    @property
    def have_all_ended(self) -> bool:
        """Whether every occurrence has ended."""
        return self._ended_count == self._count

    @property
    def droppable(self) -> list[int]:
        """The occurrences that have ended and exist."""
        return list(self._droppable)

    def are_any_to_come(self) -> bool:
        """Returns whether the time of an occurrence that is not created yet is to come."""
        return self._next < self._count

    def has_ended(self, occurrence: int) -> bool:
        """Returns whether all tasks of an occurrence are done."""
        return self._range_end(occurrence) is not None

    def _range_end(self, occurrence: int) -> int | None:
        """Returns the end of the range that an occurrence is in, None if it has not ended."""
        position = bisect_right(self._ended, occurrence, key=itemgetter(0))
        if position and occurrence < self._ended[position - 1][1]:
            return self._ended[position - 1][1]
        return None

    def add_ended(self, first: int, end: int) -> int:
        """Records that all occurrences from `first` to before `end` have ended.

        Returns the number of those that were not known to have ended.
        """
        if first >= end:
            return 0
        begin = bisect_left(self._ended, first, key=itemgetter(1))
        stop = bisect_right(self._ended, end, key=itemgetter(0))
        merged = self._ended[begin:stop]
        if merged:
            first, end = min(first, merged[0][0]), max(end, merged[-1][1])
        self._ended[begin:stop] = [(first, end)]
        added = end - first - sum(last - begun for begun, last in merged)
        self._ended_count += added
        return added

    def mark_existing(self, occurrence: int) -> None:
        """Records that an ended occurrence exists, so it is dropped once nothing of it runs."""
        self._droppable[occurrence] = None

    def mark_dropped(self, occurrence: int) -> None:
        """Records that an ended occurrence exists no longer."""
        self._droppable.pop(occurrence, None)

    def take_near(self, repetition: Repetition, *, wall_ms: float) -> list[int]:
        """Returns the occurrences that have to exist from now on, each only once.

        These are the ones that are due by CREATE_AHEAD_MS from now and have not ended.

        Args:
            repetition: their schedule.
            wall_ms: Unix time in milliseconds.
        """
        near: list[int] = []
        until_ms = wall_ms + CREATE_AHEAD_MS
        while self.are_any_to_come() and repetition.due_ms(self._next) <= until_ms:
            range_end = self._range_end(self._next)
            if range_end is None:
                near.append(self._next)
            self._next = self._next + 1 if range_end is None else range_end
        return near
