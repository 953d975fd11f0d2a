"""Starts without an answer: second runs, waits and crash counts that the stored row leaves open.

Further cases are in `test_unanswered_starts`.
"""

import json
from types import SimpleNamespace

import pytest

from bench._jobsimulation import JobSimulation
from fescuerudder.jobs.job import Step, StepId, TaskId
from fescuerudder.jobs.jobrun import (
    MAX_ORDER_DELAY_S,
    MAX_POSSIBLE_CRASHES,
    Attempt,
    JobState,
    Phase,
)
from fescuerudder.jobs.latestarts import MAX_STORED, LateStarts, load_late_starts
from fescuerudder.jobs.progress import StoredFormError
from fescuerudder.jobs.rows import RowTransaction
from fescuerudder.jobs.startrecords import StepStarts, StoredStart
from fescuerudder.jobs.storage import starts_key
from fescuerudder.jobs.unansweredstarts import StoredUnanswered, UnansweredStarts
from fescuerudder.jobs.workerport import OrderAnswer, OrderResult, StartOrder
from tests.jobs.test_former_incarnation import (
    MAX_LEASE_S,
    NEVER_S,
    OTHER_JOB,
    make_world,
    require,
    run_until,
)
from tests.jobs.test_scheduler import ONE
from tests.jobs.test_unanswered_starts import (
    CLAIM_S,
    cut_off_from_successors,
    restart,
    send_covered_start,
    take_over,
)

FOUND = pytest.mark.xfail(reason="KNOWN-RED.txt", strict=True, raises=AssertionError)

LATE_S = 14.0
"""Time from the first start until it is carried out, in seconds."""

ONE_TASK = Step(count=1, size=ONE)

LEASES_S = 10.0
"""Time in which a successor restarts what its predecessor had seen running, in seconds."""


class LateStartWorld:
    """World in which all starts on the only worker are carried out late, by its next incarnation.

    Attributes:
        sent: the starts.
        refused: results with which starts are refused at once, by their position in `sent`.
    """

    def __init__(self, *, step=ONE_TASK):
        self.sim, self.leader, _ = make_world(tasks=0, workers=1)
        self.sim.run_s = 30.0
        self.sent = []
        self.refused = {}
        self._is_deaf = False
        self._begin_s = None
        self._send = self.sim.send
        self.sim.send = self._send_or_refuse
        self.sim.late_by_s = self._late_by_s
        self.sim.submit(OTHER_JOB, steps=[step])

    def _send_or_refuse(self, leader, order):
        result = self.refused.get(len(self.sent)) if isinstance(order, StartOrder) else None
        if result is None:
            self._send(leader, order)
            return
        self.sent.append(order)
        answer, answer_s = OrderAnswer(result), self.sim.clock.now_s() + 0.02
        self.sim._at(answer_s, lambda: leader.scheduler.on_started(order, answer))

    def _late_by_s(self, order):
        if not isinstance(order, StartOrder):
            return NEVER_S if self._is_deaf else None
        now_s = self.sim.clock.now_s()
        self._begin_s = now_s if self._begin_s is None else self._begin_s
        self.sent.append(order)
        return self._begin_s + LATE_S + 0.1 * len(self.sent) - now_s

    def run_until_sent(self, count):
        """Advances the time until so many starts were sent."""
        run_until(self.sim, lambda: len(self.sent) >= count)

    def restart_and_carry_out(self):
        """Restarts the worker just before the starts come, with no other call before them."""
        self.sim.run(0.2)
        self._is_deaf = True
        until_s = self._begin_s + LATE_S - 0.1
        require(self.sim.clock.now_s() < until_s)
        self.sim.run(until_s - self.sim.clock.now_s())
        self.sim.restart_worker("w0", registry_lag_s=4.0)
        self.sim.run(2.0)


def submit_and_lose(sim, *, steps, lost_s):
    """Runs a job, then loses the leader and the first worker; a successor claims."""
    sim.claim("a")
    sim.run(6.0)
    sim.submit(OTHER_JOB, steps=steps)
    sim.run(lost_s)
    sim.leaders[-1].alive = False
    sim.workers["w0"].crash()
    sim.add_worker(len(sim.workers), 6.0)
    sim.run(CLAIM_S)
    sim.claim("b")


# --- several starts of a task that may all be carried out by the next incarnation


@FOUND
@pytest.mark.parametrize(
    "result", [OrderResult.NOT_SENT, OrderResult.NO_ROOM, OrderResult.UNHEALTHY]
)
def test_the_start_after_a_refused_repetition_has_the_number_of_the_lost_one(result):
    """Guards against a new number while the lost start may still be carried out (TWICE)."""
    world = LateStartWorld()
    world.refused[1] = result
    world.run_until_sent(3)
    world.restart_and_carry_out()


@FOUND
def test_the_start_after_a_withdrawn_repetition_has_the_number_of_the_lost_one():
    """Guards against a new number after a repetition was planned and never sent (TWICE)."""
    world = LateStartWorld()
    world.run_until_sent(1)
    scheduler, world.sim.store_write_s = world.leader.scheduler, 0.2
    run_until(world.sim, lambda: scheduler.state.planned)
    scheduler.set_zones_out(frozenset({"z0"}))
    run_until(world.sim, lambda: not scheduler.state.planned)
    require(len(world.sent) == 1)
    scheduler.set_zones_out(frozenset())
    world.run_until_sent(2)
    world.restart_and_carry_out()


@FOUND
@pytest.mark.parametrize("takeovers", [1, 2])
def test_a_successor_repeats_a_start_that_was_repeated_before(takeovers):
    """Guards against a new number after a takeover with two late starts of a task (TWICE)."""
    world = LateStartWorld()
    for number, name in enumerate("bc"[:takeovers]):
        world.run_until_sent(2 + number)
        world.sim.run(0.6)
        take_over(world.sim, name)
    world.run_until_sent(2 + takeovers)
    world.restart_and_carry_out()


@FOUND
def test_a_start_after_two_crashes_repeats_the_lost_ones():
    """Guards against a new number while a repeated start may still be carried out (TWICE)."""
    world = LateStartWorld()
    for count in (2, 3):
        world.run_until_sent(count)
        world.sim.run(0.1)
        world.sim.workers["w0"].crash()
        world.sim.run(0.4)
        world.sim.workers["w0"].restart()
    world.restart_and_carry_out()


@FOUND
def test_two_late_starts_of_a_gang_do_not_both_run():
    """Guards against a gang that runs twice, as each of its starts has a new number (TWICE)."""
    world = LateStartWorld(step=Step(count=2, size=ONE, gang=True))
    world.run_until_sent(4)
    world.restart_and_carry_out()


# --- starts that go out before a row names them


@pytest.mark.parametrize("waits_s", [0.0, 3.0, 8.0])
def test_a_repeated_start_is_late_from_its_own_order(waits_s):
    """Guards against a stored time that counts from the first order of a number (TWICE).

    The repetition goes out at once in an outage of the store, as the record of the first order
    covers it; its leader is lost then. The task has waited, as its zone was out of service.
    """
    sim, leader, _ = make_world(tasks=0, workers=1)
    sim.run_s, sent_s = 30.0, []

    def late_by_s(order):
        if not isinstance(order, StartOrder) or order.worker != "w0":
            return None
        sent_s.append(sim.clock.now_s())
        return 19.5

    sim.late_by_s = late_by_s
    sim.submit(OTHER_JOB, steps=[Step(count=1, size=ONE)])
    run_until(sim, lambda: sent_s)
    lose_leader_in_outage(sim, leader, pause_s=3.0 + waits_s, is_sent=lambda: len(sent_s) == 2)
    sim.unlisted.add("w0")
    restart(sim, after_s=19.4)
    take_over(sim, "b")
    sim.run(40.0)


MAX_OUTAGE_S = 5.0
"""Length of an outage of the store in which no start goes out, in seconds."""


def lose_leader_in_outage(sim, leader, *, pause_s, is_sent):
    """Lets a start go out as the store is out, if it may, and loses the leader.

    No successor reaches w0.

    Args:
        sim: the world.
        leader: its leader.
        pause_s: time for which the zone of the worker was out of service before.
        is_sent: tells whether the start has gone out.
    """
    leader.scheduler.set_zones_out(frozenset({"z0"}))
    sim.run(pause_s)
    sim.store.faults.down = True
    leader.scheduler.set_zones_out(frozenset())
    # A start that no row names must not go out.
    end_s = sim.clock.now_s() + MAX_OUTAGE_S
    while not is_sent() and sim.clock.now_s() < end_s:
        sim.run(0.05)
    leader.alive, sim.store.faults.down = False, False
    cut_off_from_successors(sim)
    sim.add_worker(1, 6.0)


@pytest.mark.parametrize("arrives_s", [11.0, 14.0, 19.5])
@pytest.mark.parametrize("is_listed", [False, True])
def test_a_start_that_the_record_of_its_own_task_covers_outlasts_its_leader(arrives_s, is_listed):
    """Guards against a second run of a task whose next start has no record of its own (TWICE).

    Its first run was recorded, and failed. The next start on that worker goes out in an outage of
    the store, as the old record covers it; its leader is lost then.
    """
    sim, leader, _ = make_world(tasks=0, workers=1)
    sim.plan = lambda task, attempt, worker: (ONE, 30.0 if attempt > 1 else 0.3, attempt == 1)
    sent = []

    def late_by_s(order):
        if not isinstance(order, StartOrder) or order.worker != "w0":
            return None
        sent.append(order)
        return arrives_s if order.attempt > 1 else None

    sim.late_by_s = late_by_s
    sim.submit(OTHER_JOB, steps=[Step(count=1, size=ONE)])
    run_until(sim, lambda: sim.events)
    lose_leader_in_outage(sim, leader, pause_s=3.0, is_sent=lambda: len(sent) == 2)
    if not is_listed:
        sim.unlisted.add("w0")
    restart(sim, after_s=arrives_s - 0.1)
    take_over(sim, "b")
    sim.run(40.0)


@pytest.mark.parametrize("term_s", [3.0, 6.0, pytest.param(9.0, marks=FOUND)])
@pytest.mark.parametrize("arrives_s", [14.0, 18.0])
@pytest.mark.parametrize("is_listed", [False, True])
def test_a_covered_start_outlasts_two_leaders(term_s, arrives_s, is_listed):
    """Guards against a third leader that knows less than the second one (TWICE).

    After the leases the second leader stores a new record of the covering step, which doesn't name
    the worker any more, and a roster that restricts it.
    """
    sim = send_covered_start(arrives_s=arrives_s)
    cut_off_from_successors(sim)
    if not is_listed:
        sim.unlisted.add("w0")
    restart(sim, after_s=arrives_s - 0.1)
    sim.add_worker(2, 6.0)
    sim.run(0.3)
    sim.leaders[-1].alive, sim.store.faults.down = False, False
    take_over(sim, "b")
    sim.run(term_s)
    take_over(sim, "c")
    sim.run(40.0)


# --- waits


@pytest.mark.parametrize("steps", [1, 2])
def test_tasks_that_were_answered_wait_for_leases_only(steps):
    """Guards against a wait of 32 s for starts that were answered and recorded (LOST).

    They ran for 4 s. Steps beside each other have records that cover each other's tasks.
    """
    sim = JobSimulation(workers=1, capacity=6.0, max_lease_s=MAX_LEASE_S)
    sim.run_s = 30.0
    submit_and_lose(sim, steps=[Step(count=2, size=ONE)] * steps, lost_s=4.0)
    begin_s = sim.clock.now_s()
    run_until(sim, lambda: any(event[1] == "w1" for event in sim.events), limit_s=60.0)
    assert sim.clock.now_s() - begin_s <= LEASES_S


@FOUND
def test_tasks_that_were_never_sent_wait_for_leases_only():
    """Guards against a wait for tasks that had no room before their leader was lost (LOST)."""
    sim = JobSimulation(workers=2, capacity=6.0, max_lease_s=MAX_LEASE_S)
    sim.run_s = 4.0
    submit_and_lose(sim, steps=[Step(count=12, size=ONE)] * 2, lost_s=1.0)
    begin_s = sim.clock.now_s()
    run_until(sim, lambda: sim.state(OTHER_JOB) is JobState.COMPLETED, limit_s=90.0)
    assert sim.clock.now_s() - begin_s <= LEASES_S + 2 * sim.run_s


@pytest.mark.parametrize(
    "lost_s", [pytest.param(0.0, marks=FOUND), pytest.param(0.1, marks=FOUND), 0.6]
)
def test_a_start_that_is_lost_with_its_worker_waits_for_thirty_seconds(lost_s):
    """Guards against a longer wait than the time of a late order and a lease (LOST)."""
    sim, _, _ = make_world(tasks=0, workers=1)
    sim.run_s, sent = 30.0, []

    def late_by_s(order):
        if not isinstance(order, StartOrder) or order.worker != "w0":
            return None
        sent.append(order)
        return NEVER_S

    sim.late_by_s = late_by_s
    sim.submit(OTHER_JOB, steps=[Step(count=1, size=ONE)])
    run_until(sim, lambda: sent)
    sim.run(lost_s)
    lost_at_s = sim.clock.now_s()
    sim.workers["w0"].crash()
    sim.add_worker(1, 6.0)
    take_over(sim, "b")
    run_until(sim, lambda: sim.events, limit_s=60.0)
    assert sim.clock.now_s() - lost_at_s <= MAX_ORDER_DELAY_S + MAX_LEASE_S + 1.0


@pytest.mark.parametrize(
    "groups", [[[1000, [[0, 0], [0, 0]]]], [[1000, [[0, 0]]], [1001, [[0, 0]]]]]
)
def test_two_entries_without_a_number_on_one_worker_do_not_block_a_task(groups):
    """Guards against an attempt that nothing resolves, as another one took its key (LOST)."""
    sim, _, _ = make_world(tasks=0, workers=1)
    sim.run_s = 30.0
    sim.submit(OTHER_JOB, steps=[Step(count=1, size=ONE)])
    run_until(sim, lambda: sim.events)
    sim.run(1.0)
    sim.leaders[-1].alive = False
    sim.workers["w0"].crash()
    key = starts_key(StepId(OTHER_JOB, 0, 0))
    value = json.dumps([["w0", born_ms, starts] for born_ms, starts in groups]).encode()
    sim.store.write(RowTransaction(puts=((key, value),)), timeout_s=1)
    sim.add_worker(1, 6.0)
    take_over(sim, "b")
    sim.run(60.0)
    assert any(event[1] == "w1" for event in sim.events)


# --- crashes


@pytest.mark.parametrize("takeovers", [0, 3])
def test_lost_starts_of_a_task_are_limited_over_takeovers(takeovers):
    """Guards against more starts of a task that may crash its worker than the limit (BUDGET)."""
    sim, _, _ = make_world(tasks=0, workers=1)
    sent = []

    def late_by_s(order):
        if not isinstance(order, StartOrder):
            return None
        sent.append(order)
        return NEVER_S

    sim.late_by_s = late_by_s
    sim.submit(OTHER_JOB, steps=[Step(count=1, size=ONE)])
    for number in range(MAX_POSSIBLE_CRASHES + 2):
        for _ in range(240):
            if len(sent) <= number:
                sim.run(0.05)
        if len(sent) <= number:
            break
        sim.run(0.1)
        sim.workers["w0"].crash()
        if number < takeovers:
            sim.leaders[-1].alive = False
            sim.run(0.6)
            sim.claim("bcd"[number])
        sim.run(0.4)
        sim.workers["w0"].restart()
        sim.run(0.1)
    assert len(sent) <= MAX_POSSIBLE_CRASHES


@pytest.mark.parametrize("loses_leader", [False, True])
@pytest.mark.parametrize("gap_s", [4.0, 8.0])
def test_a_run_that_the_first_order_began_leaves_the_second_one_late(gap_s, loses_leader):
    """Guards against a report that settles an order with the same number (TWICE).

    The next incarnation carries the first order out, and is listed; the second order reaches the
    incarnation after it, which is out of reach.
    """
    sim, leader, _ = make_world(tasks=0, workers=1)
    sim.run_s, sent_s, is_deaf = 30.0, [], []

    def late_by_s(order):
        if order.worker != "w0":
            return None
        if not isinstance(order, StartOrder):
            return NEVER_S if is_deaf else None
        sent_s.append(sim.clock.now_s())
        return gap_s + 1.2 if len(sent_s) == 1 else 19.5

    sim.late_by_s = late_by_s
    sim.submit(OTHER_JOB, steps=[Step(count=1, size=ONE)])
    run_until(sim, lambda: sent_s)
    leader.scheduler.set_zones_out(frozenset({"z0"}))
    sim.run(gap_s)
    leader.scheduler.set_zones_out(frozenset())
    run_until(sim, lambda: len(sent_s) == 2)
    is_deaf.append(True)
    sim.run(sent_s[0] + gap_s + 1.1 - sim.clock.now_s())
    sim.restart_worker("w0", registry_lag_s=0.0)
    run_until(sim, lambda: sim.events)
    is_deaf.clear()
    sim.run(3.0)
    sim.workers["w0"].crash()
    is_deaf.append(True)
    cut_off_from_successors(sim)
    sim.unlisted.add("w0")
    sim.add_worker(1, 6.0)
    if loses_leader:
        take_over(sim, "b")
    sim._at(sent_s[1] + 19.4, lambda: sim.restart_worker("w0", registry_lag_s=0.0))
    sim.run(40.0)
    require([event for event in sim.events if event[1] == "w0" and event[4] == "start"][1:])


def test_a_start_without_an_answer_again_is_known_though_there_are_too_many():
    """Guards against an old row that takes a start for answered (TWICE).

    A report of an incarnation that isn't fenced listed it, while more starts than a row may name
    are open.
    """

    def attempt(index):
        task = SimpleNamespace(id=TaskId(OTHER_JOB, 0, 0, index), late_starts=[])
        return Attempt(task=task, worker="w0", number=1, phase=Phase.STARTING, token=1, sent_s=0.0)

    unanswered, late_starts = UnansweredStarts(), LateStarts()
    first = attempt(0)
    first.is_answered = True
    row = unanswered.take(late_starts, has_records=True, store_clock=None)
    first.is_answered = False
    unanswered.add(first)
    for index in range(MAX_STORED):
        unanswered.add(attempt(index + 1))
    row = unanswered.take(late_starts, has_records=False, store_clock=None) or row
    try:
        starts = tuple(load_late_starts(row))
    except StoredFormError:
        return
    stored = StoredUnanswered(starts=starts, version=2)
    start = StoredStart(worker="w0", incarnation_ms=0, index=0, number=1)
    record = StepStarts(step=StepId(OTHER_JOB, 0, 0), starts=(start,))
    assert not stored.mark_answered(record, version=1).starts[0].is_answered
