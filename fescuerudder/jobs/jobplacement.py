"""Chooses the worker for each task of a step."""

import heapq
import json
from collections import Counter
from collections.abc import Iterable

import attrs

from fescuerudder.document import Size
from fescuerudder.jobs.estimates import Estimates
from fescuerudder.jobs.headroom import Headrooms
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.progress import StoredFormError
from fescuerudder.jobs.workerbook import WorkerBook

ROUNDING = 1e-9
"""Sums of fractional cores drift by rounding."""

AHEAD_S = 1.0
"""Time for which a plan must hold: until the next report of the worker."""

PLACED_HEADROOM = 1.6
"""Expected headroom that a new best-effort task must leave the tasks beside it."""

LEAST_SPARE = 0.05
"""Spare headroom assumed where there is none, so that harmless tasks may still go there."""


@attrs.define(kw_only=True)
class Guard:
    """A task with a latency target, as expected until the next report.

    Args:
        spec: its step.
        undisturbed: its headroom without best-effort neighbours.
        loss: what the neighbours take of it at full speed.
        measured: headroom in the last report, None without one.
    """

    spec: Step
    undisturbed: float
    loss: float = 0.0
    measured: float | None = None


@attrs.frozen(kw_only=True)
class Knowledge:
    """What was learned about tasks.

    Args:
        estimates: what tasks really use.
        headrooms: how they disturb each other.
    """

    estimates: Estimates = attrs.Factory(Estimates)
    headrooms: Headrooms = attrs.Factory(Headrooms)

    def dump(self) -> bytes:
        """Returns the stored form."""
        raw = {"estimates": self.estimates.dump(), "effects": self.headrooms.dump()}
        return json.dumps(raw, separators=(",", ":")).encode()

    def restore(self, data: bytes) -> None:
        """Takes what an earlier leader stored.

        Raises:
            StoredFormError: the data is malformed.
        """
        try:
            raw = json.loads(data)
            self.estimates.restore(raw["estimates"])
            self.headrooms.restore(raw["effects"])
        except (ValueError, KeyError, TypeError) as exc:
            raise StoredFormError(f"malformed knowledge: {type(exc).__name__}") from exc


@attrs.define(eq=False, kw_only=True)
class Load:
    """What one worker has left while a plan is made.

    Args:
        book: the worker.
        known: what was learned about tasks.
        free: what is not reserved.
        unused: processors that nothing there is expected to use.
        guards: tasks with a latency target there.
        best_effort: best-effort tasks there.
    """

    book: WorkerBook
    known: Knowledge
    free: Size
    unused: float
    guards: list[Guard] = attrs.Factory(list)
    best_effort: int = 0

    @classmethod
    def of(cls, book: WorkerBook, known: Knowledge, *, now_s: float) -> "Load":
        """Returns the load of a worker by its live attempts."""
        capacity = book.info.capacity
        load = cls(book=book, known=known, free=capacity, unused=capacity.processors)
        for attempt in book.attempts.values():
            spec = attempt.task.step.spec
            if spec.latency_target_ms:
                load.guards.append(
                    Guard(
                        spec=spec,
                        undisturbed=known.headrooms.expected(attempt, at_s=now_s + AHEAD_S),
                        measured=known.headrooms.measured(attempt),
                    )
                )
        for attempt in book.attempts.values():
            load._reserve(attempt.task.step.spec)
        return load

    def copy(self) -> "Load":
        """Returns a load to try a plan on."""
        guards = [attrs.evolve(guard) for guard in self.guards]
        return attrs.evolve(self, guards=guards)

    def add(self, step: Step) -> None:
        """Counts one more task of a step."""
        if step.latency_target_ms:
            self.guards.append(Guard(spec=step, undisturbed=self.known.headrooms.unknown))
        self._reserve(step)

    def _reserve(self, step: Step) -> None:
        size = step.size
        self.unused -= self.known.estimates.processors(step)
        if step.best_effort:
            self.best_effort += 1
            size = attrs.evolve(size, processors=0.0)
            for guard in self.guards:
                guard.loss += self.loss(step, guard)
        self.free = self.free.minus(size)

    def loss(self, step: Step, guard: Guard) -> float:
        """Returns the headroom that a best-effort task at full speed takes of a guarded one."""
        share = self.known.estimates.processors(step) / (self.book.info.capacity.processors or 1.0)
        return self.known.headrooms.loss(filler=step, guarded=guard.spec, share=share)

    def disturbance(self, step: Step) -> float:
        """Returns the largest share of a task's spare headroom that a best-effort task takes.

        A share over 1 would leave a task less than `PLACED_HEADROOM`.
        """
        worst = 0.0
        for guard in self.guards:
            spare = guard.undisturbed - guard.loss - PLACED_HEADROOM
            worst = max(worst, self.loss(step, guard) / max(spare, LEAST_SPARE))
        return worst

    def fits(self, step: Step) -> bool:
        """Returns whether one more task of a step has room and disturbs nobody too much."""
        free, size = self.free, step.size
        if size.memory_mb > free.memory_mb or size.accelerators > free.accelerators:
            return False
        if not step.best_effort:
            return size.processors <= free.processors + ROUNDING
        needed = self.known.estimates.processors(step)
        has_room = self.unused >= needed or not self.best_effort
        return has_room and self.disturbance(step) <= 1.0


def choose(step: Step, loads: Iterable[Load], *, count: int, taken: Counter[str]) -> list[Load]:
    """Returns workers for up to `count` tasks of a step, and counts the tasks there.

    Args:
        step: the step.
        loads: eligible workers.
        count: tasks to place.
        taken: tasks of the step on each worker, by its id.
    """
    heap = [(_cost(step, load), load.book.id, load) for load in loads if load.fits(step)]
    heapq.heapify(heap)
    chosen: list[Load] = []
    while heap and len(chosen) < count:
        _, name, load = heapq.heappop(heap)
        if step.max_per_worker and taken[name] >= step.max_per_worker:
            continue
        load.add(step)
        taken[name] += 1
        chosen.append(load)
        if load.fits(step):
            heapq.heappush(heap, (_cost(step, load), name, load))
    return chosen


def _cost(step: Step, load: Load) -> tuple[float, ...]:
    """Returns the order of preference of a worker for a task; the lowest is taken first.

    Best-effort tasks go where they disturb least. Tasks with a latency target are kept
    beside others of their job, whose load changes alike, or of their image, which neighbours
    disturb alike. All other tasks take
    what is left beside those.
    """
    away = 0.0 if step.data_rack in ("", load.book.info.rack) else 1.0
    if step.latency_target_ms:
        strangers = sum(1 for guard in load.guards if guard.spec is not step)
        others = sum(1 for guard in load.guards if guard.spec.image != step.image)
        return (away, others, strangers, -len(load.guards), load.best_effort)
    if step.best_effort:
        return (away, load.disturbance(step), -load.unused)
    return (away, -float(bool(load.guards)), -load.unused)
