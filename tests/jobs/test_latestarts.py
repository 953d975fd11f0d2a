"""Starts without an answer that a later incarnation of their worker may carry out."""

import attrs
import pytest

from bench._jobsimulation import JobSimulation
from bench.lostorders import DAYS, WORKERS, Play
from fescuerudder.errors import PlatformError
from fescuerudder.jobs.job import TaskId
from fescuerudder.jobs.jobrun import MAX_ORDER_DELAY_S, MAX_POSSIBLE_CRASHES, JobState
from fescuerudder.jobs.latestarts import (
    StoredLateStart,
    dump_late_starts,
    load_late_starts,
    to_stored,
)
from fescuerudder.jobs.leases import LEASE_HORIZON_S
from fescuerudder.jobs.rows import StoreClock
from fescuerudder.jobs.storage import LATE_STARTS_KEY
from tests.jobs.test_scheduler import JOB, steps

LATE_S = 10.0
"""Time after which the delayed order is carried out, in seconds."""


MAX_JOB_S = 14.0
"""Longest time of a job while orders are lost; with its tasks held back it lasts over 20 s."""


def lose_start(sim, **fields):
    """Submits a job whose first start is carried out late, without an answer; returns its worker.

    The other tasks of a gang start as usual.
    """
    sim.order_loss_rate, sim.lost_order_delay_s = 1.0, (LATE_S, LATE_S)
    sim.submit(JOB, steps=steps(1, **fields))
    sim.run(0.1)
    sim.order_loss_rate = 0.0
    leader = sim.leaders[-1]
    (attempt,) = leader.scheduler.state.jobs[JOB].attempts()
    return attempt.worker


def starts_on(sim):
    """Returns the workers on which the job's task has started, in order."""
    return [event[1] for event in sim.events if event[4] == "start" and event[2].job == JOB]


def test_a_task_without_an_answer_starts_again_on_its_worker_at_once():
    """Guards against work that stands still until the order can no longer be carried out."""
    sim = JobSimulation(workers=3)
    sim.claim("a")
    sim.run(1.0)
    worker = lose_start(sim)
    sim.run(3.5)
    assert starts_on(sim) == [worker]
    assert sim.state(JOB) is JobState.COMPLETED


@pytest.mark.parametrize("takes_over", [False, True])
@pytest.mark.parametrize("crashes_after_s", [2.5, 5.0, 8.0])
def test_a_crash_of_the_bound_worker_starts_nothing_elsewhere(takes_over, crashes_after_s):
    """Guards against two runs at a time: the order arrives at the next incarnation of its worker.

    That happens before the leader's first call, and a successor has only the stored rows.
    """
    sim = JobSimulation(workers=3)
    sim.run_s = 30.0
    sim.claim("a")
    sim.run(1.0)
    worker = lose_start(sim)
    arrives_s = sim.leaders[-1].scheduler.state.workers[worker].last_start_s + LATE_S
    sim.run(crashes_after_s)
    assert starts_on(sim) == [worker]
    sim.workers[worker].crash()
    if takes_over:
        sim.leaders[-1].alive = False
        sim.claim("b")
    sim.run(arrives_s - sim.clock.now_s() - 0.05)
    sim.workers[worker].restart()
    sim.run(2.0)
    late = [event for event in sim.events if event[4] == "start"][1:]
    assert [(event[1], event[3]) for event in late] == [(worker, 1)]
    sim.run(60.0)
    assert sim.state(JOB) is JobState.COMPLETED


@pytest.mark.parametrize("takes_over", [False, True])
@pytest.mark.parametrize("restarts", [1, 2])
def test_an_idle_worker_is_called_before_a_late_order_of_a_done_task(takes_over, restarts):
    """Guards against a task that starts after it ended as done (random world 40).

    The worker restarts 0.4 s before the order arrives. The registry lags, and as nothing ran there
    nothing else called it. A successor knows of the order from the stored row only.
    """
    sim = JobSimulation(workers=3)
    sim.claim("a")
    sim.run(1.0)
    worker = lose_start(sim)
    arrives_s = sim.leaders[-1].scheduler.state.workers[worker].last_start_s + LATE_S
    sim.run(5.0)
    assert starts_on(sim) == [worker]
    assert sim.state(JOB) is JobState.COMPLETED
    if takes_over:
        sim.leaders[-1].alive = False
        sim.claim("b")
    for number in range(restarts, 0, -1):
        sim.run(arrives_s - 0.4 * number - sim.clock.now_s())
        sim.restart_worker(worker, registry_lag_s=4.0)
    sim.run(5.0)
    assert starts_on(sim) == [worker]


def test_a_bound_task_goes_elsewhere_once_the_order_can_no_longer_arrive():
    """Guards against a task that waits for ever for a worker that does not return."""
    sim = JobSimulation(workers=3)
    sim.claim("a")
    sim.run(1.0)
    worker = lose_start(sim)
    sent_s = sim.clock.now_s()
    sim.workers[worker].crash()
    sim.run(MAX_ORDER_DELAY_S - 1.0)
    assert not starts_on(sim)
    sim.run(LEASE_HORIZON_S + 3.0)
    (start,) = [event for event in sim.events if event[4] == "start"]
    assert start[1] != worker
    assert start[0] - sent_s < MAX_ORDER_DELAY_S + LEASE_HORIZON_S + 1.0


def test_a_bound_task_goes_elsewhere_once_another_worker_has_the_address():
    """Guards against a wait of 20 s although the order will be refused."""
    sim = JobSimulation(workers=3)
    sim.keeps_id = False
    sim.claim("a")
    sim.run(1.0)
    worker = lose_start(sim)
    sim.workers[worker].crash()
    sim.run(1.0)
    sim._restart_crashed(worker)
    sim.run(4.0)
    assert sim.state(JOB) is JobState.COMPLETED
    assert worker not in starts_on(sim)


def test_a_bound_member_keeps_its_worker_and_the_gang_starts():
    """Guards against a gang that waits for 20 s, or for ever, after one start without an answer."""
    sim = JobSimulation(workers=4, capacity=2.0)
    sim.claim("a")
    sim.run(1.0)
    lost = []
    send = sim.send

    def lose_first(leader, order):
        """Loses the first start only."""
        is_first = hasattr(order, "payload") and not lost
        sim.order_loss_rate, sim.lost_order_delay_s = float(is_first), (LATE_S, LATE_S)
        lost.extend([order.worker] if is_first else [])
        send(leader, order)
        sim.order_loss_rate = 0.0

    sim.send = lose_first
    sim.submit(JOB, steps=steps(4, gang=True))
    sim.run(8.0)
    assert sim.state(JOB) is JobState.COMPLETED
    index = next(e[2].index for e in sim.events if e[4] == "start" and e[1] == lost[0] and e[3] > 1)
    assert [e[1] for e in sim.events if e[4] == "start" and e[2].index == index][-1] == lost[0]


def test_jobs_go_on_while_orders_are_lost():
    """Guards against work that stands still for up to 20 s while a twentieth of the orders is lost.

    The load is that of `bench.lostorders`, which lasts 3.8 s on average without losses.
    """
    (day,) = (day for day in DAYS if day.name == "orders lost")
    play = Play(sim=JobSimulation(seed=1, workers=WORKERS), day=day, jobs=30)
    play.run()
    assert len(play.job_times_s()) == 30
    assert max(play.job_times_s()) < MAX_JOB_S
    assert play.second_runs() == (0, 0)


def test_one_crash_counts_once_for_a_task_with_several_late_starts():
    """Guards against a task that is held back for ever after one crash (random world 723)."""
    sim = JobSimulation(workers=2)
    leader = sim.claim("a")
    sim.run(1.0)
    worker = lose_start(sim)
    (attempt,) = leader.scheduler.state.jobs[JOB].attempts()
    for number in range(2, MAX_POSSIBLE_CRASHES + 1):
        leader.scheduler.state.add_attempt(attrs.evolve(attempt, number=number))
    sim.restart_worker(worker, registry_lag_s=0.0)
    sim.run(0.2)
    assert attempt.task.crash_count == 1


def test_no_row_is_written_while_every_start_is_answered():
    """Guards against writes on a quiet day for what happens while orders are lost."""
    sim = JobSimulation(workers=3)
    sim.claim("a")
    sim.submit(JOB, steps=steps(3, 3))
    sim.run(5.0)
    assert sim.state(JOB) is JobState.COMPLETED
    assert sim.store.get(LATE_STARTS_KEY) is None
    sim.submit("00000000000000bb", steps=steps(1))
    sim.order_loss_rate, sim.lost_order_delay_s = 1.0, (LATE_S, LATE_S)
    sim.run(0.1)
    sim.order_loss_rate = 0.0
    sim.run(2.5)
    assert sim.store.get(LATE_STARTS_KEY) is not None


def test_stored_late_starts_are_read_as_written():
    """Guards against a successor that knows another worker or time than its predecessor."""
    sim = JobSimulation(workers=1)
    sim.claim("a")
    sim.run(1.0)
    lose_start(sim)
    (attempt,) = sim.leaders[-1].scheduler.state.jobs[JOB].attempts()
    clock = StoreClock(reading_ms=0, sent_s=0.0, received_s=0.0)
    expected = StoredLateStart(
        worker="w0",
        incarnation_ms=1000,
        task=TaskId(JOB, 0, 0, 0),
        number=1,
        until_ms=clock.latest_ms(attempt.sent_s + MAX_ORDER_DELAY_S),
    )
    assert load_late_starts(dump_late_starts([to_stored(attempt, clock)])) == [expected]
    untimed = load_late_starts(dump_late_starts([to_stored(attempt, None)]))
    assert untimed == [attrs.evolve(expected, until_ms=0)]


@pytest.mark.parametrize("data", [b"{", b"{}", b"[1]", b"[[1,2,[],3,4]]", b'[["w",1,["j"],1,1]]'])
def test_malformed_late_starts_are_an_error_of_their_own(data):
    """Guards against a successor that ends because of one malformed row."""
    with pytest.raises(PlatformError):
        load_late_starts(data)
