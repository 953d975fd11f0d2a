"""Incarnations of workers whose earlier incarnations the leader has forgotten or never knew."""

import pytest

from bench._jobsimulation import JobSimulation
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.workerport import StartOrder
from tests.jobs.test_former_orders import (
    MAX_LEASE_S,
    cut_off,
    delay_next,
    is_lease,
    make_busy_world,
)
from tests.jobs.test_scheduler import ONE


def is_acknowledging_lease(order):
    """Returns whether a renewal of the first worker's leases acknowledges ends there."""
    return is_lease(order) and order.acknowledged > 0


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("arrives_s", [0.05, 0.5])
def test_a_renewal_counts_after_the_leader_has_forgotten_its_worker(arrives_s, seed):
    """Guards against an incarnation that is taken for the first one of its id.

    The worker is idle, so it is forgotten once it has left the registry. The renewal to its last
    incarnation is carried out `arrives_s` after its return, and then it is cut off.
    """
    sim = JobSimulation(seed=seed, workers=3, capacity=6.0, max_lease_s=MAX_LEASE_S)
    leader = sim.claim("a")
    sim.run(4.0)
    sim.submit(steps=[Step(count=15, size=ONE)])
    delay_next(sim, is_acknowledging_lease, by_s=2.0 + arrives_s)
    sim.workers["w0"].crash()
    sim.run(1.9)
    sim.run_s = 40.0
    sim.submit("00000000000000bb", steps=[Step(count=15, size=ONE)])
    sim.restart_worker("w0", registry_lag_s=0.0)
    sim.run(0.8)
    cut_off(sim, leader, leader_lost=False)
    sim.run(16.0)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("claims_after_s", [0.5, 2.0])
def test_a_renewal_counts_if_the_last_leader_did_not_reach_the_new_incarnation(
    claims_after_s, seed
):
    """Guards against an incarnation that is on the roster, and is taken for a fenced one.

    The leader learns of it from the registry, doesn't reach it and is lost. The renewal to its last
    incarnation is carried out just before the successor's claim, and then it is cut off.
    """
    sim, leader = make_busy_world(seed)
    delay_next(sim, is_lease, by_s=0.4 + claims_after_s)
    sim.cut.add((leader.name, "w0"))
    sim.restart_worker("w0", registry_lag_s=0.0)
    sim.run(0.45)
    assert leader.scheduler.state.workers["w0"].info.incarnation_ms == 1001
    leader.alive = False
    sim.cut.clear()
    sim.run(claims_after_s)
    sim.claim("b")
    sim.run(0.5)
    sim.cut.add(("b", "w0"))
    sim.add_worker(3, 6.0)
    sim.run(16.0)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("claims_after_s", [6.0, 9.0])
def test_a_run_that_a_successor_adopts_is_not_given_up_before_the_next_report(claims_after_s, seed):
    """Guards against a second run of a task that the report of a new incarnation has just listed.

    A start without an answer is carried out by the next incarnation of its worker, whose leases
    the successor has never counted, as the report doesn't fence the incarnation yet.
    """
    sim = JobSimulation(seed=seed, workers=3, capacity=6.0, max_lease_s=MAX_LEASE_S)
    sim.run_s = 40.0
    earlier = sim.claim("a")
    sim.run(3.0)
    earlier.alive = False
    leader = sim.claim("b")
    sim.run(3.0)
    starts = []

    def late_by_s(order):
        if starts or not isinstance(order, StartOrder):
            return None
        starts.append(order)
        return claims_after_s - 0.1

    sim.late_by_s = late_by_s
    sim.submit(steps=[Step(count=1, size=ONE)])
    sim.run(0.05)
    worker = sim.workers[starts[0].worker]
    worker.crash()
    sim.run(4.5)
    leader.alive = False
    sim.run(claims_after_s - 4.7)
    sim.restart_worker(worker.info.id, registry_lag_s=2.0)
    sim.run(0.2)
    assert worker.runs
    sim.claim("c")
    sim.run(16.0)
