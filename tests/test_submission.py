"""Answers to submissions match what was stored, also when the store fails."""

import pytest
from result import Err, Ok

from fescuerudder.submission import OutcomeUnknown
from tests.rack_simulation import RackSimulation, batch


@pytest.fixture
def sim():
    return RackSimulation(services=[batch("draw", "t"), batch("huge", "t", processors=99)])


def submit(sim, service="draw", key="k", body_hash="1"):
    return sim.tasks.submit(service=service, payload="", idempotency_key=key, body_hash=body_hash)


def kind(answer):
    match answer:
        case Ok(view):
            return view.state
        case Err(OutcomeUnknown()):
            return "unknown"
        case Err(refused):
            return refused.kind


@pytest.mark.parametrize(
    ("service", "fault", "expected", "stored"),
    [
        ("draw", {}, "queued", 1),
        ("none", {}, "no_service", 0),
        ("huge", {}, "never_runnable", 0),
        ("draw", {"down": True}, "store", 0),
        ("draw", {"lose_answers": 1}, "unknown", 1),
        ("draw", {"drop_writes": 1}, "unknown", 0),
    ],
)
def test_submission(sim, service, fault, expected, stored):
    for name, value in fault.items():
        setattr(sim.table, name, value)
    assert kind(submit(sim, service)) == expected
    assert len(sim.rows()) == stored


def test_same_key_gives_the_same_task_and_refuses_another_body(sim):
    first = submit(sim)
    assert submit(sim) == first
    assert kind(submit(sim, body_hash="2")) == "other_body"
    assert len(sim.rows()) == 1


def test_cancel(sim):
    task_id = submit(sim).ok_value.id
    assert kind(sim.tasks.cancel("missing")) == "not_found"
    assert sim.tasks.cancel(task_id).ok_value.cancel_requested
    sim.advance(2)
    assert kind(sim.tasks.get(task_id)) == "cancelled"
