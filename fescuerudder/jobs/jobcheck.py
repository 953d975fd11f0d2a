"""Checks that a job is one that the leader can keep in memory and plan."""

import attrs

from fescuerudder import checked
from fescuerudder.jobs.job import Job, Step

MAX_STEPS = 1000
MAX_TASKS = 100_000
"""Tasks of a job, all occurrences together; the leader keeps each of them in memory."""


def check_job(job: Job) -> None:
    """Checks the texts and numbers of a job, and the order of its steps.

    Raises:
        ValueError: the job can't be planned.
    """
    for value in (job.id, job.queue, job.payload, job.account):
        checked.text(value)
    occurrences = checked.whole(job.occurrences, most=MAX_TASKS)
    if len(job.steps) > MAX_STEPS or occurrences * len(job.steps) > MAX_TASKS:
        raise ValueError("too many steps")
    for number, step in enumerate(job.steps):
        _check_step(step, number)
    if occurrences * sum(step.count for step in job.steps) > MAX_TASKS:
        raise ValueError("too many tasks")
    if job.repetition is not None:
        checked.whole(job.repetition.first_ms)
        checked.whole(job.repetition.interval_ms)
    checked.whole(job.submitted_ms)


def _check_step(step: Step, number: int) -> None:
    for value in (step.required_label, step.data_rack, step.image):
        checked.text(value)
    checked.whole(step.count, most=MAX_TASKS)
    for amount in attrs.astuple(step.size):
        checked.finite(amount, most=checked.MAX_AMOUNT)
    checked.whole(step.estimated_ms)
    checked.whole(step.max_per_worker)
    checked.whole(step.latency_target_ms)
    if step.max_unavailable is not None:
        checked.whole(step.max_unavailable)
    for earlier in step.after:
        checked.whole(earlier, most=number - 1)
