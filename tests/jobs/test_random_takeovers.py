"""Decisions of several leaders, one after another, while workers restart under their ids."""

import pytest

from tests.jobs import test_random_restarts as restarts
from tests.jobs.takeover_simulation import Loss, TakeoverSimulation

ONCE_RED_SEEDS = (45, 59, 115, 283)
"""Seeds in which a start without an answer was lost with its leader."""

SEEDS = (*range(36), *ONCE_RED_SEEDS)

LOSSES = (*restarts.LOSSES, *restarts.LOSSES, "stall", "stall", "cut")

CLOSE_S = 0.2
"""Time between two losses that follow each other at once, in seconds."""


def plan_losses(sim):
    """Plans the losses of one to three more leaders within the first 9 s of an episode."""
    rng = sim.rng
    at_s = sim.clock.now_s() + rng.uniform(0.0, 9.0)
    for _ in range(rng.choice((1, 2, 3))):
        claims_after_s = rng.choice((rng.uniform(0.0, CLOSE_S), rng.uniform(0.2, 3.0)))
        loss = Loss(kind=rng.choice(LOSSES), claims_after_s=claims_after_s)
        lose = sim.lose_at_next_start if rng.random() < 0.4 else sim.lose
        sim.at(at_s, lambda lose=lose, loss=loss: lose(loss))
        at_s += rng.choice((rng.uniform(0.0, CLOSE_S), rng.uniform(0.2, 5.0)))


def play_episode(sim):
    """Plays an episode with restarts and losses of leaders, and loses some more."""
    plan_losses(sim)
    restarts.play_episode(sim)


@pytest.mark.parametrize("seed", SEEDS)
def test_chains_of_takeovers_break_no_promise(seed):
    """Guards against what a chain of takeovers loses: leases, rows, and starts without an answer.

    A task must not run twice or too early, and no job may be lost. Leaders are killed, paused or
    replaced, some within 0.2 s of each other and some just after a start. Some go on and send their
    orders after the next claim, or go on without the store.
    """
    restarts.play_world(TakeoverSimulation(seed=seed), play_episode)
