"""How long jobs wait for workers that a new leader can't reach."""

import attrs
import pytest

from bench._jobsimulation import JobSimulation, queue
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.leases import PREDECESSOR_LEASES_S
from fescuerudder.jobs.workerport import RenewOrder
from tests.jobs.test_scheduler import JOB, ONE, steps

WAIT_S = 3.0
"""Time for which a step whose turn has come may have nothing running beside free room, in
seconds."""


def longest_wait_s(sim, job_id, seconds):
    """Advances the simulation; returns the longest time without a running task of a job."""
    waited_s = longest_s = 0.0
    for _ in range(round(seconds / 0.1)):
        sim.run(0.1)
        runs = [task for worker in sim.workers.values() if worker.is_up for task, _ in worker.runs]
        is_running = any(task.job == job_id for task in runs)
        waited_s = 0.0 if is_running or sim.state(job_id).is_final else waited_s + 0.1
        longest_s = max(longest_s, waited_s)
    return longest_s


@pytest.mark.parametrize("start_before_s", [0.15, 1.5])
def test_a_restarted_worker_out_of_reach_does_not_hold_up_older_jobs(start_before_s):
    """Guards against accepted jobs that wait for up to 20 s beside free workers.

    A job that is older than the claim has tasks to start; another worker restarts behind a
    partition, with a start that it has reported or not.
    """
    sim = JobSimulation(workers=4)
    sim.plan = lambda task, attempt, worker: (ONE, 1.0 if task.job == JOB else 30.0, False)
    sim.submit(JOB, steps=steps(*[1] * 12))
    first = sim.claim("a")
    sim.run(0.5)
    first.alive = False
    sim.claim("b")
    sim.run(1.0)
    sim.submit("00000000000000bb", steps=steps(4))
    sim.run(start_before_s)
    name = next(
        name
        for name, worker in sim.workers.items()
        if worker.runs and not any(task.job == JOB for task, _ in worker.runs)
    )
    sim.cut.add(("b", name))
    sim.restart_worker(name, registry_lag_s=0.2)
    assert longest_wait_s(sim, JOB, 10.0) < WAIT_S


def test_a_further_takeover_does_not_extend_the_wait_for_a_worker_out_of_reach():
    """Guards against accepted jobs that never run while leaders follow one another.

    A worker vanishes with the first leader. What may run there ends some time after the first
    takeover, however many leaders follow.
    """
    sim = JobSimulation(workers=4)
    sim.run_s = 0.5
    sim.submit(JOB, steps=steps(*[1] * 40))
    sim.claim("a")
    sim.run(0.5)
    used = next(n for n, w in sim.workers.items() if any(t.job == JOB for t, _ in w.runs))
    lost = next(n for n in sim.workers if n != used)
    sim.workers[lost].crash()
    for name in ("b", "c", "d", "e"):
        sim.leaders[-1].alive = False
        sim.claim(name)
        sim.run(PREDECESSOR_LEASES_S / 3)
    started = sim.starts(JOB)
    sim.run(WAIT_S)
    assert sim.starts(JOB) > started
    sim.check_history()


@pytest.mark.parametrize("fails", [False, True], ids=["next step", "same task"])
def test_what_was_seen_to_run_goes_on_beside_a_worker_out_of_reach(fails):
    """Guards against accepted jobs that stop for 9 s after a takeover beside free workers.

    A worker vanishes together with the leader. It can't run a task that runs elsewhere, nor a step
    that depends on one.
    """
    sim = JobSimulation(workers=4)
    sim.plan = lambda task, attempt, worker: (ONE, 6.0, fails and attempt == 1)
    sim.submit(JOB, steps=steps(1, 1))
    sim.claim("a")
    sim.run(1.0)
    used = next(n for n, w in sim.workers.items() if w.runs)
    lost = next(n for n in sim.workers if n != used)
    sim.workers[lost].crash()
    sim.leaders[-1].alive = False
    sim.claim("b")
    sim.run(6.0)
    assert sim.starts(JOB) == 2
    sim.run(14.0)
    assert sim.state(JOB) is JobState.COMPLETED
    sim.check_history()


@pytest.mark.parametrize("claim_after_s", [0.5, 1.5, 2.5, 4.0, 6.0])
def test_a_lease_does_not_outlast_the_stored_deadline(claim_after_s):
    """Guards against a task that runs twice: its worker answers again after a deadline was stored.

    The leader loses the store before it stores a roster without the deadline, and its successor,
    which can't reach the worker, takes the deadline for the end of the task.
    """
    sim = JobSimulation(workers=4)
    sim.plan = lambda task, attempt, worker: (ONE, 60.0, False)
    sim.submit(JOB, steps=steps(1))
    first = sim.claim("a")
    sim.run(1.0)
    (used,) = [name for name, worker in sim.workers.items() if worker.runs]
    sim.cut.add(("a", used))
    while not first.scheduler.state.workers[used].is_restricted:
        sim.run(0.05)
    sim.run(0.1)
    first.reaches_store = False
    sim.cut.clear()
    sim.run(claim_after_s)
    sim.cut.add(("b", used))
    sim.claim("b")
    sim.run(12.0)
    sim.check_history()


def let_renewals_wait(sim):
    """Lets renewals wait at their worker for an end, also after it has seen a higher token."""
    deliver = sim._deliver

    def poll(leader, order, worker, serial, until_s):
        if worker.last_serial == serial and sim.clock.now_s() < until_s:
            next_s = sim.clock.now_s() + 0.05
            sim._at(next_s, lambda: poll(leader, order, worker, serial, until_s))
            return
        token, worker.highest_token = worker.highest_token, 0
        report = worker.renew(order)
        worker.highest_token = token
        sim._answer(leader, order, until_s, report)

    def deliver_waiting(leader, order, sent_s, is_lost):
        worker = sim.workers.get(order.worker)
        waits = isinstance(order, RenewOrder) and order.wait_ms and not is_lost
        if not waits or not worker.is_up or (leader.name, order.worker) in sim.cut:
            deliver(leader, order, sent_s, is_lost)
            return
        if order.token < worker.highest_token:
            deliver(leader, order, sent_s, is_lost)
            return
        worker.renew(order)
        until_s = sim.clock.now_s() + order.wait_ms / 1000
        poll(leader, order, worker, worker.last_serial, until_s)

    sim._deliver = deliver_waiting


@pytest.mark.parametrize("run_s", [0.5, 0.6, 0.7, 0.8, 0.9, 1.0])
@pytest.mark.parametrize("waits", [False, True])
def test_an_earlier_leader_may_learn_of_an_end_from_a_waiting_renewal(run_s, waits):
    """Guards against a task that runs twice: two leaders learn of the end that makes it ready.

    A renewal of the earlier leader still waits at the worker after it has seen the higher token.
    """
    sim = JobSimulation(workers=2)
    sim.plan = lambda task, attempt, worker: (
        ONE,
        run_s if task.step == 0 else 20.0,
        False,
    )
    if waits:
        let_renewals_wait(sim)
    sim.submit(JOB, steps=steps(1, 1))
    first = sim.claim("a")
    sim.run(0.5)
    used = next(n for n, w in sim.workers.items() if w.runs)
    other = next(n for n in sim.workers if n != used)
    # The successor can't reach the other worker; the earlier leader reaches all workers.
    first.reaches_store = False
    sim.cut.add(("b", other))
    # The step after it goes to the other worker, as the first one is full for the earlier leader.
    sim.claim("b")
    first.scheduler.state.zones_out = frozenset({sim.workers[used].info.zone})
    sim.run(12.0)
    sim.check_history()


@pytest.mark.parametrize("takes_over", [False, True])
def test_a_job_whose_queue_left_the_manifest_runs_after_a_takeover(takes_over):
    """Guards against accepted jobs that stop for good once queue and leader are gone."""
    sim = JobSimulation(workers=2)
    sim.submit(JOB, steps=steps(1, 1), accepted_queue=sim.manifest.queues[0])
    sim.claim("a")
    sim.run(0.5)
    sim.manifest = attrs.evolve(sim.manifest, revision=2, queues=(queue(name="r", prefix="/r/"),))
    sim.leaders[-1].scheduler.set_manifest(sim.manifest)
    if takes_over:
        sim.leaders[-1].alive = False
        sim.claim("b")
    sim.run(20.0)
    assert sim.state(JOB) is JobState.COMPLETED
