"""A burst of more jobs than fit, at instances that refuse because of load or accept everything."""

import random
from collections import Counter, deque

import attrs

from bench._jobsimulation import TICK_S, JobSimulation, queue
from fescuerudder.clock import Clock
from fescuerudder.document import Size
from fescuerudder.jobs.admissiongate import AdmissionGate
from fescuerudder.jobs.job import Job, Step
from fescuerudder.jobs.jobmetrics import JobMetrics
from fescuerudder.jobs.linkmessages import RefusedEntry
from fescuerudder.jobs.loadsummarizer import SUMMARY_INTERVAL_S
from fescuerudder.jobs.loadsummary import KnownLoad, dump_summary, load_summary
from fescuerudder.jobs.scheduler import Scheduler
from fescuerudder.jobs.urgency import (
    BASE_VALUE,
    EXPIRY_FACTOR,
    LATE_VALUE_FACTOR,
    MAX_VALUE,
    MEAN_SIZE_WEIGHT,
)

WORKERS = 12
CORES = 8.0
INSTANCES = 3
REPORT_INTERVAL_S = 0.25
MAX_RETRIES = 4
PATIENCE_S = 8.0
SETTLE_S = 40.0
"""Time after the last arrival in which jobs may still end."""

TAIL_FACTOR = 7.0
NEWS_S = SUMMARY_INTERVAL_S + REPORT_INTERVAL_S + 2 * TICK_S
"""Longest time until an instance learns of a free room."""


@attrs.frozen(kw_only=True)
class Kind:
    """A kind of job.

    Args:
        name: name of its queue.
        priority: priority of that queue.
        rate: jobs a second without the burst.
        steps: number of steps, each after the one before.
        tasks: mean number of tasks of a step.
        run_s: bounds of the estimated run time of a task.
        cores: cores of a task.
        burst: factor of the rate during the burst.
    """

    name: str
    priority: int
    rate: float
    steps: int
    tasks: int
    run_s: tuple[float, float]
    cores: float
    burst: float = 1.0


SMALL = Kind(
    name="small", priority=0, rate=4.0, steps=2, tasks=8, run_s=(0.5, 1.0), cores=0.5, burst=1.0
)
LARGE = Kind(
    name="large", priority=2, rate=0.5, steps=2, tasks=20, run_s=(1.4, 2.2), cores=1.0, burst=5.0
)


@attrs.define(kw_only=True)
class Caller:
    """A caller with one job.

    Args:
        job: the job.
        number: its number.
        kind: its kind.
        first_s: when it first called.
        value: what its job is worth in time.
        limit_s: objective of the job.
        tries: number of its calls.
        accepted_s: when the job was accepted, None before.
    """

    job: Job
    number: int
    kind: Kind
    first_s: float
    value: float
    limit_s: float
    tries: int = 0
    accepted_s: float | None = None
    refused: list[tuple[float, str]] = attrs.Factory(list)


@attrs.frozen(kw_only=True)
class Outcome:
    """What became of all jobs.

    Args:
        callers: all callers.
        done_s: ends by job id.
        refused_beside_room: refusals while a worker had had room for a task of the job for longer
            than a summary takes to arrive.
    """

    callers: list[Caller]
    done_s: dict[str, float]
    refused_beside_room: int

    def share(self, caller: Caller) -> float:
        """Returns the share of its value that a job earned."""
        if caller.accepted_s is None or caller.job.id not in self.done_s:
            return 0.0
        took_s = self.done_s[caller.job.id] - caller.accepted_s
        if took_s <= caller.limit_s:
            return 1.0
        return LATE_VALUE_FACTOR if took_s <= EXPIRY_FACTOR * caller.limit_s else 0.0

    def served(self, name: str = "") -> float:
        """Returns the share of the value of all jobs, or of one kind, that was earned."""
        callers = [c for c in self.callers if name in ("", c.kind.name)]
        return sum(c.value * self.share(c) for c in callers) / sum(c.value for c in callers)

    def in_time(self, name: str = "") -> int:
        """Returns the number of jobs in time."""
        return sum(self.share(c) == 1.0 for c in self.callers if name in ("", c.kind.name))

    def counts(self) -> Counter[str]:
        """Returns how many jobs were refused, given up, late or of no use."""
        found: Counter[str] = Counter(jobs=len(self.callers))
        for caller in self.callers:
            found["refusals"] += len(caller.refused)
            found["given up"] += caller.accepted_s is None
            share = self.share(caller)
            found["late"] += share == LATE_VALUE_FACTOR
            found["useless"] += caller.accepted_s is not None and share == 0.0
        return found


class Instance:
    """An instance that accepts jobs, and the links to the others.

    Args:
        name: its name.
        clock: source of time.
        seed: seed of the spread.
    """

    def __init__(self, *, name: str, clock: Clock, seed: int) -> None:
        self.load: KnownLoad | None = None
        self.others: list[Instance] = []
        self.gate = AdmissionGate(
            port=self, clock=clock, rng=random.Random(seed), metrics=JobMetrics(instance=name)
        )

    def share_refusals(self, entries: tuple[RefusedEntry, ...]) -> None:
        """Tells the others of refused jobs."""
        for other in self.others:
            other.gate.learn(entries)


class Burst:
    """Replays a burst.

    Args:
        seed: seed of arrivals, run times and the simulation.
        admits_all: no job is refused because of load.
        kinds: kinds of jobs.
        burst_s: begin and end of the burst.
        end_s: when arrivals end.
        tail_share: share of the tasks that take TAIL_FACTOR times as long.
        error: how far estimates are off, as a share.
        patience_s: time after its first call for which a caller tries, and its deadline.
    """

    def __init__(
        self,
        *,
        seed: int,
        admits_all: bool,
        kinds: tuple[Kind, ...] = (SMALL, LARGE),
        burst_s: tuple[float, float] = (5.0, 12.0),
        end_s: float = 25.0,
        tail_share: float = 0.03,
        error: float = 0.9,
        patience_s: float = PATIENCE_S,
    ) -> None:
        self._rng = random.Random(seed)
        self._kinds = kinds
        self._burst_s = burst_s
        self._end_s = end_s
        self._admits_all = admits_all
        self._tail_share = tail_share
        self._error = error
        self._patience_s = patience_s
        self._factors: dict[str, float] = {}
        self._queues = {
            kind.name: queue(
                name=kind.name, prefix=f"/{kind.name}/", priority=kind.priority, stretch=3.0
            )
            for kind in kinds
        }
        self.sim = JobSimulation(
            seed=seed, workers=WORKERS, capacity=CORES, queues=tuple(self._queues.values())
        )
        self.sim.plan = self._plan
        self.instances = [
            Instance(name=f"i{k}", clock=self.sim.clock, seed=seed + k) for k in range(INSTANCES)
        ]
        for instance in self.instances:
            instance.others = [other for other in self.instances if other is not instance]
        self._means: dict[str, float] = {}
        self._room_since_s: dict[tuple[str, float], float] = {}
        self._seen_events = 0
        self._refused_beside_room = 0
        self._callers = self._arrivals()

    def play(self) -> Outcome:
        """Replays the burst; returns its outcome."""
        sim = self.sim
        leader, begin_s = sim.claim("a"), sim.clock.now_s()
        self._begin_s = begin_s
        calls = sorted((begin_s + c.first_s, n, c) for n, c in enumerate(self._callers))
        calls = deque(calls)
        retries: list[tuple[float, int, Caller]] = []
        next_report_s = begin_s
        while calls or retries or self._is_settling(leader.scheduler):
            sim.run(TICK_S)
            now_s = sim.clock.now_s()
            if now_s >= next_report_s:
                next_report_s = now_s + REPORT_INTERVAL_S
                self._take_summary(leader)
            self._watch_room(leader.scheduler, now_s)
            while calls and calls[0][0] <= now_s:
                retries.append(calls.popleft())
            for entry in [entry for entry in retries if entry[0] <= now_s]:
                retries.remove(entry)
                again_s = self._call(entry[2], now_s)
                if again_s is not None:
                    retries.append((again_s, entry[1], entry[2]))
        done = self._done(sim)
        return Outcome(
            callers=self._callers, done_s=done, refused_beside_room=self._refused_beside_room
        )

    def _is_settling(self, scheduler: Scheduler) -> bool:
        """Returns whether accepted jobs may still end."""
        end_s = self._begin_s + self._end_s + SETTLE_S
        runs = scheduler.state.jobs
        # The leader learns of a job with the next tick.
        is_behind = len(runs) < sum(c.accepted_s is not None for c in self._callers)
        has_live = is_behind or any(run.is_live for run in runs.values())
        return has_live and self.sim.clock.now_s() < end_s

    def _done(self, sim: JobSimulation) -> dict[str, float]:
        ends: dict[str, dict] = {}
        for at_s, _, task, _, event in sim.events:
            if event == "done":
                ends.setdefault(task.job, {}).setdefault(task, at_s)
        counts = {c.job.id: sum(step.count for step in c.job.steps) for c in self._callers}
        return {job: max(e.values()) for job, e in ends.items() if len(e) == counts[job]}

    def _arrivals(self) -> list[Caller]:
        callers, number = [], 0
        for kind in self._kinds:
            at_s = 0.0
            while True:
                in_burst = self._burst_s[0] <= at_s < self._burst_s[1]
                at_s += self._rng.expovariate(kind.rate * (kind.burst if in_burst else 1.0))
                if at_s >= self._end_s:
                    break
                number += 1
                callers.append(self._caller(kind, number, at_s))
        return sorted(callers, key=lambda caller: caller.first_s)

    def _caller(self, kind: Kind, number: int, at_s: float) -> Caller:
        rng, job_id = self._rng, f"{number:016x}"
        steps = tuple(
            Step(
                count=max(1, round(kind.tasks * rng.uniform(0.5, 1.5))),
                size=Size(processors=kind.cores, memory_mb=10),
                estimated_ms=int(1000 * rng.uniform(*kind.run_s)),
                after=(n - 1,) if n else (),
            )
            for n in range(kind.steps)
        )
        found = self._queues[kind.name]
        job = Job(id=job_id, queue=kind.name, payload="p", steps=steps, accepted_queue=found)
        self._factors[job_id] = 1 + rng.uniform(-self._error, self._error)
        work = sum(step.count * step.work for step in steps)
        mean = self._means.get(kind.name, work)
        self._means[kind.name] = mean + MEAN_SIZE_WEIGHT * (work - mean)
        path_s = sum(step.estimated_ms for step in steps) / 1000
        return Caller(
            job=job,
            number=number,
            kind=kind,
            first_s=at_s,
            value=min(MAX_VALUE, BASE_VALUE + (1 - BASE_VALUE) * work / mean),
            limit_s=found.stretch * path_s + found.allowance_ms / 1000,
        )

    def _plan(self, task, attempt, worker):
        step = self.sim.specs[task.job].steps[task.step]
        rng = random.Random(f"{task}")
        tail = TAIL_FACTOR if rng.random() < self._tail_share else 1.0
        run_s = step.estimated_ms / 1000 * self._factors[task.job] * rng.uniform(0.9, 1.1) * tail
        return step.size, run_s, False

    def _take_summary(self, leader) -> None:
        """Takes the leader's summary through the codec, as a link does."""
        made_s, summary = leader.scheduler.load_summary
        for instance in self.instances if summary is not None else ():
            known = load_summary(dump_summary(summary))
            instance.load = KnownLoad(summary=known, made_s=made_s)

    def _call(self, caller: Caller, now_s: float) -> float | None:
        """Calls an instance; returns when the caller calls again, None if it doesn't."""
        caller.tries += 1
        gate = self.instances[(caller.number + caller.tries) % INSTANCES].gate
        left_s = self._begin_s + caller.first_s + self._patience_s - now_s
        refused = None if self._admits_all else gate.check(caller.job, patience_s=left_s)
        if refused is None:
            self._accept(caller, now_s)
            return None
        gate.record_refused(caller.job, refused)
        caller.refused.append((now_s, refused.reason.value))
        self._check_room(caller, now_s)
        if caller.tries > MAX_RETRIES or refused.retry_after_s > left_s:
            return None
        return now_s + refused.retry_after_s

    def _accept(self, caller: Caller, now_s: float) -> None:
        caller.accepted_s = now_s
        for instance in self.instances:
            instance.gate.forget(caller.job.id)
        job = caller.job
        self.sim.submit(
            job.id, steps=job.steps, queue_name=job.queue, accepted_queue=job.accepted_queue
        )

    def _watch_room(self, scheduler: Scheduler, now_s: float) -> None:
        """Records since when each worker has had room for a task of each kind, and got no start.

        A worker that is quarantined or silent counts as full. One that gets starts has room only
        until ends and starts that are under way arrive.
        """
        usable = {load.record.id for load in scheduler.usable_loads(now_s)}
        events, self._seen_events = self.sim.events[self._seen_events :], len(self.sim.events)
        usable -= {worker for _, worker, _, _, event in events if event == "start"}
        for worker in self.sim.workers.values():
            used = sum(run.size.processors for run in worker.runs.values())
            free = worker.info.capacity.processors - used if worker.info.id in usable else 0.0
            for kind in self._kinds:
                key = (worker.info.id, kind.cores)
                if free >= kind.cores:
                    self._room_since_s.setdefault(key, now_s)
                else:
                    self._room_since_s.pop(key, None)

    def _check_room(self, caller: Caller, now_s: float) -> None:
        for (_, cores), since_s in self._room_since_s.items():
            if cores == caller.kind.cores and now_s - since_s > NEWS_S:
                self._refused_beside_room += 1
                return
