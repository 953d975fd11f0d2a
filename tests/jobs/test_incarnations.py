"""What belongs to one incarnation of a worker and is not taken over by the next."""

import attrs
import pytest

from bench._jobsimulation import JobSimulation
from fescuerudder.document import Size
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.workerport import StartOrder
from tests.jobs.test_scheduler import JOB, ONE, steps

LAG_S = 4.0
"""Time for which the registry still shows the last incarnation, in seconds."""

NOTICED_S = 2.5
"""Time by which a report has told the leader of the new incarnation, in seconds."""

SMALL = Size(processors=1.0, memory_mb=100)
LARGE_TASK = Size(processors=3.0, memory_mb=10)


@pytest.mark.parametrize(
    ("changes", "step"),
    [
        ({"labels": frozenset({"b"})}, Step(count=1, size=ONE, required_label="w0 only")),
        ({"capacity": SMALL}, Step(count=1, size=LARGE_TASK, required_label="w0 only")),
    ],
    ids=["labels", "capacity"],
)
def test_a_new_incarnation_gets_no_tasks_before_the_registry_describes_it(changes, step):
    """Guards against tasks sent to a worker for a label or room of its last incarnation (ROUTE)."""
    sim = JobSimulation(workers=2)
    worker = sim.workers["w0"]
    worker.info = attrs.evolve(worker.info, labels=worker.info.labels | {"w0 only"})
    sim.submit("00000000000000bb", steps=[Step(count=1, size=ONE, required_label="w0 only")])
    sim.run_s = 9.0
    sim.claim("a")
    sim.run(1.0)
    sent = []
    send = sim.send

    def record_starts(leader, order):
        """Records the starts that are sent to the worker."""
        if isinstance(order, StartOrder) and order.worker == "w0":
            sent.append(order)
        send(leader, order)

    sim.send = record_starts
    sim.restart_worker("w0", registry_lag_s=LAG_S)
    worker.info = attrs.evolve(worker.info, **changes)
    sim.run(NOTICED_S)
    known = sim.leaders[-1].scheduler.state.workers["w0"].info.incarnation_ms
    assert known == worker.info.incarnation_ms
    sim.submit(JOB, steps=[step])
    sim.run(LAG_S + 4.0)
    assert not [order for order in sent if order.task.job == JOB]


def test_a_described_incarnation_gets_tasks():
    """Guards against a restarted worker that gets no tasks any more."""
    sim = JobSimulation(workers=1)
    sim.submit(JOB, steps=steps(2))
    sim.claim("a")
    sim.run(0.5)
    sim.restart_worker("w0", registry_lag_s=LAG_S)
    sim.run(LAG_S + 3.0)
    assert sim.state(JOB) is JobState.COMPLETED


def test_an_idle_worker_gets_tasks_after_a_restart():
    """Guards against an incarnation that nobody calls, so that it is never fenced."""
    sim = JobSimulation(workers=1)
    sim.submit("00000000000000bb", steps=steps(2))
    sim.claim("a")
    sim.run(30.0)
    assert sim.state("00000000000000bb") is JobState.COMPLETED
    sim.restart_worker("w0", registry_lag_s=2.0)
    sim.run(3.0)
    sim.submit(JOB, steps=steps(2))
    sim.run(4.0)
    assert sim.state(JOB) is JobState.COMPLETED
