"""Orders for the last incarnation of a worker that the next one carries out."""

import pytest
import structlog

from bench._jobsimulation import JobSimulation
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.workerport import RenewOrder
from tests.jobs.test_scheduler import ONE

MAX_LEASE_S = 10.0
"""Longest lease of the workers; that of the leader's renewals is shorter."""

REGISTRY_LAG_S = 0.3


def is_renewal(order):
    return isinstance(order, RenewOrder) and order.worker == "w0"


def is_lease(order):
    """Returns whether an order extends the leases of the first worker without a start."""
    return is_renewal(order) and order.lease_until_ms is not None


def make_busy_world(seed, *, run_s=40.0):
    """Returns a world in which three workers run long tasks, and its leader."""
    sim = JobSimulation(seed=seed, workers=3, capacity=6.0, max_lease_s=MAX_LEASE_S)
    sim.run_s = run_s
    sim.submit(steps=[Step(count=15, size=ONE)])
    leader = sim.claim("a")
    sim.run(9.0)
    return sim, leader


def delay_next(sim, is_chosen, *, by_s):
    """Lets the next order of a kind be carried out late and without an answer, and awaits it."""
    chosen = []

    def late_by_s(order):
        if chosen or not is_chosen(order):
            return None
        chosen.append(order)
        return by_s

    sim.late_by_s = late_by_s
    while not chosen:
        sim.run(0.1)


def cut_off(sim, leader, *, leader_lost):
    """Cuts the first worker off from all leaders, and adds room for its tasks elsewhere."""
    sim.cut |= {(leader.name, "w0"), ("b", "w0")}
    sim.add_worker(3, 6.0)
    if leader_lost:
        leader.alive = False
        sim.run(1.0)
        sim.claim("b")


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("cut_s", [0.8, 2.5])
@pytest.mark.parametrize(
    ("leader_lost", "arrives_s"),
    [
        (False, 0.05),
        (False, 0.4),
        (False, 3.0),
        (True, 3.0),
    ],
)
def test_a_renewal_for_the_last_incarnation_lets_no_task_run_twice(
    leader_lost, arrives_s, cut_s, seed
):
    """Guards against runs that outlive the leases that the leader counts.

    The renewal reaches the new incarnation before any call with a higher token, and its deadline
    seems far off there, so it lasts for the longest lease. The worker is cut off afterwards.
    """
    sim, leader = make_busy_world(seed)
    delay_next(sim, is_lease, by_s=arrives_s)
    sim.restart_worker("w0", registry_lag_s=REGISTRY_LAG_S)
    sim.run(cut_s)
    cut_off(sim, leader, leader_lost=leader_lost)
    sim.run(16.0)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("arrives_s", [0.2, 0.4])
def test_a_renewal_for_the_last_incarnation_counts_after_a_takeover(arrives_s, seed):
    """Guards against a successor that doesn't know of leases that its predecessor knew of."""
    sim, leader = make_busy_world(seed)
    delay_next(sim, is_lease, by_s=arrives_s)
    sim.restart_worker("w0", registry_lag_s=REGISTRY_LAG_S)
    sim.run(0.8)
    cut_off(sim, leader, leader_lost=True)
    sim.run(16.0)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("leader_lost", [False, True])
def test_a_start_that_the_next_incarnation_answers_lets_no_task_run_twice(leader_lost, seed):
    """Guards against runs in an incarnation that the leader knows from the answer to a start only.

    The start has a deadline on the clock of the last incarnation, so its run lasts for the longest
    lease. The worker is cut off before it reports.
    """
    sim, leader = make_busy_world(seed)
    sim.late_by_s = lambda order: 60.0 if is_renewal(order) else None
    sim.run(0.1)
    sim.restart_worker("w0", registry_lag_s=30.0)
    sim.submit("00000000000000bb", steps=[Step(count=3, size=ONE)])
    sim.run(0.3)
    assert sim.workers["w0"].runs
    cut_off(sim, leader, leader_lost=leader_lost)
    sim.run(16.0)


def test_a_run_that_outlives_its_leases_is_reported():
    """Guards against two runs of a task that leave no trace in the logs."""
    sim, leader = make_busy_world(1)
    sim.copies_allowed = True
    with structlog.testing.capture_logs() as logs:
        sim.cut.add((leader.name, "w0"))
        sim.workers["w0"].lease_until_ms += 1000 * MAX_LEASE_S
        sim.run(8.0)
        sim.cut.clear()
        sim.run(2.0)
    events = [line["event"] for line in logs if line.get("worker") == "w0"]
    assert events.index("leases ended unseen") < events.index("attempt outlived its leases")


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("takeover", [False, True])
@pytest.mark.parametrize("arrives_s", [0.1, 0.5])
def test_a_forgotten_worker_lets_no_task_run_twice(arrives_s, takeover, seed):
    """Guards against late renewals of an idle worker that the leader has forgotten meanwhile.

    The worker crashes after its tasks are done, the registry drops it, and it returns before the
    renewal arrives.
    """
    away_s = 14.0
    sim, leader = make_busy_world(seed, run_s=11.0)
    delay_next(sim, is_lease, by_s=away_s + arrives_s)
    sim.run(4.0)
    worker = sim.workers["w0"]
    assert not worker.runs
    worker.crash()
    sim.run(away_s - 6.0)
    if takeover:
        leader.alive = False
        leader = sim.claim("c")
    sim.run(1.8)
    sim.run_s = 40.0
    worker.restart()
    sim.submit("00000000000000bb", steps=[Step(count=15, size=ONE)])
    sim.run(1.0)
    assert worker.runs
    cut_off(sim, leader, leader_lost=False)
    sim.run(16.0)
