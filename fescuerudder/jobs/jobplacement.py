"""Chooses the worker for each task of a step."""

import heapq
from collections import Counter
from collections.abc import Iterable

import attrs

from fescuerudder.document import Size
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.workerbook import WorkerBook


@attrs.define(eq=False, kw_only=True)
class Load:
    """What one worker has left while a plan is made.

    Args:
        book: the worker.
        free: what is not reserved.
        best_effort: processors that best-effort tasks there would use if they could.
        guarded: tasks with a latency target there.
    """

    book: WorkerBook
    free: Size
    best_effort: float
    guarded: int

    @classmethod
    def of(cls, book: WorkerBook) -> "Load":
        """Returns the load of a worker by its live attempts."""
        steps = [attempt.task.step.spec for attempt in book.attempts.values()]
        return cls(
            book=book,
            free=book.info.capacity.minus(book.reserved()),
            best_effort=sum(spec.size.processors for spec in steps if spec.best_effort),
            guarded=sum(1 for spec in steps if spec.latency_target_ms),
        )

    @property
    def unused(self) -> float:
        """Processors that neither reservations nor best-effort tasks take."""
        return self.free.processors - self.best_effort

    def add(self, step: Step) -> None:
        """Counts one more task of a step."""
        size = step.size
        if step.best_effort:
            self.best_effort += size.processors
            size = attrs.evolve(size, processors=0.0)
        self.free = self.free.minus(size)
        self.guarded += 1 if step.latency_target_ms else 0

    def fits(self, step: Step) -> bool:
        """Returns whether one more task of a step has room."""
        free, size = self.free, step.size
        if size.memory_mb > free.memory_mb or size.accelerators > free.accelerators:
            return False
        if step.best_effort:
            return self.unused >= size.processors or self.best_effort == 0.0
        return size.processors <= free.processors + 1e-9


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

    Tasks with a latency target are kept together, away from best-effort ones, which disturb
    them. All other tasks go where the most processors are unused.
    """
    away = 0.0 if step.data_rack in ("", load.book.info.rack) else 1.0
    if step.latency_target_ms:
        return (away, load.best_effort, load.free.processors)
    if step.best_effort:
        return (away, float(load.guarded > 0), -load.unused)
    return (away, -load.unused)
