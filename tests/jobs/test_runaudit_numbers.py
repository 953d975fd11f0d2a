"""Log lines on runs of starts that were sent again, and on runs beside unwanted ones."""

import attrs
import pytest
from structlog.testing import capture_logs

from fescuerudder.jobs.job import Step
from fescuerudder.jobs.jobrun import UNKNOWN_NUMBER, Phase
from fescuerudder.jobs.runaudit import RunAudit
from fescuerudder.jobs.workerport import Report, RunningAttempt, StartOrder
from tests.jobs.test_former_incarnation import delay, make_world, require, run_until
from tests.jobs.test_runaudit import (
    LATER,
    LONG_RUN_S,
    NEVER_S,
    OTHER_JOB,
    TWICE,
    named,
    restart_before,
)
from tests.jobs.test_scheduler import ONE


def lose_two_orders(sim, *, arrives_s):
    """Loses a start, which arrives after `arrives_s`, and its repetition, which never does.

    Returns the time at which the first one was sent.
    """
    sim.run_s = LONG_RUN_S
    late = delay(sim, lambda order: arrives_s if isinstance(order, StartOrder) else None)
    sim.submit(OTHER_JOB, steps=[Step(count=1, size=ONE)])
    run_until(sim, lambda: late)
    sent_s = sim.clock.now_s()
    sim.late_by_s = lambda order: None
    late = delay(sim, lambda order: NEVER_S if isinstance(order, StartOrder) else None)
    run_until(sim, lambda: late)
    require({order.attempt for order in late} == {1})
    return sent_s


def test_a_run_of_a_start_that_was_sent_again_is_logged_once():
    """Guards against a line for each of several orders with the number of one run."""
    sim, leader, worker = make_world(tasks=0, workers=1)
    sent_s = lose_two_orders(sim, arrives_s=10.0)
    late = leader.scheduler.state.late_starts
    with capture_logs() as lines:
        require(UNKNOWN_NUMBER in {attempt.number for attempt in late.attempts()})
        restart_before(sim, sent_s + 10.0)
        require(worker.runs)
        sim.late_by_s = lambda order: None
        sim.run(5.0)
    (line,) = named(lines, LATER)
    assert (line["attempt"], line["result"], line["lapsed"]) == (1, "live attempt", False)
    assert (line["ordered_for_ms"], line["born_ms"]) == (1000, 1001)
    assert line["sent_ago_s"] < 10.0
    assert not named(lines, TWICE)


def test_a_start_that_was_sent_again_to_the_next_incarnation_is_not_odd():
    """Guards against lines for a run whose number was first sent to an earlier incarnation."""
    sim, leader, worker = make_world(tasks=0, workers=1)
    lose_two_orders(sim, arrives_s=NEVER_S)
    with capture_logs() as lines:
        sim.restart_worker("w0", registry_lag_s=0.3)
        sim.late_by_s = lambda order: None
        sim.run(5.0)
    require({number for _, number in worker.runs} == {1})
    require(worker.info.incarnation_ms == 1001)
    assert not named(lines, LATER) + named(lines, TWICE)


def test_an_order_that_was_sent_again_is_no_run_of_its_own():
    """Guards against a second alarm, for number 0, about a run whose order was sent twice."""
    sim, leader, _ = make_world(tasks=0)
    sim.run_s = LONG_RUN_S
    sim.submit(OTHER_JOB, steps=[Step(count=1, size=ONE)])
    sim.run(1.0)
    state = leader.scheduler.state
    (attempt,) = state.jobs[OTHER_JOB].attempts()
    (other,) = {"w0", "w1"} - {attempt.worker}
    earlier = attrs.evolve(attempt, number=UNKNOWN_NUMBER, phase=Phase.UNCERTAIN, reported=False)
    state.add_attempt(earlier)
    report = report_of(attempt.task, 2)
    with capture_logs() as logged:
        RunAudit(state=state).check(state.workers[other], report, now_s=sim.clock.now_s())
    assert [line["other_attempt"] for line in named(logged, TWICE)] == [attempt.number]


def report_of(task, number):
    """Returns a report that lists one run."""
    row = RunningAttempt(task.id, number, "", 0, 0.0, 0.0)
    return Report(incarnation_ms=1000, clock_ms=9000, running=(row,), ended=())


@pytest.mark.parametrize("reports_again", ["unwanted run", "wanted run"])
def test_a_run_that_starts_beside_an_unwanted_one_is_logged_once(reports_again):
    """Guards against a second run that goes unnoticed as reports listed the first one before."""
    sim, leader, _ = make_world(tasks=0)
    sim.run_s = LONG_RUN_S
    sim.submit(OTHER_JOB, steps=[Step(count=1, size=ONE)])
    sim.run(1.0)
    state, now_s = leader.scheduler.state, sim.clock.now_s()
    (attempt,) = state.jobs[OTHER_JOB].attempts()
    (other,) = {"w0", "w1"} - {attempt.worker}
    task, holder = attempt.task, state.workers[other]
    state.drop_attempt(attempt)
    audit = RunAudit(state=state)
    unwanted = report_of(task, 2)
    with capture_logs() as logged:
        audit.check(holder, unwanted, now_s=now_s)
        state.set_orphans(holder, {(task.id, 2)})
        audit.check(holder, unwanted, now_s=now_s)
        require(not named(logged, TWICE))
        state.add_attempt(attrs.evolve(attempt, number=3, reported=False))
        for _ in range(2):
            if reports_again == "unwanted run":
                audit.check(holder, unwanted, now_s=now_s)
            else:
                audit.check(state.workers[attempt.worker], report_of(task, 3), now_s=now_s)
    (line,) = named(logged, TWICE)
    assert {line["attempt"], line["other_attempt"]} == {2, 3}
    assert {line["worker"], line["other_worker"]} == {"w0", "w1"}
