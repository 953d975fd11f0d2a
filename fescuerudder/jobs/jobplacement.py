"""Choice of a worker for each task of a step."""

import heapq
from collections import Counter
from collections.abc import Iterable

import attrs

from fescuerudder.jobs.job import Step
from fescuerudder.jobs.load import Load

PATIENT_HEADROOM = 1.9
URGENT_HEADROOM = 1.4
"""Expected headroom that a new best-effort task must leave the tasks beside it: when its job has
just arrived, and when its job is due."""


KEPT_SHARE = 0.08
"""Share of each worker's processors that long-running tasks leave free for short ones."""

ROOM_FOR = 2
"""Number of tasks that must fit before a long-running one may use that share."""


@attrs.frozen(kw_only=True)
class Demand:
    """Tasks of a step to be placed.

    Args:
        step: the step.
        count: number of tasks.
        taken: number of tasks of the step on each worker, by its id; includes those just placed.
        headroom: headroom that best-effort tasks must leave each latency-critical task.
        kept_share: share of a worker's processors that must stay free beside a task.
    """

    step: Step
    count: int
    taken: Counter[str] = attrs.Factory(Counter)
    headroom: float = PATIENT_HEADROOM
    kept_share: float = 0.0


def placed_headroom(*, waited_share: float) -> float:
    """Returns the headroom that a best-effort task must leave on the worker where it is placed.

    Args:
        waited_share: time since the job arrived, as a share of the time within which it should
            be complete; the longer it has waited, the less headroom it must leave.
    """
    patience = max(0.0, 1.0 - waited_share)
    return URGENT_HEADROOM + (PATIENT_HEADROOM - URGENT_HEADROOM) * patience


def fits(demand: Demand, load: Load) -> bool:
    """Returns whether one more task has room on a worker and leaves its tasks enough headroom."""
    step = demand.step
    if not load.has_room(step, kept_share=demand.kept_share):
        return False
    return not step.best_effort or load.disturbance(step, headroom=demand.headroom) <= 1.0


def choose_lasting(demand: Demand, loads: list[Load]) -> list[Load]:
    """Returns workers for long-running tasks, which leave KEPT_SHARE free for short ones.

    A long-running task holds its processors indefinitely, so without this limit short jobs that
    come later might find none. It may use that share only if two such tasks fit, on one worker or
    on several, so that it doesn't wait where there is plenty of room.
    """
    chosen = choose(attrs.evolve(demand, kept_share=KEPT_SHARE), loads)
    while len(chosen) < demand.count:
        usable = [load for load in loads if _may_take(demand, load)]
        if sum(_room_for(demand, load) for load in usable) < ROOM_FOR:
            break
        chosen += choose(attrs.evolve(demand, count=1), usable)
    return chosen


def _room_for(demand: Demand, load: Load) -> int:
    """Returns how many tasks fit on a worker, up to ROOM_FOR."""
    trial, count = load.copy(), 0
    while count < ROOM_FOR and fits(demand, trial):
        trial.add(demand.step)
        count += 1
    return count


def _may_take(demand: Demand, load: Load) -> bool:
    most = demand.step.max_per_worker or demand.step.count
    has_starts = load.starts_left is None or load.starts_left > 0
    return has_starts and demand.taken[load.book.id] < most and fits(demand, load)


def rank(demand: Demand, loads: Iterable[Load]) -> list[Load]:
    """Returns the workers with room for one of the tasks, the preferred ones first."""
    usable = [load for load in loads if _may_take(demand, load)]
    return sorted(usable, key=lambda load: (_cost(demand, load), load.book.id))


def choose(demand: Demand, loads: Iterable[Load]) -> list[Load]:
    """Returns workers for as many of the tasks as fit, and adds the tasks to their loads."""
    step, taken = demand.step, demand.taken
    most = step.max_per_worker or step.count
    heap = [(_cost(demand, load), load.book.id, load) for load in loads if fits(demand, load)]
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
    """Returns the sort key of a worker for a task; the worker with the lowest key is preferred.

    Best-effort tasks go where they interfere least. Latency-critical tasks go beside others of
    their job, whose load changes together with theirs, or of their image, which is equally
    sensitive to neighbours. All other tasks prefer workers with latency-critical tasks.
    """
    step = demand.step
    away = 0.0 if step.data_rack in ("", load.book.info.rack) else 1.0
    if step.latency_target_ms:
        siblings = sum(1 for guard in load.guards if guard.spec is step)
        alike = sum(1 for guard in load.guards if guard.spec.image == step.image)
        others = len(load.guards) - alike
        return (away, others, -siblings, -alike, load.best_effort)
    if step.best_effort:
        return (away, load.disturbance(step, headroom=demand.headroom), -load.unused)
    return (away, -float(bool(load.guards)), -load.unused)
