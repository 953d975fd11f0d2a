"""Choice of a worker for each task of a step."""

import heapq
from collections import Counter
from collections.abc import Iterable

import attrs

from fescuerudder.jobs.job import Step
from fescuerudder.jobs.load import Load
from fescuerudder.jobs.margins import WIDE

SHORT_TASK_SHARE = 0.08
"""Share of each worker's processors that long-running tasks leave free for short ones."""

MIN_ROOM_TASKS = 2
"""Number of tasks that must fit before a long-running one may use that share."""


@attrs.frozen(kw_only=True)
class Demand:
    """Tasks of a step to be placed.

    Args:
        step: the step.
        count: number of tasks.
        per_worker: number of tasks of the step on each worker, by its id; placed ones are added.
        min_headroom: headroom that best-effort tasks must leave each latency-critical task.
        free_share: share of a worker's processors that must stay free beside a task.
        room_is_scarce: little room is left in the pool; see `saturation.Saturation`.
    """

    step: Step
    count: int
    per_worker: Counter[str] = attrs.Factory(Counter)
    min_headroom: float = WIDE.early
    free_share: float = 0.0
    room_is_scarce: bool = False


def fits(demand: Demand, load: Load) -> bool:
    """Returns whether one more task has room on a worker and leaves its tasks enough headroom."""
    return placement_cost(demand, load) is not None


def choose_for_long_running(demand: Demand, loads: list[Load]) -> list[Load]:
    """Returns workers for long-running tasks, which leave SHORT_TASK_SHARE free for short ones.

    A long-running task holds its processors indefinitely, so without this limit short jobs that
    come later might find none. It may use that share only if two such tasks fit, on one worker or
    on several, so that it doesn't wait where there is plenty of room.
    """
    chosen = choose_workers(attrs.evolve(demand, free_share=SHORT_TASK_SHARE), loads)
    while len(chosen) < demand.count:
        usable = [load for load in loads if _can_place(demand, load)]
        if sum(_task_capacity(demand, load) for load in usable) < MIN_ROOM_TASKS:
            break
        chosen += choose_workers(attrs.evolve(demand, count=1), usable)
    return chosen


def _task_capacity(demand: Demand, load: Load) -> int:
    """Returns how many tasks fit on a worker, up to MIN_ROOM_TASKS."""
    trial, count = load.copy(), 0
    while count < MIN_ROOM_TASKS and fits(demand, trial):
        trial.add(demand.step)
        count += 1
    return count


def _can_place(demand: Demand, load: Load) -> bool:
    limit = demand.step.max_per_worker or demand.step.count
    has_starts = load.starts_left is None or load.starts_left > 0
    return has_starts and demand.per_worker[load.record.id] < limit and fits(demand, load)


def rank_workers(demand: Demand, loads: Iterable[Load]) -> list[Load]:
    """Returns the workers with room for one of the tasks, the preferred ones first."""
    usable = [load for load in loads if _can_place(demand, load)]
    return sorted(usable, key=lambda load: (placement_cost(demand, load), load.record.id))


def choose_workers(demand: Demand, loads: Iterable[Load]) -> list[Load]:
    """Returns workers for as many of the tasks as fit, and adds the tasks to their loads."""
    step, per_worker = demand.step, demand.per_worker
    limit = step.max_per_worker or step.count
    heap = [
        (cost, load.record.id, load)
        for load in loads
        if (cost := placement_cost(demand, load)) is not None
    ]
    heapq.heapify(heap)
    chosen: list[Load] = []
    while heap and len(chosen) < demand.count:
        _, name, load = heapq.heappop(heap)
        if per_worker[name] >= limit or load.starts_left == 0:
            continue
        load.add(step)
        per_worker[name] += 1
        chosen.append(load)
        cost = placement_cost(demand, load)
        if cost is not None:
            heapq.heappush(heap, (cost, name, load))
    return chosen


def cost_criteria(demand: Demand) -> tuple[str, ...]:
    """Returns the names of the parts of `placement_cost`, the one that is weighed first first."""
    if demand.step.best_effort:
        return ("off the data's rack", "interference", "- unused processors")
    if demand.step.latency_target_ms:
        own = ("other latency-critical tasks", "- tasks of the step", "- tasks of the image")
        return ("off the data's rack", *own, "best-effort tasks")
    if demand.room_is_scarce:
        return ("off the data's rack", "processors left", "- unused processors")
    return ("off the data's rack", "- beside latency-critical tasks", "- unused processors")


def placement_cost(demand: Demand, load: Load) -> tuple[float, ...] | None:
    """Returns the sort key of a worker for one more task, None if the task does not fit there.

    The worker with the lowest key is preferred. Best-effort tasks go where they interfere least.
    Latency-critical tasks go beside others of their job, whose load changes together with theirs,
    or of their image, which is equally sensitive to neighbours. All other tasks take what is left
    on workers with latency-critical tasks; where little room is left, they go where they fit best,
    so that larger ones find room elsewhere.
    """
    step = demand.step
    if not load.has_room(step, free_share=demand.free_share):
        return None
    off_rack = 0.0 if step.data_rack in ("", load.record.info.rack) else 1.0
    if step.best_effort:
        interference = load.interference(step, min_headroom=demand.min_headroom)
        return None if interference > 1.0 else (off_rack, interference, -load.unused_processors)
    if step.latency_target_ms:
        siblings = sum(1 for task in load.latency_critical if task.spec is step)
        alike = sum(1 for task in load.latency_critical if task.spec.image == step.image)
        others = len(load.latency_critical) - alike
        return (off_rack, others, -siblings, -alike, load.best_effort_tasks)
    if demand.room_is_scarce:
        return (off_rack, load.processors - step.size.processors, -load.unused_processors)
    return (off_rack, -float(bool(load.latency_critical)), -load.unused_processors)
