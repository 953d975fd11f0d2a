"""Queues whose policy allows only some workers, which only the advice service knows."""

import pytest

from fescuerudder.document import Size
from fescuerudder.jobs.advice import MAX_QUERIES, MAX_WORKERS
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.jobrun import JobState
from tests.jobs.job_world import JobWorld, queue

JOB = "00000000000000aa"
ONE = Size(processors=1.0, memory_mb=10)


def make_world(*, workers=6, allows=lambda step, worker: worker in ("w1", "w4"), **fields):
    world = JobWorld(workers=workers, **fields)
    world.advice.allows = allows
    policy = world.advice.policy
    world.manifest = type(world.manifest)(
        revision=2, queues=(queue(advice=policy), queue(name="free")), pools=world.manifest.pools
    )
    return world


def workers_of(world, job_id=JOB):
    return {e[1] for e in world.events if e[4] == "start" and e[2].job == job_id}


@pytest.mark.parametrize(
    "spec",
    [
        pytest.param({"count": 4}, id="few tasks"),
        pytest.param({"count": 20}, id="more than there is room for"),
        pytest.param({"count": 4, "gang": True}, id="gang"),
        pytest.param({"count": 2, "max_per_worker": 1}, id="apart"),
    ],
)
def test_tasks_run_where_the_policy_allows(spec):
    """Guards against starts without a permit, and jobs that never start for want of one."""
    world = make_world()
    world.submit(JOB, steps=(Step(size=ONE, **spec),))
    world.claim("a")
    world.run(15)
    assert workers_of(world) <= {"w1", "w4"}
    assert world.state(JOB) is JobState.COMPLETED


def test_each_step_asks_for_itself():
    """Guards against permits of one step that are used for another."""
    world = make_world(allows=lambda step, worker: worker == f"w{step.step}")
    steps = (Step(count=2, size=ONE), Step(count=2, size=ONE, after=(0,)))
    world.submit(JOB, steps=steps)
    world.claim("a")
    world.run(6)
    assert {(e[2].step, e[1]) for e in world.events if e[4] == "start"} == {(0, "w0"), (1, "w1")}
    assert world.state(JOB) is JobState.COMPLETED


def test_a_permit_that_ended_is_asked_for_again_and_nothing_else():
    """Guards against starts with old permits, and against queries about workers known before."""
    world = make_world(workers=4, allows=lambda step, worker: worker == "w2", capacity=1.0)
    world.run_s = 3.0
    world.submit(JOB, steps=(Step(count=3, size=ONE),))
    world.claim("a")
    world.run(12)
    assert world.state(JOB) is JobState.COMPLETED
    assert [set(query.workers) for query in world.advice.queries[1:]] == [{"w2"}, {"w2"}]


def test_a_permit_ends_with_the_life_of_its_worker():
    """Guards against a worker born again that refuses every start."""
    world = make_world(workers=2, allows=lambda step, worker: worker == "w0")
    world.run_s = 4.0
    world.submit(JOB, steps=(Step(count=2, size=ONE),))
    world.claim("a")
    world.run(1.5)
    world.workers["w0"].crash()
    world.run(1)
    world.workers["w0"].restart()
    world.run(12)
    assert world.state(JOB) is JobState.COMPLETED


def test_no_advice_means_no_start_and_holds_up_nobody_else():
    """Guards against starts on workers that the policy may forbid, and a queue behind them."""
    world = make_world()
    world.advice.down = True
    world.submit(JOB, steps=(Step(count=2, size=ONE),))
    world.submit("00000000000000bb", steps=(Step(count=2, size=ONE),), queue_name="free")
    world.advice.allows = lambda step, worker: True
    world.claim("a")
    world.run(4)
    assert not workers_of(world)
    assert len(world.advice.queries) < 10
    world.advice.down = False
    world.run(6)
    assert world.state(JOB) is JobState.COMPLETED


def test_queries_are_few_and_small():
    """Guards against a service that is asked about everything at once and answers nobody."""
    world = make_world(workers=80, allows=lambda step, worker: int(worker[1:]) % 7 == 0)
    for number in range(12):
        world.submit(f"{number:016x}", steps=(Step(count=30, size=ONE),))
    leader = world.claim("a")
    for _ in range(40):
        world.run(0.25)
        assert leader.scheduler.world.advice._under_way <= MAX_QUERIES
    assert max(len(query.workers) for query in world.advice.queries) <= MAX_WORKERS
    assert sum(1 for e in world.events if e[4] == "start") > 40


def test_a_successor_asks_anew():
    """Guards against jobs that stand still because permits went with their leader."""
    world = make_world()
    world.run_s = 2.0
    world.submit(JOB, steps=(Step(count=12, size=ONE),))
    first = world.claim("a")
    world.run(2)
    first.alive = False
    world.claim("b")
    world.run(10)
    assert world.state(JOB) is JobState.COMPLETED
