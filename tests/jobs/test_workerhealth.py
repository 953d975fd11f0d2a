"""Verdicts on workers, on small worlds."""

import pytest

from fescuerudder.document import Size
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.scheduler import KNOWLEDGE_S
from fescuerudder.jobs.starts import LAST_RESORT_S
from tests.jobs.job_world import JobWorld

JOB = "00000000000000aa"
ONE = Size(processors=1.0, memory_mb=10)
RUN_S = 2.0
SLOW_S = 16.0


@pytest.mark.parametrize(
    ("tasks", "is_slow", "starts"),
    [
        pytest.param(8, lambda task, worker: task.index == 3, 8, id="one long task"),
        pytest.param(2, lambda task, worker: worker == "w0", 2, id="too few to compare with"),
        pytest.param(8, lambda task, worker: worker == "w0", 10, id="a slow worker"),
    ],
)
def test_a_worker_is_slow_if_several_of_its_tasks_are(tasks, is_slow, starts):
    """Guards against tasks that move from worker to worker because they are long themselves.

    A worker with all of its tasks far behind those of the same step elsewhere loses both.
    """
    world = JobWorld(workers=4)
    world.plan = lambda task, attempt, worker: (
        ONE,
        SLOW_S if is_slow(task, worker) else RUN_S,
        False,
    )
    world.submit(JOB, steps=(Step(count=tasks, size=ONE),))
    world.claim("a")
    world.run(8)
    assert world.starts(JOB) == starts


@pytest.mark.parametrize(("lasts", "running"), [(True, 2), (False, 0)])
def test_lasting_tasks_take_a_suspect_worker_rather_than_none(lasts, running):
    """Guards against lasting tasks that wait for probes, one in 3 s or more, beside free room."""
    world = JobWorld(workers=1)
    world.run_s = 60.0
    leader = world.claim("a")
    world.run(0.5)
    leader.scheduler.world.health._quarantine.add(worker="w0")
    world.submit(JOB, steps=(Step(count=2, size=ONE, long_running=lasts),))
    world.run(LAST_RESORT_S + 0.3)
    assert len(world.workers["w0"].runs) == running


def test_ended_attempts_are_forgotten():
    """Guards against a leader whose memory grows with every attempt it ever saw."""
    world = JobWorld(workers=1)
    leader = world.claim("a")
    for number in range(4):
        world.submit(f"{number:016x}", steps=(Step(count=3, size=ONE),))
        world.run(2)
    world.workers["w0"].crash()
    world.run(2 * KNOWLEDGE_S + 10)
    scheduler = leader.scheduler
    assert not scheduler.world.health._tracks
    assert not scheduler.world.known.headrooms._measured


@pytest.mark.parametrize(
    ("avoids", "starts_s"),
    [
        pytest.param(False, 0.5, id="not avoided"),
        pytest.param(True, LAST_RESORT_S + 0.5, id="avoided"),
    ],
)
def test_a_lasting_task_returns_to_a_worker_it_failed_on_rather_than_wait(avoids, starts_s):
    """Guards against a lasting task that waits beside the one worker with room, its former one.

    That worker has room for three of its kind, so no share is kept from it; the other is full.
    """
    world = JobWorld(workers=2, capacity=4.0)
    world.run_s = 60.0
    leader = world.claim("a")
    world.run(0.5)
    full, free = world.workers["w0"], world.workers["w1"]
    free.refuses_all = True
    world.submit(JOB, steps=(Step(count=4, size=ONE),))
    world.run(1.5)
    assert len(full.runs) == 4
    second = "00000000000000bb"
    world.submit(second, steps=(Step(count=1, size=ONE, long_running=True),))
    world.run(0.2)
    (task,) = leader.scheduler.world.jobs[second].tasks()
    if avoids:
        task.avoid.add(free.info.id)
    free.refuses_all = False
    world.run(starts_s)
    assert [key[0].job for key in free.runs] == [second]
