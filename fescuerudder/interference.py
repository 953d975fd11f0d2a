"""Learned slowdowns, peak sizes and run times, and the choice of remedies for interference."""

import math
from collections.abc import Callable, Iterable

import attrs

from fescuerudder.document import Size
from fescuerudder.workers import Usage, WorkerStatus

EWMA_WEIGHT = 0.3
"""Weight of a new measurement in an exponentially weighted moving average."""

UNKNOWN_PAIR_PENALTY = 0.02
"""Added to the slowdown of a pair without data, so that pairs known as harmless are preferred."""

LOAD_BANDS = 4
THROTTLE_STEPS = (0.5, 0.25)
GOOD_REPORT_RATIO = 0.8
MIN_GOOD_REPORTS = 3
LIFT_BACKOFF = 2
MAX_GOOD_REPORTS = 768
"""Upper limit of the good reports before a throttle is lifted. The number doubles each time a
throttle is needed again after it was lifted, or it would be lifted and set again forever."""

MAX_MOVES_PER_HOUR = 4
"""Limit of moves from one worker. Each move costs a checkpoint and a restart; if this many did not
help, more will not."""

HOUR_S = 3600.0


def load_band(load: float) -> int:
    """Returns the load band, 0 to `LOAD_BANDS` - 1, of a load from 0 to 1."""
    return max(0, min(LOAD_BANDS - 1, int(load * LOAD_BANDS)))


class Slowdowns:
    """Exponentially weighted mean slowdowns, by service, neighbour and load band."""

    def __init__(self) -> None:
        self._baseline_ms: dict[str, float] = {}
        self._lowest_ms: dict[str, float] = {}
        self._pairs: dict[tuple[str, str, int], float] = {}
        self._paired_since_s: dict[tuple[str, str, str], float] = {}
        self._last_measured_s: dict[tuple[str, str], float] = {}

    def observe(self, status: WorkerStatus) -> list[Usage]:
        """Updates the slowdowns from the new usage reports of a status; returns those reports."""
        self._update_pairings(status)
        new_usage = [usage for usage in status.usage if self._is_new(status, usage)]
        for usage in new_usage:
            self._learn(status.worker, usage)
        return new_usage

    def pair_slowdown(self, service: str, neighbour: str, *, load: float) -> float:
        """Returns the slowdown of `service` beside `neighbour`; 1.0 means none."""
        return self._pairs.get((service, neighbour, load_band(load)), 1.0 + UNKNOWN_PAIR_PENALTY)

    def estimate(self, service: str, neighbours: tuple[str, ...], *, load: float) -> float:
        """Returns the slowdown of `service` beside all of `neighbours`."""
        product = 1.0
        for neighbour in set(neighbours) - {service}:
            product *= self.pair_slowdown(service, neighbour, load=load)
        return product

    def _update_pairings(self, status: WorkerStatus) -> None:
        """Records since when, on the worker's clock, each pair has shared the worker."""
        running = {a.service for a in status.tasks if not a.is_ended}
        for key in [k for k in self._paired_since_s if k[0] == status.worker]:
            if key[1] not in running or key[2] not in running:
                del self._paired_since_s[key]
        for service in running:
            for other in running - {service}:
                self._paired_since_s.setdefault((status.worker, service, other), status.clock_s)

    def _is_new(self, status: WorkerStatus, usage: Usage) -> bool:
        key = (f"{status.worker}/{status.incarnation}", usage.task)
        if usage.measured_at_s <= self._last_measured_s.get(key, -1.0):
            return False
        self._last_measured_s[key] = usage.measured_at_s
        return True

    def _learn(self, worker: str, usage: Usage) -> None:
        if usage.service_time_ms <= 0:
            return
        service, observed = usage.service, usage.service_time_ms
        others = sorted(set(usage.neighbours) - {service})
        self._lowest_ms[service] = min(observed, self._lowest_ms.get(service, observed))
        if not others:
            before = self._baseline_ms.get(service, observed)
            self._baseline_ms[service] = before + EWMA_WEIGHT * (observed - before)
            return
        starts = [self._paired_since_s.get((worker, service, other)) for other in others]
        if any(since is None or usage.measured_at_s < since for since in starts):
            return
        self._learn_pairs(usage, others)

    def _learn_pairs(self, usage: Usage, others: list[str]) -> None:
        """Distributes the part of the slowdown that the estimate misses evenly over the pairs."""
        service, band = usage.service, load_band(usage.load)
        baseline_ms = self._baseline_ms.get(service, self._lowest_ms[service])
        known = {other: self._pairs.get((service, other, band), 1.0) for other in others}
        predicted = 1.0
        for value in known.values():
            predicted *= value
        ratio = max(1.0, usage.service_time_ms / baseline_ms)
        factor = (ratio / predicted) ** (1 / len(others))
        for other, value in known.items():
            target = max(1.0, value * factor)
            self._pairs[(service, other, band)] = value + EWMA_WEIGHT * (target - value)


class PeakSizes:
    """Largest measured usage by service."""

    def __init__(self) -> None:
        self._peaks: dict[str, Size] = {}

    def observe(self, usage: Usage) -> None:
        """Raises the peak of the service to the usage of a report."""
        peak = self._peaks.get(usage.service, Size())
        self._peaks[usage.service] = Size(
            processors=max(peak.processors, usage.processors),
            memory_mb=max(peak.memory_mb, usage.memory_mb),
        )

    def size_to_commit(self, *, service: str, declared: Size, capacities: list[Size]) -> Size:
        """Returns the size to commit: the declared one, raised to the peak where that is larger.

        If the result fits in none of `capacities`, the task would be unschedulable, so the
        declared size is returned.
        """
        peak = self._peaks.get(service, Size())
        size = Size(
            processors=max(declared.processors, peak.processors),
            memory_mb=max(declared.memory_mb, peak.memory_mb),
            accelerators=declared.accelerators,
        )
        return size if any(size.fits_in(capacity) for capacity in capacities) else declared


class RunTimes:
    """Exponentially weighted mean run times by service."""

    def __init__(self) -> None:
        self._means_s: dict[str, float] = {}

    def observe(self, *, service: str, run_s: float) -> None:
        """Updates the mean of a service with the run time of a finished attempt."""
        before = self._means_s.get(service, run_s)
        self._means_s[service] = before + EWMA_WEIGHT * (run_s - before)

    def expected_s(self, *, service: str, default_s: float = 0.0) -> float:
        """Returns the expected run time in seconds."""
        return self._means_s.get(service, default_s)


@attrs.frozen(kw_only=True)
class Remedy:
    """A remedy against interference by batch tasks.

    Args:
        tasks: ids of the batch tasks.
        share: share of their processors to which they are limited; None moves them.
    """

    tasks: tuple[str, ...]
    share: float | None


@attrs.define(kw_only=True)
class _WorkerRemedies:
    """Remedies in force on one worker, and their damping. Times are on the worker's clock.

    Args:
        incarnation: incarnation of the worker; the next one has another clock and other tasks.
        acted_at_s: time of the last remedy.
        shares: share of each throttled task; 1.0 if a former owner may have throttled it.
        good_reports: consecutive reports below `GOOD_REPORT_RATIO`.
        reports_needed: good reports after which a task's throttle is lifted, if above the minimum.
        lifted: tasks whose throttle was lifted.
        adopted: tasks that a former owner started and that were entered in `shares`.
        moved_at_s: times of the moves of the last hour.
    """

    incarnation: str
    acted_at_s: float = -1.0
    shares: dict[str, float] = attrs.field(factory=dict)
    good_reports: int = 0
    reports_needed: dict[str, int] = attrs.field(factory=dict)
    lifted: set[str] = attrs.field(factory=set)
    adopted: set[str] = attrs.field(factory=set)
    moved_at_s: list[float] = attrs.field(factory=list)

    def keep_only(self, tasks: Iterable[str]) -> None:
        """Drops the tasks that no longer run on the worker."""
        kept = set(tasks)
        self.shares = {task: share for task, share in self.shares.items() if task in kept}
        self.reports_needed = {
            task: count for task, count in self.reports_needed.items() if task in kept
        }
        self.lifted &= kept
        self.adopted &= kept

    def adopt(self, tasks: Iterable[str]) -> None:
        """Records tasks that a former owner started and may have throttled."""
        for task in set(tasks) - self.adopted:
            self.adopted.add(task)
            self.shares.setdefault(task, 1.0)


class Remedies:
    """Chooses remedies, one at a time for each worker.

    Args:
        slowdowns: learned slowdowns by pair of services.
        steps: shares to which a neighbour is throttled before it is moved.
        max_moves_per_hour: limit of moves from one worker in an hour.
    """

    def __init__(
        self,
        *,
        slowdowns: Slowdowns,
        steps: tuple[float, ...] = THROTTLE_STEPS,
        max_moves_per_hour: float = MAX_MOVES_PER_HOUR,
    ) -> None:
        self._slowdowns = slowdowns
        self._steps = steps
        self._max_moves_per_hour = max_moves_per_hour
        self._workers: dict[str, _WorkerRemedies] = {}

    def decide(
        self,
        *,
        status: WorkerStatus,
        new_usage: list[Usage],
        objectives_ms: dict[str, float],
        batch: dict[str, str],
        adopted: Iterable[str] = (),
        may_move: Callable[[str], bool] = lambda task: True,
    ) -> Remedy | None:
        """Returns the next remedy on a worker, or None if none is due.

        Args:
            status: current status of the worker.
            new_usage: its usage reports that were not handled before.
            objectives_ms: latency objective by latency-critical service, in milliseconds.
            batch: service of each batch task that runs on the worker.
            adopted: those of the batch tasks that a former owner started.
            may_move: returns whether a task would probably do less harm elsewhere.
        """
        state = self._state_of(status)
        # While its row is being written, a running task is missing from `batch`.
        state.keep_only([*batch, *(a.task for a in status.tasks if not a.is_ended)])
        state.adopt(adopted)
        # Reports measured before the last remedy do not show its effect.
        reports = [
            usage
            for usage in new_usage
            if usage.service in objectives_ms and usage.measured_at_s > state.acted_at_s
        ]
        if not reports:
            return None
        worst = max(reports, key=lambda u: u.service_time_ms / objectives_ms[u.service])
        ratio = worst.service_time_ms / objectives_ms[worst.service]
        if ratio <= 1.0:
            return self._lift(state, status, ratio)
        state.good_reports = 0
        remedy = self._next_remedy(state, status, worst, batch, may_move)
        if remedy is not None:
            state.acted_at_s = status.clock_s
        return remedy

    def _state_of(self, status: WorkerStatus) -> _WorkerRemedies:
        """Returns the state of the worker's present incarnation."""
        state = self._workers.get(status.worker)
        if state is None or state.incarnation != status.incarnation:
            state = _WorkerRemedies(incarnation=status.incarnation)
            self._workers[status.worker] = state
        return state

    def _next_remedy(
        self,
        state: _WorkerRemedies,
        status: WorkerStatus,
        worst: Usage,
        batch: dict[str, str],
        may_move: Callable[[str], bool],
    ) -> Remedy | None:
        """Returns the next remedy for the neighbour with the largest effect that has one left.

        A neighbour is a service. All of its tasks are throttled together, since one task left
        at its full share may cause as much slowdown as several.
        """

        def effect(neighbour: str) -> tuple[float, str]:
            return (
                self._slowdowns.pair_slowdown(worst.service, neighbour, load=worst.load),
                neighbour,
            )

        for neighbour in sorted(set(batch.values()), key=effect, reverse=True):
            tasks = sorted(task for task, service in batch.items() if service == neighbour)
            current = max(state.shares.get(task, 1.0) for task in tasks)
            share = next((step for step in self._steps if step < current), None)
            if share is not None:
                limited = tuple(task for task in tasks if state.shares.get(task, 1.0) > share)
                for task in limited:
                    self._record_throttle(state, task, share)
                return Remedy(tasks=limited, share=share)
            task = tasks[-1]
            # Without throttle steps, moving is the only remedy, so it needs no better place.
            is_useful = not self._steps or may_move(task)
            if is_useful and self._is_below_move_limit(state, status.clock_s):
                state.shares.pop(task, None)
                state.moved_at_s.append(status.clock_s)
                return Remedy(tasks=(task,), share=None)
        return None

    def _record_throttle(self, state: _WorkerRemedies, task: str, share: float) -> None:
        """Records a throttle; if it had been lifted before, the next lift needs more reports."""
        state.shares[task] = share
        if task in state.lifted:
            state.lifted.discard(task)
            reports_needed = state.reports_needed.get(task, MIN_GOOD_REPORTS)
            state.reports_needed[task] = min(MAX_GOOD_REPORTS, reports_needed * LIFT_BACKOFF)

    def _is_below_move_limit(self, state: _WorkerRemedies, clock_s: float) -> bool:
        state.moved_at_s = [at_s for at_s in state.moved_at_s if clock_s - at_s < HOUR_S]
        return len(state.moved_at_s) < self._max_moves_per_hour

    def _lift(self, state: _WorkerRemedies, status: WorkerStatus, ratio: float) -> Remedy | None:
        state.good_reports = state.good_reports + 1 if ratio < GOOD_REPORT_RATIO else 0
        due = [
            task
            for task in state.shares
            if state.good_reports >= state.reports_needed.get(task, MIN_GOOD_REPORTS)
        ]
        if not due:
            return None
        state.good_reports = 0
        state.acted_at_s = status.clock_s
        task = min(due, key=lambda name: (state.shares[name], name))
        del state.shares[task]
        state.lifted.add(task)
        return Remedy(tasks=(task,), share=1.0)


def make_remedies(*, policy: str, slowdowns: Slowdowns) -> Remedies:
    """Returns the remedies that the setting `remedy` names.

    `evict`, the baseline in comparisons, moves tasks at once without throttling them.
    """
    if policy == "evict":
        return Remedies(slowdowns=slowdowns, steps=(), max_moves_per_hour=math.inf)
    return Remedies(slowdowns=slowdowns)
