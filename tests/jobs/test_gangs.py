"""Gangs: their members start together, and from one checkpoint."""

import json

import pytest

from bench._jobsimulation import JobSimulation, queue
from fescuerudder.jobs.job import Job
from fescuerudder.jobs.jobrun import JobRun, JobState
from fescuerudder.jobs.progress import dump_progress, restore_progress
from fescuerudder.jobs.workerport import StartOrder
from tests.jobs.test_random_worlds import FAULTS, ensure_leader
from tests.jobs.test_scheduler import JOB, ONE, steps


def gang(count):
    return steps(count, gang=True, checkpoints=True)


def collect_starts(sim, monkeypatch):
    """Returns a list that gets each start order as it is sent."""
    starts, send = [], sim.send

    def send_and_collect(leader, order):
        if isinstance(order, StartOrder):
            starts.append(order)
        send(leader, order)

    monkeypatch.setattr(sim, "send", send_and_collect)
    return starts


def carried(starts):
    """Returns the checkpoints that each attempt was started with, by its number."""
    by_attempt = {}
    for order in starts:
        by_attempt.setdefault(order.attempt, set()).add(order.checkpoint)
    return by_attempt


def ends(sim, kind):
    return sum(1 for event in sim.events if event[4] == kind)


def fails_once(task, attempt, worker):
    """Plan in which the second member of a gang fails in its first attempt."""
    return ONE, 1.0 if task.index == 1 and attempt == 1 else 2.0, task.index == 1 and attempt == 1


@pytest.mark.parametrize("count", [4, 8])
def test_members_resume_from_one_checkpoint(monkeypatch, count):
    """Guards against a gang that never completes after one failure of a member.

    Each member listed a state of its own and was started with it, so no two of them worked
    together, and all ended alone again and again.
    """
    sim = JobSimulation(workers=3, plan=fails_once)
    starts = collect_starts(sim, monkeypatch)
    sim.submit(JOB, steps=gang(count))
    sim.claim("a")
    sim.run(6)
    first, second = carried(starts).values()
    assert first == {""}
    assert len(second) == 1 and second != {""}
    assert sim.state(JOB) is JobState.COMPLETED
    assert ends(sim, "alone") == 0


def test_a_successor_starts_all_members_from_one_checkpoint(monkeypatch):
    """Guards against members that resume from different states after a takeover.

    The leader stores the ends of those members that it reaches; the others list theirs to its
    successor.
    """
    sim = JobSimulation(workers=3, plan=fails_once)
    starts = collect_starts(sim, monkeypatch)
    sim.submit(JOB, steps=gang(6))
    first = sim.claim("a")
    sim.run(0.8)
    sim.cut.add(("a", "w1"))
    sim.run(0.8)
    stored = first.scheduler.state.jobs[JOB].steps[(0, 0)].gang_checkpoint
    first.alive = False
    sim.claim("b")
    sim.run(8)
    assert sim.state(JOB) is JobState.COMPLETED
    checkpoints = carried(starts)
    assert stored and len(checkpoints) == 2
    assert all(len(values) == 1 for values in checkpoints.values())
    assert ends(sim, "alone") == 0


def test_a_gang_that_a_successor_adopted_resumes_from_one_checkpoint(monkeypatch):
    """Guards against members that resume from what a successor saw each of them save."""

    def plan(task, attempt, worker):
        return ONE, 5.0 if task.index == 2 and attempt == 1 else 9.0, attempt == 1

    sim = JobSimulation(workers=3, plan=plan)
    starts = collect_starts(sim, monkeypatch)
    sim.submit(JOB, steps=gang(6))
    first = sim.claim("a")
    sim.run(1)
    first.alive = False
    sim.claim("b")
    sim.run(2)
    assert sim.starts(JOB) == 6
    sim.workers["w0"].crash()
    sim.run(0.5)
    sim.workers["w0"].restart()
    sim.run(15)
    assert sim.state(JOB) is JobState.COMPLETED
    assert [len(values) for values in carried(starts).values()] == [1, 1]
    assert ends(sim, "alone") == 0


def test_a_gang_avoids_a_worker_that_refused_a_member():
    """Guards against a gang that never starts whole, as one worker refuses its member each time.

    The other members waited for it until they ended alone, and the next attempt went to the same
    workers.
    """
    sim = JobSimulation(workers=3, capacity=4.0)
    sim.workers["w0"].refuses_starts = True
    sim.submit(JOB, steps=gang(5))
    sim.claim("a")
    sim.run(4)
    assert sim.state(JOB) is JobState.COMPLETED
    assert ends(sim, "alone") == 0


def test_members_of_a_gang_that_lost_one_do_not_wait():
    """Guards against members that hold their room for a member that can't come any more."""
    sim = JobSimulation(workers=2, capacity=4.0)
    sim.workers["w0"].refuses_starts = True
    sim.submit(JOB, steps=gang(5))
    sim.claim("a")
    sim.run(3)
    assert ends(sim, "stopped") > 0 and ends(sim, "alone") == 0
    sim.workers["w0"].refuses_starts = False
    sim.run(4)
    assert sim.state(JOB) is JobState.COMPLETED


def test_a_gang_of_which_a_lost_leader_started_a_part_is_started_anew(monkeypatch):
    """Guards against members that wait in vain because their leader was lost between the orders."""
    sim = JobSimulation(workers=3)
    send = sim.send

    def send_half(leader, order):
        if not isinstance(order, StartOrder) or leader.name == "b" or order.task.index < 3:
            send(leader, order)

    monkeypatch.setattr(sim, "send", send_half)
    sim.submit(JOB, steps=gang(6))
    first = sim.claim("a")
    sim.run(0.5)
    assert sim.starts(JOB) == 3
    first.alive = False
    sim.claim("b")
    sim.run(4)
    assert sim.state(JOB) is JobState.COMPLETED
    assert ends(sim, "alone") == 0


def test_what_a_lost_member_saved_last_does_not_replace_the_end_of_another():
    """Guards against work that is done again because a crash is noticed after other ends.

    A report that listed a member while it ran is older than the ends of the others.
    """
    run = JobRun.create(
        job=Job(id=JOB, queue="q", payload="p", steps=gang(3)), version=1, received_s=0.0
    )
    tasks = list(run.tasks())
    tasks[0].save_checkpoint("listed first", attempt=7, has_ended=False)
    tasks[1].save_checkpoint("at the end", attempt=7, has_ended=True)
    tasks[2].save_checkpoint("listed", attempt=7, has_ended=False)
    tasks[2].save_checkpoint("of an earlier attempt", attempt=6, has_ended=True)
    assert {task.checkpoint for task in tasks} == {"at the end"}
    tasks[0].save_checkpoint("", attempt=8, has_ended=True)
    assert {task.checkpoint for task in tasks} == {"at the end"}
    tasks[0].save_checkpoint("later", attempt=8, has_ended=False)
    assert {task.checkpoint for task in tasks} == {"later"}


@pytest.mark.parametrize(
    ("step", "checkpoint"),
    [
        ({"checkpoints": {"1": "b", "2": "c"}}, "b"),
        ({"checkpoints": {"0": "a", "1": "b", "2": "c"}}, "a"),
        ({"gang": [4, "g"]}, "g"),
        ({}, ""),
    ],
)
def test_stored_progress_gives_all_members_one_checkpoint(step, checkpoint):
    """Guards against different checkpoints in rows that an earlier version stored."""
    job = Job(id=JOB, queue="q", payload="p", steps=gang(3))
    run = JobRun.create(job=job, version=1, received_s=0.0)
    restore_progress(run, json.dumps({"state": "running", "steps": {"0.0": step}}).encode())
    assert {task.checkpoint for task in run.tasks()} == {checkpoint}
    again = JobRun.create(job=job, version=1, received_s=0.0)
    restore_progress(again, dump_progress(run))
    assert {task.checkpoint for task in again.tasks()} == {checkpoint}
    assert again.steps[(0, 0)].checkpoint_attempt == run.steps[(0, 0)].checkpoint_attempt


@pytest.mark.parametrize("seed", range(24))
def test_random_faults_start_no_gang_from_different_checkpoints(monkeypatch, seed):
    """Guards against gangs that are started unequal, or never end, after faults of any kind."""
    sim = JobSimulation(seed=seed, workers=4, queues=(queue(max_failures=6),))
    starts, rng = collect_starts(sim, monkeypatch), sim.rng
    sim.plan = lambda task, attempt, worker: (ONE, 1.5, (task.index + attempt) % 4 == 1)
    sim.claim("l0")
    for number in range(4):
        if not sim.store.faults.down:
            sim.submit(f"{number:016x}", steps=gang(2 + number))
        for _ in range(rng.randint(1, 3)):
            rng.choice(FAULTS)(sim)
            sim.run(rng.uniform(0.1, 1.5))
    heal(sim)
    sim.run(60)
    sim.store.apply_delayed()
    sim.run(1)
    ensure_leader(sim, "very last")
    sim.run(15)
    by_gang = {}
    for order in starts:
        by_gang.setdefault((order.task[:3], order.attempt), set()).add(order.checkpoint)
    assert all(len(values) == 1 for values in by_gang.values())
    sim.check_history()
    for job_id in sim.specs:
        assert sim.state(job_id) in (JobState.COMPLETED, JobState.FAILED), job_id


def heal(sim):
    """Ends all faults."""
    faults = sim.store.faults
    faults.down, faults.lose_answers, faults.lose_writes = False, 0, 0
    sim.cut.clear()
    sim.order_loss_rate = 0.0
    for worker in sim.workers.values():
        if not worker.is_up:
            worker.restart()
    ensure_leader(sim, "last")
