"""A short seeded soak: nodes as processes, faults from outside them; and what its checks find."""

import pytest

from bench.soak import Soak, Submission, _find_late_starts, _find_overlaps
from fescuerudder.jobs.job import TaskId

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
