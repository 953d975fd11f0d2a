"""Arithmetic of the experiments on disruptions and placement."""

import math

import attrs
import pytest

from bench._field import lost_work_s, spread_text
from bench.disruption import occupation, throughput
from bench.placement_experiment import plan_tasks
from bench.witness import Run

RUN = Run(
    task="t",
    attempt=1,
    worker="w",
    zone="a",
    service="plates",
    size={},
    checkpoint="",
    start_s=0.0,
    lease_s=0.0,
)
MARKS = (10.0, 20.0, 30.0, 50.0)


def test_throughput_returns_when_a_window_reaches_the_old_rate():
    times = [float(t) for t in range(10, 20)] + [34.0 + t for t in range(16)]
    found = throughput(times, MARKS)
    assert (found["per_s_before"], found["per_s_during"]) == (1.0, 0.0)
    # The window from 33.5 to 37.5 is the first with four of the later finishes.
    assert found["recovered_s"] == 3.5
    assert throughput(times[:10], MARKS)["recovered_s"] is None


def test_occupation_counts_attempts_that_never_ended():
    runs = [
        attrs.evolve(RUN, start_s=0.0, end_s=20.0),
        attrs.evolve(RUN, start_s=33.0, end_s=math.inf),
    ]
    found = occupation(runs, MARKS)
    assert (found["running_before"], found["running_during"]) == (1.0, 0.0)
    assert found["running_again_s"] == 3.0


@pytest.mark.parametrize(
    ("how", "lost"), [("finished", 0), ("checkpointed", 0), ("stopped", 5), ("killed", 5)]
)
def test_work_is_lost_without_a_checkpoint(how, lost):
    assert lost_work_s([attrs.evolve(RUN, end_s=5.0, how=how)], service="plates") == lost


def test_plan_is_the_same_for_one_seed_and_the_spread_counts_missing_values():
    assert plan_tasks(seed=1, per_s=2, duration_s=9) == plan_tasks(seed=1, per_s=2, duration_s=9)
    assert spread_text([1, 3, 2]) == "2.00 (1.00-3.00)"
    assert spread_text([1, None]) == "1.00 (1.00-1.00), 1 of 2 runs"
