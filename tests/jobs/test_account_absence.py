"""Without accounts in the manifest nothing changes: the same load gives the same starts."""

import hashlib
import random

import pytest

from bench._jobsimulation import JobSimulation, queue
from fescuerudder.document import Size
from fescuerudder.jobs.job import Step
from tests.jobs.account_simulation import AccountSimulation, account

RECORDED = {"roomy": "ef7e5e221f9d2062519ac03915f4aca8ed86d46383066a88df956b99c0b8e9b7"}
"""Digests of the starts that commit 122f4c3 made of the same load: time, worker, task, attempt."""

QUEUES = (queue(priority=1), queue(name="urgent", prefix="/u/", priority=0))


def random_steps(rng):
    """Returns the steps of a job: of all kinds, as jobs of the recorded load are."""
    kinds = ({}, {}, {}, {"speculative": True}, {"gang": True}, {"best_effort": True, "image": "b"})
    return tuple(
        Step(
            count=rng.randint(1, 5),
            size=Size(processors=rng.choice((0.5, 1.0, 2.0)), memory_mb=rng.randint(1, 50)),
            estimated_ms=rng.randint(200, 1500),
            after=(number - 1,) if number else (),
            **rng.choice(kinds),
        )
        for number in range(rng.randint(1, 3))
    )


def play(sim, *, jobs, names=("", ""), **fields):
    """Plays a random load; returns the starts."""
    rng = random.Random(11)
    sim.plan = lambda task, attempt, worker: (
        sim.specs[task.job].steps[task.step].size,
        0.2 + (task.index * 7 + int(task.job, 16)) % 9 / 6,
        (task.index + attempt + int(task.job, 16)) % 17 == 0,
    )
    sim.claim("l")
    for number in range(jobs):
        name = rng.choice(names)
        given = {"account": name} if name else {}
        sim.submit(
            f"{number + 1:016x}",
            steps=random_steps(rng),
            queue_name=rng.choice(("q", "urgent")),
            **given,
            **fields,
        )
        sim.run(0.15)
    sim.run(8)
    return [(round(e[0], 2), e[1], tuple(e[2]), e[3]) for e in sim.events if e[4] == "start"]


def test_a_recorded_load_with_room_gives_the_recorded_starts():
    """Guards against accounts that change the starts of a deployment that has none."""
    sim = JobSimulation(seed=7, workers=12, capacity=16.0, queues=QUEUES)
    starts = play(sim, jobs=40)
    assert len(starts) > 150
    assert hashlib.sha256(repr(starts).encode()).hexdigest() == RECORDED["roomy"]


@pytest.mark.parametrize("workers", [3, 12])
def test_jobs_with_accounts_start_as_others_while_none_are_in_force(workers):
    """Guards against shares and caps of accounts that the manifest doesn't have."""
    fields = {"seed": 7, "workers": workers, "capacity": 6.0, "queues": QUEUES}
    usual = play(JobSimulation(**fields), jobs=30)
    assert play(AccountSimulation(**fields), jobs=30, names=("a", "b")) == usual


def test_accounts_without_caps_start_in_the_usual_order_while_there_is_room():
    """Guards against turns of accounts where there is capacity for all."""
    fields = {"seed": 7, "workers": 12, "capacity": 16.0, "queues": QUEUES}
    usual = play(JobSimulation(**fields), jobs=30, names=("a", "b"))
    shared = AccountSimulation(account("a"), account("b", weight=9.0), **fields)
    assert play(shared, jobs=30, names=("a", "b")) == usual
