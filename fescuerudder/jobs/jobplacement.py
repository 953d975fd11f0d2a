"""Chooses the worker for each task of a step."""

import heapq
import json
from collections import Counter
from collections.abc import Iterable

import attrs

from fescuerudder.document import Size
from fescuerudder.jobs.estimates import Estimates
from fescuerudder.jobs.headroom import Headrooms, Measurement
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.progress import StoredFormError
from fescuerudder.jobs.workerbook import WorkerBook

ROUNDING = 1e-9
"""Sums of fractional cores drift by rounding."""

AHEAD_S = 0.4
"""Time for which a plan must hold: until the next report of the worker."""

PATIENT_HEADROOM = 1.9
URGENT_HEADROOM = 1.4
"""Expected headroom that a new best-effort task must leave the tasks beside it, when its job has
just come and when its time is up."""

SPARE_SHARE = 0.06
"""Share of a worker's processors left unused: all tails grow when there are none."""

LEAST_SPARE = 0.05
"""Spare headroom assumed where there is none, so that harmless tasks may still go there."""


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
        unused: processors that nothing there is expected to use, less a spare share; negative
            if more is wanted than there is.
        guards: tasks with a latency target there.
        best_effort: best-effort tasks there.
        wanted: processors that the best-effort tasks are expected to use at full speed.
    """

    book: WorkerBook
    known: Knowledge
    free: Size
    unused: float
    guards: list[Guard] = attrs.Factory(list)
    best_effort: int = 0
    wanted: float = 0.0

    @classmethod
    def of(cls, book: WorkerBook, known: Knowledge, *, now_s: float) -> "Load":
        """Returns the load of a worker by its live attempts."""
        capacity = book.info.capacity
        load = cls(
            book=book,
            known=known,
            free=capacity,
            unused=capacity.processors * (1 - SPARE_SHARE),
        )
        attempts = list(book.attempts.values())
        for attempt in attempts:
            if attempt.task.step.spec.latency_target_ms:
                expected = known.headrooms.expected(attempt, at_s=now_s + AHEAD_S)
                missed_s = _missed_s(known.headrooms.measured(attempt), now_s)
                load._add_guarded(attempt.task.step.spec, expected, missed_s)
        for attempt in attempts:
            if not attempt.task.step.spec.latency_target_ms:
                load._add_other(attempt.task.step.spec)
        return load

    def copy(self) -> "Load":
        """Returns a load to try a plan on."""
        guards = [attrs.evolve(guard) for guard in self.guards]
        return attrs.evolve(self, guards=guards)

    def add(self, step: Step) -> None:
        """Counts one more task of a step."""
        if step.latency_target_ms:
            self._add_guarded(step, self.known.headrooms.unknown, 0.0)
        else:
            self._add_other(step)

    def _add_guarded(self, step: Step, undisturbed: float, missed_s: float) -> None:
        self.guards.append(Guard(spec=step, undisturbed=undisturbed, missed_s=missed_s))
        self.unused -= self.known.estimates.guarded_processors(step, undisturbed=undisturbed)
        self.free = self.free.minus(step.size)

    def _add_other(self, step: Step) -> None:
        size, processors = step.size, self.known.estimates.processors(step)
        self.unused -= processors
        if step.best_effort:
            self.best_effort += 1
            self.wanted += processors
            size = attrs.evolve(size, processors=0.0)
            for guard in self.guards:
                guard.loss += self.loss(step, guard)
        self.free = self.free.minus(size)

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
        share = self.known.estimates.processors(step) / (self.book.info.capacity.processors or 1.0)
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

    def fits(self, demand: "Demand") -> bool:
        """Returns whether one more task has room and disturbs nobody too much."""
        step, free = demand.step, self.free
        if step.size.memory_mb > free.memory_mb or step.size.accelerators > free.accelerators:
            return False
        if not step.best_effort:
            return step.size.processors <= free.processors + ROUNDING
        has_room = self.unused >= self.known.estimates.processors(step) or not self.best_effort
        return has_room and self.disturbance(step, headroom=demand.headroom) <= 1.0


def _missed_s(measured: Measurement | None, now_s: float) -> float:
    if measured is None or measured.missed_since_s is None:
        return 0.0
    return now_s - measured.missed_since_s


@attrs.frozen(kw_only=True)
class Demand:
    """Tasks of a step to be placed.

    Args:
        step: the step.
        count: number of tasks.
        taken: tasks of the step on each worker, by its id; those placed are added.
        headroom: what best-effort tasks must leave to tasks with a latency target.
    """

    step: Step
    count: int
    taken: Counter[str] = attrs.Factory(Counter)
    headroom: float = PATIENT_HEADROOM


def placed_headroom(*, waited_share: float) -> float:
    """Returns the headroom that a best-effort task must leave where it is placed.

    Args:
        waited_share: time since the job came, as a share of the time in which it should be
            complete; the later it is, the less headroom must remain.
    """
    patience = max(0.0, 1.0 - waited_share)
    return URGENT_HEADROOM + (PATIENT_HEADROOM - URGENT_HEADROOM) * patience


def choose(demand: Demand, loads: Iterable[Load]) -> list[Load]:
    """Returns workers for as many of the tasks as have room, and counts the tasks there."""
    step, taken = demand.step, demand.taken
    most = step.max_per_worker or step.count
    heap = [(_cost(demand, load), load.book.id, load) for load in loads if load.fits(demand)]
    heapq.heapify(heap)
    chosen: list[Load] = []
    while heap and len(chosen) < demand.count:
        _, name, load = heapq.heappop(heap)
        if taken[name] >= most:
            continue
        load.add(step)
        taken[name] += 1
        chosen.append(load)
        if load.fits(demand):
            heapq.heappush(heap, (_cost(demand, load), name, load))
    return chosen


def _cost(demand: Demand, load: Load) -> tuple[float, ...]:
    """Returns the order of preference of a worker for a task; the lowest is taken first.

    Best-effort tasks go where they disturb least. Tasks with a latency target are kept
    beside others of their job, whose load changes alike, or of their image, which neighbours
    disturb alike. All other tasks take
    what is left beside those.
    """
    step = demand.step
    away = 0.0 if step.data_rack in ("", load.book.info.rack) else 1.0
    if step.latency_target_ms:
        strangers = sum(1 for guard in load.guards if guard.spec is not step)
        others = sum(1 for guard in load.guards if guard.spec.image != step.image)
        return (away, others, strangers, -len(load.guards), load.best_effort)
    if step.best_effort:
        return (away, load.disturbance(step, headroom=demand.headroom), -load.unused)
    return (away, -float(bool(load.guards)), -load.unused)
