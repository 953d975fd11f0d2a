"""Tables, partitions and keys of the rows that hold jobs, their progress and the leader's data."""

import hashlib

from fescuerudder.jobs.rows import RowKey

JOBS = "jobs"
"""Table of submitted jobs and cancellations, spread over partitions, and of the leader's claim."""

PROGRESS = "progress"
"""Table of the progress of jobs; only the leader writes to it."""

LEADER = "leader"
"""Table of the leader's heartbeat, of what it learned about tasks and of its roster."""

LEADER_PART = "leader"
"""Partition of all rows that the leader writes; a transaction can't span partitions."""

JOB_PARTS = tuple(f"p{number}" for number in range(16))
"""Partitions of submissions; a slow store writes concurrently only to different partitions."""

CANCEL_SUFFIX = ".cancel"

CLAIM = RowKey(JOBS, LEADER_PART, "claim")
"""The claim is in the table of jobs so that the feed of that table orders claims and jobs."""

HEARTBEAT = RowKey(LEADER, LEADER_PART, "heartbeat")

KNOWLEDGE = RowKey(LEADER, LEADER_PART, "knowledge")
"""What the leaders learned about tasks."""

ROSTER = RowKey(LEADER, LEADER_PART, "workers")
"""The workers that may run tasks."""


def part_of(job_id: str) -> str:
    """Returns the partition of a job."""
    digest = hashlib.blake2b(job_id.encode(), digest_size=2).digest()
    return JOB_PARTS[int.from_bytes(digest, "big") % len(JOB_PARTS)]


def job_key(job_id: str) -> RowKey:
    """Returns the key of the row of a submitted job."""
    return RowKey(JOBS, part_of(job_id), job_id)


def cancel_key(job_id: str) -> RowKey:
    """Returns the key of the row that requests the cancellation of a job."""
    return RowKey(JOBS, part_of(job_id), job_id + CANCEL_SUFFIX)


def progress_key(job_id: str) -> RowKey:
    """Returns the key of the row of a job's progress."""
    return RowKey(PROGRESS, LEADER_PART, job_id)
