"""Tests the stored roster: which workers a successor waits for, and which tasks it delays."""

import json

import pytest

from bench._jobsimulation import JobSimulation
from bench._simulatedleader import InlineExecutor
from fescuerudder.document import Size
from fescuerudder.jobs.job import Step, TaskId
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.leases import PREDECESSOR_LEASES_S
from fescuerudder.jobs.progress import StoredFormError
from fescuerudder.jobs.roster import RosterEntry, dump_deadlines, dump_roster, load_roster
from fescuerudder.jobs.rows import RowTransaction
from fescuerudder.jobs.storage import DEADLINES_KEY, ROSTER_KEY
from fescuerudder.jobs.takeover import load_stored_state

SILENT_JOB = "00000000000000aa"
WAITING_JOB = "00000000000000bb"
SILENT_S = 3.4
"""Time after which two renewals are unanswered and the lease has not expired."""

ONE = Size(processors=1.0, memory_mb=10)


def make_simulation():
    """Returns a simulation in which w0 runs a task of HELD and then goes silent; OTHER waits."""
    sim = JobSimulation(workers=3, capacity=1.0)
    sim.run_s = 30.0
    sim.claim("a")
    sim.submit(SILENT_JOB, steps=(Step(count=3, size=ONE),))
    sim.run(1)
    sim.submit(WAITING_JOB, steps=(Step(count=2, size=ONE),))
    sim.run(0.5)
    sim.cut.add(("a", "w0"))
    sim.cut.add(("b", "w0"))
    sim.run(SILENT_S)
    return sim


def stored_attempts_of_w0(sim):
    """Returns the attempts to which the stored roster restricts w0, None for no restriction."""
    entries = load_roster(sim.store.get(ROSTER_KEY).value)
    return next(entry.only_attempts for entry in entries if entry.info.id == "w0")


@pytest.mark.parametrize(
    ("rewritten", "expected"), [(False, [90_000]), (True, [None])], ids=["together", "alone"]
)
def test_deadlines_count_only_with_the_roster_that_they_were_written_with(rewritten, expected):
    """Guards against a task that runs twice after a takeover in a mixed deployment.

    An instance of an earlier version writes rosters without deadlines; a deadline that stands
    beside such a roster says nothing about what this instance has started since.
    """
    sim = JobSimulation(workers=1)
    info = sim.workers["w0"].info
    entries = [RosterEntry(info=info, only_attempts=(), deadline_ms=90_000)]
    roster, deadlines = dump_roster(entries), dump_deadlines(entries)
    sim.store.write(
        RowTransaction(puts=((ROSTER_KEY, roster), (DEADLINES_KEY, deadlines))), timeout_s=1
    )
    if rewritten:
        sim.store.write(RowTransaction(puts=((ROSTER_KEY, roster),)), timeout_s=1)
    loaded = load_stored_state(
        store=sim.store, clock=sim.clock, wall_ms=lambda: 0.0, pool=InlineExecutor()
    )
    assert [entry.deadline_ms for entry in loaded.roster] == expected


def test_the_roster_says_what_may_run_on_a_silent_worker():
    """Guards against a roster without the attempts of a silent worker.

    A successor would delay all tasks until the leases of that worker have expired.
    """
    sim = make_simulation()
    (task,) = {task for task, _ in sim.workers["w0"].runs}
    assert stored_attempts_of_w0(sim) == ((task, 1),)
    sim.cut.clear()
    sim.run(1)
    assert stored_attempts_of_w0(sim) is None


def test_a_successor_delays_only_the_tasks_of_the_silent_worker():
    """Guards against 9 s without starts after each takeover while one worker is unreachable.

    The task on that worker runs on under its lease, so it must not start elsewhere.
    """
    sim = make_simulation()
    for name in ("w1", "w2"):
        for run in sim.workers[name].runs.values():
            run.done_at_s = sim.clock.now_s()
    sim.leaders[-1].alive = False
    ended_s = sim.clock.now_s()
    sim.claim("b")
    sim.run(0.1)
    assert [task.job for task, _ in sim.workers["w0"].runs] == [SILENT_JOB]
    sim.run(2)
    assert {e[2].job for e in sim.events if e[0] > ended_s and e[4] == "start"} == {WAITING_JOB}
    sim.run(PREDECESSOR_LEASES_S + 70)
    assert sim.state(SILENT_JOB) is sim.state(WAITING_JOB) is JobState.COMPLETED
    sim.check_history()


@pytest.mark.parametrize("takeovers", [1, 2])
def test_a_silent_worker_that_answers_a_successor_keeps_its_tasks(takeovers):
    """Guards against tasks that are stopped or lost because their worker was silent at a takeover.

    The worker must also get new tasks once it answers.
    """
    sim = make_simulation()
    for number in range(takeovers):
        sim.leaders[-1].alive = False
        sim.claim(f"s{number}")
        sim.run(0.05)
    sim.cut.clear()
    sim.run(40)
    assert sim.state(SILENT_JOB) is JobState.COMPLETED
    assert sim.starts(SILENT_JOB) == 3
    sim.submit("00000000000000cc", steps=(Step(count=3, size=ONE),))
    sim.run(35)
    assert any(e[1] == "w0" and e[2].job == "00000000000000cc" for e in sim.events)


def test_an_attempt_that_follows_a_restored_one_is_adopted():
    """Guards against a successor that stops a running task.

    The roster that it read lists an older attempt of the task on a silent worker.
    """
    sim = make_simulation()
    leader = sim.claim("b")
    scheduler = leader.scheduler
    ((task, number),) = [k for k, a in scheduler.state.workers["w0"].attempts.items() if a.restored]
    free = sim.add_worker(3, 1.0)
    sim.run(0.1)
    free.runs.update({(task, number + 1): sim.workers["w0"].runs[(task, number)]})
    free.runs[(task, number + 1)].attempt = number + 1
    sim.workers["w0"].runs.clear()
    free.lease_until_ms = free.clock_ms() + 5000
    scheduler.state.workers["w3"].next_renewal_s = 0.0
    scheduler.state.workers["w3"].resolved = False
    sim.run(0.5)
    found = scheduler.state.find_task(task)
    assert [(a.worker, a.number) for a in found.attempts] == [("w3", number + 1)]


@pytest.mark.parametrize(
    "data",
    [b"", b"{}x", b'[["a"]]', b'[["a",1,"x:1",[["job",0,0]]]]', b'[["a",1,"x:1",3]]'],
)
def test_a_damaged_roster_is_an_error(data):
    """Guards against a takeover that takes a damaged roster for an empty one.

    It would start tasks again that still run on the workers of the roster.
    """
    with pytest.raises(StoredFormError):
        load_roster(data)


def test_a_roster_is_the_same_after_it_is_loaded():
    """Guards against attempts or incarnations that are lost when the roster is stored."""
    info = JobSimulation(workers=1).workers["w0"].registry_entry()
    attempts = ((TaskId(SILENT_JOB, 1, 2, 3), 10001),)
    for entry in (RosterEntry(info=info), RosterEntry(info=info, only_attempts=attempts)):
        (loaded,) = load_roster(dump_roster([entry]))
        assert loaded.only_attempts == entry.only_attempts
        assert (loaded.info.id, loaded.info.incarnation_ms) == (info.id, info.incarnation_ms)


DAMAGES = {
    "no document": lambda data: b"{}x",
    "nested": lambda data: b"[" * 100_000,
    "no list": lambda data: b'{"a": 1}',
    "one odd entry": lambda data: json.dumps([["w0", 1e999, 1], *json.loads(data)[1:]]).encode(),
    "entries of another version": lambda data: json.dumps(
        [[*row, None, "more"] for row in json.loads(data)]
    ).encode(),
}


@pytest.mark.parametrize("is_reachable", [True, False])
@pytest.mark.parametrize("damage", DAMAGES)
def test_a_successor_leads_with_a_damaged_roster(damage, is_reachable):
    """Guards against an instance after instance that fails to lead because of one row.

    No task may run twice either, although nothing tells on which workers tasks run.
    """
    sim = make_simulation()
    if is_reachable:
        sim.cut.clear()
    data = DAMAGES[damage](sim.store.get(ROSTER_KEY).value)
    sim.leaders[-1].alive = False
    sim.store.write(RowTransaction(puts=((ROSTER_KEY, data),)), timeout_s=1)
    sim.claim("b")
    sim.run(PREDECESSOR_LEASES_S + 100)
    assert sim.state(SILENT_JOB) is sim.state(WAITING_JOB) is JobState.COMPLETED
    sim.check_history()
    assert {entry.info.id for entry in load_roster(sim.store.get(ROSTER_KEY).value)} == {
        "w0",
        "w1",
        "w2",
    }
