"""Margins of latency-critical tasks, by how much best-effort work waits."""

import pytest

from fescuerudder.document import Size
from fescuerudder.jobs.job import Job, Step
from fescuerudder.jobs.jobrun import Attempt, JobRun, Phase
from fescuerudder.jobs.margins import (
    MIN_WAIT_S,
    NARROW,
    UPDATE_INTERVAL_S,
    WIDE,
    FixedMargins,
    MarginControl,
    make_margin_control,
    margins_for,
)
from fescuerudder.jobs.policy import LatencyMargins


def open_step(*, throttles, waiting=0, done=0, best_effort=True, opened_s=0.0):
    """Returns a step with one running task for each throttle, waiting tasks and done ones."""
    spec = Step(
        count=len(throttles) + waiting + done,
        size=Size(processors=2.0, memory_mb=1),
        best_effort=best_effort,
    )
    job = Job(id="00000000000000aa", queue="q", payload="", steps=(spec,))
    step = JobRun.create(job=job, version=1, received_s=0.0).steps[(0, 0)]
    step.opened_s = opened_s
    for task, throttle in zip(step.tasks, throttles, strict=False):
        task.attempts.append(
            Attempt(
                task=task,
                worker="w",
                number=1,
                phase=Phase.RUNNING,
                token=1,
                sent_s=0.0,
                throttle=throttle,
            )
        )
    for task in step.tasks[len(throttles) : len(throttles) + done]:
        task.done = True
    return step


@pytest.mark.parametrize(
    ("steps", "margins"),
    [
        pytest.param([], WIDE, id="no best-effort work"),
        pytest.param([{"throttles": [100] * 9, "waiting": 1}], WIDE, id="most works"),
        pytest.param([{"throttles": [100], "waiting": 9}], NARROW, id="most waits"),
        pytest.param([{"throttles": [0] * 4}], NARROW, id="paused"),
        pytest.param([{"throttles": [None] * 4}], WIDE, id="throttle unknown"),
        pytest.param([{"throttles": [100], "done": 9}], WIDE, id="most is done"),
        pytest.param([{"throttles": [], "waiting": 9, "best_effort": False}], WIDE, id="reserved"),
        pytest.param(
            [{"throttles": [], "waiting": 9, "opened_s": 10.0 - MIN_WAIT_S / 2}],
            WIDE,
            id="about to start",
        ),
    ],
)
def test_the_margin_narrows_as_best_effort_work_waits(steps, margins):
    """Guards against jobs that are all late while their room is kept for a wide margin.

    Seen on cwmtaf-wax, quiet-1: of 72 batch jobs on workers with little headroom 13 were in time.
    """
    control = MarginControl()
    control.update([open_step(**fields) for fields in steps], now_s=10.0)
    assert control.margins == margins


@pytest.mark.parametrize("field", ["throttle", "release", "early", "overdue"])
def test_margins_change_steadily_between_their_bounds(field):
    """Guards against margins that jump, so that tasks are throttled and released by turns."""
    values = [getattr(margins_for(share / 20), field) for share in range(21)]
    assert values[0] == getattr(WIDE, field) and values[-1] == getattr(NARROW, field)
    steps = [before - after for before, after in zip(values, values[1:], strict=False)]
    assert min(steps) >= 0.0
    assert max(steps) <= 0.25 * (values[0] - values[-1])


def test_one_moment_changes_the_margin_little():
    """Guards against margins that follow each job that comes."""
    control = MarginControl()
    control.update([open_step(throttles=[100] * 4)], now_s=10.0)
    starved = [open_step(throttles=[], waiting=4)]
    control.update(starved, now_s=10.0 + UPDATE_INTERVAL_S / 2)
    assert control.margins == WIDE
    control.update(starved, now_s=10.0 + UPDATE_INTERVAL_S)
    assert control.margins == WIDE
    for number in range(2, 12):
        control.update(starved, now_s=10.0 + number * UPDATE_INTERVAL_S)
    assert control.margins == NARROW


@pytest.mark.parametrize(
    ("choice", "control"),
    [(LatencyMargins.ADAPTIVE, MarginControl), (LatencyMargins.AT_TARGET, FixedMargins)],
)
def test_the_policy_chooses_the_margins(choice, control):
    """Guards against margins that change where operators have not chosen them."""
    assert type(make_margin_control(choice)) is control
