"""Choice of a worker for a task on a rack."""

from collections.abc import Mapping
from typing import Protocol

import attrs

from fescuerudder.document import ServiceDocument, Sharing, Size
from fescuerudder.interference import Slowdowns
from fescuerudder.task import Task
from fescuerudder.workers import Attempt


@attrs.frozen(kw_only=True)
class WorkerLoad:
    """Capacity and committed resources of a worker.

    Args:
        worker: worker id.
        capacity: resources that it offers.
        committed: resources of its attempts and assignments.
        services: service of each task on it, with repetitions.
        takes_work: whether it may get new tasks.
    """

    worker: str
    capacity: Size
    committed: Size = Size()
    services: tuple[str, ...] = ()
    takes_work: bool = True

    @property
    def free(self) -> Size:
        """Resources that are not committed."""
        return self.capacity.minus(self.committed)

    @property
    def load(self) -> float:
        """Committed share of the processors, 0 to 1."""
        if self.capacity.processors <= 0:
            return 0.0
        return self.committed.processors / self.capacity.processors

    def with_task(self, task: Task) -> "WorkerLoad":
        """Returns the load after `task` was assigned."""
        return attrs.evolve(
            self,
            committed=self.committed.plus(task.size),
            services=(*self.services, task.service),
        )

    def without_task(self, task: Task) -> "WorkerLoad":
        """Returns the load after `task` was removed."""
        services = list(self.services)
        if task.service in services:
            services.remove(task.service)
        return attrs.evolve(
            self, committed=self.committed.minus(task.size), services=tuple(services)
        )


class Placement(Protocol):
    """Policy that chooses a worker for a task."""

    def choose(
        self, *, task: Task, loads: list[WorkerLoad], services: Mapping[str, ServiceDocument]
    ) -> str | None:
        """Returns the worker for `task`, or None if none may take it now."""


def commitments(
    *, attempts: tuple[Attempt, ...], assigned: list[Task]
) -> tuple[Size, tuple[str, ...]]:
    """Returns the resources committed on a worker, and the services of its tasks.

    Both attempts in the status and assignments in rows count. For a task with both, the larger
    value of each resource counts.
    """
    sizes: dict[str, Size] = {}
    services: dict[str, str] = {}
    running = [(a.task, a.service, a.size) for a in attempts if not a.is_ended]
    for task_id, service, size in [*running, *((t.id, t.service, t.size) for t in assigned)]:
        sizes[task_id] = max_size(sizes.get(task_id, Size()), size)
        services[task_id] = service
    total = Size()
    for size in sizes.values():
        total = total.plus(size)
    return total, tuple(sorted(services.values()))


def max_size(one: Size, other: Size) -> Size:
    """Returns the larger value of each resource."""
    return Size(
        processors=max(one.processors, other.processors),
        memory_mb=max(one.memory_mb, other.memory_mb),
        accelerators=max(one.accelerators, other.accelerators),
    )


def may_share(
    service: str, neighbours: tuple[str, ...], services: Mapping[str, ServiceDocument]
) -> bool:
    """Returns whether the sharing rules allow `service` beside all of `neighbours`."""
    return all(
        _tolerates(service, other, services) and _tolerates(other, service, services)
        for other in set(neighbours)
        if other != service
    )


def _tolerates(service: str, other: str, services: Mapping[str, ServiceDocument]) -> bool:
    doc = services.get(service)
    sharing = doc.sharing if doc else Sharing()
    other_doc = services.get(other)
    # The kind of a service without a document is unknown; it is treated as batch, the kind that
    # a service may exclude.
    is_batch = other_doc is None or other_doc.kind == "batch"
    return other not in sharing.avoid and (sharing.allow_batch or not is_batch)


def is_feasible(task: Task, load: WorkerLoad, services: Mapping[str, ServiceDocument]) -> bool:
    """Returns whether `task` may run on the worker now."""
    return (
        load.takes_work
        and task.size.fits_in(load.free)
        and may_share(task.service, load.services, services)
    )


def feasible_workers(
    task: Task, loads: list[WorkerLoad], services: Mapping[str, ServiceDocument]
) -> list[WorkerLoad]:
    """Returns the workers that may run `task` now.

    Workers on which it failed are excluded as long as the rack has another worker that is
    large enough, even if that one has no free resources now.
    """
    untried = [load for load in loads if load.worker not in task.failed_workers]
    has_other = any(load.takes_work and task.size.fits_in(load.capacity) for load in untried)
    candidates = untried if has_other else loads
    return [load for load in candidates if is_feasible(task, load, services)]


class FirstFit:
    """Chooses the first feasible worker by id; the baseline in comparisons."""

    def choose(
        self, *, task: Task, loads: list[WorkerLoad], services: Mapping[str, ServiceDocument]
    ) -> str | None:
        """Returns the first feasible worker; see `Placement.choose`."""
        found = feasible_workers(task, loads, services)
        return min((load.worker for load in found), default=None)


class LeastInterference:
    """Chooses the worker with the smallest estimated slowdown, then the tightest fit.

    Args:
        slowdowns: learned slowdowns by pair of services.
    """

    def __init__(self, *, slowdowns: Slowdowns) -> None:
        self._slowdowns = slowdowns

    def choose(
        self, *, task: Task, loads: list[WorkerLoad], services: Mapping[str, ServiceDocument]
    ) -> str | None:
        """Returns the best feasible worker; see `Placement.choose`."""
        found = feasible_workers(task, loads, services)
        if not found:
            return None
        return min(found, key=lambda load: self._cost(task, load, services)).worker

    def _cost(
        self, task: Task, load: WorkerLoad, services: Mapping[str, ServiceDocument]
    ) -> tuple[int, float, float, str]:
        """Returns the sort key: replicas of the same service, slowdown, free resources, id."""
        after = load.with_task(task)
        same_service = load.services.count(task.service) if task.kind == "replica" else 0
        slowdown = self._added_slowdown(task, load, after.load, services)
        free_after = after.free.processors + after.free.memory_mb / 4096
        return same_service, round(slowdown, 2), free_after, load.worker

    def _added_slowdown(
        self,
        task: Task,
        load: WorkerLoad,
        load_after: float,
        services: Mapping[str, ServiceDocument],
    ) -> float:
        """Returns the slowdown that the task would add to latency-critical services.

        For a replica, its own slowdown by the tasks on the worker is included.
        """
        added = 0.0
        for other in sorted(set(load.services) - {task.service}):
            doc = services.get(other)
            if task.kind == "replica":
                added += self._slowdowns.pair_slowdown(task.service, other, load=load_after) - 1.0
            if doc is not None and doc.kind == "latency-critical":
                added += self._slowdowns.pair_slowdown(other, task.service, load=load_after) - 1.0
        return added


def make_placement(*, policy: str, slowdowns: Slowdowns) -> Placement:
    """Returns the policy that the setting `placement` names."""
    return FirstFit() if policy == "first_fit" else LeastInterference(slowdowns=slowdowns)
