"""Bursts of two to three times what fits, with admission and without, in the job simulation."""

import functools

import attrs
import pytest

from bench._admissionload import LARGE, SMALL, Burst

SEEDS = (1, 2, 3, 4)
TAIL_SHARE = 0.005
LARGE_AS_USUAL = attrs.evolve(LARGE, burst=1.0)
LARGE_BURST = "12 s of large jobs, 2.5 times what fits"
URGENT_BURST = "7 s of urgent small jobs, 2.1 times what fits"
LOADS = {
    LARGE_BURST: {
        "kinds": (SMALL, attrs.evolve(LARGE, burst=6.0)),
        "burst_s": (5.0, 17.0),
    },
    URGENT_BURST: {"kinds": (attrs.evolve(SMALL, burst=7.0), LARGE_AS_USUAL)},
}


def play(name, *, admits_all, patience_s):
    """Returns the replays of a load, one for each seed, with their outcomes."""
    bursts = [
        Burst(
            seed=seed,
            admits_all=admits_all,
            patience_s=patience_s,
            tail_share=TAIL_SHARE,
            **LOADS[name],
        )
        for seed in SEEDS
    ]
    return [(burst, burst.play()) for burst in bursts]


@functools.cache
def play_without(name):
    """Returns the value served and the jobs in time if everything is accepted."""
    outcomes = [outcome for _, outcome in play(name, admits_all=True, patience_s=8.0)]
    return sum(o.served() for o in outcomes), sum(o.in_time() for o in outcomes)


@pytest.mark.parametrize(
    ("name", "patience_s", "refuses"),
    [(LARGE_BURST, 8.0, False), (URGENT_BURST, 3.0, False), (URGENT_BURST, 8.0, True)],
)
def test_admission_in_a_burst(name, patience_s, refuses):
    """Guards against refusals that are false, or that cost more than the burst itself."""
    served, in_time = play_without(name)
    played = play(name, admits_all=False, patience_s=patience_s)
    outcomes = [outcome for _, outcome in played]
    # Without a refusal the replay would prove nothing; where none pays off, there may be none.
    assert not refuses or sum(o.counts()["refusals"] for o in outcomes) > 0
    assert sum(o.served() for o in outcomes) >= served
    assert sum(o.in_time() for o in outcomes) >= in_time
    for burst, outcome in played:
        assert outcome.refused_beside_room == 0
        check_refusals(burst, outcome)
        for kind in LOADS[name]["kinds"]:
            assert outcome.in_time(kind.name) > 0


def check_refusals(burst, outcome):
    """Checks that a job that was refused for good never ran, and an accepted one did."""
    started = {event[2].job for event in burst.sim.events if event[4] == "start"}
    accepted = {c.job.id for c in outcome.callers if c.accepted_s is not None}
    assert started == accepted


def test_nothing_is_refused_without_a_shortage():
    """Guards against refusals on a quiet day."""
    kinds = (SMALL, LARGE_AS_USUAL)
    outcome = Burst(seed=3, admits_all=False, kinds=kinds, tail_share=TAIL_SHARE).play()
    assert outcome.counts()["refusals"] == 0
