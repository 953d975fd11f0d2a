"""Jobs that nothing runs of while most of their pool is idle."""

import pytest

from bench._jobsimulation import JobSimulation, queue
from fescuerudder.jobs.job import Step
from tests.jobs.test_scheduler import JOB, ONE, steps

LONG = "00000000000000bb"


def quarantine_all(sim):
    """Quarantines all workers; the next probe is due in 24 s."""
    quarantine = sim.leaders[-1].scheduler.state.health._quarantine
    for name in sim.workers:
        for number in range(5):
            quarantine.record_failure(worker=name, task=f"t{number}")


@pytest.mark.parametrize(("busy", "starts"), [(0, 1), (7, 0)], ids=["idle", "busy"])
def test_a_job_runs_although_all_workers_are_quarantined(busy, starts):
    """Guards against accepted jobs that stand still beside idle workers.

    While most of the pool is in use, the workers that are not quarantined are the better choice.
    """
    sim = JobSimulation(workers=3)
    sim.plan = lambda task, attempt, worker: (ONE, 1.0 if task.job == JOB else 90.0, False)
    sim.claim("a")
    if busy:
        sim.submit(LONG, steps=steps(busy))
    sim.run(1.0)
    quarantine_all(sim)
    sim.submit(JOB, steps=steps(3))
    sim.run(2.9)
    assert sim.starts(JOB) == starts


def test_a_job_that_stands_still_runs_one_task_at_a_time():
    """Guards against a job that spends its attempts at once on workers that fail everything."""
    sim = JobSimulation(
        workers=3,
        plan=lambda task, attempt, worker: (ONE, 0.5, True),
        queues=(queue(max_failures=20),),
    )
    sim.claim("a")
    sim.run(0.5)
    quarantine_all(sim)
    sim.submit(JOB, steps=steps(3))
    sim.run(12.0)
    starts_s = sorted(e[0] for e in sim.events if e[4] == "start")
    assert len(starts_s) >= 4
    assert all(later - at >= 2.0 for at, later in zip(starts_s, starts_s[1:], strict=False))


def test_a_best_effort_job_runs_although_no_task_has_headroom(monkeypatch):
    """Guards against a best-effort job that waits forever beside slow latency-critical tasks."""
    sim = JobSimulation(workers=2)
    sim.claim("a")
    sim.run(0.5)
    step = Step(count=2, size=ONE, best_effort=True, image="b")
    monkeypatch.setattr(
        "fescuerudder.jobs.load.Load.interference",
        lambda load, step, *, min_headroom: 0.5 if min_headroom < -10.0 else 2.0,
    )
    sim.submit(JOB, steps=(step,))
    sim.run(2.9)
    assert sim.starts(JOB) == 1
