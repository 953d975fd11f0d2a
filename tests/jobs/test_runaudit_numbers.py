"""Log lines on attempts without a number, and on runs beside unwanted ones."""

import attrs
import pytest
from structlog.testing import capture_logs

from fescuerudder.jobs.job import Step
from fescuerudder.jobs.jobrun import UNKNOWN_NUMBER, Phase
from fescuerudder.jobs.runaudit import RunAudit
from fescuerudder.jobs.workerport import Report, RunningAttempt
from tests.jobs.test_former_incarnation import make_world, require
from tests.jobs.test_runaudit import (
    LONG_RUN_S,
    OTHER_JOB,
    TWICE,
    named,
)
from tests.jobs.test_scheduler import ONE


def test_an_attempt_without_a_number_is_no_run_of_its_own():
    """Guards against a second alarm, for number 0, about a run that a record names without one."""
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
