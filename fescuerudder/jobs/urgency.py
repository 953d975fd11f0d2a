"""Order in which waiting steps get workers.

The value of a job grows with its work, from a base value that even the smallest job has. It drops
when the job is late, and to nothing when the job is too late to be of use. Steps are ordered by the
value of their job for each core second that the job still needs (its value density), so jobs that
are almost done go before those that have just begun.

With `OverloadOrder.LATE_LAST`, in pools in which work waits for capacity, late jobs go after all of
their priority that can still be in time, and the value density counts core seconds, so that a job
of a queue of large jobs doesn't go before several small ones of another queue. Whether a job can be
in time follows from learned run times there.

Among equal priorities, jobs that end go before long-running tasks. A long-running task keeps its
room, so a short job that comes after it waits until another one is cancelled, whereas a task that
comes second waits for less than the run time of a short job. In the other order, where all room is
taken, each short task that ends makes room for a long-running one, until no short job runs.
"""

import math
from collections.abc import Callable

import attrs

from fescuerudder.jobs.job import Step
from fescuerudder.jobs.jobrun import JobRun, StepRun
from fescuerudder.jobs.manifest import Queue
from fescuerudder.jobs.runtimes import RunTimes, SubmittedTimes

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
"""Density class of long-running tasks: after all late jobs of their priority that are of use."""

MIN_WORK = 0.01
"""Lower bound of the work that a job still needs, in core seconds, so that its value
density is finite."""

IN_TIME, LATE, EXPIRED = range(3)
"""How late a job will be at best: in time, late, or so late that it is of no use."""

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

    def relative_size(self, run: JobRun) -> float:
        """Returns the work of a job as a multiple of the average of its queue."""
        mean = self._means.get(run.job.queue, 0.0)
        return run.work / mean if mean > 0.0 else 1.0


@attrs.frozen(kw_only=True)
class OrderInputs:
    """What the order of one plan depends on beside the steps.

    Args:
        sizes: average sizes of jobs.
        run_times: run times of tasks.
        now_s: the time.
        short_pools: names of the pools in which work waits for capacity; empty with
            `OverloadOrder.VALUE_DENSITY`.
    """

    sizes: JobSizes
    run_times: RunTimes | SubmittedTimes
    now_s: float
    short_pools: frozenset[str] = frozenset()


UrgencyKey = Callable[[StepRun, Queue | None, OrderInputs], tuple[float, ...]]
"""Sort key of a step, from the step, its queue and the inputs of the plan."""


def urgency_key(step: StepRun, queue: Queue | None, inputs: OrderInputs) -> tuple[float, ...]:
    """Returns the sort key of a step; the step with the lowest key starts first.

    Args:
        step: a step with tasks to start.
        queue: the queue of its job, None if no known manifest has it.
        inputs: what the order depends on beside the step.
    """
    if queue is None or step.spec.long_running:
        priority = queue.priority if queue is not None else 0
        return (priority, LATE, LONG_RUNNING_CLASS, 0.0, step.number)
    if queue.pool in inputs.short_pools:
        return _key_where_short(step, queue, inputs)
    run, limit_s = step.job, objective_s(step.job, queue)
    deadline_s = run.received_s + limit_s
    lateness = _lateness(inputs.now_s + run.remaining_path_ms(step.number) / 1000, run, limit_s)
    if lateness == EXPIRED:
        return (queue.priority, EXPIRED, math.inf, deadline_s, step.number)
    rank = _density_class(_value_density(run, lateness, inputs.sizes))
    return (queue.priority, IN_TIME, rank, deadline_s, step.number)


def _key_where_short(step: StepRun, queue: Queue, inputs: OrderInputs) -> tuple[float, ...]:
    """Returns the sort key of a step of a job that ends, in a pool in which work waits."""

    def run_ms(spec: Step) -> float:
        return 1000 * inputs.run_times.expected_s(queue.name, spec)

    run, limit_s = step.job, objective_s(step.job, queue)
    deadline_s = run.received_s + limit_s
    done_s = inputs.now_s + run.remaining_path_ms(step.number, run_ms) / 1000
    lateness = _lateness(done_s, run, limit_s)
    if lateness == EXPIRED:
        return (queue.priority, EXPIRED, math.inf, deadline_s, step.number)
    # The value follows from the submitted work, so its density does too.
    left = max(MIN_WORK, run.work * _left_share(run))
    rank = _density_class(_value(run, lateness, inputs.sizes) / left)
    return (queue.priority, lateness, rank, deadline_s, step.number)


def _lateness(done_s: float, run: JobRun, limit_s: float) -> int:
    """Returns how late a job is that ends at a time, at best."""
    took_s = done_s - run.received_s
    return (took_s > limit_s) + (took_s > EXPIRY_FACTOR * limit_s)


def _value(run: JobRun, lateness: int, sizes: JobSizes) -> float:
    """Returns the value of a job as a multiple of that of a job of the usual size."""
    value = min(MAX_VALUE, BASE_VALUE + (1 - BASE_VALUE) * sizes.relative_size(run))
    return value if lateness == IN_TIME else value * LATE_VALUE_FACTOR


def _left_share(run: JobRun) -> float:
    """Returns the share of its work that a job still needs."""
    left = 1 - run.done_work / run.work if run.work > 0.0 else 1.0
    return max(MIN_REMAINING_SHARE, left)


def _value_density(run: JobRun, lateness: int, sizes: JobSizes) -> float:
    """Returns the value of a job for the work that it needs, relative to its queue's jobs."""
    size = max(sizes.relative_size(run), MIN_REMAINING_SHARE)
    return _value(run, lateness, sizes) / (size * _left_share(run))


def _density_class(density: float) -> int:
    """Returns a number that is lower for a higher density, and the same for close ones."""
    return -round(math.log(density, DENSITY_CLASS_RATIO))


def objective_s(run: JobRun, queue: Queue) -> float:
    """Returns the time within which a job should be complete, in seconds."""
    return (queue.stretch * run.critical_path_ms + queue.allowance_ms) / 1000
