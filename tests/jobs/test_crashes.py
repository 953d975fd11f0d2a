"""Tasks that crash each worker that starts them."""

import attrs
import pytest

from bench._jobsimulation import JobSimulation
from fescuerudder.jobs.crashes import MAX_CRASHES
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.jobrun import JobState
from tests.jobs.test_scheduler import JOB, ONE, steps

OTHERS = [f"{number:016x}" for number in range(1, 7)]

MAX_STARTS = 5
"""Starts that the platform allows: it tolerates two more after three workers have crashed."""


def crash_simulation(*, delay_s=0.05, workers=6, keeps_id=True, run_s=1.0, **fields):
    """Returns a simulation in which task 0 of JOB crashes its workers, beside other jobs."""
    sim = JobSimulation(workers=workers)
    sim.run_s = run_s
    sim.keeps_id = keeps_id
    sim.crash_delay_s = lambda task: delay_s if task.job == JOB and task.index == 0 else None
    sim.claim("l0")
    for job_id in OTHERS:
        sim.submit(job_id, steps=steps(3, 2))
    sim.run(0.3)
    sim.submit(JOB, steps=(Step(count=2, size=ONE, **fields),))
    return sim


def starts_of_crashing_task(sim):
    return sum(1 for e in sim.events if e[4] == "start" and e[2].job == JOB and e[2].index == 0)


@pytest.mark.parametrize("keeps_id", [True, False], ids=["same id", "new id"])
@pytest.mark.parametrize("delay_s", [0.0, 0.05, 0.6, 4.0])
@pytest.mark.parametrize(
    "fields", [{}, {"speculative": True}, {"long_running": True}], ids=["plain", "copies", "lasts"]
)
def test_a_task_that_crashes_its_workers_is_given_up(keeps_id, delay_s, fields):
    """Guards against one task that crashes worker after worker for as long as its job lives."""
    sim = crash_simulation(delay_s=delay_s, keeps_id=keeps_id, run_s=5.0, **fields)
    sim.copies_allowed = True
    sim.run(60)
    assert sim.state(JOB) is JobState.FAILED
    assert starts_of_crashing_task(sim) <= MAX_STARTS
    for job_id in OTHERS:
        assert sim.state(job_id) is JobState.COMPLETED


@pytest.mark.parametrize("replaced_at_s", [0.1, 1.0, 2.9, 3.2, 4.0, 6.5])
@pytest.mark.parametrize("keeps_id", [True, False], ids=["same id", "new id"])
def test_a_successor_knows_of_the_crashes(replaced_at_s, keeps_id):
    """Guards against a budget of crashes that begins anew with each leader."""
    sim = crash_simulation(keeps_id=keeps_id)
    sim.run(replaced_at_s)
    sim.leaders[-1].alive = False
    sim.run(1.0)
    sim.claim("l1")
    sim.run(50)
    assert sim.state(JOB) is JobState.FAILED
    assert starts_of_crashing_task(sim) <= MAX_STARTS
    for job_id in OTHERS:
        assert sim.state(job_id) is JobState.COMPLETED


@pytest.mark.parametrize("crashes", [1, MAX_CRASHES + 1])
def test_a_task_is_not_blamed_for_crashes_of_long_used_workers(crashes):
    """Guards against a job that is given up because its workers crash, however often."""
    sim = JobSimulation(workers=2)
    sim.run_s = 1e6
    sim.claim("a")
    sim.submit(JOB, steps=steps(1, long_running=True))
    for _ in range(crashes):
        sim.run(15.0)
        (worker,) = [worker for worker in sim.workers.values() if worker.runs]
        worker.crash()
        sim.run(3.0)
        worker.restart()
    sim.run(5.0)
    assert sim.state(JOB) is JobState.RUNNING
    assert any(worker.runs for worker in sim.workers.values())


def test_a_crash_of_a_zone_gives_up_nothing():
    """Guards against jobs that fail because all workers of a zone crash at once."""
    sim = JobSimulation(workers=6)
    sim.claim("a")
    for job_id in OTHERS:
        sim.submit(job_id, steps=steps(4, 4))
    sim.run(0.4)
    for _ in range(2):
        zone = [worker for worker in sim.workers.values() if worker.info.zone == "z0"]
        for worker in zone:
            worker.crash()
        sim.run(3.0)
        for worker in zone:
            worker.restart()
        sim.run(1.0)
    sim.run(30.0)
    for job_id in OTHERS:
        assert sim.state(job_id) is JobState.COMPLETED


@pytest.mark.parametrize("restarts", [2, 3])
def test_planned_restarts_of_workers_give_up_nothing(restarts):
    """Guards against a job that fails because its workers were stopped as announced."""
    sim = JobSimulation(workers=2)
    sim.run_s = 8.0
    sim.claim("a")
    sim.submit(JOB, steps=steps(1))
    sim.run(0.5)
    for _ in range(restarts):
        sim.run(5.0)
        (worker,) = [w for w in sim.workers.values() if w.runs]
        worker.info = attrs.evolve(worker.info, draining=True)
        sim.run(1.0)
        worker.crash()
        sim.run(2.0)
        worker.info = attrs.evolve(worker.info, draining=False)
        worker.restart()
        sim.run(0.3)
    sim.run(20.0)
    assert sim.state(JOB) is JobState.COMPLETED


@pytest.mark.parametrize("keeps_id", [True, False], ids=["same id", "new id"])
@pytest.mark.parametrize("restart_delay_s", [2.0, 5.0, 7.0, 12.0])
def test_crashes_are_charged_however_late_the_worker_is_back(keeps_id, restart_delay_s):
    """Guards against crashes that are forgotten if the leases end before the worker is back."""
    sim = crash_simulation(keeps_id=keeps_id)
    sim.restart_delay_s = restart_delay_s
    sim.run(120)
    assert starts_of_crashing_task(sim) <= MAX_STARTS
    assert sim.state(JOB) is JobState.FAILED


@pytest.mark.parametrize("takeovers", [2, 3, 4, 6])
def test_crashes_are_charged_over_several_takeovers(takeovers):
    """Guards against a task that goes on crashing workers while leaders follow one another."""
    sim = crash_simulation()
    for n in range(takeovers):
        sim.run(3.0)
        sim.leaders[-1].alive = False
        sim.run(1.0)
        sim.claim(f"l{n + 1}")
    sim.run(60)
    assert starts_of_crashing_task(sim) <= MAX_STARTS


def test_a_start_that_another_worker_refuses_is_no_crash():
    """Guards against a job that fails because its starts meet another worker at the address."""
    sim = JobSimulation(workers=1)
    leader = sim.claim("a")
    sim.run(0.5)
    sim.replaced["w0"] = "w1"
    sim.submit(JOB, steps=steps(1))
    sim.run(2.0)
    (task,) = leader.scheduler.state.jobs[JOB].tasks()
    assert task.last_number and not task.crashed_attempts
