"""Order in which waiting steps get workers.

The value of a job grows with its work, from a base value that even the smallest job has. It drops
when the job is late, and to nothing when the job is too late to be of use. Steps are ordered by the
value of their job for each core second that the job still needs (its value density), so jobs that
are almost done go before those that have just begun.

Among equal priorities, jobs that end go before long-running tasks. A long-running task keeps its
room, so a short job that comes after it waits until another one is cancelled, whereas a task that
comes second waits for less than the run time of a short job. In the other order, where all room is
taken, each short task that ends makes room for a long-running one, until no short job runs.
"""

import math

from fescuerudder.jobs.jobrun import JobRun, StepRun
from fescuerudder.jobs.manifest import Queue

LATE_VALUE_FACTOR = 0.25
"""Value of a job that is late, as a share of its value in time."""

EXPIRY_FACTOR = 3.0
"""Multiple of a job's objective after which its completion has no value."""

BASE_VALUE = 0.3
"""Value of the smallest jobs, as a share of that of a job of the usual size."""

MAX_VALUE = 4.0
"""Value of the largest jobs, as a multiple of that of a job of the usual size."""

MIN_REMAINING_SHARE = 0.02
"""Lower bound of the share of its work that a job still needs, so that the density of a job that is
almost done, or very small, stays finite."""

DENSITY_CLASS_RATIO = 1.5
"""Ratio of two value densities from which they differ; closer ones are ordered by deadline."""

LONG_RUNNING_CLASS = 1_000_000
"""Density class of long-running tasks: after all jobs of use, before those that are too late."""

MEAN_SIZE_WEIGHT = 0.05
"""Weight of a new job in the moving average of the sizes of its queue's jobs."""


class JobSizes:
    """Average work of the jobs of each queue, in core seconds."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def observe(self, run: JobRun) -> None:
        """Adds a new job to the average of its queue."""
        mean = self._means.get(run.job.queue, run.work)
        self._means[run.job.queue] = mean + MEAN_SIZE_WEIGHT * (run.work - mean)

    def mean(self, queue: str) -> float:
        """Returns the average work of the jobs of a queue, 0 if it had none."""
        return self._means.get(queue, 0.0)

    def relative_size(self, run: JobRun) -> float:
        """Returns the work of a job as a multiple of the average of its queue."""
        mean = self._means.get(run.job.queue, 0.0)
        return run.work / mean if mean > 0.0 else 1.0


def urgency_key(
    step: StepRun, queue: Queue | None, sizes: JobSizes, now_s: float
) -> tuple[float, ...]:
    """Returns the sort key of a step; the step with the lowest key starts first.

    Args:
        step: a step with tasks to start.
        queue: the queue of its job, None if no known manifest has it.
        sizes: average sizes of jobs.
        now_s: the time.
    """
    if queue is None or step.spec.long_running:
        priority = queue.priority if queue is not None else 0
        return (priority, LONG_RUNNING_CLASS, 0.0, step.number)
    run = step.job
    limit_s = objective_s(run, queue)
    done_s = now_s + run.remaining_path_ms(step.number) / 1000 - run.received_s
    deadline_s = run.received_s + limit_s
    if done_s > EXPIRY_FACTOR * limit_s:
        return (queue.priority, math.inf, deadline_s, step.number)
    size = sizes.relative_size(run)
    value = min(MAX_VALUE, BASE_VALUE + (1 - BASE_VALUE) * size)
    if done_s > limit_s:
        value *= LATE_VALUE_FACTOR
    left = max(MIN_REMAINING_SHARE, 1 - run.done_work / run.work) if run.work > 0.0 else 1.0
    density = value / (max(size, MIN_REMAINING_SHARE) * left)
    return (queue.priority, -round(math.log(density, DENSITY_CLASS_RATIO)), deadline_s, step.number)


def objective_s(run: JobRun, queue: Queue) -> float:
    """Returns the time within which a job should be complete, in seconds."""
    return (queue.stretch * run.critical_path_ms + queue.allowance_ms) / 1000
