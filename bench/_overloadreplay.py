"""Replay of a load through the real decisions, and what its callers got."""

import contextlib
import logging
from collections.abc import Callable, Iterator

import attrs
import structlog

from bench._jobsimulation import JobSimulation
from bench._overloadloads import Arrival, OverloadPattern
from fescuerudder.document import Size
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.policy import OverloadOrder, SchedulingPolicy
from fescuerudder.jobs.urgency import (
    BASE_VALUE,
    EXPIRY_FACTOR,
    LATE_VALUE_FACTOR,
    MAX_VALUE,
    UrgencyKey,
)

ENDLESS_S = 1e6
STANDING_JOB = "00000000000fffff"
STANDING_PROCESSORS = (3.0, 5.0, 7.0, 9.0)
"""Processors of the long-running tasks, of which there are equally many of each size."""

SETTLE_S = 1.0
"""Time in which the long-running tasks start before the first job comes."""

DRAIN_S = 20.0
"""Time for which the replay goes on after the last arrival."""


@attrs.frozen(kw_only=True)
class Scored:
    """A job with what its callers are entitled to.

    Args:
        arrival: the job.
        priority: priority of its queue.
        objective_s: time within which it should end.
        value: value if it ends in time.
    """

    arrival: Arrival
    priority: int
    objective_s: float
    value: float

    def value_after(self, took_s: float) -> float:
        """Returns the value of an end that comes so long after the submission."""
        if took_s <= self.objective_s:
            return self.value
        return self.value * LATE_VALUE_FACTOR if took_s <= self.expiry_s else 0.0

    @property
    def expiry_s(self) -> float:
        """Time after which an end is of no use."""
        return EXPIRY_FACTOR * self.objective_s


@attrs.frozen(kw_only=True)
class Outcome:
    """What a replay yields.

    Args:
        served: share of the value that callers were entitled to, by priority; None is all.
        in_time: share of the jobs that ended in time, by priority; None is all.
        late: jobs that ended late or not at all.
        wasted: core seconds of jobs that ended when they were of no use, or not at all.
        oldest_s: largest age of a job at its end, or at the end of the replay.
        value: value that was served.
        work: core seconds of all jobs that arrived.
    """

    served: dict[int | None, float]
    in_time: dict[int | None, float]
    late: int
    wasted: float
    oldest_s: float
    value: float
    work: float


def score_jobs(pattern: OverloadPattern, arrivals: list[Arrival]) -> list[Scored]:
    """Returns the jobs with their objectives, which follow from the submitted estimates."""
    queues = {queue.name: queue for queue in pattern.queues}
    works: dict[str, list[float]] = {}
    for arrival in arrivals:
        works.setdefault(arrival.queue, []).append(_submitted_work(arrival))
    scored = []
    for arrival in arrivals:
        queue = queues[arrival.queue]
        chain_ms = sum(step.estimated_ms for step in arrival.steps)
        mean = sum(works[arrival.queue]) / len(works[arrival.queue])
        size = _submitted_work(arrival) / mean
        scored.append(
            Scored(
                arrival=arrival,
                priority=queue.priority,
                objective_s=(queue.stretch * chain_ms + queue.allowance_ms) / 1000,
                value=min(MAX_VALUE, BASE_VALUE + (1 - BASE_VALUE) * size),
            )
        )
    return scored


def _submitted_work(arrival: Arrival) -> float:
    return sum(step.count * step.work for step in arrival.steps)


def _exact_steps(arrival: Arrival) -> list[Step]:
    """Returns the steps of a job with the means of their run times as estimates."""
    return [
        attrs.evolve(step, estimated_ms=round(1000 * sum(runs) / len(runs)))
        for step, runs in zip(arrival.steps, arrival.run_s, strict=True)
    ]


@contextlib.contextmanager
def _without_logs() -> Iterator[None]:
    """Leaves out log lines; the decisions log each start, which takes longer than the replay."""
    before = structlog.get_config()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    try:
        yield
    finally:
        structlog.configure(**before)


class OverloadReplay:
    """One replay of a pattern.

    Args:
        pattern: the pattern.
        seed: seed of the load and of the delays.
        setting: order under overload that the instances are set to.
        urgency: sort key of waiting steps, None for that of the product.
        exact: the decisions get exact estimates; the objectives stay.
    """

    def __init__(
        self,
        *,
        pattern: OverloadPattern,
        seed: int,
        setting: OverloadOrder = OverloadOrder.VALUE_DENSITY,
        urgency: UrgencyKey | None = None,
        exact: bool = False,
    ) -> None:
        self._pattern = pattern
        self._exact = exact
        self._arrivals = pattern.arrivals(seed=seed)
        self._runs = {arrival.job_id: arrival.run_s for arrival in self._arrivals}
        self.jobs = score_jobs(pattern, self._arrivals)
        self.sim = JobSimulation(
            seed=seed,
            workers=pattern.workers,
            capacity=pattern.capacity,
            queues=pattern.queues,
            plan=self._plan,
        )
        self.sim.policy = SchedulingPolicy(overload_order=setting)
        if urgency is not None:
            self.sim.urgency = urgency
        self.submitted_s: dict[str, float] = {}

    def _plan(self, task, attempt, worker) -> tuple[Size, float, bool]:
        size = self.sim.specs[task.job].steps[task.step].size
        runs = self._runs.get(task.job)
        return size, runs[task.step][task.index] if runs else ENDLESS_S, False

    def play(self) -> Outcome:
        """Replays the load; returns what its callers got."""
        with _without_logs():
            return self._play()

    def _play(self) -> Outcome:
        sim = self.sim
        sim.claim("a")
        if self._pattern.long_running_share:
            self._submit_long_running()
        sim.run(SETTLE_S)
        begin_s = sim.clock.now_s()
        for arrival in self._arrivals:
            if begin_s + arrival.at_s > sim.clock.now_s():
                sim.run(begin_s + arrival.at_s - sim.clock.now_s())
            self.submitted_s[arrival.job_id] = begin_s + arrival.at_s
            steps = _exact_steps(arrival) if self._exact else arrival.steps
            sim.submit(arrival.job_id, steps=steps, queue_name=arrival.queue)
        sim.run(begin_s + self._pattern.seconds + DRAIN_S - sim.clock.now_s())
        return self._outcome()

    def _submit_long_running(self) -> None:
        pattern = self._pattern
        processors = pattern.long_running_share * pattern.workers * pattern.capacity
        steps = [
            Step(
                count=round(processors / sum(STANDING_PROCESSORS)),
                size=Size(processors=size, memory_mb=10),
                long_running=True,
                image="standing",
            )
            for size in STANDING_PROCESSORS
        ]
        self.sim.submit(STANDING_JOB, steps=steps, queue_name="standing")

    def took_s(self) -> dict[str, float]:
        """Returns the time from submission to end of each job, infinite without an end."""
        ends = self.ends()
        return {
            job.arrival.job_id: ends.get(job.arrival.job_id, float("inf"))
            - self.submitted_s[job.arrival.job_id]
            for job in self.jobs
        }

    def _outcome(self) -> Outcome:
        took = self.took_s()
        is_of_use = {j.arrival.job_id: took[j.arrival.job_id] <= j.expiry_s for j in self.jobs}
        used = self._core_seconds()
        end_s = self.sim.clock.now_s()
        ages = [min(took[name], end_s - at_s) for name, at_s in self.submitted_s.items()]
        in_time = [job for job in self.jobs if took[job.arrival.job_id] <= job.objective_s]
        return Outcome(
            served=_by_priority(self.jobs, lambda job: job.value_after(took[job.arrival.job_id])),
            in_time=_shares_of(in_time, self.jobs),
            late=len(self.jobs) - len(in_time),
            wasted=sum(work for name, work in used.items() if not is_of_use[name]),
            oldest_s=max(ages),
            value=sum(job.value_after(took[job.arrival.job_id]) for job in self.jobs),
            work=sum(job.arrival.work for job in self.jobs),
        )

    def ends(self) -> dict[str, float]:
        """Returns when the last task of each complete job ended."""
        ended: dict[str, dict] = {}
        for at_s, _, task, _, event in self.sim.events:
            if event == "done":
                ended.setdefault(task.job, {}).setdefault(task, at_s)
        counts = {a.job_id: sum(step.count for step in a.steps) for a in self._arrivals}
        return {
            job: max(tasks.values())
            for job, tasks in ended.items()
            if len(tasks) == counts.get(job)
        }

    def _core_seconds(self) -> dict[str, float]:
        """Returns the core seconds that the attempts of each job took."""
        started, used = {}, dict.fromkeys(self._runs, 0.0)
        for at_s, _, task, attempt, event in self.sim.events:
            if event == "start":
                started[(task, attempt)] = at_s
            elif event != "noted done" and (task, attempt) in started and task.job in used:
                spec = self.sim.specs[task.job].steps[task.step]
                used[task.job] += spec.size.processors * (at_s - started.pop((task, attempt)))
        return used


def _by_priority(
    jobs: list[Scored], value_of: Callable[[Scored], float]
) -> dict[int | None, float]:
    """Returns the share of the value that was served."""
    shares = {}
    for priority in (None, *sorted({job.priority for job in jobs})):
        chosen = [job for job in jobs if priority in (None, job.priority)]
        shares[priority] = sum(map(value_of, chosen)) / sum(job.value for job in chosen)
    return shares


def _shares_of(some: list[Scored], jobs: list[Scored]) -> dict[int | None, float]:
    shares = {}
    for priority in (None, *sorted({job.priority for job in jobs})):
        total = sum(priority in (None, job.priority) for job in jobs)
        shares[priority] = sum(priority in (None, job.priority) for job in some) / total
    return shares
