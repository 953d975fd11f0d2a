"""Starts that neither an answer nor a report has settled, stored with the records of starts.

A start that is on its way when its leader is lost may be carried out later, also by the next
incarnation of its worker. The stored row names all such starts as of its own transaction, so a
successor binds their tasks to their workers. A recorded start that the row doesn't name was
answered, unless its record is newer than the row.
"""

import attrs
import structlog

from fescuerudder.jobs.job import TaskId
from fescuerudder.jobs.jobrun import UNKNOWN_NUMBER, Attempt
from fescuerudder.jobs.latestarts import (
    MAX_STORED,
    LateStarts,
    StoredLateStart,
    dump_late_starts,
    to_stored,
)
from fescuerudder.jobs.rows import ABSENT, StoreClock
from fescuerudder.jobs.startrecords import StepStarts

TOO_MANY_ROW = b"null"
"""Row in place of one with more than MAX_STORED starts. As it can't be read, a successor takes all
recorded starts for unanswered."""

_log = structlog.get_logger(__name__)


class UnansweredStarts:
    """The live attempts of a term that are not known to have been answered."""

    def __init__(self) -> None:
        self._live: dict[Attempt, None] = {}
        self._taken: frozenset[StoredLateStart] | None = None
        self._is_too_large = False

    def add(self, attempt: Attempt) -> None:
        """Adds a live attempt, unless it was answered."""
        if not attempt.is_answered:
            self._live[attempt] = None

    def discard(self, attempt: Attempt) -> None:
        """Removes an attempt that is not live any more."""
        self._live.pop(attempt, None)

    def take(
        self, late_starts: LateStarts, *, has_records: bool, store_clock: StoreClock | None
    ) -> bytes | None:
        """Returns the row to store, None if the stored one holds.

        Args:
            late_starts: the late starts of the term.
            has_records: records of starts are stored in the same batch. The row is written with
                them even if it doesn't change, as an older one says nothing of them.
            store_clock: reading of the store's clock, None if the store told none.
        """
        self._live = {attempt: None for attempt in self._live if not attempt.is_answered}
        attempts = dict.fromkeys((*self._live, *late_starts.attempts()))
        ended = late_starts.ended(store_clock)
        if len(attempts) + len(ended) > MAX_STORED:
            return self._take_too_many(len(attempts) + len(ended))
        stored = [*(to_stored(attempt, store_clock) for attempt in attempts), *ended]
        current = frozenset(stored)
        if current == self._taken and not has_records:
            return None
        self._taken, self._is_too_large = current, False
        return dump_late_starts(stored)

    def _take_too_many(self, count: int) -> bytes | None:
        """Returns the row that names no starts, once until there are few enough again."""
        if self._is_too_large:
            return None
        _log.warning("too many starts without an answer to store", starts=count)
        self._taken, self._is_too_large = None, True
        return TOO_MANY_ROW

    def reset_taken(self) -> None:
        """Has the row written anew, as the store rejected it."""
        self._taken, self._is_too_large = None, False


@attrs.frozen(kw_only=True)
class StoredUnanswered:
    """The row that an earlier leader stored.

    Args:
        starts: the starts that it names.
        version: its version in the store, ABSENT if there is none.
    """

    starts: tuple[StoredLateStart, ...] = ()
    version: int = ABSENT
    _named: frozenset[tuple[str, TaskId, int]] = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda self: frozenset((s.worker, s.task, s.number) for s in self.starts),
            takes_self=True,
        ),
    )

    def mark_answered(self, record: StepStarts, *, version: int) -> StepStarts:
        """Returns a record of starts in which those are marked that were answered.

        A start with an unknown number may be one of several, so it counts as unanswered.

        Args:
            record: the record.
            version: its version in the store.
        """
        if version > self.version:
            return record
        starts = (
            attrs.evolve(
                start,
                is_answered=start.number != UNKNOWN_NUMBER
                and (start.worker, TaskId(*record.step, start.index), start.number)
                not in self._named,
            )
            for start in record.starts
        )
        return attrs.evolve(record, starts=tuple(starts))
