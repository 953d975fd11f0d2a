"""The order in which waiting steps get workers.

A job is worth more the more work it has, though a small one has a worth of its own; it is worth
less when it is late, and next to nothing later. Steps go by worth for each core second that their
job still needs, so jobs that are almost done go before those that have just begun.
"""

import math

from fescuerudder.jobs.jobrun import JobRun, StepRun
from fescuerudder.jobs.manifest import Queue

LATE_WORTH = 0.25
"""Worth of a job that is late, as a share of one that is in time."""

LATEST = 3.0
"""Multiple of a job's objective after which its completion is of no more use."""

SMALL_WORTH = 0.3
"""Part of the worth of a job of the usual size that even the smallest one has."""

MAX_WORTH = 4.0
"""Worth of the largest jobs, as a multiple of one of the usual size."""

LEAST_LEFT = 0.02
"""Share of its work that a job needs at least; its last task is never free."""

CLASS_RATIO = 1.5
"""Ratio of two worths for each core second that makes a difference; else the deadline counts."""

MEAN_WEIGHT = 0.05
"""Weight of a new job in the usual size of its queue's jobs."""


class JobSizes:
    """Usual work of the jobs of each queue, in core seconds."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def note(self, run: JobRun) -> None:
        """Takes a job that was not known."""
        known = self._means.get(run.job.queue, run.work)
        self._means[run.job.queue] = known + MEAN_WEIGHT * (run.work - known)

    def relative(self, run: JobRun) -> float:
        """Returns the work of a job as a multiple of the usual one of its queue."""
        mean = self._means.get(run.job.queue, 0.0)
        return run.work / mean if mean > 0.0 else 1.0


def urgency(step: StepRun, queue: Queue | None, sizes: JobSizes, now_s: float) -> tuple[float, ...]:
    """Returns the key by which steps are started; the lowest goes first.

    Args:
        step: a step with tasks to start.
        queue: the queue of its job, None if no known manifest has it.
        sizes: usual sizes of jobs.
        now_s: the time.
    """
    if queue is None or step.spec.long_running:
        return (queue.priority if queue is not None else 0, 0.0, 0.0, step.number)
    run = step.job
    limit_s = objective_s(run, queue)
    done_s = now_s + run.remaining_path_ms(step.number) / 1000 - run.received_s
    deadline_s = run.received_s + limit_s
    if done_s > LATEST * limit_s:
        return (queue.priority, math.inf, deadline_s, step.number)
    size = sizes.relative(run)
    worth = min(MAX_WORTH, SMALL_WORTH + (1 - SMALL_WORTH) * size)
    if done_s > limit_s:
        worth *= LATE_WORTH
    left = max(LEAST_LEFT, 1 - run.done_work / run.work) if run.work > 0.0 else 1.0
    density = worth / (max(size, LEAST_LEFT) * left)
    return (queue.priority, -round(math.log(density, CLASS_RATIO)), deadline_s, step.number)


def objective_s(run: JobRun, queue: Queue) -> float:
    """Returns the time in which a job should be complete, in seconds."""
    return (queue.stretch * run.critical_path_ms + queue.allowance_ms) / 1000
