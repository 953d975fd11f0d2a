"""Why the jobs of the highest priority lose value: replays in which one cause is absent.

What a replay without a cause serves more than the replay as it is, this cause costs. The causes
overlap, so the costs don't add up.
"""

from collections.abc import Callable, Iterable

import attrs

from bench._overloadloads import OverloadPattern
from bench._overloadorders import late_last
from bench._overloadreplay import Outcome, OverloadReplay
from fescuerudder.jobs.urgency import UrgencyKey

FIRST_PRIORITY = 0


def as_it_is(pattern: OverloadPattern, seed: int, urgency: UrgencyKey) -> Outcome:
    """Replays the pattern."""
    return OverloadReplay(pattern=pattern, seed=seed, urgency=urgency).play()


def without_lower_priorities(pattern: OverloadPattern, seed: int, urgency: UrgencyKey) -> Outcome:
    """Replays only the jobs of the highest priority: no task of another job holds capacity."""
    kinds = tuple(pair for pair in pattern.kinds if pair[0].priority == FIRST_PRIORITY)
    return as_it_is(attrs.evolve(pattern, kinds=kinds), seed, urgency)


def without_fragments(pattern: OverloadPattern, seed: int, urgency: UrgencyKey) -> Outcome:
    """Replays with the same free processors on fewer workers, which have no long-running tasks."""
    workers = round(pattern.workers * (1 - pattern.long_running_share))
    whole = attrs.evolve(
        pattern,
        workers=workers,
        capacity=pattern.free_processors / workers,
        long_running_share=0.0,
    )
    return as_it_is(whole, seed, urgency)


def without_long_running(pattern: OverloadPattern, seed: int, urgency: UrgencyKey) -> Outcome:
    """Replays the same jobs with the processors that long-running tasks hold."""
    load = pattern.load * (1 - pattern.long_running_share)
    return as_it_is(attrs.evolve(pattern, long_running_share=0.0, load=load), seed, urgency)


def without_late_first(pattern: OverloadPattern, seed: int, urgency: UrgencyKey) -> Outcome:
    """Replays with all late jobs after those in time."""
    return as_it_is(pattern, seed, late_last)


def without_wrong_estimates(pattern: OverloadPattern, seed: int, urgency: UrgencyKey) -> Outcome:
    """Replays with estimates that are exact for the decisions."""
    return OverloadReplay(pattern=pattern, seed=seed, urgency=urgency, exact=True).play()


CAUSES: dict[str, Callable[[OverloadPattern, int, UrgencyKey], Outcome]] = {
    "": as_it_is,
    "tasks of lower priorities": without_lower_priorities,
    "capacity of long-running tasks": without_long_running,
    "fragments of capacity": without_fragments,
    "late jobs before jobs in time": without_late_first,
    "wrong estimates": without_wrong_estimates,
}
"""Replays by the cause that is absent."""


def served_without(
    cause: str, pattern: OverloadPattern, *, seeds: Iterable[int], urgency: UrgencyKey
) -> float:
    """Returns the share of the value of the highest priority that is served without a cause."""
    shares = [CAUSES[cause](pattern, seed, urgency).served[FIRST_PRIORITY] for seed in seeds]
    return sum(shares) / len(shares)
