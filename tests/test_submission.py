"""Answers to submissions are true, whatever the store does."""

import pytest
from result import Err, Ok

from fescuerudder.submission import OutcomeUnknown
from tests.rack_simulation import World, batch


@pytest.fixture
def world():
    return World(services=[batch("draw", "t"), batch("huge", "t", processors=99)])


def submit(world, service="draw", key="k", body_hash="1"):
    return world.tasks.submit(service=service, payload="", idempotency_key=key, body_hash=body_hash)


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
def test_submission(world, service, fault, expected, stored):
    for name, value in fault.items():
        setattr(world.table, name, value)
    assert kind(submit(world, service)) == expected
    assert len(world.rows()) == stored


def test_same_key_gives_the_same_task_and_refuses_another_body(world):
    first = submit(world)
    assert submit(world) == first
    assert kind(submit(world, body_hash="2")) == "other_body"
    assert len(world.rows()) == 1


def test_cancel(world):
    task_id = submit(world).ok_value.id
    assert kind(world.tasks.cancel("missing")) == "not_found"
    assert world.tasks.cancel(task_id).ok_value.cancel_requested
    world.advance(2)
    assert kind(world.tasks.get(task_id)) == "cancelled"
