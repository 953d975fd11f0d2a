"""Load of a worker: its free resources, unused processors and latency headroom."""

from collections.abc import Iterable

import attrs

from fescuerudder.jobs.headroom import Measurement
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.knowledge import Knowledge
from fescuerudder.jobs.workerrecord import WorkerRecord

FORECAST_S = 0.4
"""Time for which a plan must hold, about until the next report of the worker."""

SPARE_PROCESSOR_SHARE = 0.06
"""Share of a worker's processors to leave unused: tail latencies of all tasks grow without any."""

MIN_SPARE_HEADROOM = 0.05
"""Spare headroom assumed where there is none, so that harmless tasks may still be placed there."""

ROUNDING_TOLERANCE = 1e-9
"""Allowance for rounding errors in sums of fractional cores."""


@attrs.define(kw_only=True)
class LatencyCriticalTask:
    """A task with a latency target, as expected until the next report.

    Args:
        spec: its step.
        baseline: its headroom without best-effort neighbours.
        headroom_loss: headroom that it loses to those neighbours at full speed.
        missed_s: time for which it has missed its target, 0 if it meets it.
    """

    spec: Step
    baseline: float
    headroom_loss: float = 0.0
    missed_s: float = 0.0


@attrs.define(eq=False, kw_only=True)
class Load:
    """Free capacity of one worker, and its tasks as far as they matter to others.

    Args:
        record: the worker.
        knowledge: knowledge about tasks.
        computed_s: when the load was computed.
        processors: processors that are not reserved.
        memory_mb: memory that is not reserved.
        accelerators: accelerators that are not reserved.
        unused_processors: processors that the tasks are not expected to use, less a spare share;
            negative if they are expected to need more than there are.
        latency_critical: its latency-critical tasks.
        best_effort_tasks: number of best-effort tasks.
        best_effort_processors: processors that the best-effort tasks are expected to use at full
            speed.
        starts_left: number of tasks that may still be started there in this plan, None if
            unlimited.
        is_closed: nothing may be started there, whatever seems to be free.
    """

    record: WorkerRecord
    knowledge: Knowledge
    computed_s: float
    processors: float
    memory_mb: int
    accelerators: int
    unused_processors: float
    latency_critical: list[LatencyCriticalTask] = attrs.Factory(list)
    best_effort_tasks: int = 0
    best_effort_processors: float = 0.0
    starts_left: int | None = None
    is_closed: bool = False

    @classmethod
    def of(
        cls,
        record: WorkerRecord,
        knowledge: Knowledge,
        *,
        now_s: float,
        orphans: Iterable[Step] = (),
    ) -> "Load":
        """Returns the load of a worker, computed from its live attempts and its orphans.

        Args:
            record: the worker.
            knowledge: knowledge about tasks.
            now_s: the time.
            orphans: steps of the orphans there, which take room until they have ended.
        """
        capacity = record.info.capacity
        load = cls(
            record=record,
            knowledge=knowledge,
            computed_s=now_s,
            processors=capacity.processors,
            memory_mb=capacity.memory_mb,
            accelerators=capacity.accelerators,
            unused_processors=capacity.processors * (1 - SPARE_PROCESSOR_SHARE),
        )
        others = list(orphans)
        for attempt in record.attempts.values():
            spec = attempt.task.step.spec
            if spec.latency_target_ms:
                expected = knowledge.headroom_model.expected_baseline(
                    attempt, at_s=now_s + FORECAST_S
                )
                missed_s = _missed_s(knowledge.headroom_model.measured(attempt), now_s)
                load._add_latency_critical(spec, expected, missed_s)
            else:
                others.append(spec)
        for spec in others:
            load._add_other(spec)
        return load

    def copy(self) -> "Load":
        """Returns a copy on which a placement can be tried."""
        latency_critical = [attrs.evolve(task) for task in self.latency_critical]
        return attrs.evolve(self, latency_critical=latency_critical)

    def add(self, step: Step) -> None:
        """Adds one more task of a step."""
        if self.starts_left is not None:
            self.starts_left -= 1
        if step.latency_target_ms:
            self._add_latency_critical(step, self.knowledge.headroom_model.default, 0.0)
        else:
            self._add_other(step)

    def _add_latency_critical(self, step: Step, baseline: float, missed_s: float) -> None:
        self.latency_critical.append(
            LatencyCriticalTask(spec=step, baseline=baseline, missed_s=missed_s)
        )
        self.unused_processors -= self.knowledge.estimates.latency_critical_processors(
            step, baseline=baseline
        )
        self._reserve(step, step.size.processors)

    def _add_other(self, step: Step) -> None:
        used = self.knowledge.estimates.expected_processors(step)
        self.unused_processors -= used
        if not step.best_effort:
            self._reserve(step, step.size.processors)
            return
        self.best_effort_tasks += 1
        self.best_effort_processors += used
        for task in self.latency_critical:
            task.headroom_loss += self.headroom_loss(step, task)
        self._reserve(step, 0.0)

    def _reserve(self, step: Step, processors: float) -> None:
        self.processors -= processors
        self.memory_mb -= step.size.memory_mb
        self.accelerators -= step.size.accelerators

    @property
    def best_effort_speed(self) -> float:
        """Share of their full speed at which the best-effort tasks fit beside all others."""
        if self.unused_processors >= 0.0 or self.best_effort_processors <= 0.0:
            return 1.0
        return max(0.0, 1.0 + self.unused_processors / self.best_effort_processors)

    def lowest_headroom(self) -> float:
        """Returns the lowest headroom expected with the best-effort tasks at full speed."""
        return min(
            (g.baseline - g.headroom_loss for g in self.latency_critical), default=float("inf")
        )

    def headroom_loss(self, step: Step, task: LatencyCriticalTask) -> float:
        """Returns the headroom that a latency-critical task loses to a best-effort one."""
        return self.knowledge.headroom_model.headroom_loss(
            best_effort=step, latency_critical=task.spec, share=self._processor_share(step)
        )

    def _processor_share(self, step: Step) -> float:
        """Returns the share of the worker's processors that a best-effort task uses."""
        capacity = self.record.info.capacity.processors or 1.0
        return self.knowledge.estimates.expected_processors(step) / capacity

    def interference(self, step: Step, *, min_headroom: float) -> float:
        """Returns the largest share of a task's spare headroom that a best-effort task would take.

        With a share over 1, some task would have less than `min_headroom` left; which one takes
        most is of no interest then.
        """
        share, model = self._processor_share(step), self.knowledge.headroom_model
        worst = 0.0
        for task in self.latency_critical:
            spare = task.baseline - task.headroom_loss - min_headroom
            loss = model.headroom_loss(best_effort=step, latency_critical=task.spec, share=share)
            worst = max(worst, loss / max(spare, MIN_SPARE_HEADROOM))
            if worst > 1.0:
                break
        return worst

    @property
    def is_exceeded(self) -> bool:
        """Whether the tasks there need more than the worker's capacity."""
        free = (self.processors, self.memory_mb, self.accelerators)
        return min(free) < -ROUNDING_TOLERANCE

    def has_room(self, step: Step, *, free_share: float = 0.0) -> bool:
        """Returns whether the resources for one more task of a step are free.

        Args:
            step: the step.
            free_share: share of the worker's processors that must stay free beside it.
        """
        if self.is_closed or self.processors < -ROUNDING_TOLERANCE:
            return False
        if step.size.memory_mb > self.memory_mb or step.size.accelerators > self.accelerators:
            return False
        if not step.best_effort:
            free = free_share * self.record.info.capacity.processors
            return step.size.processors + free <= self.processors + ROUNDING_TOLERANCE
        return (
            self.unused_processors >= self.knowledge.estimates.expected_processors(step)
            or not self.best_effort_tasks
        )


def _missed_s(measured: Measurement | None, now_s: float) -> float:
    if measured is None or measured.missed_since_s is None:
        return 0.0
    return now_s - measured.missed_since_s
