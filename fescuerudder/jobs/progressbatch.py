"""Progress that the leader stores at a time, and what takes effect once it is stored."""

from collections.abc import Collection

import attrs

from fescuerudder.jobs.jobrun import JobState, RecordedStart, StepRun
from fescuerudder.jobs.rosterrows import SerializedRoster
from fescuerudder.jobs.rows import RowKey
from fescuerudder.jobs.storage import (
    KNOWLEDGE_KEY,
    LATE_STARTS_KEY,
    ROSTER_KEY,
    UNANSWERED_KEY,
)


@attrs.frozen(kw_only=True)
class ProgressBatch:
    """Progress to be stored.

    Args:
        rows: rows to write: the progress of jobs, and the records of starts.
        deletes: rows to delete: records of starts and progress that are no longer needed.
        recorded: the starts that each record in the batch names, by step.
        starts_recorded: with this batch, every attempt that may run is in a record of starts.
        states: state of each job whose progress is in the batch, shown to callers once it is
            stored.
        serials: incarnation of each worker and serial of its latest end that the rows include, by
            worker id.
        ends: first serial of each job among the ends since the last batch, by worker id and
            incarnation.
        pending: number of jobs of each queue of which no task has started.
        knowledge: serialized knowledge about tasks, None if it was stored recently.
        roster: the serialized roster, None if the stored one is up to date.
        late_starts: the serialized late starts, None if the stored ones are up to date.
        unanswered: the serialized starts without an answer, None if the stored ones are up to date.
        roster_incarnations: incarnations of the workers that may get tasks once the roster is
            stored, by worker id.
        leases_until_s: time that the bound on leases must cover before the roster takes effect, on
            this instance's clock.
    """

    rows: dict[RowKey, bytes]
    deletes: tuple[RowKey, ...]
    recorded: dict[StepRun, frozenset[RecordedStart]]
    starts_recorded: bool
    states: dict[str, JobState]
    serials: dict[str, tuple[int, int]]
    ends: dict[tuple[str, int], dict[str, int]]
    pending: dict[str, int]
    knowledge: bytes | None
    roster: SerializedRoster | None
    late_starts: bytes | None
    roster_incarnations: dict[str, int]
    leases_until_s: float = 0.0
    unanswered: bytes | None = None

    def without(self, names: Collection[str]) -> "ProgressBatch":
        """Returns what takes effect if the groups of rows with these names were rejected."""
        if not names:
            return self
        has_roster = ROSTER_KEY.key not in names
        return attrs.evolve(
            self,
            recorded={s: starts for s, starts in self.recorded.items() if s.id.job not in names},
            states={job: state for job, state in self.states.items() if job not in names},
            roster=self.roster if has_roster else None,
            roster_incarnations=self.roster_incarnations if has_roster else {},
        )

    def leader_rows(self) -> dict[RowKey, bytes]:
        """Returns the rows of the batch that don't belong to a job."""
        rows = {
            KNOWLEDGE_KEY: self.knowledge,
            **(self.roster.rows if self.roster is not None else {}),
            LATE_STARTS_KEY: self.late_starts,
            UNANSWERED_KEY: self.unanswered,
        }
        return {key: value for key, value in rows.items() if value is not None}
