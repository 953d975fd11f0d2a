"""Tasks that run longer than others of their shape."""

import attrs
import pytest

from bench._jobsimulation import JobSimulation
from fescuerudder.document import Size
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.policy import OverloadOrder, SchedulingPolicy

LAST = "00000000000000aa"
USUAL_S, SLOW_S = 1.0, 12.0


@pytest.mark.parametrize(
    ("slow", "fields", "setting", "moved"),
    [
        pytest.param({0}, {}, "late-last", 1, id="one task"),
        pytest.param({0}, {}, "value-density", 0, id="by default"),
        pytest.param(set(range(10)), {}, "late-last", 0, id="the whole step"),
        pytest.param({0}, {"image": "other"}, "late-last", 0, id="a shape without ends"),
        pytest.param({0}, {"speculative": True}, "late-last", 0, id="copies allowed"),
        pytest.param({0}, {"gang": True}, "late-last", 0, id="gang"),
    ],
)
def test_a_straggler_starts_again_elsewhere(slow, fields, setting, moved):
    """Guards against a job that waits for one slow task, and against moves that gain nothing."""
    sim = JobSimulation(workers=4, capacity=20.0)
    sim.policy = SchedulingPolicy(overload_order=OverloadOrder(setting))
    size = Size(processors=1.0, memory_mb=1)

    def plan(task, attempt, worker):
        is_slow = task.job == LAST and task.index in slow and worker == slow_on.get(task, worker)
        slow_on.setdefault(task, worker)
        return size, SLOW_S if is_slow else USUAL_S, False

    slow_on, sim.plan = {}, plan
    sim.claim("a")
    usual = Step(count=10, size=size, estimated_ms=1000, image="a")
    for number in range(5):
        sim.submit(f"{number + 1:016x}", steps=[usual])
    sim.run(4.0)
    sim.submit(LAST, steps=[attrs.evolve(usual, **fields)])
    sim.run(20.0)
    assert sim.starts(LAST) == 10 + moved
    sim.check_history()
