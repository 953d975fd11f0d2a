"""Where jobs, their progress and the leader's claim lie in the row store."""

import hashlib

from fescuerudder.jobs.rows import RowKey

JOBS = "jobs"
"""Submitted jobs and cancellations, spread over partitions, and the leader's claim."""

PROGRESS = "progress"
"""Progress of jobs; only the leader writes here."""

LEADER = "leader"
"""Heartbeat of the leader."""

LEADER_PART = "leader"
"""Partition of everything that the leader writes; a transaction stays within one."""

JOB_PARTS = tuple(f"p{number}" for number in range(16))
"""Partitions of submissions: a slow store takes several at a time only from different ones."""

CANCEL_SUFFIX = ".cancel"

CLAIM = RowKey(JOBS, LEADER_PART, "claim")
"""The claim lies in the table of jobs so that the feed of that table tells their order."""

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
    """Returns the place of a submitted job."""
    return RowKey(JOBS, part_of(job_id), job_id)


def cancel_key(job_id: str) -> RowKey:
    """Returns the place of the request to cancel a job."""
    return RowKey(JOBS, part_of(job_id), job_id + CANCEL_SUFFIX)


def progress_key(job_id: str) -> RowKey:
    """Returns the place of a job's progress."""
    return RowKey(PROGRESS, LEADER_PART, job_id)
