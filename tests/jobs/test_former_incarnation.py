"""What is meant for one incarnation of a worker and acts on the next one, or is believed of it.

Leases are in `test_former_orders`, starts in `test_latestarts`.
"""

import attrs
import pytest

from bench._jobsimulation import JobSimulation
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.workerport import (
    OrderAnswer,
    OrderResult,
    RenewOrder,
    StartOrder,
    StopOrder,
    ThrottleOrder,
)
from tests.jobs.test_scheduler import JOB, ONE

OTHER_JOB = "00000000000000bb"
LAST_JOB = "00000000000000cc"

MAX_LEASE_S = 10.0
NEVER_S = 90.0
"""Delay of orders that do not arrive within a test."""

NEXT_CALL_S = 0.8
"""Delay with which a renewal comes after the runs that it must not acknowledge have ended."""


def make_world(*, tasks, workers=2):
    """Returns a world in which tasks have run on all workers, its leader and the first worker."""
    sim = JobSimulation(workers=workers, capacity=6.0, max_lease_s=MAX_LEASE_S)
    sim.run_s = 0.3
    if tasks:
        sim.submit(JOB, steps=[Step(count=tasks, size=ONE)])
    leader = sim.claim("a")
    sim.run(6.0)
    return sim, leader, sim.workers["w0"]


def require(condition):
    """Checks that a world has got into the state of the test; a known fault doesn't excuse it."""
    if not condition:
        raise RuntimeError("the world is not in the state that the test needs")


def run_until(sim, is_reached, *, limit_s=20.0):
    """Advances the time until a condition holds."""
    end_s = sim.clock.now_s() + limit_s
    while not is_reached():
        require(sim.clock.now_s() < end_s)
        sim.run(0.05)


def delay(sim, delay_s):
    """Lets orders to the first worker arrive late and without an answer; returns these orders.

    Args:
        sim: the world.
        delay_s: returns the delay of an order, None for the usual one.
    """
    chosen = []

    def late_by_s(order):
        late_s = delay_s(order) if order.worker == "w0" else None
        if late_s is not None:
            chosen.append(order)
        return late_s

    sim.late_by_s = late_by_s
    return chosen


def starts_after_noted_ends(sim):
    """Returns the starts of tasks one of whose ends had been acknowledged as done."""
    ended_s = {event[1:4]: event[0] for event in sim.events if event[4] == "done"}
    noted = {}
    for event in sim.events:
        if event[4] == "noted done":
            noted.setdefault(event[2], ended_s[event[1:4]])
    return [e for e in sim.events if e[4] == "start" and noted.get(e[2], e[0]) < e[0]]


@pytest.mark.parametrize("renewal_s", [NEXT_CALL_S, NEVER_S], ids=["late call", "next call"])
def test_no_end_is_acknowledged_before_the_leader_has_seen_it(renewal_s):
    """Guards against a task that starts again after an end that was forgotten unseen (TWICE).

    A start without an answer runs in the next incarnation and ends there. A renewal acknowledges
    the ends of the last incarnation, whose numbers are higher: one for the last incarnation that
    comes late, or the leader's next one, as it doesn't know of the restart yet.
    """
    sim, _, _ = make_world(tasks=12)
    late = delay(sim, lambda order: 0.3 if isinstance(order, StartOrder) else renewal_s)
    sim.submit(OTHER_JOB, steps=[Step(count=12, size=ONE)])
    run_until(sim, lambda: any(isinstance(order, StartOrder) for order in late))
    sim.restart_worker("w0", registry_lag_s=2.0)
    sim.run(1.2)
    sim.late_by_s = lambda order: None
    sim.run(10.0)
    require(sim.state(OTHER_JOB) is JobState.COMPLETED)
    assert not starts_after_noted_ends(sim)


def test_the_ends_of_the_next_incarnation_are_acknowledged():
    """Guards against ends that are not acknowledged, as the numbers of the last ones were higher.

    The report that tells of the new incarnation answers a renewal for the last one.
    """
    sim, _, worker = make_world(tasks=20, workers=1)
    sim.run_s = 3.0
    sim.submit(OTHER_JOB, steps=[Step(count=2, size=ONE)])
    sim.run(1.0)
    sim.restart_worker("w0", registry_lag_s=2.0)
    sim.run(15.0)
    require(sim.state(OTHER_JOB) is JobState.COMPLETED)
    assert not worker.unacknowledged


def test_a_renewal_for_the_last_life_of_a_forgotten_worker_lets_no_task_run_twice():
    """Guards against leases of a worker that was idle, left the registry, and returns.

    A leader that forgets it gives its new record the token of the late renewal.
    """
    sim, leader, worker = make_world(tasks=18, workers=3)
    workers = leader.scheduler.state.workers
    sim.run(24.0)

    def is_last_acknowledgement(order):
        is_idle = not workers["w0"].attempts
        return isinstance(order, RenewOrder) and order.acknowledged > 6 and is_idle and not late

    late = delay(sim, lambda order: 5.0 if is_last_acknowledgement(order) else None)
    sim.submit(OTHER_JOB, steps=[Step(count=18, size=ONE)])
    run_until(sim, lambda: late)
    worker.crash()
    sim.run(3.0)
    worker.restart()
    sim.run_s = 40.0
    sim.submit(LAST_JOB, steps=[Step(count=18, size=ONE)])
    sim.run(2.2)
    sim.cut.add((leader.name, "w0"))
    sim.add_worker(3, 6.0)
    sim.run(16.0)


def test_a_successor_binds_a_start_whose_answer_its_predecessor_still_missed():
    """Guards against a task that starts elsewhere while the next incarnation runs it.

    The leader is lost before it gives the start up, so no row names it as late. The roster
    restricts the silent worker already, and what ran in its last incarnation has ended.
    """
    sim, leader, worker = make_world(tasks=0)
    late = delay(sim, lambda order: 3.5 if isinstance(order, StartOrder) else NEVER_S)
    sim.run_s = 30.0
    sim.submit(OTHER_JOB, steps=[Step(count=8, size=ONE)])
    run_until(sim, lambda: any(isinstance(order, StartOrder) for order in late))
    sim.unlisted.add("w0")
    sim.run(0.6)
    worker.crash()
    worker.restart()
    sim.run(3.2)
    require(worker.runs)
    leader.alive = False
    sim.cut.add(("b", "w0"))
    sim.add_worker(3, 6.0)
    sim.run(0.4)
    sim.claim("b")
    sim.run(16.0)


def test_the_clock_in_an_answer_of_the_last_incarnation_is_not_used():
    """Guards against leases with deadlines on the clock of the last incarnation.

    The answer to a stop arrives once the leader knows the next incarnation. The worker cuts a lease
    that seems far off to its longest one, which the leader doesn't count.
    """
    sim, leader, worker = make_world(tasks=12)
    sim.run(24.0)
    sim.run_s = 40.0
    sim.submit(OTHER_JOB, steps=[Step(count=8, size=ONE)])
    sim.run(0.3)
    answer, slow = sim._answer, []

    def answer_slowly(asker, order, sent_s, reply):
        if isinstance(order, StopOrder) and order.worker == "w0" and not slow:
            slow.append(order)
            sim._at(sim.clock.now_s() + 1.0, lambda: answer(asker, order, sent_s, reply))
        else:
            answer(asker, order, sent_s, reply)

    sim._answer = answer_slowly
    sim.cancel(OTHER_JOB)
    run_until(sim, lambda: slow)
    sim.restart_worker("w0", registry_lag_s=0.3)
    sim.run(1.1)
    record = leader.scheduler.state.workers["w0"]
    require(record.info.incarnation_ms == worker.info.incarnation_ms)
    assert record.clock.earliest_ms(sim.clock.now_s()) <= worker.clock_ms()


def test_a_worker_that_returns_with_an_earlier_time_of_day_is_noticed():
    """Guards against tasks that are lost as the time of day was set back between two incarnations.

    All reports of the next one have a lower `born`, and count as late ones of the last.
    """
    sim, _, worker = make_world(tasks=0)
    sim.run_s = 5.0
    sim.submit(OTHER_JOB, steps=[Step(count=8, size=ONE)])
    sim.run(2.0)
    worker.info = attrs.evolve(worker.info, incarnation_ms=worker.info.incarnation_ms - 500)
    sim.restart_worker("w0", registry_lag_s=0.3)
    sim.run(30.0)
    assert sim.state(OTHER_JOB) is JobState.COMPLETED


@pytest.mark.parametrize("percents", [(0, 100), (100, 0)], ids=["paused", "at full speed"])
def test_a_throttle_that_comes_late_doesnt_replace_a_newer_one(percents):
    """Guards against a task that stays paused or at full speed, unknown to the leader (HARM)."""
    sim, leader, worker = make_world(tasks=0, workers=1)
    sim.run_s = 30.0
    sim.submit(OTHER_JOB, steps=[Step(count=1, size=ONE)])
    sim.run(1.0)
    scheduler = leader.scheduler
    record = scheduler.state.workers["w0"]
    (attempt,) = record.attempts.values()
    orders = []
    for percent, result in zip(percents, (OrderResult.UNKNOWN, OrderResult.DONE), strict=True):
        order = ThrottleOrder(
            worker="w0",
            address=record.info.address,
            task=attempt.task.id,
            attempt=attempt.number,
            percent=percent,
            token=record.token,
        )
        orders.append(order)
        scheduler.on_throttled(order, OrderAnswer(result))
    late, newer = orders
    require(worker.throttle(newer).result is OrderResult.DONE)
    worker.throttle(late)
    assert worker.runs[(attempt.task.id, attempt.number)].throttle == newer.percent
