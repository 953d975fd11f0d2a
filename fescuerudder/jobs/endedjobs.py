"""Rows of ended jobs, and the transactions that write and remove them.

A claimant reads the tables of jobs and progress whole, so ended jobs leave them for a table of
their own, which it doesn't read.
"""

import json
from collections.abc import Sequence

import attrs

from fescuerudder import checked
from fescuerudder.jobs.cancellations import Cancellation
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.progress import StoredFormError
from fescuerudder.jobs.rows import ABSENT, MAX_TXN_ROWS, Row, RowTransaction
from fescuerudder.jobs.storage import cancel_key, ended_key, job_key

STATUS_S = 120.0
"""Time after its end for which a job's state is shown to callers."""

KEPT_S = 300.0
"""Shortest time for which the row of an ended job is kept. Instances show a state that they learned
of up to STATUS_S after the end for STATUS_S more, and none may do so when the id is free again."""

JOBS_PER_MOVE = MAX_TXN_ROWS // 4
"""Number of jobs that one transaction moves; each has four entries."""

ROWS_PER_REMOVAL = MAX_TXN_ROWS // 2


@attrs.frozen(kw_only=True)
class EndedJob:
    """A job that has ended.

    Args:
        id: its id.
        version: version of its row in the table of jobs.
        state: its final state.
    """

    id: str
    version: int
    state: JobState


@attrs.frozen(kw_only=True)
class EndedRow:
    """Row of an ended job.

    Args:
        state: its final state.
        epoch: term of the leader that wrote the row.
        at_s: when it wrote the row, on its own clock.
    """

    state: JobState
    epoch: int
    at_s: float

    def is_outdated(self, *, epoch: int, now_s: float, term_started_s: float) -> bool:
        """Returns whether the row has been kept for KEPT_S at least.

        The clocks of two instances have nothing in common, so a row of an earlier term counts as
        written at the start of this one.

        Args:
            epoch: this term.
            now_s: current time of this instance.
            term_started_s: when this term began.
        """
        if self.epoch > epoch:
            return False
        written_s = self.at_s if self.epoch == epoch else term_started_s
        return now_s - written_s >= KEPT_S


def dump_ended(row: EndedRow) -> bytes:
    """Returns the serialized row."""
    raw = {"state": row.state.value, "epoch": row.epoch, "at_s": round(row.at_s, 3)}
    return json.dumps(raw, separators=(",", ":")).encode()


def load_ended(data: bytes) -> EndedRow:
    """Returns the deserialized row.

    Raises:
        StoredFormError: the data is malformed.
    """
    try:
        raw = checked.load_json(data)
        return EndedRow(
            state=JobState(raw["state"]),
            epoch=checked.whole(raw["epoch"]),
            at_s=float(raw["at_s"]),
        )
    except (LookupError, TypeError, ValueError) as exc:
        raise StoredFormError(f"malformed ended job: {checked.reason(exc)}") from exc


def move_transaction(jobs: Sequence[EndedJob], *, epoch: int, now_s: float) -> RowTransaction:
    """Returns the transaction that moves ended jobs of one partition; JOBS_PER_MOVE at most.

    It is safe after the end of the term too: a final state never changes, and the versions keep it
    from being applied twice.
    """
    return RowTransaction(
        expects=tuple((job_key(job.id), job.version) for job in jobs),
        puts=tuple(
            (
                ended_key(job.id),
                dump_ended(EndedRow(state=job.state, epoch=epoch, at_s=now_s)),
            )
            for job in jobs
        ),
        deletes=tuple(key for job in jobs for key in (job_key(job.id), cancel_key(job.id))),
    )


def cancel_transaction(cancel: Cancellation) -> RowTransaction:
    """Returns the transaction that removes a cancellation whose job was moved or has not come."""
    key = cancel_key(cancel.job_id)
    return RowTransaction(
        expects=((job_key(cancel.job_id), ABSENT), (key, cancel.version)), deletes=(key,)
    )


def removal_transaction(rows: Sequence[Row]) -> RowTransaction:
    """Returns the transaction that removes rows of ended jobs; ROWS_PER_REMOVAL at most."""
    return RowTransaction(
        expects=tuple((row.key, row.version) for row in rows),
        deletes=tuple(row.key for row in rows),
    )
