"""Condenses the leader's state into the load summary."""

import math
from collections.abc import Iterable

import attrs

from fescuerudder.jobs.job import Step
from fescuerudder.jobs.jobrun import JobRun, StepRun
from fescuerudder.jobs.load import Load
from fescuerudder.jobs.loadsummary import (
    MAX_POOLS,
    MAX_QUEUES,
    MAX_WAITING_ROWS,
    MB_PER_GB,
    Amount,
    LoadSummary,
    PoolLoad,
    QueueLoad,
    WaitingWork,
    amount_of,
)
from fescuerudder.jobs.manifest import Queue
from fescuerudder.jobs.saturation import SCARCE_ROOM_SHARE
from fescuerudder.jobs.schedulerstate import SchedulerState
from fescuerudder.jobs.urgency import urgency_key

SUMMARY_INTERVAL_S = 0.4

FIRST_END_AGE_S = 1.0
"""Time after the first end of a term from which there are summaries."""

SCARCE_BACKLOG_S = 1.0
"""Time for which the remaining work must keep all capacity busy for it to count as short."""


@attrs.define(kw_only=True)
class _PoolState:
    """Figures of one pool while a summary is made.

    Args:
        capacity: capacity of its workers in service, less what long-running tasks hold.
        total: capacity of the workers that may get tasks.
        unused: what is not reserved there.
        free: for each resource, the most that is free on one worker.
        waiting: work and work times time left, by priority and class of density.
    """

    capacity: Amount = Amount()
    total: Amount = Amount()
    unused: Amount = Amount()
    free: Amount = Amount()
    waiting: dict[tuple[int, int], list[tuple[Amount, float]]] = attrs.Factory(dict)

    @property
    def has_little_room(self) -> bool:
        """Whether less than SCARCE_ROOM_SHARE of any resource is not reserved."""
        return any(
            unused < SCARCE_ROOM_SHARE * total
            for unused, total in zip(self.unused, self.total, strict=True)
            if total > 0.0
        )

    def backlog_s(self) -> float:
        """Returns for how long the work that is not done keeps all capacity busy."""
        works = [work for rows in self.waiting.values() for work, _ in rows]
        return max(
            sum(work[k] for work in works) / self.capacity[k] if self.capacity[k] > 0.0 else 0.0
            for k in range(len(self.capacity))
        )


class LoadSummarizer:
    """Makes load summaries; it looks at workers and at open steps, not at their tasks.

    Args:
        state: state of the term.
    """

    def __init__(self, *, state: SchedulerState) -> None:
        self._state = state
        self._next_s = -math.inf
        self._scarce_since_s: dict[str, float] = {}
        self._works: dict[JobRun, Amount] = {}

    def is_due(self, now_s: float) -> bool:
        """Returns whether the next summary is due."""
        return now_s >= self._next_s

    def summarize(self, loads: Iterable[Load], now_s: float) -> LoadSummary | None:
        """Returns the summary; None while this leader doesn't know enough for one.

        Args:
            loads: loads of the workers that may get tasks, after a plan.
            now_s: the time.
        """
        self._next_s = now_s + SUMMARY_INTERVAL_S
        state = self._state
        has_seen_ends = now_s - state.load_samples.first_end_s >= FIRST_END_AGE_S
        if not has_seen_ends or state.unresolved_workers():
            return None
        loads = list(loads)
        pools = {name: pool for name, pool in _pool_states(loads).items() if pool.has_little_room}
        if not pools:
            self._scarce_since_s.clear()
            self._works.clear()
            return LoadSummary()
        serving = self._add_capacities(pools)
        self._subtract_long_running(pools, serving)
        queues = self._add_waiting(pools, now_s)
        return LoadSummary(pools=self._short_pools(pools, now_s), queues=queues)

    def _add_capacities(self, pools: dict[str, _PoolState]) -> set[str]:
        """Adds the capacities of all workers in service; returns their ids.

        A worker in quarantine counts: its tasks run on, and it is tried again within seconds.
        """
        serving = set()
        for record in self._state.workers.values():
            info, pool = record.info, pools.get(record.info.pool)
            is_away = record.gone or record.is_silent or not record.listed or info.draining
            if pool is None or is_away or info.zone in self._state.zones_out:
                continue
            pool.capacity = pool.capacity.plus(amount_of(info.capacity))
            serving.add(record.id)
        return serving

    def _subtract_long_running(self, pools: dict[str, _PoolState], serving: set[str]) -> None:
        """Subtracts what long-running tasks hold on workers in service from the capacities."""
        for step in self._state.open_steps:
            queue = self._state.queues.get(step.job.job.queue)
            pool = pools.get(queue.pool) if queue is not None else None
            if pool is None or not step.spec.long_running or step.spec.best_effort:
                continue
            held = sum(1 for attempt in step.live_attempts() if attempt.worker in serving)
            pool.capacity = pool.capacity.plus(amount_of(step.spec.size), -held)

    def _add_waiting(self, pools: dict[str, _PoolState], now_s: float) -> dict[str, QueueLoad]:
        """Adds the work that is not done to the pools; returns the loads of their queues."""
        oldest_s: dict[str, float] = {}
        works: dict[JobRun, Amount] = {}
        for run, steps in self._open_jobs().items():
            queue = self._state.queues.get(run.job.queue)
            pool = pools.get(queue.pool) if queue is not None else None
            if queue is None or pool is None:
                continue
            age_s = 0.0 if run.begun else now_s - run.received_s
            oldest_s[queue.name] = max(oldest_s.get(queue.name, 0.0), age_s)
            works[run] = self._works.get(run) or _ending_work(run.job.steps)
            self._add_job(pool, queue, run, steps, works[run], now_s)
        self._works = works
        names = sorted(oldest_s, key=lambda name: -oldest_s[name])[:MAX_QUEUES]
        return {name: self._queue_load(name, oldest_s[name]) for name in names}

    def _open_jobs(self) -> dict[JobRun, list[StepRun]]:
        """Returns the open steps of the live jobs, by job, without long-running ones."""
        jobs: dict[JobRun, list[StepRun]] = {}
        for step in self._state.open_steps:
            if not step.spec.long_running and step.job.is_live:
                jobs.setdefault(step.job, []).append(step)
        return jobs

    def _add_job(
        self,
        pool: _PoolState,
        queue: Queue,
        run: JobRun,
        steps: list[StepRun],
        work: Amount,
        now_s: float,
    ) -> None:
        """Adds the rest of a job's work, at the class of its most urgent open step."""
        keys = [urgency_key(step, queue, self._state.job_sizes, now_s) for step in steps]
        priority, density_class, deadline_s, *_ = min(keys)
        if math.isinf(density_class):
            # It goes after all jobs of use, so it delays none of them.
            return
        rest = _remaining_work(run, steps, work)
        row = (rest, max(0.0, deadline_s - now_s))
        pool.waiting.setdefault((int(priority), int(density_class)), []).append(row)

    def _queue_load(self, name: str, oldest_s: float) -> QueueLoad:
        return QueueLoad(
            name=name,
            mean_work=self._state.job_sizes.mean(name),
            first_start_s=self._state.load_samples.first_start_s(name),
            oldest_s=oldest_s,
        )

    def _short_pools(self, pools: dict[str, _PoolState], now_s: float) -> dict[str, PoolLoad]:
        """Returns the loads of the pools that are short of capacity."""
        backlogs_s = {name: pool.backlog_s() for name, pool in pools.items()}
        names = [name for name in pools if backlogs_s[name] >= SCARCE_BACKLOG_S]
        names = sorted(names, key=lambda name: -backlogs_s[name])[:MAX_POOLS]
        self._scarce_since_s = {name: self._scarce_since_s.get(name, now_s) for name in names}
        rows_left, loads = MAX_WAITING_ROWS, {}
        for name in names:
            pool, rows = pools[name], _waiting_rows(pools[name], rows_left)
            rows_left -= len(rows)
            loads[name] = PoolLoad(
                name=name,
                scarce_s=now_s - self._scarce_since_s[name],
                capacity=pool.capacity,
                free=pool.free,
                speed=self._state.load_samples.speed(name, now_s),
                waiting=rows,
                arriving=self._state.load_samples.arriving(name, now_s),
            )
        return loads


def work_of(step: Step, count: int) -> Amount:
    """Returns the estimated resources times seconds of some tasks of a step."""
    return Amount().plus(amount_of(step.size), count * step.estimated_ms / 1000)


def _pool_states(loads: list[Load]) -> dict[str, _PoolState]:
    pools: dict[str, _PoolState] = {}
    for load in loads:
        pool = pools.setdefault(load.record.info.pool, _PoolState())
        capacity = amount_of(load.record.info.capacity)
        free = Amount(load.processors, load.memory_mb / MB_PER_GB, float(load.accelerators))
        pool.total = pool.total.plus(capacity)
        pool.unused = pool.unused.plus(free)
        pool.free = Amount(*map(max, pool.free, free))
    return pools


def _ending_work(steps: Iterable[Step]) -> Amount:
    """Returns the work of the steps that end and reserve what they use."""
    total = Amount()
    for step in steps:
        if not step.long_running and not step.best_effort:
            total = total.plus(work_of(step, step.count))
    return total


def _remaining_work(run: JobRun, steps: list[StepRun], work: Amount) -> Amount:
    """Returns the work of a job that is not done; of a repeated one, that of its open steps."""
    if run.job.repetition is None:
        share = 1 - run.done_work / run.work if run.work > 0.0 else 1.0
        return Amount().plus(work, max(0.0, share))
    rest = Amount()
    for step in steps:
        if not step.spec.best_effort:
            rest = rest.plus(work_of(step.spec, sum(1 for t in step.tasks if not t.done)))
    return rest


def _waiting_rows(pool: _PoolState, most: int) -> tuple[WaitingWork, ...]:
    """Returns the work of each priority and class of density, the largest ones if too many."""
    rows = []
    for (priority, density_class), jobs in pool.waiting.items():
        work, weight, weighted_s = Amount(), 0.0, 0.0
        for amount, left_s in jobs:
            work = work.plus(amount)
            weight += sum(amount)
            weighted_s += sum(amount) * left_s
        mean_s = weighted_s / weight if weight > 0.0 else 0.0
        rows.append(
            WaitingWork(priority=priority, density_class=density_class, work=work, left_s=mean_s)
        )
    rows.sort(key=lambda row: -sum(row.work))
    return tuple(sorted(rows[: max(0, most)], key=lambda row: row[:2]))
