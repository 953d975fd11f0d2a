"""Choice of the rack whose queue a task joins."""

from collections import Counter
from collections.abc import Iterable, Mapping
from random import Random
from typing import Literal

from fescuerudder.document import Size
from fescuerudder.ownership_types import RackSummary

RackRequirement = Literal["room", "in_service", "large_enough"]
"""Minimum that a rack must offer: free resources now, a zone in service, or a worker that is large
enough."""


def is_in_service(zone: str, zones: Mapping[str, str]) -> bool:
    """Returns whether a zone is in service."""
    return zones.get(zone, "in") == "in"


def free_resources_key(summary: RackSummary) -> tuple[float, int, int]:
    """Returns a sort key by free processors, free memory and shorter queue."""
    free = summary.free
    return (
        sum(size.processors for size in free),
        sum(size.memory_mb for size in free),
        -summary.queue_length,
    )


def is_large_enough(summary: RackSummary, size: Size) -> bool:
    """Returns whether some worker of the rack has the capacity for `size`."""
    return any(size.fits_in(capacity) for capacity in summary.largest)


def has_room(summary: RackSummary, size: Size) -> bool:
    """Returns whether some worker of the rack has `size` free now."""
    return any(size.fits_in(free) for free in summary.free)


def is_zone_allowed(summary: RackSummary, zones: Iterable[str]) -> bool:
    """Returns whether a task restricted to `zones` (empty: all) may use the rack."""
    zones = tuple(zones)
    return not zones or summary.zone in zones


def choose_freer_of_two(candidates: list[RackSummary], *, rng: Random) -> RackSummary | None:
    """Returns the rack with more free resources of two random ones, or None without candidates."""
    if not candidates:
        return None
    picked = rng.sample(candidates, min(2, len(candidates)))
    return max(picked, key=free_resources_key)


def choose_least_populated(
    candidates: list[RackSummary],
    *,
    rng: Random,
    zones: Mapping[str, str],
    replica_counts: Mapping[str, int],
) -> RackSummary | None:
    """Returns a rack of the zone with the fewest replicas, there the rack with the fewest.

    Args:
        candidates: racks to choose from.
        rng: breaks ties.
        zones: zone of each known rack.
        replica_counts: replicas of the service by rack.
    """
    by_zone: Counter[str] = Counter()
    for rack, count in replica_counts.items():
        by_zone[zones.get(rack, "")] += count
    shuffled = rng.sample(candidates, len(candidates))
    return min(
        shuffled, key=lambda s: (by_zone[s.zone], replica_counts.get(s.rack, 0)), default=None
    )


def replicas_by_rack(summaries: Iterable[RackSummary], service: str) -> dict[str, int]:
    """Returns the number of workers with a replica of the service, by rack."""
    return {s.rack: sum(service in up.services for up in s.upstreams) for s in summaries}


def choose_rack(
    *,
    size: Size,
    zones: tuple[str, ...],
    summaries: Iterable[RackSummary],
    zone_states: Mapping[str, str],
    rng: Random,
    exclude: str = "",
    required: RackRequirement = "large_enough",
    replica_counts: Mapping[str, int] | None = None,
) -> str | None:
    """Returns the rack whose queue a task should join, or None if no rack qualifies.

    Racks with free resources now are preferred to racks that are only large enough, and zones in
    service to zones out of service.

    Args:
        size: resources of the task.
        zones: zones in which it may run; empty allows all.
        summaries: published summaries of the racks.
        zone_states: state by zone.
        rng: source of randomness.
        exclude: rack that is not chosen.
        required: minimum that the rack must offer.
        replica_counts: replicas of the task's service by rack, if it is a replica; the zone and
            rack with the fewest are chosen.
    """
    known = list(summaries)
    eligible = [
        s
        for s in known
        if s.rack != exclude and is_zone_allowed(s, zones) and is_large_enough(s, size)
    ]
    in_service = [s for s in eligible if is_in_service(s.zone, zone_states)]
    with_room = [s for s in in_service if has_room(s, size)]
    tiers = {
        "room": [with_room],
        "in_service": [with_room, in_service],
        "large_enough": [with_room, in_service, eligible],
    }
    for tier in tiers[required]:
        if replica_counts is None:
            chosen = choose_freer_of_two(tier, rng=rng)
        else:
            chosen = choose_least_populated(
                tier, rng=rng, zones={s.rack: s.zone for s in known}, replica_counts=replica_counts
            )
        if chosen is not None:
            return chosen.rack
    return None
