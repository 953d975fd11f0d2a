"""Learned run times."""

import math
import random

import attrs
import pytest

from fescuerudder.document import Size
from fescuerudder.jobs import runtimes
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.runtimes import MIN_ENDS, RunTimes

STEP = Step(count=10, size=Size(processors=2.0, memory_mb=1), estimated_ms=4000, image="a")


def learned(run_s, *, count=100, worker="w", estimated_ms=lambda run_s: 4000):
    """Returns run times learned from ends; `run_s` returns the run time of a random number."""
    times, rng = RunTimes(), random.Random(1)
    for _ in range(count):
        seconds = run_s(rng)
        step = attrs.evolve(STEP, estimated_ms=round(estimated_ms(seconds)))
        times.observe("q", step, worker=worker, run_s=seconds)
    return times


@pytest.mark.parametrize(
    ("step", "expected_s"),
    [
        pytest.param(STEP, 1.0, id="seen"),
        pytest.param(attrs.evolve(STEP, estimated_ms=0), 1.0, id="without estimate"),
        pytest.param(attrs.evolve(STEP, image="b"), 4.0, id="another image"),
        pytest.param(attrs.evolve(STEP, count=100), 4.0, id="another number of tasks"),
        pytest.param(
            attrs.evolve(STEP, size=Size(processors=8.0, memory_mb=1)), 4.0, id="another size"
        ),
    ],
)
def test_only_steps_of_the_same_shape_correct_an_estimate(step, expected_s):
    """Guards against estimates that follow the run times of unlike steps."""
    times = learned(lambda rng: 1.0)
    assert times.expected_s("q", step) == pytest.approx(expected_s, rel=0.05)
    assert times.expected_s("other", step) == step.estimated_ms / 1000


def test_a_few_ends_change_nothing():
    """Guards against estimates that the first ends after a takeover replace."""
    assert learned(lambda rng: 1.0, count=MIN_ENDS - 1).expected_s("q", STEP) == 4.0


@pytest.mark.parametrize(
    ("estimated_ms", "expected_s"),
    [
        pytest.param(lambda run_s: 500 * run_s, 16.0, id="exact up to a factor"),
        pytest.param(lambda run_s: 8000, 2.0, id="the same for all"),
    ],
)
def test_estimates_count_as_far_as_they_are_exact(estimated_ms, expected_s):
    """Guards against a mean that hides what callers know, and against estimates without a clue."""
    times = learned(lambda rng: 2 ** rng.uniform(-1, 3), count=500, estimated_ms=estimated_ms)
    step = attrs.evolve(STEP, estimated_ms=8000)
    assert times.expected_s("q", step) == pytest.approx(expected_s, rel=0.25)


def test_a_slow_worker_does_not_change_the_estimate_elsewhere():
    """Guards against jobs that seem late everywhere because one worker is slow."""
    times = RunTimes()
    for number in range(400):
        worker = f"w{number % 4}"
        times.observe("q", STEP, worker=worker, run_s=10.0 if worker == "w0" else 1.0)
    assert times.expected_s("q", STEP) == pytest.approx(1.0, rel=0.2)
    assert math.exp(times._workers["w0"]) > 5.0
    assert math.exp(times._workers["w1"]) == pytest.approx(1.0, rel=0.2)


def test_the_tail_is_above_most_run_times():
    """Guards against predictions that take each task for a typical one."""
    times = learned(lambda rng: rng.lognormvariate(0.0, 0.5), count=500)
    assert 1.7 <= times.tail_s("q", STEP) <= 3.0
    assert times.tail_s("other", STEP) == math.inf


def test_memory_is_bounded(monkeypatch):
    """Guards against state that grows with each new shape or worker."""
    monkeypatch.setattr(runtimes, "MAX_SHAPES", 3)
    times = RunTimes()
    for number in range(5):
        for _ in range(MIN_ENDS):
            times.observe(f"q{number}", STEP, worker="w", run_s=1.0)
    known = [number for number in range(5) if times.expected_s(f"q{number}", STEP) != 4.0]
    assert known == [2, 3, 4]
