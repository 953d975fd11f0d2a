"""Starts on workers that don't guard a capacity that shrinks and grows while they run."""

import attrs
import pytest

from bench._jobcapacity import HEARTBEAT_S, SHRUNK_ROOM_S
from bench._jobsimulation import JobSimulation
from fescuerudder.document import Size
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.startanswers import REFUSED_START_PAUSE_S
from tests.jobs.test_scheduler import JOB, steps

OTHER = "00000000000000bb"
FULL = Size(processors=4.0, memory_mb=400, accelerators=4)


def simulation(*, workers=1, run_s=30.0, **fields):
    """Returns a deployment whose workers carry out each start."""
    sim = JobSimulation(workers=workers, guards_capacity=False, **fields)
    sim.run_s = run_s
    for worker in sim.workers.values():
        worker.set_capacity(FULL)
    sim.run(0.1)
    return sim


def replace_leader(sim):
    """Replaces the leader by one that knows only what is stored."""
    sim.leaders[-1].alive = False
    return sim.claim(f"l{len(sim.leaders)}")


@pytest.mark.parametrize("before_s", [0.1, 1.0], ids=["job known", "job ended"])
def test_what_a_successor_stops_still_takes_room(before_s):
    """Guards against starts beside tasks of a cancelled job that a new leader has yet to stop.

    The cancelled job has ended for the successor, so it doesn't know the size of its tasks, or it
    is still being stopped.
    """
    sim = simulation()
    sim.workers["w0"].stop_duration_s = 3.0
    sim.submit(JOB, steps=steps(4))
    sim.claim("a")
    sim.run(1.0)
    sim.cancel(JOB)
    if before_s == 0.1:
        replace_leader(sim)
    else:
        sim.run(before_s)
        assert sim.state(JOB) is JobState.CANCELLED
        replace_leader(sim)
    sim.submit(OTHER, steps=steps(4))
    sim.run(10.0)
    assert sim.starts(OTHER) == 4


@pytest.mark.parametrize(
    ("changed", "best_effort"),
    [
        ({"processors": 1.0}, False),
        ({"memory_mb": 100}, False),
        ({"accelerators": 1}, False),
        ({"memory_mb": 100}, True),
        ({"accelerators": 1}, True),
    ],
)
@pytest.mark.parametrize("takeover", [False, True], ids=["one leader", "takeover"])
def test_a_smaller_capacity_is_kept_and_a_larger_one_used(changed, best_effort, takeover):
    """Guards against starts in room that a worker no longer has, and room that stays unused."""
    sim = simulation(run_s=0.7)
    step = Step(
        count=40,
        size=Size(processors=0.1 if best_effort else 1.0, memory_mb=100, accelerators=1),
        best_effort=best_effort,
    )
    sim.submit(JOB, steps=(step,))
    sim.claim("a")
    sim.run(1.0)
    sim.workers["w0"].set_capacity(attrs.evolve(FULL, **changed))
    sim.run(4.0)
    if takeover:
        replace_leader(sim)
    started = sim.starts(JOB)
    sim.run(6.0)
    assert sim.starts(JOB) > started
    sim.workers["w0"].set_capacity(FULL)
    sim.run(40.0)
    assert sim.state(JOB) is JobState.COMPLETED


@pytest.mark.parametrize("shrinks_after_s", [0.0, 0.7, 1.4])
@pytest.mark.parametrize("whole_store", [True, False], ids=["store down", "worker cut off"])
def test_an_old_capacity_is_not_relied_on(whole_store, shrinks_after_s):
    """Guards against starts by a leader that has not heard of a worker's capacity for seconds."""
    sim = simulation(run_s=0.5)
    sim.submit(JOB, steps=steps(200))
    sim.claim("a")
    sim.run(1.5 + shrinks_after_s)
    if whole_store:
        sim.store.faults.down = True
    else:
        sim.lagging_registry.unreachable_for.add("w0")
    sim.run(0.1)
    sim.workers["w0"].set_capacity(attrs.evolve(FULL, processors=1.0))
    sim.run(SHRUNK_ROOM_S + 4.0)
    sim.store.faults.down = False
    sim.lagging_registry.unreachable_for.clear()
    started = sim.starts(JOB)
    sim.run(10.0)
    assert sim.starts(JOB) > started


def test_a_new_incarnation_may_be_smaller():
    """Guards against starts by the capacity of a worker's last incarnation.

    The leader learns of the new incarnation from a report, before the registry shows it.
    """
    sim = simulation(run_s=0.5)
    sim.submit(JOB, steps=steps(400))
    sim.claim("a")
    sim.run(1.0)
    worker = sim.workers["w0"]
    sim.lagging_registry.unreachable_for.add("w0")
    worker.crash()
    worker.info = attrs.evolve(worker.info, capacity=attrs.evolve(FULL, processors=1.0))
    worker.restart()
    sim.run(2 * HEARTBEAT_S)
    sim.lagging_registry.unreachable_for.clear()
    started = sim.starts(JOB)
    sim.run(10.0)
    assert sim.starts(JOB) > started


def test_nothing_starts_beside_tasks_that_exceed_a_capacity():
    """Guards against best-effort starts on a worker whose other tasks have too little room."""
    sim = simulation()
    sim.submit(JOB, steps=steps(4))
    sim.claim("a")
    sim.run(1.0)
    sim.workers["w0"].set_capacity(attrs.evolve(FULL, processors=1.0))
    sim.run(SHRUNK_ROOM_S + 1.0)
    sim.submit(OTHER, steps=steps(1, best_effort=True))
    sim.run(3.0)
    assert sim.starts(OTHER) == 0
    sim.workers["w0"].set_capacity(FULL)
    sim.run(HEARTBEAT_S + 2.0)
    assert sim.starts(OTHER) == 1


def test_refused_starts_are_few():
    """Guards against a loop of starts on a worker that has less room than its registry entry."""
    sim = JobSimulation(workers=1)
    sim.run_s = 30.0
    sim.submit(JOB, steps=steps(8))
    sim.claim("a")
    full = sim.workers["w0"].info
    sim.stale_entries["w0"] = (sim.workers["w0"].registry_entry(), sim.clock.now_s() + 8.0)
    sim.workers["w0"].set_capacity(Size(processors=1.0, memory_mb=100_000, accelerators=0))
    refused = count_refusals(sim)
    sim.run(8.0)
    assert len(refused) <= 3 * 8.0 / REFUSED_START_PAUSE_S
    sim.workers["w0"].set_capacity(full.capacity)
    sim.run(3.0)
    assert sim.starts(JOB) == 4


def count_refusals(sim):
    """Returns a list that gets an entry for each start that a worker refuses for lack of room."""
    refused = []
    for worker in sim.workers.values():
        carry_out = worker.start

        def start(order, carry_out=carry_out):
            answer = carry_out(order)
            if answer.result.name == "NO_ROOM":
                refused.append(order)
            return answer

        worker.start = start
    return refused
