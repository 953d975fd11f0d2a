"""Chooses the worker for each task of a step."""

import heapq
from collections import Counter
from collections.abc import Iterable

import attrs

from fescuerudder.jobs.job import Step
from fescuerudder.jobs.load import Load

PATIENT_HEADROOM = 1.9
URGENT_HEADROOM = 1.4
"""Expected headroom that a new best-effort task must leave the tasks beside it, when its job has
just come and when its time is up."""


KEPT_SHARE = 0.08
"""Share of each worker's processors that long-running tasks leave to short ones."""

ROOM_FOR = 2
"""Tasks for which there must be room from which on a long-running one may take a kept share."""


@attrs.frozen(kw_only=True)
class Demand:
    """Tasks of a step to be placed.

    Args:
        step: the step.
        count: number of tasks.
        taken: tasks of the step on each worker, by its id; those placed are added.
        headroom: what best-effort tasks must leave to tasks with a latency target.
        kept_share: share of a worker's processors that must stay free beside a task.
    """

    step: Step
    count: int
    taken: Counter[str] = attrs.Factory(Counter)
    headroom: float = PATIENT_HEADROOM
    kept_share: float = 0.0


def placed_headroom(*, waited_share: float) -> float:
    """Returns the headroom that a best-effort task must leave where it is placed.

    Args:
        waited_share: time since the job came, as a share of the time in which it should be
            complete; the later it is, the less headroom must remain.
    """
    patience = max(0.0, 1.0 - waited_share)
    return URGENT_HEADROOM + (PATIENT_HEADROOM - URGENT_HEADROOM) * patience


def fits(demand: Demand, load: Load) -> bool:
    """Returns whether one more task has room on a worker and disturbs nobody there too much."""
    step = demand.step
    if not load.has_room(step, kept_share=demand.kept_share):
        return False
    return not step.best_effort or load.disturbance(step, headroom=demand.headroom) <= 1.0


def choose_lasting(demand: Demand, loads: list[Load]) -> list[Load]:
    """Returns workers for long-running tasks, which keep KEPT_SHARE free for short ones.

    A long-running task holds its processors for good, so without this short jobs that come later
    would find none. It takes a kept share only where there is room for two of its kind, on one
    worker or on several: it must not wait beside plain room.
    """
    chosen = choose(attrs.evolve(demand, kept_share=KEPT_SHARE), loads)
    while len(chosen) < demand.count:
        usable = [load for load in loads if _may_take(demand, load)]
        if sum(_room_for(demand, load) for load in usable) < ROOM_FOR:
            break
        chosen += choose(attrs.evolve(demand, count=1), usable)
    return chosen


def _room_for(demand: Demand, load: Load) -> int:
    """Returns for how many tasks a worker that has room for one has room, at most ROOM_FOR."""
    trial, count = load.copy(), 0
    while count < ROOM_FOR and fits(demand, trial):
        trial.add(demand.step)
        count += 1
    return count


def _may_take(demand: Demand, load: Load) -> bool:
    most = demand.step.max_per_worker or demand.step.count
    has_starts = load.starts_left is None or load.starts_left > 0
    return has_starts and demand.taken[load.record.id] < most and fits(demand, load)


def rank(demand: Demand, loads: Iterable[Load]) -> list[Load]:
    """Returns the workers with room for one of the tasks, in the order of preference."""
    usable = [load for load in loads if _may_take(demand, load)]
    return sorted(usable, key=lambda load: (_cost(demand, load), load.record.id))


def choose(demand: Demand, loads: Iterable[Load]) -> list[Load]:
    """Returns workers for as many of the tasks as have room, and counts the tasks there."""
    step, taken = demand.step, demand.taken
    most = step.max_per_worker or step.count
    heap = [(_cost(demand, load), load.record.id, load) for load in loads if fits(demand, load)]
    heapq.heapify(heap)
    chosen: list[Load] = []
    while heap and len(chosen) < demand.count:
        _, name, load = heapq.heappop(heap)
        if taken[name] >= most or load.starts_left == 0:
            continue
        load.add(step)
        taken[name] += 1
        chosen.append(load)
        if fits(demand, load):
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
    away = 0.0 if step.data_rack in ("", load.record.info.rack) else 1.0
    if step.latency_target_ms:
        siblings = sum(1 for guard in load.guards if guard.spec is step)
        alike = sum(1 for guard in load.guards if guard.spec.image == step.image)
        others = len(load.guards) - alike
        return (away, others, -siblings, -alike, load.best_effort)
    if step.best_effort:
        return (away, load.disturbance(step, headroom=demand.headroom), -load.unused)
    return (away, -float(bool(load.guards)), -load.unused)
