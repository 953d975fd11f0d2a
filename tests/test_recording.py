"""An instance records what callers and operators send, in a form that can be replayed."""

import pytest

from fescuerudder.clock import ManualClock
from fescuerudder.recording import Recording
from fescuerudder.settings import load_settings
from fescuerudder.trace import parse_trace
from fescuerudder.upstream import Request

REQUIRED = {
    "zone": "a",
    "region": "r",
    "store": "127.0.0.1:1",
    "members": "127.0.0.1:2",
    "peer_key": "p" * 16,
    "operator_key": "o" * 16,
}


def test_a_recorded_trace_can_be_read_back():
    """Guards against a recorder whose output the replayer refuses."""
    clock = ManualClock()
    recording = Recording(clock=clock, instance="entry-1", enabled=True)
    recording.note_document({"name": "web"})
    req = Request(
        service="web",
        method="POST",
        target="/web/orders?x=1",
        headers=(("Idempotency-Key", "k1"),),
        body=b'{"a": 1}',
        deadline_s=2.0,
        trace_id="t",
    )
    recording.note_request(req)
    clock.advance(seconds=1)
    recording.note_submit(task="t1", service="job", key="k2", payload="{}", urgent=True)
    recording.note_cancel("t1")
    recording.note_cancel("submitted-elsewhere")
    recording.note_zone(zone="z", state="out")
    trace = parse_trace(recording.take_lines().decode().splitlines(), source="test")
    kinds = [event.kind for event in trace.events]
    assert kinds == ["document", "request", "submit", "cancel", "zone"]
    assert trace.events[1].path == "orders?x=1"
    assert trace.events[1].deadline_ms == 2000.0
    assert trace.events[3].key == "k2"
    assert trace.events[4].at_ms == 1000.0


def test_nothing_is_recorded_unless_asked_for():
    """Guards against callers' data kept without the operators' wish."""
    recording = Recording(clock=ManualClock(), instance="entry-1", enabled=False)
    recording.note_zone(zone="z", state="out")
    assert recording.take_lines() is None


@pytest.mark.parametrize(
    ("text", "value"), [("true", True), ("1", True), ("false", False), ("no", False), (True, True)]
)
def test_truth_settings_read_from_the_environment(text, value):
    """Guards against the text "false" counting as true."""
    assert load_settings(flags={**REQUIRED, "record": text}, environ={}).record is value
