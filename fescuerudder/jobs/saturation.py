"""Scarce room in the current plan, and demands that found none.

A long queue of waiting steps costs little to plan if those without room are not tried again.
"""

from collections import Counter
from collections.abc import Iterable, Iterator

import attrs

from fescuerudder.jobs.job import Step
from fescuerudder.jobs.jobplacement import Demand
from fescuerudder.jobs.load import Load

SCARCE_ROOM_SHARE = 0.3
"""Share of a pool's processors below which room is scarce. Above it, tasks are spread so that a
faulty worker holds few tasks of a job."""

_Group = tuple[str, str, str | None]


@attrs.frozen(kw_only=True)
class _Bound:
    """A demand for which no worker had room.

    Args:
        processors: processors of a task.
        memory_mb: memory of a task.
        accelerators: accelerators of a task.
        min_headroom: headroom that a best-effort task must leave.
    """

    processors: float
    memory_mb: int
    accelerators: int
    min_headroom: float

    def is_exceeded_by(self, demand: Demand) -> bool:
        """Returns whether a demand needs at least as much in every respect."""
        size = demand.step.size
        return (
            size.processors >= self.processors
            and size.memory_mb >= self.memory_mb
            and size.accelerators >= self.accelerators
            and (not demand.step.best_effort or demand.min_headroom >= self.min_headroom)
        )


class Saturation:
    """Demands for which no worker has room in the current plan.

    Loads only grow while a plan is made, so a demand that needs at least as much as one that found
    no room finds none either.

    Args:
        loads: loads of all workers that take tasks.
    """

    def __init__(self, *, loads: Iterable[Load] = ()) -> None:
        self._bounds: dict[_Group, list[_Bound]] = {}
        self._spare: Counter[str] = Counter()
        for load in loads:
            pool, capacity = load.record.info.pool, load.record.info.capacity
            self._spare[pool] += load.processors - SCARCE_ROOM_SHARE * capacity.processors

    def is_scarce(self, pool: str) -> bool:
        """Returns whether less than SCARCE_ROOM_SHARE of a pool's processors was free."""
        return self._spare[pool] < 0.0

    def covers(self, pool: str, demand: Demand) -> bool:
        """Returns whether a demand on the workers of a pool certainly finds no room."""
        bounds = self._bounds.get(_group(pool, demand), ())
        return any(bound.is_exceeded_by(demand) for bound in bounds)

    def covers_step(self, pool: str, step: Step) -> bool:
        """Returns whether a task of a step certainly finds no room, as far as its size tells."""
        if step.best_effort:
            return False
        bounds = self._bounds.get((pool, step.required_label, None))
        size = step.size
        return bounds is not None and any(
            size.processors >= bound.processors
            and size.memory_mb >= bound.memory_mb
            and size.accelerators >= bound.accelerators
            for bound in bounds
        )

    def pools_without_room(self) -> Iterator[str]:
        """Yields the pools in which a task that must end found no room, possibly repeatedly."""
        return (pool for pool, _, image in self._bounds if image is None)

    def add(self, pool: str, demand: Demand) -> None:
        """Records that no worker of a pool that the step may use has room for one more task."""
        size = demand.step.size
        bound = _Bound(
            processors=size.processors,
            memory_mb=size.memory_mb,
            accelerators=size.accelerators,
            min_headroom=demand.min_headroom,
        )
        self._bounds.setdefault(_group(pool, demand), []).append(bound)


def _group(pool: str, demand: Demand) -> _Group:
    """Returns what two demands must have in common to be compared.

    Best-effort tasks of two images use different shares of their size and interfere differently.
    """
    step = demand.step
    return (pool, step.required_label, step.image if step.best_effort else None)
