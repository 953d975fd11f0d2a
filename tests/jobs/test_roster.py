"""The stored roster: which workers a successor waits for, and with which tasks."""

import pytest

from fescuerudder.document import Size
from fescuerudder.jobs.job import Step, TaskId
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.leases import PREDECESSOR_S
from fescuerudder.jobs.progress import StoredFormError
from fescuerudder.jobs.roster import RosterEntry, dump_roster, load_roster
from fescuerudder.jobs.storage import ROSTER
from tests.jobs.job_simulation import JobSimulation

HELD = "00000000000000aa"
OTHER = "00000000000000bb"
SILENT_S = 3.4
"""Two renewals have gone unanswered, and the lease has not ended."""

ONE = Size(processors=1.0, memory_mb=10)


def make_simulation():
    """Returns a simulation in which w0 runs a task of HELD and then goes silent; OTHER waits."""
    sim = JobSimulation(workers=3, capacity=1.0)
    sim.run_s = 30.0
    sim.claim("a")
    sim.submit(HELD, steps=(Step(count=3, size=ONE),))
    sim.run(1)
    sim.submit(OTHER, steps=(Step(count=2, size=ONE),))
    sim.run(0.5)
    sim.cut.add(("a", "w0"))
    sim.cut.add(("b", "w0"))
    sim.run(SILENT_S)
    return sim


def held_of(sim):
    """Returns what the stored roster says of w0."""
    entries = load_roster(sim.store.get(ROSTER).value)
    return next(entry.held for entry in entries if entry.info.id == "w0")


def test_the_roster_says_what_may_run_on_a_silent_worker():
    """Guards against successors that wait with everything for one worker that nobody reaches."""
    sim = make_simulation()
    (task,) = {task for task, _ in sim.workers["w0"].runs}
    assert held_of(sim) == ((task, 1),)
    sim.cut.clear()
    sim.run(1)
    assert held_of(sim) is None


def test_a_successor_waits_with_the_held_tasks_only():
    """Guards against 9 s without starts after each takeover while one worker is lost.

    The held task runs on its lease meanwhile, so it must not start elsewhere.
    """
    sim = make_simulation()
    for name in ("w1", "w2"):
        for run in sim.workers[name].runs.values():
            run.done_at_s = sim.clock.now_s()
    sim.leaders[-1].alive = False
    ended_s = sim.clock.now_s()
    sim.claim("b")
    sim.run(0.1)
    assert [task.job for task, _ in sim.workers["w0"].runs] == [HELD]
    sim.run(2)
    assert {e[2].job for e in sim.events if e[0] > ended_s and e[4] == "start"} == {OTHER}
    sim.run(PREDECESSOR_S + 70)
    assert sim.state(HELD) is sim.state(OTHER) is JobState.COMPLETED
    sim.check_history()


@pytest.mark.parametrize("takeovers", [1, 2])
def test_a_silent_worker_that_answers_a_successor_goes_on(takeovers):
    """Guards against work that is stopped or lost because its worker was silent at a takeover."""
    sim = make_simulation()
    for number in range(takeovers):
        sim.leaders[-1].alive = False
        sim.claim(f"s{number}")
        sim.run(0.05)
    sim.cut.clear()
    sim.run(40)
    assert sim.state(HELD) is JobState.COMPLETED
    assert sim.starts(HELD) == 3
    sim.submit("00000000000000cc", steps=(Step(count=3, size=ONE),))
    sim.run(35)
    assert any(e[1] == "w0" and e[2].job == "00000000000000cc" for e in sim.events)


def test_an_attempt_that_follows_a_held_one_is_taken_over():
    """Guards against a successor that stops a task because an older attempt of it is held."""
    sim = make_simulation()
    leader = sim.claim("b")
    scheduler = leader.scheduler
    ((task, number),) = [k for k, a in scheduler.world.books["w0"].attempts.items() if a.held]
    free = sim.add_worker(3, 1.0)
    sim.run(0.1)
    free.runs.update({(task, number + 1): sim.workers["w0"].runs[(task, number)]})
    free.runs[(task, number + 1)].attempt = number + 1
    sim.workers["w0"].runs.clear()
    free.lease_ms = free.clock_ms() + 5000
    scheduler.world.books["w3"].next_renewal_s = 0.0
    scheduler.world.books["w3"].resolved = False
    sim.run(0.5)
    found = scheduler.world.find_task(task)
    assert [(a.worker, a.number) for a in found.attempts] == [("w3", number + 1)]


@pytest.mark.parametrize(
    "data",
    [b"", b"{}x", b'[["a"]]', b'[["a",1,"x:1",[["job",0,0]]]]', b'[["a",1,"x:1",3]]'],
)
def test_a_damaged_roster_is_an_error(data):
    """Guards against a takeover that knows of no workers and starts everything again."""
    with pytest.raises(StoredFormError):
        load_roster(data)


def test_the_stored_form_keeps_everything():
    """Guards against attempts that are lost on their way to a successor."""
    info = JobSimulation(workers=1).workers["w0"].entry()
    held = ((TaskId(HELD, 1, 2, 3), 10001),)
    for entry in (RosterEntry(info=info), RosterEntry(info=info, held=held)):
        (loaded,) = load_roster(dump_roster([entry]))
        assert loaded.held == entry.held
        assert (loaded.info.id, loaded.info.born_ms) == (info.id, info.born_ms)
