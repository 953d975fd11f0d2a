"""Starts while the store is slow: each write takes most of a second, and none fails."""

import pytest

from bench._jobsimulation import TICK_S, JobSimulation
from fescuerudder.jobs.leases import STORE_OUT_S
from tests.jobs.test_scheduler import steps

SUBMIT_INTERVAL_S = 0.3
JOBS = 20


def first_start_waits(sim):
    """Submits jobs at intervals; returns the time from each submission to its first start."""
    submitted = {}
    for number in range(JOBS):
        job_id = f"{number:016x}"
        submitted[job_id] = sim.clock.now_s()
        sim.submit(job_id, steps=steps(1))
        sim.run(SUBMIT_INTERVAL_S)
    sim.run(4.0)
    started = {}
    for event in sim.events:
        if event[4] == "start":
            started.setdefault(event[2].job, event[0])
    return [started[job_id] - at_s for job_id, at_s in submitted.items()]


@pytest.mark.parametrize("write_s", [0.05, 0.3, 0.72, 0.9])
def test_starts_wait_for_two_writes_at_most(write_s):
    """Guards against starts that are withdrawn, planned and recorded again while a store is slow.

    A start waits for the write that is under way and for the one with its own record.
    """
    sim = JobSimulation(workers=4, capacity=8.0)
    sim.claim("a")
    sim.run(1.0)
    sim.store_write_s = write_s
    assert max(first_start_waits(sim)) <= 2 * write_s + 6 * TICK_S
    sim.check_history()


@pytest.mark.parametrize("write_s", [0.0, 0.72])
def test_a_store_that_no_longer_answers_counts_as_out(write_s):
    """Guards against an outage that is taken for slowness, so that running jobs stand still."""
    sim = JobSimulation(workers=2)
    leader = sim.claim("a")
    sim.store_write_s = write_s
    sim.run(3.0)
    assert not leader.leases.is_store_out(sim.clock.now_s())
    leader.reaches_store = False
    sim.run(STORE_OUT_S + write_s + 0.1)
    assert leader.leases.is_store_out(sim.clock.now_s())
