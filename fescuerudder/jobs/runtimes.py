"""Run times of tasks, learned from observed ends.

Steps of one queue and shape run for similar times, and what their callers estimate may be more or
less exact than that. Each shape therefore has two predictors: the mean of its run times, and the
submitted estimate, corrected by its mean error. They are averaged with the reciprocals of their
variances as weights, all on a logarithmic scale. Until enough tasks of a shape have ended, the
submitted estimate counts.

A worker that is slow changes its own factor, and not what its tasks would take elsewhere.
"""

import math
from collections import OrderedDict
from typing import NamedTuple

import attrs

from fescuerudder.jobs.job import Step
from fescuerudder.jobs.policy import OverloadOrder

MIN_ENDS = 20
"""Number of ended tasks of a shape from which its run times are used."""

MIN_WEIGHT = 0.02
"""Lower bound of the weight of a new run time, so that estimates follow a change."""

WORKER_WEIGHT = 0.1
"""Weight of a new run time in the factor of its worker."""

MIN_SLOW_FACTOR = 0.4
"""Logarithm of the factor from which a worker counts as slow. Below it, the factor is mostly
chance, and taking it into account would let the estimates drift."""

MIN_VARIANCE = 0.01
"""Lower bound of a variance, on the logarithmic scale."""

MAX_DEVIATIONS = 2.0
"""Number of standard deviations to which a run time is limited before it changes an average."""

TAIL_DEVIATIONS = 1.65
"""Number of standard deviations above the mean below which 95% of normally distributed values lie.
"""

MIN_RUN_S = 0.01
MAX_SHAPES = 1000
MAX_WORKERS = 4000
"""Number of shapes and of workers that are remembered; the least recently seen are dropped."""


class _Shape(NamedTuple):
    """What steps with similar run times have in common.

    Args:
        queue: name of their queue.
        image: image of their tasks.
        count_class: binary logarithm of the number of tasks.
        processors_class: binary logarithm of the processors of a task.
    """

    queue: str
    image: str
    count_class: int
    processors_class: int

    @classmethod
    def of(cls, queue: str, step: Step) -> "_Shape":
        """Returns the shape of a step."""
        processors = max(step.size.processors, 0.1)
        return cls(queue, step.image, step.count.bit_length(), round(math.log2(processors)))


@attrs.define(kw_only=True)
class _Average:
    """Mean and variance of values on a logarithmic scale."""

    count: int = 0
    mean: float = 0.0
    variance: float = 0.0

    def limited(self, value: float) -> float:
        """Returns a value, limited to a plausible distance from the mean."""
        if self.count < MIN_ENDS:
            return value
        reach = MAX_DEVIATIONS * math.sqrt(max(MIN_VARIANCE, self.variance))
        return min(self.mean + reach, max(self.mean - reach, value))

    def add(self, value: float) -> None:
        """Adds a value."""
        self.count += 1
        weight = max(MIN_WEIGHT, 1 / self.count)
        difference = value - self.mean
        self.mean += weight * difference
        self.variance = (1 - weight) * (self.variance + weight * difference**2)


@attrs.define(kw_only=True)
class _ShapeTimes:
    """Logarithms of the run times of one shape, and of their ratios to the estimates."""

    runs: _Average = attrs.Factory(_Average)
    errors: _Average = attrs.Factory(_Average)

    def predict(self, estimated_s: float) -> tuple[float, float]:
        """Returns mean and variance of the logarithm of a run time."""
        run_variance = max(MIN_VARIANCE, self.runs.variance)
        if estimated_s <= 0.0 or self.errors.count < MIN_ENDS:
            return self.runs.mean, run_variance
        error_variance = max(MIN_VARIANCE, self.errors.variance)
        corrected = math.log(max(MIN_RUN_S, estimated_s)) + self.errors.mean
        share = run_variance / (run_variance + error_variance)
        mean = share * corrected + (1 - share) * self.runs.mean
        return mean, min(run_variance, error_variance)


class RunTimes:
    """Learned run times by queue, shape of step and worker; a new leader starts without any."""

    def __init__(self) -> None:
        self._shapes: OrderedDict[_Shape, _ShapeTimes] = OrderedDict()
        self._workers: OrderedDict[str, float] = OrderedDict()

    def observe(self, queue: str, step: Step, *, worker: str, run_s: float) -> None:
        """Learns from a task that has ended as done.

        Args:
            queue: name of the queue of its job.
            step: its step.
            worker: id of the worker.
            run_s: its run time.
        """
        times = self._times_of(_Shape.of(queue, step))
        factor = self._workers.get(worker, 0.0)
        seen = math.log(max(MIN_RUN_S, run_s))
        estimated_s = step.estimated_ms / 1000
        if times.runs.count >= MIN_ENDS:
            expected, _ = times.predict(estimated_s)
            self._set_factor(worker, factor + WORKER_WEIGHT * (seen - expected - factor))
        elsewhere = seen - factor if factor >= MIN_SLOW_FACTOR else seen
        times.runs.add(times.runs.limited(elsewhere))
        if estimated_s > 0.0:
            error = elsewhere - math.log(max(MIN_RUN_S, estimated_s))
            times.errors.add(times.errors.limited(error))

    def expected_s(self, queue: str, step: Step) -> float:
        """Returns the run time that a task of a step probably has, in seconds."""
        return self._predicted_s(queue, step, deviations=0.0, unknown_s=step.estimated_ms / 1000)

    def tail_s(self, queue: str, step: Step) -> float:
        """Returns a run time that 95% of the tasks of a step stay below; see `TAIL_DEVIATIONS`.

        It is in seconds, and infinite until enough tasks of the shape have ended.
        """
        return self._predicted_s(queue, step, deviations=TAIL_DEVIATIONS, unknown_s=math.inf)

    def _predicted_s(self, queue: str, step: Step, *, deviations: float, unknown_s: float) -> float:
        times = self._shapes.get(_Shape.of(queue, step))
        if times is None or times.runs.count < MIN_ENDS:
            return unknown_s
        mean, variance = times.predict(step.estimated_ms / 1000)
        return math.exp(mean + deviations * math.sqrt(variance))

    def _times_of(self, shape: _Shape) -> _ShapeTimes:
        times = self._shapes.setdefault(shape, _ShapeTimes())
        self._shapes.move_to_end(shape)
        if len(self._shapes) > MAX_SHAPES:
            self._shapes.popitem(last=False)
        return times

    def _set_factor(self, worker: str, factor: float) -> None:
        self._workers[worker] = factor
        self._workers.move_to_end(worker)
        if len(self._workers) > MAX_WORKERS:
            self._workers.popitem(last=False)


class SubmittedTimes:
    """Replaces learned run times where no order uses them: submitted estimates, learns nothing."""

    def observe(self, queue: str, step: Step, *, worker: str, run_s: float) -> None:
        """Ignores the end of a task."""

    def expected_s(self, queue: str, step: Step) -> float:
        """Returns the submitted run time of a task of a step, in seconds."""
        return step.estimated_ms / 1000


def make_run_times(order: OverloadOrder) -> RunTimes | SubmittedTimes:
    """Returns the run times that an order uses."""
    return RunTimes() if order is OverloadOrder.LATE_LAST else SubmittedTimes()
