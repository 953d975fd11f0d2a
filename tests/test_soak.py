"""A short seeded soak: nodes as processes, faults from outside them; and what its checks find."""

import json
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from bench.soak import RESTARTS, Soak, Submission, _find_late_starts, _find_overlaps
from fescuerudder.clock import ManualClock
from fescuerudder.document import Size
from fescuerudder.jobs.job import TaskId
from fescuerudder.jobs.workerport import WorkerInfo
from standins._http import Request
from standins.jobworker import JobWorker
from standins.workerhandler import WorkerHandler

JOB = "00000000000000aa"
FIRST, SECOND = TaskId(JOB, 0, 0, 0), TaskId(JOB, 0, 1, 0)


@pytest.mark.parametrize(
    "seed",
    [
        # A worker born again had taken a start before anybody knew of its new life.
        12,
    ],
)
def test_no_promise_breaks_under_random_faults(seed):
    """Guards against what only whole processes show: signals, connections, start-up, hand-over."""
    verdict = Soak(seed=seed, duration_s=5.0).run()
    assert verdict.problems == [], verdict.faults
    assert verdict.accepted > 0
    assert verdict.starts > 0


@pytest.mark.parametrize(
    "seed",
    [
        # A renewal for the last incarnation gave the next one leases that the leader didn't count.
        103,
    ],
)
def test_no_promise_breaks_as_workers_restart_amid_calls(seed):
    """Guards against orders to one incarnation of a worker that act on the next one."""
    verdict = Soak(seed=seed, duration_s=5.0, kind=RESTARTS).run()
    assert verdict.problems == [], verdict.faults
    assert verdict.accepted > 0
    assert any(fault.startswith("restart ") for fault in verdict.faults)


@pytest.mark.parametrize("clock_ms", [0.0, 2_000.0, 50_000.0])
def test_a_held_renewal_acts_on_the_next_incarnation(clock_ms):
    """Guards against a soak whose held calls get lost, or still reach the last incarnation."""
    clock = ManualClock()
    info = WorkerInfo(
        id="w0",
        incarnation_ms=1000,
        pool="pool",
        address="",
        zone="z0",
        rack="r0",
        labels=frozenset(),
        capacity=Size(processors=4.0, memory_mb=100, accelerators=0),
        draining=False,
        clock_ms=0,
    )
    worker = JobWorker(info=info, now_s=clock.now_s, events=[], plan=None, max_lease_s=10.0)
    face = WorkerHandler(worker=worker)
    clock.advance(seconds=20.0)
    body = {"fencingToken": 7, "ackSeq": 0, "deadlineMs": 25_000}
    req = Request(
        method="POST",
        path="/hold",
        query={},
        headers={"x-target-instance": worker.info.id},
        body=json.dumps(body).encode(),
        target="/hold",
    )
    face.held_calls.begin()
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(face.handle, req)
        while not face.held_calls._calls:
            time.sleep(0.01)
        worker.crash()
        worker.restart(clock_ms=clock_ms)
        calls = face.held_calls.end()
        assert answer.result().abort
    assert worker.highest_token == 0
    assert face.carry_out(*calls).status == 200
    assert worker.highest_token == 7
    assert worker.lease_until_ms == min(25_000.0, clock_ms + 10_000.0)


@pytest.mark.parametrize(
    ("events", "found"),
    [
        ([(1, "w0", FIRST, 1, "start"), (2, "w0", FIRST, 1, "done")], 0),
        ([(1, "w0", FIRST, 1, "start"), (2, "w1", FIRST, 2, "start")], 1),
        (
            [
                (1, "w0", FIRST, 1, "start"),
                (2, "w0", FIRST, 1, "lost"),
                (3, "w1", FIRST, 2, "start"),
            ],
            0,
        ),
    ],
)
def test_overlaps_are_found(events, found):
    """Guards against a soak that passes because it does not look."""
    assert len(_find_overlaps(events)) == found


def test_starts_after_a_noted_end_are_found():
    """Guards against the same for work that is done twice."""
    events = [
        (1, "w0", FIRST, 1, "start"),
        (2, "w0", FIRST, 1, "done"),
        (3, "w0", FIRST, 1, "noted done"),
        (4, "w1", FIRST, 2, "start"),
    ]
    assert len(_find_late_starts(events)) == 1
    assert _find_late_starts(events[:3]) == []


@pytest.mark.parametrize(
    ("submission", "events", "found"),
    [
        (Submission(job=JOB, steps=(1, 1), accepted=True), [FIRST], 0),
        (Submission(job=JOB, steps=(1, 1), accepted=True), [SECOND], 1),
        (Submission(job=JOB, steps=(1, 1), refused=True), [FIRST], 1),
        (None, [FIRST], 1),
    ],
)
def test_starts_that_nobody_asked_for_are_found(submission, events, found):
    """Guards against the same for refused jobs, unknown ones and steps before their turn."""
    soak = Soak(seed=1, duration_s=1.0)
    if submission is not None:
        soak._jobs[JOB] = submission
    starts = [(number, "w0", task, 1, "start") for number, task in enumerate(events)]
    assert len(soak._find_unasked(starts) + soak._find_early_starts(starts)) == found
