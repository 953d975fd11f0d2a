"""Orders of waiting steps to which the order of the product is compared.

The product has one for each value of its setting. Of the others, each is a sort key with the
signature of `urgency_key`; long-running tasks are where it has them.
"""

from collections.abc import Callable

import attrs

from fescuerudder.jobs.jobrun import StepRun
from fescuerudder.jobs.manifest import Queue
from fescuerudder.jobs.policy import OverloadOrder
from fescuerudder.jobs.runtimes import SubmittedTimes
from fescuerudder.jobs.urgency import (
    EXPIRY_FACTOR,
    OrderInputs,
    UrgencyKey,
    objective_s,
    urgency_key,
)

Key = tuple[float, ...]
NOTHING_LEARNED = SubmittedTimes()


def value_density(step: StepRun, queue: Queue | None, inputs: OrderInputs) -> Key:
    """Orders as the product does where no work waits for capacity."""
    return urgency_key(step, queue, attrs.evolve(inputs, short_pools=frozenset()))


def _for_jobs_that_end(key: UrgencyKey) -> UrgencyKey:
    """Returns an order that of the product for long-running tasks."""

    def chosen(step: StepRun, queue: Queue | None, inputs: OrderInputs) -> Key:
        if queue is None or step.spec.long_running:
            return value_density(step, queue, inputs)
        return key(step, queue, inputs)

    return chosen


def chosen_with_estimates(step: StepRun, queue: Queue | None, inputs: OrderInputs) -> Key:
    """Orders as the product does with `late-last` before it has learned any run time."""
    return urgency_key(step, queue, attrs.evolve(inputs, run_times=NOTHING_LEARNED))


@_for_jobs_that_end
def earliest_deadline(step: StepRun, queue: Queue, inputs: OrderInputs) -> Key:
    """Orders by priority, then by deadline."""
    return (queue.priority, step.job.received_s + objective_s(step.job, queue), step.number)


@_for_jobs_that_end
def smallest_first(step: StepRun, queue: Queue, inputs: OrderInputs) -> Key:
    """Orders by priority, then by the work that the job still needs."""
    run = step.job
    return (queue.priority, run.work - run.done_work, run.received_s, step.number)


@_for_jobs_that_end
def least_slack(step: StepRun, queue: Queue, inputs: OrderInputs) -> Key:
    """Orders by priority, then by the time that is left beside the remaining steps."""
    return (queue.priority, _slack_s(step, queue, inputs.now_s), step.number)


@_for_jobs_that_end
def late_last_in_priority(step: StepRun, queue: Queue, inputs: OrderInputs) -> Key:
    """Orders by priority, then in time before late before useless, then by value density."""
    _, *rest = value_density(step, queue, inputs)
    return (queue.priority, _lateness(step, queue, inputs.now_s), *rest)


@_for_jobs_that_end
def late_last(step: StepRun, queue: Queue, inputs: OrderInputs) -> Key:
    """Orders in time before late before useless, then by priority, then by value density."""
    lateness = _lateness(step, queue, inputs.now_s)
    _, *rest = value_density(step, queue, inputs)
    return (queue.priority + 100 * lateness, *rest)


@_for_jobs_that_end
def useless_last(step: StepRun, queue: Queue, inputs: OrderInputs) -> Key:
    """Orders useless jobs of all priorities last, the others as by value density."""
    key = value_density(step, queue, inputs)
    return (queue.priority + 100 * (_lateness(step, queue, inputs.now_s) > 1), *key[1:])


def _slack_s(step: StepRun, queue: Queue, now_s: float) -> float:
    run = step.job
    left_s = run.received_s + objective_s(run, queue) - now_s
    return left_s - run.remaining_path_ms(step.number) / 1000


def _lateness(step: StepRun, queue: Queue, now_s: float) -> int:
    """Returns 0 for a job that can be in time, 1 for a late one and 2 for a useless one."""
    slack_s = _slack_s(step, queue, now_s)
    limit_s = objective_s(step.job, queue)
    return (slack_s < 0.0) + (slack_s < -(EXPIRY_FACTOR - 1) * limit_s)


@attrs.define(kw_only=True)
class MooreHodgson:
    """Weighted form of the Moore-Hodgson rule, by priority.

    In the order of deadlines, the work of the waiting jobs is added up. Where a job would miss its
    deadline, the job with the lowest value density among those so far is put last. The choice is
    made from the jobs that waited at the last plan.

    Args:
        processors: processors that work on them.
    """

    processors: float
    _at_s: float = -1.0
    _seen: dict[StepRun, tuple[float, Queue]] = attrs.Factory(dict)
    _dropped: set[StepRun] = attrs.Factory(set)

    def __call__(self, step: StepRun, queue: Queue | None, inputs: OrderInputs) -> Key:
        """Returns the sort key of a step."""
        key = value_density(step, queue, inputs)
        if queue is None or step.spec.long_running:
            return key
        if inputs.now_s != self._at_s:
            self._choose(inputs.now_s)
            self._at_s, self._seen = inputs.now_s, {}
        self._seen[step] = (key[2], queue)
        deadline_s = step.job.received_s + objective_s(step.job, queue)
        return (queue.priority, step in self._dropped, deadline_s, step.number)

    def _choose(self, now_s: float) -> None:
        self._dropped.clear()
        kept: list[tuple[float, float, StepRun]] = []
        ready_s = now_s
        for step, (density_class, queue) in sorted(self._seen.items(), key=self._by_deadline):
            work_s = max(0.0, step.job.work - step.job.done_work) / self.processors
            kept.append((density_class, work_s, step))
            ready_s += work_s
            while kept and ready_s > step.job.received_s + objective_s(step.job, queue):
                worst = max(range(len(kept)), key=lambda k: kept[k][:2])
                _, dropped_s, dropped = kept.pop(worst)
                ready_s -= dropped_s
                self._dropped.add(dropped)

    @staticmethod
    def _by_deadline(item: tuple[StepRun, tuple[float, Queue]]) -> tuple[float, float]:
        step, (_, queue) = item
        return (queue.priority, step.job.received_s + objective_s(step.job, queue))


@attrs.frozen(kw_only=True)
class ComparedOrder:
    """An order of waiting steps to replay.

    Args:
        make_key: returns its sort key for a number of processors that jobs may use.
        setting: order under overload that the instances are set to.
    """

    make_key: Callable[[float], UrgencyKey]
    setting: OverloadOrder = OverloadOrder.VALUE_DENSITY


def _always(key: UrgencyKey, *, setting: OverloadOrder = OverloadOrder.VALUE_DENSITY):
    return ComparedOrder(make_key=lambda processors: key, setting=setting)


ORDERS: dict[str, ComparedOrder] = {
    OverloadOrder.VALUE_DENSITY.value: _always(urgency_key),
    OverloadOrder.LATE_LAST.value: _always(urgency_key, setting=OverloadOrder.LATE_LAST),
    "late-last, submitted times": _always(chosen_with_estimates, setting=OverloadOrder.LATE_LAST),
    "earliest deadline": _always(earliest_deadline),
    "smallest first": _always(smallest_first),
    "least slack": _always(least_slack),
    "late after in time in each priority": _always(late_last_in_priority),
    "late after in time of all priorities": _always(late_last),
    "useless last": _always(useless_last),
    "Moore-Hodgson": ComparedOrder(make_key=lambda processors: MooreHodgson(processors=processors)),
}
"""Orders by name."""
