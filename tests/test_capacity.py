"""Costs of the control loop that must not grow with the number of similar waiting tasks."""

import pytest

from fescuerudder import rackrows
from fescuerudder.ownership_types import RackSummary
from fescuerudder.routes import PublishedSummaries
from fescuerudder.session import Session
from tests.rack_simulation import RackSimulation, batch


class CallCounter:
    """Counts the calls of a function."""

    def __init__(self, func):
        self.func, self.calls = func, 0

    def __call__(self, *args, **kwargs):
        self.calls += 1
        return self.func(*args, **kwargs)


@pytest.fixture
def full_sim():
    """Simulation with full workers and about sixty waiting tasks of two services on rack r1."""
    sim = RackSimulation(services=[batch("draw", "a"), batch("plate", "b", processors=2)])
    sim.workers["w3"].leaving = True
    sim.advance(1)
    for number in range(66):
        sim.submit(("draw", "plate")[number % 2])
    sim.advance(4)
    return sim


def test_one_task_of_each_class_is_tried_per_cycle(full_sim, monkeypatch):
    """Guards against a cycle that takes longer than the pause with thousands of waiting tasks."""
    state = full_sim.instances["A"].controller._state
    assert len(state.rows.queued()) > 50
    choose, summaries = CallCounter(state.placement.choose), CallCounter(state.summaries)
    monkeypatch.setattr(state.placement, "choose", choose)
    state.summaries = summaries
    full_sim.instances["A"].controller.step()
    assert choose.calls <= 2
    assert summaries.calls < 10


@pytest.mark.parametrize(("pause_s", "rounds"), [(0.1, 1), (0.5, 1), (1.0, 2)])
def test_cycles_close_together_share_statuses(full_sim, pause_s, rounds):
    """Guards against reading all statuses for each hint, and against using outdated statuses."""
    controller = full_sim.instances["A"].controller
    fleet = controller._state.fleet
    before = fleet.workers["w1"].clock_reading
    full_sim.clock.advance(seconds=1.0)
    controller.step()
    first = fleet.workers["w1"].clock_reading
    full_sim.clock.advance(seconds=pause_s)
    controller.step()
    assert len({before, first, fleet.workers["w1"].clock_reading}) - 1 == rounds


def session(*, version, queue_length):
    summary = RackSummary(rack="r", zone="a", queue_length=queue_length)
    fields = dict.fromkeys(("incarnation", "zone", "region", "peer", "http"), "x")
    return Session(
        instance="A", beat=1, state="live", summaries=[summary.dump()], version=version, **fields
    )


@pytest.mark.parametrize(("version", "expected"), [(1, 3), (2, 4)])
def test_summaries_are_parsed_once_a_version(version, expected):
    """Guards against outdated summaries, and against parsing a summary at each use."""
    published = PublishedSummaries()
    published.latest([session(version=1, queue_length=3)])
    latest = published.latest([session(version=version, queue_length=4)])
    assert latest["r"].queue_length == expected


def test_published_summary_leaves_out_defaults():
    assert RackSummary(rack="r", zone="a").dump() == {"rack": "r", "zone": "a"}


@pytest.mark.parametrize(
    ("is_hinted", "within"), [(True, 1), (False, rackrows.MAX_QUEUE_SCAN_CYCLES)]
)
def test_long_queue_is_read_less_often_and_misses_no_task(full_sim, monkeypatch, is_hinted, within):
    """Guards against tasks that are never read since the queue is not read in each cycle."""
    monkeypatch.setattr(rackrows, "QUEUE_ROWS_PER_CYCLE", 10)
    rows = full_sim.instances["A"].controller._state.rows
    for _ in range(rackrows.MAX_QUEUE_SCAN_CYCLES):
        rows.load(reported=())
    task_id = full_sim.submit("draw").ok_value.id
    if is_hinted:
        rows.mark_stale(task_id)
    before = len(rows.queued())
    for _ in range(within):
        rows.load(reported=())
    assert rows.is_settled(task_id)
    assert len(rows.queued()) == before + 1
