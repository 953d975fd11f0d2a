"""Which forms of rows every instance reads, during and after a rolling restart."""

import math
from collections.abc import Callable

from fescuerudder.clock import Clock
from fescuerudder.jobs.endedjobs import STATUS_S
from fescuerudder.jobs.historymover import MIN_TERM_AGE_S


class RowSupport:
    """Tells a leader which rows it may write, by the versions of its followers.

    An instance of an earlier version may have lost its link for a while and may lead next, so the
    forms that it doesn't read are used only some time after it was last seen.

    Args:
        clock: source of time.
        earlier_version_age_s: returns the time since a follower was connected that can't find jobs
            that have left the table of jobs, infinite if none was.
        one_row_age_s: the same for a follower that reads only rosters of one row.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        earlier_version_age_s: Callable[[], float] = lambda: math.inf,
        one_row_age_s: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self._clock = clock
        self._began_s = clock.now_s()
        self._earlier_version_age_s = earlier_version_age_s
        self._one_row_age_s = one_row_age_s

    @property
    def reads_ended(self) -> bool:
        """Whether every instance reads compact progress and finds jobs that were moved."""
        return self._is_past(self._earlier_version_age_s())

    @property
    def has_earlier_version(self) -> bool:
        """Whether an instance that doesn't was seen recently."""
        return self._earlier_version_age_s() < STATUS_S

    @property
    def reads_roster_rows(self) -> bool:
        """Whether every instance reads a roster in several rows."""
        return self._is_past(self._one_row_age_s())

    def _is_past(self, age_s: float) -> bool:
        # Followers of a new term need some time to connect and to tell their version.
        is_new = self._clock.now_s() - self._began_s < MIN_TERM_AGE_S
        return age_s >= STATUS_S and not is_new
