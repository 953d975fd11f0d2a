"""Workers that restart under their ids after their time of day was set back."""

import attrs
import pytest

from bench._jobsimulation import TICK_S, JobSimulation
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.workerport import RenewOrder, Report, StartOrder
from tests.jobs.test_former_orders import delay_next, make_busy_world
from tests.jobs.test_scheduler import JOB, ONE, steps

FORMER_MS = 1000
"""Start time of the first incarnation of each worker."""

SET_BACK_MS = 900
UNSEEN_MS = 1500
"""Start time of an incarnation that ended before the leader knew of it."""

LAG_S = 3.0
"""Time for which the registry still shows an earlier incarnation, in seconds."""


def restart_set_back(sim, name="w0", *, lag_s=LAG_S):
    """Restarts a worker whose time of day is set back; returns the worker."""
    sim.restart_worker(name, registry_lag_s=lag_s)
    worker = sim.workers[name]
    worker.info = attrs.evolve(worker.info, incarnation_ms=SET_BACK_MS)
    return worker


def record_of(leader):
    return leader.scheduler.state.workers["w0"]


def show_outdated_entry(sim, start_ms):
    """Lets the registry show an entry of an earlier incarnation for a while."""
    entry = attrs.evolve(sim.workers["w0"].registry_entry(), incarnation_ms=start_ms)
    sim.stale_entries["w0"] = (entry, sim.clock.now_s() + LAG_S)


def make_order(record, *, token):
    """Returns a renewal with a token."""
    return RenewOrder(
        worker="w0",
        address=record.info.address,
        token=token,
        acknowledged=0,
        lease_until_ms=None,
        wait_ms=0,
    )


def make_report(incarnation_ms):
    return Report(incarnation_ms=incarnation_ms, clock_ms=20_000, running=(), ended=())


def make_set_back_world():
    """Returns a world with tasks on a worker that was set back, its leader, and the worker."""
    sim, leader = make_busy_world(1)
    worker = restart_set_back(sim, lag_s=0.3)
    sim.submit("00000000000000bb", steps=[Step(count=3, size=ONE)])
    sim.run(4.0)
    assert worker.runs and record_of(leader).info.incarnation_ms == SET_BACK_MS
    return sim, leader, worker


@pytest.mark.parametrize("start_ms", [FORMER_MS, UNSEEN_MS, SET_BACK_MS - 100])
def test_a_late_answer_of_an_earlier_incarnation_ends_nothing(start_ms):
    """Guards against tasks that start elsewhere as a late report seems to tell of a restart."""
    sim, leader, worker = make_set_back_world()
    record, running = record_of(leader), set(worker.runs)
    order = make_order(record, token=record.first_token - 1)
    leader.scheduler.on_report(order, make_report(start_ms), sent_s=sim.clock.now_s())
    assert record.info.incarnation_ms == SET_BACK_MS and running <= set(record.attempts)
    sim.run(10.0)
    assert running <= set(worker.runs)


@pytest.mark.parametrize("start_ms", [UNSEEN_MS, FORMER_MS - 500])
def test_a_late_answer_may_be_of_an_incarnation_that_was_never_seen(start_ms):
    """Guards against the same if the leader knows only start times that have risen."""
    sim, leader = make_busy_world(1)
    sim.restart_worker("w0", registry_lag_s=0.3)
    sim.submit("00000000000000bb", steps=[Step(count=3, size=ONE)])
    sim.run(4.0)
    record, running = record_of(leader), set(sim.workers["w0"].runs)
    assert running and record.info.incarnation_ms == FORMER_MS + 1
    order = make_order(record, token=record.first_token - 1)
    leader.scheduler.on_report(order, make_report(start_ms), sent_s=sim.clock.now_s())
    assert record.info.incarnation_ms == FORMER_MS + 1 and running <= set(record.attempts)
    sim.run(10.0)


@pytest.mark.parametrize("start_ms", [FORMER_MS, UNSEEN_MS, SET_BACK_MS - 100])
def test_an_outdated_entry_ends_nothing(start_ms):
    """Guards against tasks that start elsewhere as an old registry entry has a later start."""
    sim, leader, worker = make_set_back_world()
    running = set(worker.runs)
    show_outdated_entry(sim, start_ms)
    for _ in range(round(LAG_S / TICK_S)):
        sim.run(TICK_S)
        record = record_of(leader)
        assert record.info.incarnation_ms == SET_BACK_MS and running <= set(record.attempts)
    sim.run(7.0)
    assert running <= set(worker.runs)


def test_an_outdated_entry_of_a_known_incarnation_causes_no_calls():
    """Guards against an idle worker that is fenced anew with each reading of the registry."""
    sim = JobSimulation(workers=1)
    sim.submit(JOB, steps=steps(2))
    leader = sim.claim("a")
    sim.run(30.0)
    restart_set_back(sim, lag_s=0.3)
    sim.run(3.0)
    show_outdated_entry(sim, FORMER_MS)
    token = record_of(leader).token
    sim.run(LAG_S)
    assert record_of(leader).token == token


def test_a_late_start_belongs_to_the_incarnation_that_lists_it():
    """Guards against a run that counts as one of the incarnation that its order was for."""
    sim, leader = make_busy_world(1)
    sim.submit("00000000000000bb", steps=[Step(count=3, size=ONE)])
    delay_next(sim, lambda order: isinstance(order, StartOrder) and order.worker == "w0", by_s=0.15)
    restart_set_back(sim, lag_s=10.0)
    sim.run(4.0)
    (attempt,) = record_of(leader).attempts.values()
    assert sim.workers["w0"].runs and attempt.incarnation_ms == SET_BACK_MS


@pytest.mark.parametrize("start_ms", [FORMER_MS, SET_BACK_MS, UNSEEN_MS])
def test_a_late_answer_to_a_forgotten_record_ends_nothing(start_ms):
    """Guards against an order of an earlier record that seems to be one to the present worker."""
    sim = JobSimulation(workers=1)
    leader = sim.claim("a")
    sim.run(2.0)
    order = make_order(record_of(leader), token=record_of(leader).token)
    sim.unlisted.add("w0")
    sim.run(30.0)
    assert "w0" not in leader.scheduler.state.workers
    sim.workers["w0"].crash()
    sim.workers["w0"].restart()
    sim.unlisted.clear()
    sim.run_s = 30.0
    sim.submit(JOB, steps=steps(2))
    sim.run(3.0)
    record = record_of(leader)
    assert record.attempts
    leader.scheduler.on_report(order, make_report(start_ms), sent_s=0.0)
    assert record.info.incarnation_ms == FORMER_MS + 1 and record.attempts


def test_an_idle_worker_gets_tasks():
    """Guards against a worker that nobody calls as its entry seems to be outdated."""
    sim = JobSimulation(workers=1)
    sim.submit("00000000000000bb", steps=steps(2))
    sim.claim("a")
    sim.run(30.0)
    restart_set_back(sim, lag_s=2.0)
    sim.run(3.0)
    record = record_of(sim.leaders[-1])
    assert record.is_fenced and record.info.incarnation_ms == SET_BACK_MS
    sim.submit(JOB, steps=steps(2))
    sim.run(4.0)
    assert sim.state(JOB) is JobState.COMPLETED


def test_the_next_restart_is_noticed_too():
    """Guards against a worker whose start times rise again and that gets no tasks any more."""
    sim, leader, _ = make_set_back_world()
    sim.restart_worker("w0", registry_lag_s=0.3)
    sim.workers["w0"].info = attrs.evolve(sim.workers["w0"].info, incarnation_ms=UNSEEN_MS)
    sim.submit("00000000000000cc", steps=[Step(count=3, size=ONE)])
    sim.run(4.0)
    assert record_of(leader).info.incarnation_ms == UNSEEN_MS and sim.workers["w0"].runs


@pytest.mark.parametrize("lag_s", [0.3, 4.0])
@pytest.mark.parametrize("known_s", [0.0, 0.3, 2.0])
@pytest.mark.parametrize("is_cut", [False, True])
def test_a_takeover_lets_no_task_run_twice(is_cut, known_s, lag_s):
    """Guards against a successor that takes a start time on the roster for the latest one."""
    sim, leader = make_busy_world(1)
    worker = restart_set_back(sim, lag_s=lag_s)
    sim.submit("00000000000000bb", steps=[Step(count=3, size=ONE)])
    sim.run(known_s)
    leader.alive = False
    sim.run(1.0)
    if is_cut:
        sim.cut.add(("b", "w0"))
    sim.add_worker(3, 6.0)
    successor = sim.claim("b")
    sim.run(16.0)
    if not is_cut:
        sim.submit("00000000000000cc", steps=[Step(count=6, size=ONE)])
        sim.run(3.0)
        assert worker.runs
    assert successor.alive
