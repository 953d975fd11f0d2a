"""Events of a rack's control loop: each is reported once, and their labels are bounded."""

import time

import attrs
import pytest

from fescuerudder.burn import BurnRecorder
from fescuerudder.metrics import Metrics
from fescuerudder.rackevents import RackEvent
from fescuerudder.reporting import EventReporter
from tests.rack_simulation import RackSimulation, batch


def run_finish(sim):
    sim.finish_all()


def run_fail(sim):
    for worker in sim.workers.values():
        for attempt in worker.running():
            worker.end(attempt.task, "failed")


def run_cancel(sim):
    sim.tasks.cancel(sim.task_ids[0])


def run_lose(sim):
    for worker in sim.workers.values():
        for attempt in worker.running():
            worker.end(attempt.task, "lapsed")


def run_zone(sim):
    for zone in ("a", "b"):
        sim.set_zone(zone, "out")


def run_leave(sim):
    for worker in sim.workers.values():
        worker.leaving = bool(worker.running())


@pytest.mark.parametrize(
    ("action", "kind", "detail"),
    [
        (run_finish, "end", "finished"),
        (run_fail, "end", "failed"),
        (run_cancel, "end", "cancelled"),
        (run_lose, "end", "lost"),
        (run_zone, "evict", "zone"),
        (run_leave, "evict", "leaving"),
    ],
)
def test_events_of_a_task(action, kind, detail):
    sim = RackSimulation(services=[batch("draw", "t")])
    sim.submit("draw")
    sim.advance(2)
    action(sim)
    sim.advance(2)
    events = [(event.kind, event.detail) for event in sim.events]
    assert events[:3] == [("assign", ""), ("start", ""), (kind, detail)]
    assert events.count((kind, detail)) == 1
    assert {event.task for event in sim.events} == set(sim.task_ids)


def test_quarantine_is_reported_once():
    sim = RackSimulation(services=[batch("draw", "t")])
    for worker in sim.workers.values():
        worker.is_broken = True
    for _ in range(6):
        sim.submit("draw")
    sim.advance(30)
    workers = [event.worker for event in sim.events if event.kind == "quarantine"]
    assert workers and len(workers) == len(set(workers))


def test_unschedulable_task_is_reported_once():
    sim = RackSimulation(services=[batch("draw", "t"), batch("huge", "t", processors=8)])
    for _ in range(6):
        sim.submit("draw")
    sim.advance(2)
    sim.submit("huge")
    for worker in sim.workers.values():
        worker.capacity = attrs.evolve(worker.capacity, processors=6)
    sim.advance(10)
    found = [event.task for event in sim.events if event.kind == "unschedulable"]
    assert found == [sim.task_ids[-1]]


def test_events_reach_metrics_and_burn_with_bounded_labels():
    """Guards against task and worker ids as label values, which would grow without bound."""
    burn = BurnRecorder(instance="i", read_time_s=time.time)
    with Metrics(instance="i") as metrics:
        report = EventReporter(metrics=metrics, burn=burn)
        for kind, detail in [
            ("assign", ""),
            ("start", ""),
            ("end", "finished"),
            ("end", "not_started"),
            ("evict", "zone"),
            ("remedy", "throttle_50"),
            ("quarantine", ""),
            ("unschedulable", ""),
        ]:
            report(RackEvent(kind=kind, detail=detail, task="t-1", service="draw", worker="w-1"))
        text = metrics.render().decode()
    assert "t-1" not in text and "w-1" not in text and "not_started" not in text
    assert 'fescuerudder_task_ends_total{end="finished",service="draw"} 1.0' in text
    assert "fescuerudder_quarantines_total 1.0" in text
    assert [(e.kind, e.detail) for e in burn.snapshot().events] == [
        ("eviction", "zone"),
        ("remedy", "throttle_50"),
    ]
