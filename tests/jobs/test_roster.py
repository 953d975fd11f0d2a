"""The stored roster: which workers a successor waits for, and with which tasks."""

import pytest

from fescuerudder.document import Size
from fescuerudder.jobs.job import Step, TaskId
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.leases import PREDECESSOR_S
from fescuerudder.jobs.progress import StoredFormError
from fescuerudder.jobs.roster import RosterEntry, dump_roster, load_roster
from fescuerudder.jobs.storage import ROSTER
from tests.jobs.job_world import JobWorld

HELD = "00000000000000aa"
OTHER = "00000000000000bb"
SILENT_S = 3.4
"""Two renewals have gone unanswered, and the lease has not ended."""

ONE = Size(processors=1.0, memory_mb=10)


def make_world():
    """Returns a world in which w0 runs a task of HELD and has then become silent; OTHER waits."""
    world = JobWorld(workers=3, capacity=1.0)
    world.run_s = 30.0
    world.claim("a")
    world.submit(HELD, steps=(Step(count=3, size=ONE),))
    world.run(1)
    world.submit(OTHER, steps=(Step(count=2, size=ONE),))
    world.run(0.5)
    world.cut.add(("a", "w0"))
    world.cut.add(("b", "w0"))
    world.run(SILENT_S)
    return world


def held_of(world):
    """Returns what the stored roster says of w0."""
    entries = load_roster(world.store.get(ROSTER).value)
    return next(entry.held for entry in entries if entry.info.id == "w0")


def test_the_roster_says_what_may_run_on_a_silent_worker():
    """Guards against successors that wait with everything for one worker that nobody reaches."""
    world = make_world()
    (task,) = {task for task, _ in world.workers["w0"].runs}
    assert held_of(world) == ((task, 1),)
    world.cut.clear()
    world.run(1)
    assert held_of(world) is None


def test_a_successor_waits_with_the_held_tasks_only():
    """Guards against 9 s without starts after each takeover while one worker is lost.

    The held task runs on its lease meanwhile, so it must not start elsewhere.
    """
    world = make_world()
    for name in ("w1", "w2"):
        for run in world.workers[name].runs.values():
            run.done_at_s = world.clock.now_s()
    world.leaders[-1].alive = False
    ended_s = world.clock.now_s()
    world.claim("b")
    world.run(0.1)
    assert [task.job for task, _ in world.workers["w0"].runs] == [HELD]
    world.run(2)
    assert {e[2].job for e in world.events if e[0] > ended_s and e[4] == "start"} == {OTHER}
    world.run(PREDECESSOR_S + 70)
    assert world.state(HELD) is world.state(OTHER) is JobState.COMPLETED
    world.check_history()


@pytest.mark.parametrize("takeovers", [1, 2])
def test_a_silent_worker_that_answers_a_successor_goes_on(takeovers):
    """Guards against work that is stopped or lost because its worker was silent at a takeover."""
    world = make_world()
    for number in range(takeovers):
        world.leaders[-1].alive = False
        world.claim(f"s{number}")
        world.run(0.05)
    world.cut.clear()
    world.run(40)
    assert world.state(HELD) is JobState.COMPLETED
    assert world.starts(HELD) == 3
    world.submit("00000000000000cc", steps=(Step(count=3, size=ONE),))
    world.run(35)
    assert any(e[1] == "w0" and e[2].job == "00000000000000cc" for e in world.events)


def test_an_attempt_that_follows_a_held_one_is_taken_over():
    """Guards against a successor that stops a task because an older attempt of it is held."""
    world = make_world()
    leader = world.claim("b")
    scheduler = leader.scheduler
    ((task, number),) = [k for k, a in scheduler.world.books["w0"].attempts.items() if a.held]
    free = world.add_worker(3, 1.0)
    world.run(0.1)
    free.runs.update({(task, number + 1): world.workers["w0"].runs[(task, number)]})
    free.runs[(task, number + 1)].attempt = number + 1
    world.workers["w0"].runs.clear()
    free.lease_until_ms = free.clock_ms() + 5000
    scheduler.world.books["w3"].next_renewal_s = 0.0
    scheduler.world.books["w3"].resolved = False
    world.run(0.5)
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
    info = JobWorld(workers=1).workers["w0"].registry_entry()
    held = ((TaskId(HELD, 1, 2, 3), 10001),)
    for entry in (RosterEntry(info=info), RosterEntry(info=info, held=held)):
        (loaded,) = load_roster(dump_roster([entry]))
        assert loaded.held == entry.held
        assert (loaded.info.id, loaded.info.born_ms) == (info.id, info.born_ms)
