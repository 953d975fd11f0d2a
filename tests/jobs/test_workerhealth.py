"""Health of workers, in simulations."""

import pytest

from bench._jobsimulation import CALL_TIMEOUT_S, JobSimulation
from fescuerudder.document import Size
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.scheduler import KNOWLEDGE_WRITE_INTERVAL_S
from fescuerudder.jobs.starts import FALLBACK_WAIT_S

JOB = "00000000000000aa"
ONE = Size(processors=1.0, memory_mb=10)
RUN_S = 2.0
SLOW_S = 16.0


@pytest.mark.parametrize(
    ("tasks", "is_slow", "starts"),
    [
        pytest.param(8, lambda task, worker: task.index == 3, 8, id="one long task"),
        pytest.param(2, lambda task, worker: worker == "w0", 2, id="too few tasks to compare"),
        pytest.param(8, lambda task, worker: worker == "w0", 10, id="a slow worker"),
    ],
)
def test_a_worker_is_slow_if_several_of_its_tasks_are(tasks, is_slow, starts):
    """Guards against tasks that move from worker to worker because they have more work.

    A worker counts as slow, and both its tasks move, only if both are far behind the other tasks
    of their step.
    """
    sim = JobSimulation(workers=4)
    sim.plan = lambda task, attempt, worker: (
        ONE,
        SLOW_S if is_slow(task, worker) else RUN_S,
        False,
    )
    sim.submit(JOB, steps=(Step(count=tasks, size=ONE),))
    sim.claim("a")
    sim.run(8)
    assert sim.starts(JOB) == starts


@pytest.mark.parametrize(
    ("is_long_running", "busy", "running"),
    [(True, 0, 2), (True, 2, 4), (False, 0, 1), (False, 2, 3), (False, 3, 3)],
)
def test_long_running_tasks_use_a_quarantined_worker_rather_than_none(
    is_long_running, busy, running
):
    """Guards against long-running tasks that wait for probes while a worker has room for them.

    A quarantined worker gets one probe in 3 s or more. Of a job that ends one task starts, and only
    while at least half of the pool is idle.
    """
    sim = JobSimulation(workers=1)
    sim.run_s = 60.0
    leader = sim.claim("a")
    if busy:
        sim.submit("00000000000000bb", steps=(Step(count=busy, size=ONE),))
    sim.run(0.5)
    leader.scheduler.state.health._quarantine.add(worker="w0")
    sim.submit(JOB, steps=(Step(count=2, size=ONE, long_running=is_long_running),))
    sim.run(FALLBACK_WAIT_S + 0.3)
    assert len(sim.workers["w0"].runs) == running


def test_ended_attempts_are_forgotten():
    """Guards against memory that grows with every attempt the leader has ever had."""
    sim = JobSimulation(workers=1)
    leader = sim.claim("a")
    for number in range(4):
        sim.submit(f"{number:016x}", steps=(Step(count=3, size=ONE),))
        sim.run(2)
    sim.workers["w0"].crash()
    sim.run(2 * KNOWLEDGE_WRITE_INTERVAL_S + 10)
    scheduler = leader.scheduler
    assert not scheduler.state.health._tracks
    assert not scheduler.state.knowledge.headroom_model._measured


@pytest.mark.parametrize(
    ("avoids", "starts_s"),
    [
        pytest.param(False, 0.5, id="not avoided"),
        pytest.param(True, FALLBACK_WAIT_S + 0.5, id="avoided"),
    ],
)
def test_a_lasting_task_returns_to_a_worker_it_failed_on_rather_than_wait(avoids, starts_s):
    """Guards against a long-running task that waits although the worker it failed on has room.

    That worker has room for three such tasks, so the share for short tasks doesn't stop it; the
    other worker is full.
    """
    sim = JobSimulation(workers=2, capacity=4.0)
    sim.run_s = 60.0
    leader = sim.claim("a")
    sim.run(0.5)
    full, free = sim.workers["w0"], sim.workers["w1"]
    free.refuses_starts = True
    sim.submit(JOB, steps=(Step(count=4, size=ONE),))
    sim.run(1.5)
    assert len(full.runs) == 4
    second = "00000000000000bb"
    sim.submit(second, steps=(Step(count=1, size=ONE, long_running=True),))
    sim.run(0.2)
    (task,) = leader.scheduler.state.jobs[second].tasks()
    if avoids:
        task.avoided_workers.add(free.info.id)
    free.refuses_starts = False
    sim.run(starts_s)
    assert [key[0].job for key in free.runs] == [second]


def replace_leader(sim):
    """Replaces the leader shortly before the tasks fail."""
    sim.run(3.0)
    sim.leaders[-1].alive = False
    sim.run(0.4)
    sim.claim("b")


def cut_off_worker(sim):
    """Cuts the worker off once it has begun the tasks, before any answer, until they fail."""

    def lose(leader, order, sent_s, result):
        at_s = sent_s + CALL_TIMEOUT_S
        sim._at(at_s, lambda: sim._no_answer(leader, order, sent_s))

    answer, sim._answer = sim._answer, lose
    sim.run(0.2)
    sim.cut = {("a", "w0")}
    sim._answer = answer
    sim.run(2.8)
    sim.cut = set()
    sim.run(0.4)


@pytest.mark.parametrize("prepare", [replace_leader, cut_off_worker])
def test_a_failure_after_an_unknown_run_time_says_nothing_of_the_worker(prepare):
    """Guards against a quarantine for tasks that fail late, seen only shortly before."""
    sim = JobSimulation(workers=1)
    sim.plan = lambda task, attempt, worker: (ONE, 4.0, attempt == 1)
    sim.claim("a")
    sim.run(0.5)
    sim.submit(JOB, steps=(Step(count=3, size=ONE),))
    prepare(sim)
    sim.run(1.6)
    assert [e[4] for e in sim.events].count("failed") == 3
    assert len(sim.workers["w0"].runs) == 3, "all three have started again"
