"""The load summary: its form on the wire, and what the leader puts into it."""

import pytest

from bench._jobsimulation import JobSimulation, queue
from fescuerudder.document import Size
from fescuerudder.errors import PeerError
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.loadsummary import (
    MAX_QUEUES,
    Amount,
    LoadSummary,
    PoolLoad,
    QueueLoad,
    WaitingWork,
    dump_summary,
    load_summary,
)

MAX_BYTES = 2048


def summary(queues):
    """Returns a summary with a pool for each queue, and figures that differ."""
    pools = [
        PoolLoad(
            name=f"svc-{n * 7919 % 100_000:05x}",
            scarce_s=n + 0.5,
            capacity=Amount(1000.5 + n, 2000.5 + 3 * n, 8.0 * n),
            free=Amount(0.5 * n, 3.5, 0.0),
            speed=0.75,
            arriving={0: 17.5 + n, 2: 3.5},
            waiting=tuple(
                WaitingWork(n % 3, cls, Amount(997.5 * n + cls, 71.5 * n, 5.5), 2.5 + cls)
                for cls in range(4)
            ),
        )
        for n in range(queues)
    ]
    loads = [
        QueueLoad(name=f"r-{n * 104_729:08x}", mean_work=55.5 + n, first_start_s=1.5, oldest_s=n)
        for n in range(queues)
    ]
    return LoadSummary(
        pools={pool.name: pool for pool in pools}, queues={load.name: load for load in loads}
    )


@pytest.mark.parametrize("queues", [0, 1, 20])
def test_a_summary_keeps_its_figures_and_its_size(queues):
    """Guards against decisions on other figures than the leader's, and against a full link."""
    data = dump_summary(summary(queues))
    assert load_summary(data) == summary(queues)
    assert len(data) <= MAX_BYTES


def test_a_summary_of_many_queues_is_bounded():
    """Guards against a message that grows with the queues of the manifest."""
    found = load_summary(dump_summary(summary(2000)))
    assert len(found.queues) == MAX_QUEUES


@pytest.mark.parametrize("data", [b"", b"x" * 50, dump_summary(summary(3))[:-9], b"[" * 1000])
def test_a_malformed_summary_is_refused(data):
    """Guards against an exception that ends the link."""
    with pytest.raises(PeerError):
        load_summary(data)


def full_simulation(jobs):
    """Returns a simulation of 12 cores of which 4 are held by a long-running task."""
    sim = JobSimulation(workers=3, capacity=4.0, queues=(queue(), queue(name="s", prefix="/s/")))
    sim.plan = lambda task, attempt, worker: (
        sim.specs[task.job].steps[task.step].size,
        1e6 if sim.specs[task.job].queue == "s" else 1.0,
        False,
    )
    sim.claim("a")
    standing = Step(count=1, size=Size(processors=4.0, memory_mb=10), long_running=True)
    sim.submit("00000000000000ff", steps=(standing,), queue_name="s")
    sim.run(0.5)
    for n in range(jobs):
        step = Step(count=10, size=Size(processors=1.0, memory_mb=10), estimated_ms=2000)
        sim.submit(f"{n:016x}", steps=(step,))
    return sim


def test_the_summary_tells_capacity_speed_and_waiting_work():
    """Guards against predictions from capacity that long-running tasks hold, or wrong estimates."""
    sim = full_simulation(jobs=10)
    sim.run(3.0)
    _, found = sim.leaders[0].scheduler.load_summary
    pool = found.pools["pool"]
    assert pool.capacity.processors == 8.0
    assert pool.free.processors < 1.0
    # Each task takes a second and was estimated to take two; the rest is what is not done.
    assert 1.5 <= pool.speed <= 2.0
    assert 0.0 < pool.arriving[0] < 200.0 * 0.7 / 5.0
    done = sum(event[4] == "done" for event in sim.events)
    assert sum(row.work.processors for row in pool.waiting) == pytest.approx(
        2.0 * (100 - done), abs=20
    )
    assert set(found.queues) == {"q"} and found.queues["q"].oldest_s > 2.0


@pytest.mark.parametrize(("jobs", "after_s", "expected"), [(10, 1.0, None), (1, 8.0, {})])
def test_there_is_no_summary_before_ends_and_no_pool_without_shortage(jobs, after_s, expected):
    """Guards against refusals by a successor that doesn't know the load, or while all is idle."""
    sim = full_simulation(jobs)
    sim.run(after_s)
    _, found = sim.leaders[0].scheduler.load_summary
    assert (found if expected is None else found.pools) == expected


def test_a_summary_does_not_look_at_tasks():
    """Guards against a summary whose cost grows with all tasks of all jobs."""
    sim = full_simulation(jobs=10)
    sim.run(3.0)
    scheduler = sim.leaders[0].scheduler
    now_s = sim.clock.now_s()
    loads = scheduler.usable_loads(now_s)
    for step in scheduler.state.open_steps:
        step.tasks = step.tasks if step.spec.long_running else None
    assert scheduler._summarizer.summarize(loads, now_s).pools
