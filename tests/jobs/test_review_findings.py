"""Starts without an answer that are carried out beside a later start of their task.

Further cases are in `test_unanswered_starts`.
"""

import pytest

from fescuerudder.jobs.job import Step
from fescuerudder.jobs.workerport import OrderAnswer, OrderResult, StartOrder
from tests.jobs.test_former_incarnation import NEVER_S, OTHER_JOB, make_world, run_until
from tests.jobs.test_scheduler import ONE
from tests.jobs.test_unanswered_starts import check_to_the_end, cut_off_from_successors, take_over

FOUND = pytest.mark.xfail(reason="KNOWN-RED.txt", strict=True, raises=AssertionError)

LATE_S = 14.0
"""Time from the first start until it is carried out."""


class LateWorld:
    """World in which all starts of a task on the only worker are carried out late.

    Attributes:
        sent: these starts.
        refused: results with which starts are refused at once, by their position in `sent`.
        is_deaf: no renewal reaches the worker.
    """

    def __init__(self):
        self.sim, self.leader, _ = make_world(tasks=0, workers=1)
        self.sim.run_s = 30.0
        self.sent = []
        self.refused = {}
        self.is_deaf = False
        self.begin_s = None
        self._send = self.sim.send
        self.sim.send = self._send_or_refuse
        self.sim.late_by_s = self._late_by_s

    def _send_or_refuse(self, leader, order):
        if isinstance(order, StartOrder):
            result = self.refused.get(len(self.sent))
            if result is not None:
                self.sent.append(order)
                answer = OrderAnswer(result, None)
                call = lambda: leader.scheduler.on_started(order, answer)  # noqa: E731
                self.sim._at(self.sim.clock.now_s() + 0.02, call)
                return
        self._send(leader, order)

    def _late_by_s(self, order):
        if not isinstance(order, StartOrder):
            return NEVER_S if self.is_deaf else None
        now_s = self.sim.clock.now_s()
        self.begin_s = now_s if self.begin_s is None else self.begin_s
        self.sent.append(order)
        return self.begin_s + LATE_S + 0.1 * len(self.sent) - now_s

    def restart_and_carry_out(self):
        """Restarts the worker just before all starts come, without a call before them."""
        self.is_deaf = True
        assert self.sim.clock.now_s() < self.begin_s + LATE_S - 0.1
        self.sim.run(self.begin_s + LATE_S - 0.1 - self.sim.clock.now_s())
        self.sim.restart_worker("w0", registry_lag_s=4.0)
        self.sim.run(2.0)


@pytest.mark.parametrize(
    "result", [OrderResult.NOT_SENT, OrderResult.NO_ROOM, OrderResult.UNHEALTHY]
)
def test_a_start_after_a_refused_repetition_does_not_run_beside_the_first_one(result):
    """Guards against a new number while the lost start has one, so that both run (TWICE)."""
    world = LateWorld()
    world.refused[1] = result
    world.sim.submit(OTHER_JOB, steps=[Step(count=1, size=ONE)])
    run_until(world.sim, lambda: len(world.sent) == 3)
    world.sim.run(0.2)
    print([(o.attempt, o.token) for o in world.sent])
    world.restart_and_carry_out()


def test_a_start_after_a_withdrawn_repetition_does_not_run_beside_the_first_one():
    """Guards against a new number after a repeated start was planned and never sent (TWICE)."""
    world = LateWorld()
    world.sim.submit(OTHER_JOB, steps=[Step(count=1, size=ONE)])
    run_until(world.sim, lambda: len(world.sent) == 1)
    state = world.leader.scheduler.state
    take = world.leader.scheduler.take_starts
    plan = world.leader.scheduler.plan
    withdrawn = []

    def withdraw_first(*args):
        for attempt in list(state.planned):
            if not withdrawn:
                state.withdraw(attempt, reason="worker lost")
                withdrawn.append(attempt)
        return take(*args)

    world.leader.scheduler._releaser.take_orders, original = (
        lambda now_s: (withdraw_planned(state, withdrawn), original(now_s))[1],
        world.leader.scheduler._releaser.take_orders,
    )
    run_until(world.sim, lambda: len(world.sent) == 2)
    world.sim.run(0.2)
    print([(o.attempt, o.token) for o in world.sent])
    assert withdrawn
    world.restart_and_carry_out()


def withdraw_planned(state, withdrawn):
    """Withdraws the first start that is planned, as if its worker were lost."""
    for attempt in list(state.planned):
        if not withdrawn:
            state.withdraw(attempt, reason="worker lost")
            withdrawn.append(attempt)


@pytest.mark.parametrize("successors", [1, 2])
def test_a_successor_repeats_a_start_that_was_repeated_before(successors):
    """Guards against a new number after a takeover with two late starts of a task (TWICE)."""
    world = LateWorld()
    world.sim.submit(OTHER_JOB, steps=[Step(count=1, size=ONE)])
    run_until(world.sim, lambda: len(world.sent) == 2)
    for count, name in enumerate("bc"[:successors]):
        world.sim.run(0.6)
        take_over(world.sim, name)
        run_until(world.sim, lambda count=count: len(world.sent) == 3 + count)
    world.sim.run(0.2)
    print([(o.attempt, o.token) for o in world.sent])
    world.restart_and_carry_out()


def test_a_start_after_a_restart_repeats_one_that_was_repeated_before():
    """Guards against a new number once the worker has restarted with two late starts (TWICE)."""
    world = LateWorld()
    world.sim.submit(OTHER_JOB, steps=[Step(count=1, size=ONE)])
    run_until(world.sim, lambda: len(world.sent) == 2)
    world.sim.run(0.3)
    world.sim.restart_worker("w0", registry_lag_s=0.0)
    run_until(world.sim, lambda: len(world.sent) == 3)
    world.sim.run(0.2)
    print([(o.attempt, o.token) for o in world.sent])
    world.restart_and_carry_out()


@pytest.mark.parametrize("waits_s", [0.0, 3.0, 8.0])
def test_a_repeated_start_is_late_from_its_own_order(waits_s):
    """Guards against a stored time that counts from the first order of a number (TWICE).

    The repeated start goes out at once in an outage of the store, as a record covers it. The leader
    is lost in that outage. The task has waited for its worker, whose zone was out of service.
    """
    world = LateWorld()
    sim, sent_s = world.sim, []

    def late_by_s(order):
        if not isinstance(order, StartOrder) or order.worker != "w0":
            return None
        sent_s.append(sim.clock.now_s())
        return 19.5

    sim.late_by_s = late_by_s
    sim.submit(OTHER_JOB, steps=[Step(count=1, size=ONE)])
    run_until(sim, lambda: sent_s)
    world.leader.scheduler.set_zones_out(frozenset({"z0"}))
    sim.run(3.0 + waits_s)
    sim.store.faults.down = True
    world.leader.scheduler.set_zones_out(frozenset())
    run_until(sim, lambda: len(sent_s) == 2)
    sim.leaders[-1].alive = False
    sim.store.faults.down = False
    cut_off_from_successors(sim)
    sim.unlisted.add("w0")
    sim.add_worker(1, 6.0)
    sim._at(sent_s[1] + 19.4, lambda: sim.restart_worker("w0", registry_lag_s=0.0))
    sim.run(0.4)
    sim.claim("b")
    sim.run(40.0)
    print([e for e in sim.events if e[4] == "start"], sent_s)


@pytest.mark.parametrize("arrives_s", [11.0, 14.0, 19.5])
@pytest.mark.parametrize("is_listed", [False, True])
def test_a_start_that_the_record_of_its_own_task_covers_outlasts_its_leader(arrives_s, is_listed):
    """Guards against a second run of a task whose next start has no record of its own (TWICE).

    Its first run failed, and was recorded. The next start on that worker goes out in an outage of
    the store, as the old record covers it. The leader is lost before it stores that start.
    """
    sim, leader, _ = make_world(tasks=0, workers=1)
    sim.plan = lambda task, attempt, worker: (ONE, 30.0 if attempt > 1 else 0.3, attempt == 1)
    sent = []

    def late_by_s(order):
        if not isinstance(order, StartOrder) or order.worker != "w0":
            return None
        sent.append(order.attempt)
        return arrives_s if order.attempt > 1 else None

    sim.late_by_s = late_by_s
    sim.submit(OTHER_JOB, steps=[Step(count=1, size=ONE)])
    run_until(sim, lambda: sim.events and sim.events[-1][4] == "start")
    leader.scheduler.set_zones_out(frozenset({"z0"}))
    sim.run(3.0)
    sim.store.faults.down = True
    leader.scheduler.set_zones_out(frozenset())
    run_until(sim, lambda: len(sent) == 2)
    sim.leaders[-1].alive = False
    sim.store.faults.down = False
    cut_off_from_successors(sim)
    if not is_listed:
        sim.unlisted.add("w0")
    sim.add_worker(1, 6.0)
    at_s = sim.clock.now_s() + arrives_s - 0.1
    sim._at(at_s, lambda: sim.restart_worker("w0", registry_lag_s=0.0))
    sim.run(0.4)
    sim.claim("b")
    sim.run(40.0)
    print([e for e in sim.events if e[4] == "start"], sent)


# --- crashes


@pytest.mark.parametrize("takeovers", [0, 3])
def test_a_repeated_start_counts_as_a_possible_crash_after_takeovers(takeovers):
    """Guards against more starts of a task that may crash its worker than the limit (BUDGET)."""
    sim, _, _ = make_world(tasks=0, workers=1)
    sim.run_s = 60.0
    sent, lost = [], []

    def late_by_s(order):
        if not isinstance(order, StartOrder):
            return None
        sent.append((order.attempt, round(sim.clock.now_s(), 2)))
        return NEVER_S

    sim.late_by_s = late_by_s
    sim.submit(OTHER_JOB, steps=[Step(count=1, size=ONE)])
    names = iter("bcdefghijk")
    for round_ in range(8):
        count = len(sent)
        try:
            run_until(sim, lambda count=count: len(sent) > count, limit_s=12.0)
        except RuntimeError:
            break
        sim.run(0.1)
        sim.workers["w0"].crash()
        if round_ < takeovers:
            sim.leaders[-1].alive = False
            sim.run(0.6)
            sim.claim(next(names))
        sim.run(0.4)
        sim.workers["w0"].restart()
        sim.run(0.1)
    (run,) = sim.leaders[-1].scheduler.state.jobs.values()
    (task,) = run.tasks()
    print("STARTS", takeovers, sent, task.possible_crashes, task.crashed_attempts)
    assert len(sent) <= 4
