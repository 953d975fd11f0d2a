"""Previews of placements: the planner's decision, without any effect."""

import random

import attrs
import pytest

from fescuerudder.document import Size
from fescuerudder.jobs.job import Job, Repetition
from fescuerudder.jobs.preview import NOT_DUE, predict_wait_s
from fescuerudder.jobs.waitreasons import WaitReason
from tests.jobs.account_simulation import AccountSimulation, account, step

TWO = Size(processors=2.0)
GPU = Size(processors=1.0, memory_mb=10, accelerators=1)


def job_of(*steps, name="a", **fields):
    return Job(id="(preview)", queue="q", payload="p", steps=steps, account=name, **fields)


def simulation(*, cap=0.0, workers=3, seed=1):
    accounts = (account("a", cap), account("b", weight=2.0))
    sim = AccountSimulation(*accounts, workers=workers, capacity=4.0, seed=seed)
    return sim, sim.claim("l")


@pytest.mark.parametrize("busy", [0, 7, 40])
@pytest.mark.parametrize(
    "spec",
    [
        step(3),
        step(2, gang=True),
        step(2, required_label="r1"),
        step(2, max_per_worker=1, data_rack="r0"),
        step(1, long_running=True),
        step(2, best_effort=True, image="i"),
    ],
)
def test_the_preview_shows_what_the_planner_then_does(busy, spec):
    """Guards against a preview that decides by rules of its own.

    Load: 12 cores, on which `busy` tasks of one core run or wait; then the job is submitted.
    """
    sim, leader = simulation()
    if busy:
        sim.send_job("b", step(busy))
    sim.run(0.3)
    [shown] = leader.scheduler.preview(job_of(spec)).steps
    job_id = sim.send_job("a", spec)
    leader._read_changes()
    leader.scheduler.plan()
    planned = [attempt.worker for attempt in leader.scheduler.state.jobs[job_id].attempts()]
    assert shown.starts == len(planned)
    named = {candidate.worker: candidate.tasks for candidate in shown.candidates}
    assert named | {worker: planned.count(worker) for worker in planned} == named
    assert bool(shown.reason) == (not planned)


def play(*, previews, seed):
    """Returns the events of a random load on 12 cores under which some jobs wait."""
    sim, leader = simulation(cap=7.0, seed=seed)
    rng = random.Random(seed)
    for _ in range(80):
        if rng.random() < 0.4:
            spec = step(rng.randint(1, 5), gang=rng.random() < 0.2)
            sim.send_job(rng.choice(("a", "b", "")), spec)
        sim.run(0.05)
        if previews:
            for spec in (step(3), step(2, gang=True), step(1, long_running=True), step(30)):
                leader.scheduler.preview(job_of(spec))
    return sim.events


@pytest.mark.parametrize("seed", range(3))
def test_previews_change_nothing(seed):
    """Guards against a preview that starts, reserves, queries or learns anything."""
    assert play(previews=True, seed=seed) == play(previews=False, seed=seed)


@pytest.mark.parametrize(
    ("cap", "load", "fields", "reason", "excluded"),
    [
        (0.0, 40, {"count": 1}, WaitReason.NO_ROOM.value, "too few processors free"),
        (3.0, 0, {"count": 1, "size": Size(processors=4.0)}, WaitReason.AT_CAP.value, ""),
        (0.0, 0, {"required_label": "x"}, WaitReason.NO_WORKER.value, "without label 'x'"),
        (0.0, 0, {"size": GPU}, WaitReason.NO_ROOM.value, "too small"),
        (0.0, 11, {"size": TWO}, WaitReason.NO_ROOM.value, "too few processors free"),
    ],
)
def test_the_reason_of_a_wait_and_of_each_exclusion_is_named(cap, load, fields, reason, excluded):
    """Guards against a preview that doesn't say why a job would wait."""
    sim, leader = simulation(cap=cap)
    if load:
        sim.send_job("b", step(load))
    sim.run(0.3)
    [shown] = leader.scheduler.preview(job_of(step(**fields))).steps
    assert (shown.starts, shown.reason) == (0, reason)
    assert shown.excluded == ({excluded: 3} if excluded else {})
    assert shown.candidate_count == (0 if excluded else 3)
    if load == 40:
        assert (shown.position, shown.waiting) == (1, 2)
        assert 0.0 < shown.forecast.wait_s <= 4.0


def test_a_repeated_job_waits_for_its_time_and_later_steps_are_left_out():
    """Guards against a repeated job shown as starting at once."""
    _, leader = simulation()
    repetition = Repetition(times=1, first_ms=160_000, interval_ms=1)
    job = job_of(step(1), attrs.evolve(step(1), after=(0,)), repetition=repetition)
    [shown] = leader.scheduler.preview(job).steps
    assert (shown.reason, shown.due_s) == (NOT_DUE, 60.0)


def test_an_unknown_queue_is_an_error():
    """Guards against a preview for a queue that no manifest of the leader has."""
    _, leader = simulation()
    with pytest.raises(LookupError, match="no queue 'none'"):
        leader.scheduler.preview(attrs.evolve(job_of(step(1)), queue="none"))


@pytest.mark.parametrize(
    ("ends", "needed", "wait_s"),
    [
        ([], 1.0, None),
        ([(0.5, 1.0), (2.0, 3.0)], 1.0, 0.5),
        ([(0.5, 1.0), (2.0, 3.0)], 4.0, 2.0),
        ([(0.5, 1.0), (2.0, 3.0)], 5.0, 3.5),
        ([(1.0, 2.0)], 6.0, 7.0),
        ([(1.0, 2.0)], -1.0, None),
    ],
)
def test_the_wait_is_predicted_from_the_ends_of_running_tasks(ends, needed, wait_s):
    """Guards against a prediction that ignores how much goes first."""
    assert predict_wait_s(ends, needed=needed, run_s=3.0) == wait_s
