"""Replays of small versions of the loads with too little capacity."""

import attrs
import pytest

from bench._overloadbound import clairvoyant_value
from bench._overloadloads import OVERLOAD_PATTERNS, OverloadPattern
from bench._overloadorders import value_density
from bench._overloadreplay import OverloadReplay
from fescuerudder.jobs.urgency import urgency_key

QUIET = OverloadPattern(name="low", load=0.1, seconds=20.0, workers=24, long_running_share=0.3)

ROUNDING = 1e-9


def small(pattern):
    return attrs.evolve(pattern, workers=8, seconds=10.0)


@pytest.mark.parametrize("pattern", OVERLOAD_PATTERNS, ids=lambda pattern: pattern.name)
def test_each_job_ends_and_no_order_exceeds_the_bound(pattern):
    """Guards against accepted jobs that an overload drops, and against a bound that is too low."""
    replay = OverloadReplay(pattern=small(pattern), seed=1)
    outcome = replay.play()
    replay.sim.run(60.0)
    assert len(replay.ends()) == len(replay.jobs)
    assert 0.0 < outcome.value <= clairvoyant_value(small(pattern), replay.jobs) + ROUNDING


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_starts_are_the_same_while_nothing_waits_for_capacity(seed):
    """Guards against an order for overload that changes a day with capacity for all jobs."""
    short_pools = set()

    def watched(step, queue, inputs):
        short_pools.update(inputs.short_pools)
        return urgency_key(step, queue, inputs)

    starts = []
    for urgency in (watched, value_density):
        replay = OverloadReplay(pattern=QUIET, seed=seed, urgency=urgency)
        replay.play()
        starts.append([event for event in replay.sim.events if event[4] == "start"])
    assert not short_pools
    assert len(starts[0]) > 200
    assert starts[0] == starts[1]
