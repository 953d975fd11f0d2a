"""What the leader stores in one go, and what it may do once that is stored."""

import attrs

from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.rows import RowKey
from fescuerudder.jobs.storage import KNOWLEDGE_KEY, ROSTER_KEY


@attrs.frozen(kw_only=True)
class ProgressBatch:
    """Progress to be stored.

    Args:
        rows: stored progress by job id.
        states: state of each of these jobs, shown to callers once it is stored.
        serials: highest end of each worker that the rows account for, with the worker's birth.
        pending: jobs of each queue of which no task has started.
        knowledge: what was learned about tasks, None if it was stored lately.
        roster: the workers that may get tasks, None if it is stored as it is.
        roster_incarnations: the workers on the roster, with their incarnations.
    """

    rows: dict[str, bytes]
    states: dict[str, JobState]
    serials: dict[str, tuple[int, int]]
    pending: dict[str, int]
    knowledge: bytes | None
    roster: bytes | None
    roster_incarnations: dict[str, int]

    def leader_rows(self) -> dict[RowKey, bytes]:
        """Returns the rows of the batch that belong to no job."""
        rows = {KNOWLEDGE_KEY: self.knowledge, ROSTER_KEY: self.roster}
        return {key: value for key, value in rows.items() if value is not None}
