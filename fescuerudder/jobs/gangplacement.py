"""Choice of workers for all members of a gang."""

from collections import Counter

import attrs

from fescuerudder.jobs.jobplacement import Demand, choose_workers
from fescuerudder.jobs.load import Load


def choose_gang(demand: Demand, eligible: list[Load], *, bound: list[str]) -> list[Load]:
    """Returns workers for all members, in one rack if the step asks for it and a rack has room.

    Args:
        demand: the members.
        eligible: the workers that the step may use.
        bound: ids of the workers of the members that may start nowhere else; their workers come
            first in the result.

    Returns:
        One worker for each member, nothing unless all have room.
    """
    racks: dict[str, list[Load]] = {}
    for load in eligible:
        racks.setdefault(load.record.info.rack, []).append(load)
    groups = [*racks.values(), eligible] if demand.step.same_rack else [eligible]
    for group in groups:
        copies = [load.copy() for load in group]
        trial = attrs.evolve(demand, per_worker=Counter(demand.per_worker))
        if len(_place(trial, copies, bound)) == demand.count:
            return _place(demand, group, bound)
    return []


def _place(demand: Demand, loads: list[Load], bound: list[str]) -> list[Load]:
    """Returns workers for as many members as fit, none if a bound one does not fit."""
    chosen: list[Load] = []
    for worker in bound:
        own = [load for load in loads if load.record.id == worker]
        chosen += choose_workers(attrs.evolve(demand, count=1), own)
    if len(chosen) < len(bound):
        return []
    return chosen + choose_workers(attrs.evolve(demand, count=demand.count - len(bound)), loads)
