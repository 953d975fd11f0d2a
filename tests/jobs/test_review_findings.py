"""Starts without an answer that are carried out beside a later start of their task.

Further cases are in `test_unanswered_starts`.
"""

import pytest

from bench._jobsimulation import JobSimulation
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.workerport import OrderAnswer, OrderResult, StartOrder
from tests.jobs.test_former_incarnation import MAX_LEASE_S, NEVER_S, OTHER_JOB, make_world, run_until
from tests.jobs.test_scheduler import ONE
from tests.jobs.test_unanswered_starts import (
    check_to_the_end,
    cut_off_from_successors,
    restart,
    send_covered_start,
    take_over,
)

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


def test_a_start_after_two_crashes_repeats_the_newest_number():
    """Guards against a new number while a repeated start may still be carried out (TWICE)."""
    world = LateWorld()
    world.sim.submit(OTHER_JOB, steps=[Step(count=1, size=ONE)])
    for count in (2, 3):
        run_until(world.sim, lambda count=count: len(world.sent) == count)
        world.sim.run(0.1)
        world.sim.workers["w0"].crash()
        world.sim.run(0.4)
        world.sim.workers["w0"].restart()
    world.sim.run(0.2)
    print([(o.attempt, o.token) for o in world.sent])
    world.restart_and_carry_out()


def test_a_task_that_two_done_tasks_cover_starts_in_the_third_term():
    """Guards against a task that waits for ever (LOST).

    The second leader stores two entries without a number for it, on the same worker.
    """
    sim = JobSimulation(workers=1, capacity=6.0, max_lease_s=MAX_LEASE_S)
    run_s = {0: 6.0, 1: 6.0, 2: 40.0, 3: 1.0}
    sim.plan = lambda task, attempt, worker: (ONE, run_s[task.step], False)
    sim.claim("a")
    sim.run(3.0)
    sim.submit(
        OTHER_JOB,
        steps=[
            Step(count=1, size=ONE),
            Step(count=1, size=ONE),
            Step(count=1, size=ONE),
            Step(count=1, size=ONE, after=(2,)),
        ],
    )
    run_until(sim, lambda: len([e for e in sim.events if e[4] == "start"]) == 3)
    sim.run(1.0)
    sim.cut |= {(name, "w0") for name in "bcd"}
    sim.unlisted.add("w0")
    sim.add_worker(1, 6.0)
    take_over(sim, "b")
    sim.run(20.0)
    from fescuerudder.jobs.storage import STARTS_TABLE, starts_key
    from fescuerudder.jobs.job import StepId
    for step in range(4):
        row = sim.store.get(starts_key(StepId(OTHER_JOB, 0, step)))
        print("RECORD", step, row and row.value)
    take_over(sim, "c")
    sim.run(90.0)
    print("STATE", sim.state(OTHER_JOB), [e for e in sim.events if e[4] in ("start", "done")])
    assert sim.state(OTHER_JOB) is JobState.COMPLETED


@pytest.mark.parametrize("lost_s", [0.0, 0.1, 0.6])
@pytest.mark.parametrize("max_lease_s", [6.0, 10.0])
def test_a_start_that_is_lost_with_its_worker_waits_for_thirty_seconds(lost_s, max_lease_s):
    """Guards against a longer wait than the design names (LOST)."""
    sim = JobSimulation(workers=1, capacity=6.0, max_lease_s=max_lease_s)
    sim.run_s = 30.0
    sim.claim("a")
    sim.run(6.0)
    sent = []
    def late_by_s(order):
        if isinstance(order, StartOrder) and order.worker == "w0":
            sent.append(sim.clock.now_s())
            return NEVER_S
        return None
    sim.late_by_s = late_by_s
    sim.submit(OTHER_JOB, steps=[Step(count=1, size=ONE)])
    run_until(sim, lambda: sent)
    sim.run(lost_s)
    sim.leaders[-1].alive = False
    sim.workers["w0"].crash()
    lost = sim.clock.now_s()
    sim.add_worker(1, 6.0)
    sim.run(0.4)
    sim.claim("b")
    run_until(sim, lambda: any(e[4] == "start" for e in sim.events), limit_s=60.0)
    waited = sim.clock.now_s() - lost
    print("WAITED", lost_s, max_lease_s, round(waited, 2))
    assert waited <= 20.0 + max_lease_s + 1.0


@pytest.mark.parametrize("kind", ["beside", "after", "after one"])
def test_covered_tasks_wait_no_longer(kind):
    """Guards against tasks that wait for a worker that never returns (LOST)."""
    sim = JobSimulation(workers=2, capacity=6.0, max_lease_s=10.0)
    sim.plan = lambda task, attempt, worker: (ONE, 2.0 if task.index or task.step else 4.0, False)
    sim.claim("a")
    sim.run(6.0)
    after = {"beside": (), "after": (0,), "after one": (0,)}[kind]
    sim.submit(
        OTHER_JOB, steps=[Step(count=12, size=ONE), Step(count=12, size=ONE, after=after)]
    )
    run_until(sim, lambda: len([e for e in sim.events if e[4] == "start"]) == 12)
    sim.run(1.0 if kind != "after one" else 2.5)
    sim.leaders[-1].alive = False
    sim.workers["w0"].crash()
    lost = sim.clock.now_s()
    sim.add_worker(2, 6.0)
    sim.run(0.4)
    sim.claim("b")
    run_until(sim, lambda: sim.state(OTHER_JOB) is JobState.COMPLETED, limit_s=90.0)
    print("JOB TOOK", kind, round(sim.clock.now_s() - lost, 2))


@pytest.mark.parametrize("term_s", [3.0, 6.0, 9.0])
@pytest.mark.parametrize("arrives_s", [14.0, 18.0])
@pytest.mark.parametrize("is_listed", [False, True])
def test_a_covered_start_outlasts_two_leaders(term_s, arrives_s, is_listed):
    """Guards against a third leader that knows less than the second one (TWICE).

    The second leader's roster restricts the worker of the start to its recorded attempts.
    """
    sim = send_covered_start(arrives_s=arrives_s)
    cut_off_from_successors(sim)
    if not is_listed:
        sim.unlisted.add("w0")
    restart(sim, after_s=arrives_s - 0.1)
    sim.add_worker(2, 6.0)
    sim.run(0.3)
    sim.leaders[-1].alive = False
    sim.store.faults.down = False
    take_over(sim, "b")
    sim.run(term_s)
    take_over(sim, "c")
    sim.run(40.0)
    print([e[:4] for e in sim.events if e[4] == "start"])


@pytest.mark.parametrize("steps", [1, 2])
def test_tasks_that_were_answered_wait_for_leases_only(steps):
    """Guards against a wait for starts that were never lost (LOST).

    The tasks have run for 4 s. Steps beside each other have records that cover each other's tasks.
    """
    sim = JobSimulation(workers=1, capacity=6.0, max_lease_s=MAX_LEASE_S)
    sim.run_s = 30.0
    sim.claim("a")
    sim.run(6.0)
    sim.submit(OTHER_JOB, steps=[Step(count=2, size=ONE)] * steps)
    sim.run(4.0)
    sim.leaders[-1].alive = False
    sim.workers["w0"].crash()
    lost_s = sim.clock.now_s()
    sim.add_worker(1, 6.0)
    sim.run(0.4)
    sim.claim("b")
    run_until(sim, lambda: any(e[1] == "w1" for e in sim.events), limit_s=60.0)
    print("ANSWERED WAITED", steps, round(sim.clock.now_s() - lost_s, 2))
    assert sim.clock.now_s() - lost_s <= 10.0
