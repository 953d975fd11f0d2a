"""What a worker has left: resources, processors that nothing uses, and latency headroom."""

import attrs

from fescuerudder.jobs.headroom import Measurement
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.knowledge import Knowledge
from fescuerudder.jobs.workerrecord import WorkerRecord

AHEAD_S = 0.4
"""Time for which a plan must hold: about until the next report of the worker."""

SPARE_SHARE = 0.06
"""Share of a worker's processors left unused: all tails grow when there are none."""

LEAST_SPARE = 0.05
"""Spare headroom assumed where there is none, so that harmless tasks may still go there."""

ROUNDING = 1e-9
"""Sums of fractional cores drift by rounding."""


@attrs.define(kw_only=True)
class Guard:
    """A task with a latency target, as expected until the next report.

    Args:
        spec: its step.
        undisturbed: its headroom without best-effort neighbours.
        loss: what the neighbours take of it at full speed.
        missed_s: time for which it has missed its target, 0 if it meets it.
    """

    spec: Step
    undisturbed: float
    loss: float = 0.0
    missed_s: float = 0.0


@attrs.define(eq=False, kw_only=True)
class Load:
    """What one worker has left.

    Args:
        record: the worker.
        known: what was learned about tasks.
        made_s: when it was worked out.
        processors: processors that are not reserved.
        memory_mb: memory that is not reserved.
        accelerators: accelerators that are not reserved.
        unused: processors that nothing there is expected to use, less a spare share; negative
            if more is wanted than there is.
        guards: tasks with a latency target there.
        best_effort: best-effort tasks there.
        wanted: processors that the best-effort tasks are expected to use at full speed.
        starts_left: tasks that the worker may get in this plan, None for any number.
    """

    record: WorkerRecord
    known: Knowledge
    made_s: float
    processors: float
    memory_mb: int
    accelerators: int
    unused: float
    guards: list[Guard] = attrs.Factory(list)
    best_effort: int = 0
    wanted: float = 0.0
    starts_left: int | None = None

    @classmethod
    def of(cls, record: WorkerRecord, known: Knowledge, *, now_s: float) -> "Load":
        """Returns the load of a worker by its live attempts."""
        capacity = record.info.capacity
        load = cls(
            record=record,
            known=known,
            made_s=now_s,
            processors=capacity.processors,
            memory_mb=capacity.memory_mb,
            accelerators=capacity.accelerators,
            unused=capacity.processors * (1 - SPARE_SHARE),
        )
        others = []
        for attempt in record.attempts.values():
            spec = attempt.task.step.spec
            if spec.latency_target_ms:
                expected = known.headrooms.expected(attempt, at_s=now_s + AHEAD_S)
                missed_s = _missed_s(known.headrooms.measured(attempt), now_s)
                load._add_guarded(spec, expected, missed_s)
            else:
                others.append(spec)
        for spec in others:
            load._add_other(spec)
        return load

    def copy(self) -> "Load":
        """Returns a load to try a plan on."""
        guards = [attrs.evolve(guard) for guard in self.guards]
        return attrs.evolve(self, guards=guards)

    def add(self, step: Step) -> None:
        """Counts one more task of a step."""
        if self.starts_left is not None:
            self.starts_left -= 1
        if step.latency_target_ms:
            self._add_guarded(step, self.known.headrooms.unknown, 0.0)
        else:
            self._add_other(step)

    def _add_guarded(self, step: Step, undisturbed: float, missed_s: float) -> None:
        self.guards.append(Guard(spec=step, undisturbed=undisturbed, missed_s=missed_s))
        self.unused -= self.known.estimates.guarded_processors(step, undisturbed=undisturbed)
        self._reserve(step, step.size.processors)

    def _add_other(self, step: Step) -> None:
        used = self.known.estimates.processors(step)
        self.unused -= used
        if not step.best_effort:
            self._reserve(step, step.size.processors)
            return
        self.best_effort += 1
        self.wanted += used
        for guard in self.guards:
            guard.loss += self.loss(step, guard)
        self._reserve(step, 0.0)

    def _reserve(self, step: Step, processors: float) -> None:
        self.processors -= processors
        self.memory_mb -= step.size.memory_mb
        self.accelerators -= step.size.accelerators

    @property
    def speed(self) -> float:
        """Share of their speed at which the best-effort tasks fit beside all others."""
        if self.unused >= 0.0 or self.wanted <= 0.0:
            return 1.0
        return max(0.0, 1.0 + self.unused / self.wanted)

    def least_headroom(self) -> float:
        """Returns the least headroom expected beside the best-effort tasks at full speed."""
        return min((g.undisturbed - g.loss for g in self.guards), default=float("inf"))

    def loss(self, step: Step, guard: Guard) -> float:
        """Returns the headroom that a best-effort task at full speed takes of a guarded one."""
        share = self.known.estimates.processors(step) / (
            self.record.info.capacity.processors or 1.0
        )
        return self.known.headrooms.loss(filler=step, guarded=guard.spec, share=share)

    def disturbance(self, step: Step, *, headroom: float) -> float:
        """Returns the largest share of a task's spare headroom that a best-effort task takes.

        A share over 1 would leave a task less than `headroom`.
        """
        worst = 0.0
        for guard in self.guards:
            spare = guard.undisturbed - guard.loss - headroom
            worst = max(worst, self.loss(step, guard) / max(spare, LEAST_SPARE))
        return worst

    def has_room(self, step: Step, *, kept_share: float = 0.0) -> bool:
        """Returns whether one more task of a step finds its resources.

        Args:
            step: the step.
            kept_share: share of the worker's processors that must stay free beside it.
        """
        if step.size.memory_mb > self.memory_mb or step.size.accelerators > self.accelerators:
            return False
        if not step.best_effort:
            kept = kept_share * self.record.info.capacity.processors
            return step.size.processors + kept <= self.processors + ROUNDING
        return self.unused >= self.known.estimates.processors(step) or not self.best_effort


def _missed_s(measured: Measurement | None, now_s: float) -> float:
    if measured is None or measured.missed_since_s is None:
        return 0.0
    return now_s - measured.missed_since_s
