"""Load of a worker: its free resources, unused processors and latency headroom."""

import attrs

from fescuerudder.jobs.headroom import Measurement
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.knowledge import Knowledge
from fescuerudder.jobs.workerbook import WorkerBook

AHEAD_S = 0.4
"""Time for which a plan must hold, about until the next report of the worker."""

SPARE_SHARE = 0.06
"""Share of a worker's processors to leave unused: tail latencies of all tasks grow without any."""

LEAST_SPARE = 0.05
"""Spare headroom assumed where there is none, so that harmless tasks may still be placed there."""

ROUNDING = 1e-9
"""Allowance for rounding errors in sums of fractional cores."""


@attrs.define(kw_only=True)
class LatencyCriticalTask:
    """A task with a latency target, as expected until the next report.

    Args:
        spec: its step.
        undisturbed: its headroom without best-effort neighbours.
        loss: headroom that it loses to those neighbours at full speed.
        missed_s: time for which it has missed its target, 0 if it meets it.
    """

    spec: Step
    undisturbed: float
    loss: float = 0.0
    missed_s: float = 0.0


@attrs.define(eq=False, kw_only=True)
class Load:
    """Free capacity of one worker, and its tasks as far as they matter to others.

    Args:
        book: the worker.
        known: knowledge about tasks.
        made_s: when the load was computed.
        processors: processors that are not reserved.
        memory_mb: memory that is not reserved.
        accelerators: accelerators that are not reserved.
        unused: processors that the tasks are not expected to use, less a spare share; negative
            if they are expected to need more than there are.
        guards: its latency-critical tasks.
        best_effort: number of best-effort tasks.
        wanted: processors that the best-effort tasks are expected to use at full speed.
        starts_left: number of tasks that may still be started there in this plan, None if
            unlimited.
    """

    book: WorkerBook
    known: Knowledge
    made_s: float
    processors: float
    memory_mb: int
    accelerators: int
    unused: float
    guards: list[LatencyCriticalTask] = attrs.Factory(list)
    best_effort: int = 0
    wanted: float = 0.0
    starts_left: int | None = None

    @classmethod
    def of(cls, book: WorkerBook, known: Knowledge, *, now_s: float) -> "Load":
        """Returns the load of a worker, computed from its live attempts."""
        capacity = book.info.capacity
        load = cls(
            book=book,
            known=known,
            made_s=now_s,
            processors=capacity.processors,
            memory_mb=capacity.memory_mb,
            accelerators=capacity.accelerators,
            unused=capacity.processors * (1 - SPARE_SHARE),
        )
        others = []
        for attempt in book.attempts.values():
            spec = attempt.task.step.spec
            if spec.latency_target_ms:
                expected = known.headroom_model.expected(attempt, at_s=now_s + AHEAD_S)
                missed_s = _missed_s(known.headroom_model.measured(attempt), now_s)
                load._add_guarded(spec, expected, missed_s)
            else:
                others.append(spec)
        for spec in others:
            load._add_other(spec)
        return load

    def copy(self) -> "Load":
        """Returns a copy on which a placement can be tried."""
        guards = [attrs.evolve(guard) for guard in self.guards]
        return attrs.evolve(self, guards=guards)

    def add(self, step: Step) -> None:
        """Adds one more task of a step."""
        if self.starts_left is not None:
            self.starts_left -= 1
        if step.latency_target_ms:
            self._add_guarded(step, self.known.headroom_model.unknown, 0.0)
        else:
            self._add_other(step)

    def _add_guarded(self, step: Step, undisturbed: float, missed_s: float) -> None:
        self.guards.append(
            LatencyCriticalTask(spec=step, undisturbed=undisturbed, missed_s=missed_s)
        )
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
        """Share of their full speed at which the best-effort tasks fit beside all others."""
        if self.unused >= 0.0 or self.wanted <= 0.0:
            return 1.0
        return max(0.0, 1.0 + self.unused / self.wanted)

    def least_headroom(self) -> float:
        """Returns the lowest headroom expected with the best-effort tasks at full speed."""
        return min((g.undisturbed - g.loss for g in self.guards), default=float("inf"))

    def loss(self, step: Step, guard: LatencyCriticalTask) -> float:
        """Returns the headroom that a latency-critical task loses to a best-effort one."""
        share = self.known.estimates.processors(step) / (self.book.info.capacity.processors or 1.0)
        return self.known.headroom_model.loss(filler=step, guarded=guard.spec, share=share)

    def disturbance(self, step: Step, *, headroom: float) -> float:
        """Returns the largest share of a task's spare headroom that a best-effort task would take.

        With a share over 1, some task would have less than `headroom` left.
        """
        worst = 0.0
        for guard in self.guards:
            spare = guard.undisturbed - guard.loss - headroom
            worst = max(worst, self.loss(step, guard) / max(spare, LEAST_SPARE))
        return worst

    def has_room(self, step: Step, *, kept_share: float = 0.0) -> bool:
        """Returns whether the resources for one more task of a step are free.

        Args:
            step: the step.
            kept_share: share of the worker's processors that must stay free beside it.
        """
        if step.size.memory_mb > self.memory_mb or step.size.accelerators > self.accelerators:
            return False
        if not step.best_effort:
            kept = kept_share * self.book.info.capacity.processors
            return step.size.processors + kept <= self.processors + ROUNDING
        return self.unused >= self.known.estimates.processors(step) or not self.best_effort


def _missed_s(measured: Measurement | None, now_s: float) -> float:
    if measured is None or measured.missed_since_s is None:
        return 0.0
    return now_s - measured.missed_since_s
