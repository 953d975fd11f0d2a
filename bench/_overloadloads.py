"""Seeded loads with too little capacity: which jobs come when, and how long their tasks really run.

Small jobs of the highest priority come beside large ones of a lower priority, on workers of which
long-running tasks hold a part. Estimates differ from the run times. Times are in seconds from the
start of the load.
"""

import math
import random
from collections.abc import Callable

import attrs

from bench._jobsimulation import queue
from fescuerudder.document import Size
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.manifest import Queue

ESTIMATE_ERROR = 0.9
"""Largest error of an estimate, as a share of the run time."""

TAIL_SHARE = 0.03
TAIL_FACTOR = 7.0
"""Share of the steps whose tasks run longer than usual, and by which factor."""

MIN_ESTIMATE_S = 0.05
WANTED_RACK = "r0"
WAVE_PERIOD_S = 12.0
WAVE_AMPLITUDE = 0.8
BURST_FROM_S = 8.0
BURST_S = 6.0
BURST_FACTOR = 2.5
LONG_RUNNING_SHARE = 0.7
"""Share of the processors that long-running tasks hold."""


@attrs.frozen(kw_only=True)
class Kind:
    """Jobs of one kind.

    Args:
        queue: name of their queue.
        priority: its priority.
        steps: mean number of steps, from 1 to 2; each depends on the one before it.
        tasks: tasks of a step.
        run_s: bounds of the run time of a task.
        processors: bounds of the processors of a task.
        allowance_ms: time that the objective adds to the run times.
    """

    queue: str
    priority: int
    steps: float
    tasks: int
    run_s: tuple[float, float]
    processors: tuple[float, float]
    allowance_ms: int

    @property
    def mean_work(self) -> float:
        """Mean work of a job, in core seconds."""
        mean_run_s = sum(self.run_s) / 2 * (1 + TAIL_SHARE * (TAIL_FACTOR - 1))
        return self.steps * self.tasks * mean_run_s * sum(self.processors) / 2


SMALL = Kind(
    queue="small",
    priority=0,
    steps=1.6,
    tasks=10,
    run_s=(0.5, 1.0),
    processors=(1.0, 4.0),
    allowance_ms=1500,
)
LARGE = Kind(
    queue="large",
    priority=2,
    steps=2.0,
    tasks=20,
    run_s=(1.4, 2.2),
    processors=(2.0, 10.0),
    allowance_ms=4000,
)
HUGE = attrs.evolve(LARGE, tasks=80)


@attrs.frozen(kw_only=True)
class Arrival:
    """A job that a caller submits.

    Args:
        at_s: when.
        job_id: its id.
        queue: name of its queue.
        steps: its steps, with estimates.
        run_s: run times of the tasks of each step.
    """

    at_s: float
    job_id: str
    queue: str
    steps: tuple[Step, ...]
    run_s: tuple[tuple[float, ...], ...]

    @property
    def work(self) -> float:
        """Work that its tasks really need, in core seconds."""
        pairs = zip(self.steps, self.run_s, strict=True)
        return sum(step.size.processors * sum(runs) for step, runs in pairs)

    @property
    def chain_s(self) -> float:
        """Shortest time in which the job can end."""
        return sum(max(runs) for runs in self.run_s)


@attrs.frozen(kw_only=True)
class OverloadPattern:
    """Figures of a load.

    Args:
        name: its name.
        load: processors that arriving jobs need on average, as a share of those that long-running
            tasks leave.
        kinds: kinds of jobs, each with its share of the load.
        rate: factor of a kind's rate of arrival at a time; at most `peak`.
        peak: upper bound of `rate`.
        rack_share: share of the jobs that need a worker of WANTED_RACK.
        estimate_factors: bounds of the factor by which estimates are off either way, None for
            errors of up to ESTIMATE_ERROR.
        seconds: how long jobs arrive.
        workers: number of workers.
        capacity: processors of a worker.
        long_running_share: share of the processors that long-running tasks hold.
    """

    name: str
    load: float
    kinds: tuple[tuple[Kind, float], ...] = ((SMALL, 0.5), (LARGE, 0.5))
    rate: Callable[[Kind, float], float] = lambda kind, at_s: 1.0
    peak: float = 1.0
    rack_share: float = 0.0
    estimate_factors: tuple[float, float] | None = None
    seconds: float = 30.0
    workers: int = 16
    capacity: float = 32.0
    long_running_share: float = LONG_RUNNING_SHARE

    @property
    def free_processors(self) -> float:
        """Processors that long-running tasks leave."""
        return self.workers * self.capacity * (1 - self.long_running_share)

    @property
    def queues(self) -> tuple[Queue, ...]:
        """Queues of the kinds, and one for long-running jobs."""
        queues = [
            queue(
                name=kind.queue,
                prefix=f"/{kind.queue}/",
                priority=kind.priority,
                allowance_ms=kind.allowance_ms,
            )
            for kind, _ in self.kinds
        ]
        by_name = {q.name: q for q in queues}
        return (*by_name.values(), queue(name="standing", prefix="/standing/", priority=1))

    def arrivals(self, *, seed: int) -> list[Arrival]:
        """Returns the jobs in the order in which they come."""
        rng = random.Random(f"{self.name}.{seed}")
        arrivals: list[Arrival] = []
        for kind, share in self.kinds:
            mean_rate = self.load * share * self.free_processors / kind.mean_work
            at_s = rng.expovariate(mean_rate * self.peak)
            while at_s < self.seconds:
                if rng.random() < self.rate(kind, at_s) / self.peak:
                    arrivals.append(self._arrival(kind, at_s, len(arrivals), rng))
                at_s += rng.expovariate(mean_rate * self.peak)
        return sorted(arrivals, key=lambda arrival: arrival.at_s)

    def _arrival(self, kind: Kind, at_s: float, number: int, rng: random.Random) -> Arrival:
        label = WANTED_RACK if rng.random() < self.rack_share else ""
        steps, run_s = [], []
        count = 1 + (rng.random() < kind.steps - 1)
        for index in range(count):
            typical_s = rng.uniform(*kind.run_s)
            factor = TAIL_FACTOR if rng.random() < TAIL_SHARE else 1.0
            runs = [factor * _task_run_s(typical_s, kind, rng) for _ in range(kind.tasks)]
            estimated_s = max(MIN_ESTIMATE_S, typical_s * self._estimate_factor(rng))
            step = Step(
                count=kind.tasks,
                size=Size(processors=round(rng.uniform(*kind.processors), 1), memory_mb=10),
                estimated_ms=round(1000 * estimated_s),
                after=(index - 1,) if index else (),
                required_label=label,
                image=kind.queue,
            )
            steps.append(step)
            run_s.append(tuple(runs))
        return Arrival(
            at_s=at_s,
            job_id=f"{number:016x}",
            queue=kind.queue,
            steps=tuple(steps),
            run_s=tuple(run_s),
        )

    def _estimate_factor(self, rng: random.Random) -> float:
        if self.estimate_factors is None:
            return 1 + rng.triangular(-ESTIMATE_ERROR, ESTIMATE_ERROR)
        factor = rng.uniform(*self.estimate_factors)
        return factor if rng.random() < 0.5 else 1 / factor


def _task_run_s(typical_s: float, kind: Kind, rng: random.Random) -> float:
    low_s, high_s = kind.run_s
    return min(high_s, max(low_s, typical_s * rng.uniform(0.9, 1.1)))


def waves(kind: Kind, at_s: float) -> float:
    """Returns the rate of kinds whose waves of demand have opposite phases."""
    phase = math.pi if kind.priority else 0.0
    return 1 + WAVE_AMPLITUDE * math.sin(2 * math.pi * at_s / WAVE_PERIOD_S + phase)


def burst_of_large(kind: Kind, at_s: float) -> float:
    """Returns the rate of kinds of which the large one has a burst."""
    is_burst = kind.priority > 0 and BURST_FROM_S <= at_s < BURST_FROM_S + BURST_S
    return BURST_FACTOR if is_burst else 1.0


def burst_of_small(kind: Kind, at_s: float) -> float:
    """Returns the rate of kinds of which the small one has a burst."""
    is_burst = kind.priority == 0 and BURST_FROM_S <= at_s < BURST_FROM_S + BURST_S
    return BURST_FACTOR if is_burst else 1.0


LOW_LOADS = ("quiet",)
"""Patterns with capacity for all jobs."""

OVERLOAD_PATTERNS = (
    OverloadPattern(name="quiet", load=0.5),
    OverloadPattern(name="waves", load=1.0, rate=waves, peak=1 + WAVE_AMPLITUDE),
    OverloadPattern(name="burst-of-large", load=0.95, rate=burst_of_large, peak=BURST_FACTOR),
    OverloadPattern(name="burst-of-small", load=0.9, rate=burst_of_small, peak=BURST_FACTOR),
    OverloadPattern(name="wanted-rack", load=0.8, rack_share=0.6),
    OverloadPattern(name="wrong-estimates", load=1.1, estimate_factors=(3.0, 10.0)),
    OverloadPattern(name="large-among-small", load=1.1, kinds=((SMALL, 0.75), (HUGE, 0.25))),
    OverloadPattern(name="small-among-large", load=1.1, kinds=((SMALL, 0.1), (LARGE, 0.9))),
    OverloadPattern(
        name="one-priority",
        load=1.1,
        kinds=((SMALL, 0.5), (attrs.evolve(LARGE, priority=0), 0.5)),
    ),
    OverloadPattern(name="steady-overload", load=1.5),
)
"""Patterns that are replayed, the first of them without overload."""
