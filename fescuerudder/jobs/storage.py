"""Tables, partitions and keys of the rows that hold jobs, their progress and the leader's data."""

import hashlib

from fescuerudder.jobs.job import StepId
from fescuerudder.jobs.rows import RowKey

JOBS_TABLE = "jobs"
"""Table of submitted jobs and cancellations, spread over partitions, and of the leader's claim."""

PROGRESS_TABLE = "progress"
"""Table of the progress of jobs; only the leader writes to it."""

STARTS_TABLE = "starts"
"""Table of the records of starts, one row for each step that has live attempts."""

ENDED_TABLE = "ended"
"""Table of the final states of jobs that have left the other tables. A row is in the partition of
its job, so that one transaction moves the job, and so that it can't be created again meanwhile."""

CANCELLATIONS_TABLE = "cancellations"
"""Table of the indexes of early cancellations, one row in each partition of submissions. The
cancellations themselves are in JOBS_TABLE."""

LEADER_TABLE = "leader"
"""Table of the leader's heartbeat, of what it learned about tasks and of its roster."""

LEADER_PARTITION = "leader"
"""Partition of all rows that the leader writes; a transaction can't span partitions."""

JOB_PARTITIONS = tuple(f"p{number}" for number in range(16))
"""Partitions of submissions; a slow store writes concurrently only to different partitions."""

CANCEL_SUFFIX = ".cancel"

CLAIM_KEY = RowKey(JOBS_TABLE, LEADER_PARTITION, "claim")
"""The claim is in the table of jobs so that the feed of that table orders claims and jobs."""

HEARTBEAT_KEY = RowKey(LEADER_TABLE, LEADER_PARTITION, "heartbeat")

KNOWLEDGE_KEY = RowKey(LEADER_TABLE, LEADER_PARTITION, "knowledge")
"""What the leaders learned about tasks."""

LEASES_KEY = RowKey(LEADER_TABLE, LEADER_PARTITION, "leases")
"""When all leases of the leader have expired."""

ROSTER_KEY = RowKey(LEADER_TABLE, LEADER_PARTITION, "workers")
"""The workers that may run tasks."""

ROSTER_SEPARATOR = "-"
"""Separates the key of the roster from the number of a further row. It is not that of jobs' rows,
so that `job_of` tells the rows apart."""

DEADLINES_KEY = RowKey(LEADER_TABLE, LEADER_PARTITION, "deadlines")
"""When the attempts on silent workers of the roster have ended; written together with it."""

LATE_STARTS_KEY = RowKey(LEADER_TABLE, LEADER_PARTITION, "late")
"""The start orders without an answer that later incarnations of their workers may carry out."""

UNANSWERED_KEY = RowKey(LEADER_TABLE, LEADER_PARTITION, "unanswered")
"""The recorded starts without an answer; written in the transaction of each record or after it."""


def partition_of(job_id: str) -> str:
    """Returns the partition of a job."""
    digest = hashlib.blake2b(job_id.encode(), digest_size=2).digest()
    return JOB_PARTITIONS[int.from_bytes(digest, "big") % len(JOB_PARTITIONS)]


def job_key(job_id: str) -> RowKey:
    """Returns the key of the row of a submitted job."""
    return RowKey(JOBS_TABLE, partition_of(job_id), job_id)


def cancel_key(job_id: str) -> RowKey:
    """Returns the key of the row that requests the cancellation of a job."""
    return RowKey(JOBS_TABLE, partition_of(job_id), job_id + CANCEL_SUFFIX)


def progress_key(job_id: str) -> RowKey:
    """Returns the key of the row of a job's progress."""
    return RowKey(PROGRESS_TABLE, LEADER_PARTITION, job_id)


def ended_key(job_id: str) -> RowKey:
    """Returns the key of the row of a job's final state."""
    return RowKey(ENDED_TABLE, partition_of(job_id), job_id)


def cancellation_index_key(job_id: str) -> RowKey:
    """Returns the key of the index of early cancellations in the partition of a job."""
    return RowKey(CANCELLATIONS_TABLE, partition_of(job_id), "early")


def roster_key(number: int) -> RowKey:
    """Returns the key of a row of the roster; 0 is the first one."""
    return (
        ROSTER_KEY._replace(key=f"{ROSTER_KEY.key}{ROSTER_SEPARATOR}{number}")
        if number
        else ROSTER_KEY
    )


def roster_row_number(key: RowKey) -> int:
    """Returns the number of a further row of the roster, 0 for all other keys."""
    name, _, number = key.key.partition(ROSTER_SEPARATOR)
    is_further = key._replace(key=name) == ROSTER_KEY and number.isdecimal()
    return int(number) if is_further else 0


def starts_key(step: StepId, row: int = 0) -> RowKey:
    """Returns the key of a row that records starts of a step; wide steps have several rows."""
    name = f"{step.job}.{step.occurrence}.{step.step}"
    return RowKey(STARTS_TABLE, LEADER_PARTITION, f"{name}.{row}" if row else name)


def job_of(key: RowKey) -> str:
    """Returns the id of the job that a row of progress or of starts belongs to."""
    return key.key.partition(".")[0]


def parse_starts_key(key: str) -> StepId:
    """Returns the step whose starts a row of STARTS_TABLE records.

    Raises:
        ValueError: the key names no step.
    """
    job, occurrence, step, *rows = key.split(".")
    if len(rows) > 1:
        raise ValueError("malformed key of a record")
    return StepId(job, int(occurrence), int(step))
