"""Learned slowdowns, peak sizes and run times, and remedies against interference."""

import attrs

from fescuerudder.document import Size
from fescuerudder.workers import Usage, WorkerStatus

WEIGHT = 0.3
"""Weight of a new measurement in an exponentially weighted mean."""

UNKNOWN_PENALTY = 0.02
"""Added to the slowdown of a pair without data, so known harmless pairs go first."""

LOAD_BANDS = 4
THROTTLE_STEPS = (0.5, 0.25)
LIFT_BELOW = 0.8
REPORTS_TO_LIFT = 3


def load_band(load: float) -> int:
    """Returns the load band, 0 to `LOAD_BANDS` - 1, of a load from 0 to 1."""
    return max(0, min(LOAD_BANDS - 1, int(load * LOAD_BANDS)))


class Slowdowns:
    """Exponentially weighted slowdowns by service, neighbour and load band."""

    def __init__(self) -> None:
        self._solitary_ms: dict[str, float] = {}
        self._lowest_ms: dict[str, float] = {}
        self._pairs: dict[tuple[str, str, int], float] = {}
        self._since_s: dict[tuple[str, str, str], float] = {}
        self._seen_s: dict[tuple[str, str], float] = {}

    def observe(self, status: WorkerStatus) -> list[Usage]:
        """Learns from the reports of a status and returns those not seen before."""
        self._note_pairings(status)
        fresh = [usage for usage in status.usage if self._is_new(status, usage)]
        for usage in fresh:
            self._learn(status.worker, usage)
        return fresh

    def pair(self, service: str, neighbour: str, *, load: float) -> float:
        """Returns the slowdown of `service` beside `neighbour`; 1.0 means none."""
        return self._pairs.get((service, neighbour, load_band(load)), 1.0 + UNKNOWN_PENALTY)

    def estimate(self, service: str, neighbours: tuple[str, ...], *, load: float) -> float:
        """Returns the slowdown of `service` beside all of `neighbours`."""
        product = 1.0
        for neighbour in set(neighbours) - {service}:
            product *= self.pair(service, neighbour, load=load)
        return product

    def _note_pairings(self, status: WorkerStatus) -> None:
        """Keeps since when, on the worker's clock, each pair has shared the worker."""
        running = {a.service for a in status.tasks if not a.is_ended}
        for key in [k for k in self._since_s if k[0] == status.worker]:
            if key[1] not in running or key[2] not in running:
                del self._since_s[key]
        for service in running:
            for other in running - {service}:
                self._since_s.setdefault((status.worker, service, other), status.clock_s)

    def _is_new(self, status: WorkerStatus, usage: Usage) -> bool:
        key = (f"{status.worker}/{status.incarnation}", usage.task)
        if usage.measured_at_s <= self._seen_s.get(key, -1.0):
            return False
        self._seen_s[key] = usage.measured_at_s
        return True

    def _learn(self, worker: str, usage: Usage) -> None:
        if usage.service_time_ms <= 0:
            return
        service, observed = usage.service, usage.service_time_ms
        others = sorted(set(usage.neighbours) - {service})
        self._lowest_ms[service] = min(observed, self._lowest_ms.get(service, observed))
        if not others:
            before = self._solitary_ms.get(service, observed)
            self._solitary_ms[service] = before + WEIGHT * (observed - before)
            return
        starts = [self._since_s.get((worker, service, other)) for other in others]
        if any(since is None or usage.measured_at_s < since for since in starts):
            return
        self._learn_pairs(usage, others)

    def _learn_pairs(self, usage: Usage, others: list[str]) -> None:
        """Spreads the part of the slowdown that the estimate misses evenly over the pairs."""
        service, band = usage.service, load_band(usage.load)
        solitary_ms = self._solitary_ms.get(service, self._lowest_ms[service])
        known = {other: self._pairs.get((service, other, band), 1.0) for other in others}
        predicted = 1.0
        for value in known.values():
            predicted *= value
        ratio = max(1.0, usage.service_time_ms / solitary_ms)
        factor = (ratio / predicted) ** (1 / len(others))
        for other, value in known.items():
            target = max(1.0, value * factor)
            self._pairs[(service, other, band)] = value + WEIGHT * (target - value)


class Sizes:
    """Learned peak sizes by service."""

    def __init__(self) -> None:
        self._peaks: dict[str, Size] = {}

    def observe(self, usage: Usage) -> None:
        """Learns from a report."""
        peak = self._peaks.get(usage.service, Size())
        self._peaks[usage.service] = Size(
            processors=max(peak.processors, usage.processors),
            memory_mb=max(peak.memory_mb, usage.memory_mb),
        )

    def committed(self, *, service: str, declared: Size, capacities: list[Size]) -> Size:
        """Returns the size to commit: the declared one, or the learned peak where larger.

        A peak that no worker of `capacities` offers would make the task unschedulable, so
        then the declared size stays.
        """
        peak = self._peaks.get(service, Size())
        size = Size(
            processors=max(declared.processors, peak.processors),
            memory_mb=max(declared.memory_mb, peak.memory_mb),
            accelerators=declared.accelerators,
        )
        return size if any(size.fits_in(capacity) for capacity in capacities) else declared


class RunTimes:
    """Learned run times by service."""

    def __init__(self) -> None:
        self._means_s: dict[str, float] = {}

    def observe(self, *, service: str, run_s: float) -> None:
        """Learns from a finished attempt."""
        before = self._means_s.get(service, run_s)
        self._means_s[service] = before + WEIGHT * (run_s - before)

    def expected_s(self, *, service: str, default_s: float = 0.0) -> float:
        """Returns the expected run time in seconds."""
        return self._means_s.get(service, default_s)


@attrs.frozen(kw_only=True)
class Mitigation:
    """What to do to a batch task: limit it to `share`, or move it if `share` is None."""

    task: str
    share: float | None


@attrs.define(kw_only=True)
class _WorkerRemedies:
    """Throttles in force on one worker, and the damping."""

    acted_at_s: float = -1.0
    shares: dict[str, float] = attrs.field(factory=dict)
    good_reports: int = 0


class Remedies:
    """Chooses mitigations, one at a time for each worker.

    Args:
        slowdowns: learned slowdowns.
    """

    def __init__(self, *, slowdowns: Slowdowns) -> None:
        self._slowdowns = slowdowns
        self._workers: dict[str, _WorkerRemedies] = {}

    def decide(
        self,
        *,
        status: WorkerStatus,
        fresh: list[Usage],
        objectives_ms: dict[str, float],
        batch: dict[str, str],
    ) -> Mitigation | None:
        """Returns the next mitigation on a worker, if one is due.

        Args:
            status: current status of the worker.
            fresh: its reports not seen before.
            objectives_ms: latency objective by latency-critical service.
            batch: service of each batch task that runs on the worker.
        """
        state = self._workers.setdefault(status.worker, _WorkerRemedies())
        state.shares = {task: part for task, part in state.shares.items() if task in batch}
        # Reports measured before the last mitigation say nothing about its effect.
        reports = [
            usage
            for usage in fresh
            if usage.service in objectives_ms and usage.measured_at_s > state.acted_at_s
        ]
        if not reports:
            return None
        worst = max(reports, key=lambda u: u.service_time_ms / objectives_ms[u.service])
        ratio = worst.service_time_ms / objectives_ms[worst.service]
        if ratio > 1.0:
            return self._mitigate(state, status, worst, batch)
        return self._lift(state, status, ratio)

    def _mitigate(
        self,
        state: _WorkerRemedies,
        status: WorkerStatus,
        worst: Usage,
        batch: dict[str, str],
    ) -> Mitigation | None:
        state.good_reports = 0
        if not batch:
            return None
        state.acted_at_s = status.clock_s

        def effect(task: str) -> tuple[float, str]:
            return self._slowdowns.pair(worst.service, batch[task], load=worst.load), task

        task = max(batch, key=effect)
        current = state.shares.get(task, 1.0)
        for share in THROTTLE_STEPS:
            if share < current:
                state.shares[task] = share
                return Mitigation(task=task, share=share)
        state.shares.pop(task, None)
        return Mitigation(task=task, share=None)

    def _lift(
        self, state: _WorkerRemedies, status: WorkerStatus, ratio: float
    ) -> Mitigation | None:
        state.good_reports = state.good_reports + 1 if ratio < LIFT_BELOW else 0
        if state.good_reports < REPORTS_TO_LIFT or not state.shares:
            return None
        state.good_reports = 0
        state.acted_at_s = status.clock_s
        task = min(state.shares, key=lambda name: (state.shares[name], name))
        del state.shares[task]
        return Mitigation(task=task, share=1.0)
