"""Room that is left in a pool where not everything that waits fits."""

from collections import defaultdict
from collections.abc import Container, Iterable

import attrs

from fescuerudder.jobs.accountusage import PARTS, Amounts, amounts_of
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.load import ROUNDING_TOLERANCE, Load

MAX_HELD_SHARE = 0.05
"""Share of a pool's workers, at least one, on which room is kept for tasks that are due by the
shares and too large for what is free; smaller tasks of others would take it bit by bit for good."""


PORTIONS = 2
"""Number of portions of each account that the free room is enough for; a portion is allotted at a
time, in the end a single task."""


@attrs.define(eq=False, kw_only=True)
class PoolRoom:
    """A pool in the current plan.

    Args:
        name: its name.
        loads: loads of the workers that take tasks.
        allotted: share of the room that is allotted to tasks.
        held: ids of the workers on which room is kept.
        held_before: those of the last plan.
        is_scarce: not everything that waits fits.
        lowest_priority: number of the lowest priority that waits.
    """

    name: str
    loads: list[Load] = attrs.Factory(list)
    allotted: float = 0.0
    held: set[str] = attrs.Factory(set)
    held_before: Container[str] = ()
    is_scarce: bool = False
    lowest_priority: int = 0
    _total: Amounts | None = None
    _open: list[Load] | None = None
    _slots: dict[tuple[object, ...], int] = attrs.Factory(dict)
    _slots_by_id: dict[int, int] = attrs.Factory(dict)

    @property
    def free(self) -> Amounts:
        """What is not reserved on the workers, as long as nothing has started in this plan."""
        processors = sum([load.processors for load in self.loads if load.processors > 0.0])
        memory_mb = sum([load.memory_mb for load in self.loads if load.memory_mb > 0])
        accelerators = sum([load.accelerators for load in self.loads if load.accelerators > 0])
        return (round(processors * PARTS), memory_mb, accelerators)

    @property
    def total(self) -> Amounts:
        """Capacity of the workers that take tasks."""
        if self._total is None:
            capacities = [load.record.info.capacity for load in self.loads]
            self._total = (
                round(sum([c.processors for c in capacities]) * PARTS),
                sum([c.memory_mb for c in capacities]),
                sum([c.accelerators for c in capacities]),
            )
        return self._total

    def slots(self, step: Step) -> int:
        """Returns for how many tasks of a step there was room when this was last measured."""
        found = self._slots_by_id.get(id(step))
        if found is None:
            found = self._slots_by_id[id(step)] = self._count_slots(step)
        return found

    def _count_slots(self, step: Step) -> int:
        size = step.size
        key = (
            size.processors,
            size.memory_mb,
            size.accelerators,
            step.required_label,
            step.best_effort,
        )
        found = self._slots.get(key)
        if found is None:
            label = step.required_label
            found = self._slots[key] = sum(
                _slots_on(load, step)
                for load in (self.loads if step.best_effort else self._with_room())
                if not label or label in load.record.info.labels
            )
        return found

    def portion(self, step: Step, count: int, accounts: int) -> int:
        """Returns how many of some tasks are given room at a time."""
        left = (1.0 - self.allotted) * self.slots(step)
        return min(count, max(1, int(left / (PORTIONS * accounts))))

    def allot(self, step: Step, count: int) -> bool:
        """Allots room to tasks of a step; returns whether it was left.

        The first ones get it in any case, so that a large task isn't passed over.
        """
        share = count / self.slots(step)
        if self.allotted and self.allotted + share > 1.0 + ROUNDING_TOLERANCE:
            return False
        self.allotted += share
        return True

    def measure_again(self) -> None:
        """Forgets what was allotted, as it has been used."""
        self.allotted = 0.0
        if self._open is not None:
            # Loads only grow while a plan is made, so a full worker stays full.
            self._open = _with_processors(self._open)
        self._forget_slots()

    def _forget_slots(self) -> None:
        """Forgets for how many tasks there was room, unless there was none: then none comes."""
        self._slots = {key: 0 for key, count in self._slots.items() if not count}
        self._slots_by_id = {key: 0 for key, count in self._slots_by_id.items() if not count}

    def _with_room(self) -> list[Load]:
        """Returns the workers with any processor that is not reserved."""
        if self._open is None:
            self._open = _with_processors(self.loads)
        return self._open

    @property
    def may_keep_room(self) -> bool:
        """Whether room is kept on fewer workers than it may be."""
        return len(self.held) < max(1, int(MAX_HELD_SHARE * len(self.loads)))

    def keep_room(self, step: Step) -> None:
        """Keeps the largest room for a task of a step that found none.

        Nothing else starts on that worker in this plan. A worker that was chosen in the last plan
        is preferred, so that its room grows.
        """
        if not self.may_keep_room:
            return
        open_loads = [load for load in self._with_room() if load.starts_left != 0]
        rooms = [(_room_share(load, step), load) for load in open_loads]
        rooms = [(room, load) for room, load in rooms if 0.0 < room < 1.0]
        for _, load in sorted(rooms, key=self._preference):
            if _may_hold(load, step):
                load.starts_left = 0
                self.held.add(load.record.id)
                self._forget_slots()
                return

    def _preference(self, item: tuple[float, Load]) -> tuple[bool, float, str]:
        room, load = item
        return (load.record.id not in self.held_before, -room, load.record.id)


def measure(loads: Iterable[Load], *, held_before: Container[str] = ()) -> dict[str, PoolRoom]:
    """Returns the pools of workers."""
    by_pool: defaultdict[str, list[Load]] = defaultdict(list)
    for load in loads:
        by_pool[load.record.info.pool].append(load)
    return {
        name: PoolRoom(name=name, loads=found, held_before=held_before)
        for name, found in by_pool.items()
    }


def _with_processors(loads: list[Load]) -> list[Load]:
    """Returns the workers with any processor that is not reserved."""
    return [load for load in loads if load.processors > ROUNDING_TOLERANCE]


def _slots_on(load: Load, step: Step) -> int:
    """Returns for how many tasks of a step a worker has room."""
    size = step.size
    processors = load.unused_processors if step.best_effort else load.processors
    if load.is_closed or load.starts_left == 0 or processors <= 0.0:
        return 0
    count = 1_000_000.0
    if size.processors > 0.0:
        count = (processors + ROUNDING_TOLERANCE) // size.processors
    if size.memory_mb > 0:
        count = min(count, load.memory_mb // size.memory_mb)
    if size.accelerators > 0:
        count = min(count, load.accelerators // size.accelerators)
    return max(0, int(count))


def _room_share(load: Load, step: Step) -> float:
    """Returns how much of what a task needs is free on a worker, over 1 if more is."""
    size = step.size
    free = (load.processors, load.memory_mb, load.accelerators)
    needs = (size.processors, size.memory_mb, size.accelerators)
    return min((f / n for f, n in zip(free, needs, strict=True) if n > 0), default=0.0)


def _may_hold(load: Load, step: Step) -> bool:
    """Returns whether a worker has room for a task once the tasks that end there have ended."""
    record = load.record
    if load.is_closed or (step.required_label and step.required_label not in record.info.labels):
        return False
    room = record.info.capacity
    for attempt in record.attempts.values():
        if attempt.task.step.spec.long_running:
            room = room.minus(attempt.task.step.spec.size)
    parts = zip(amounts_of(room), amounts_of(step.size), strict=True)
    return all(have >= need for have, need in parts)
