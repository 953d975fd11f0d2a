"""Traces: round trip, errors with line and fault, bounded recording."""

import pytest

from fescuerudder.clock import ManualClock
from fescuerudder.trace import (
    CancelEvent,
    DocumentEvent,
    Outcomes,
    RequestEvent,
    SubmitEvent,
    Trace,
    TraceError,
    TraceHeader,
    TraceRecorder,
    ZoneEvent,
    dump_header,
    parse_trace,
    read_trace,
    write_trace,
)

HEADER = dump_header(TraceHeader(name="t"))
TRACE = Trace(
    header=TraceHeader(
        name="t",
        origin="generated, seed 1",
        outcomes=Outcomes(
            within_deadline={"proofs": 0.9},
            all_tasks_finish_once=True,
            max_unknown=0,
            zones_left_empty=("a",),
        ),
    ),
    events=(
        DocumentEvent(at_ms=0, document={"name": "draw", "size": {"processors": 1}}),
        RequestEvent(at_ms=1.5, service="proofs", path="p", method="POST", body="é", key="k"),
        SubmitEvent(at_ms=2, service="draw", key="k", payload="{}", urgent=True),
        CancelEvent(at_ms=2, service="draw", key="k"),
        ZoneEvent(at_ms=3, zone="a", state="out"),
    ),
)


def test_a_trace_survives_a_round_trip(tmp_path):
    """Guards against fields that are written but not read."""
    write_trace(tmp_path / "t.jsonl", TRACE)
    assert read_trace(tmp_path / "t.jsonl") == TRACE


@pytest.mark.parametrize(
    ("lines", "place", "fault"),
    [
        ([], "t:1", "empty"),
        (["{}"], "t:1", "lacks format"),
        ([HEADER.replace('"version": 1', '"version": 2')], "t:1", "version 2"),
        ([HEADER[:-1] + ', "extra": 1}'], "t:1", "extra"),
        ([HEADER, "not json"], "t:2", "not JSON"),
        ([HEADER, "[1]"], "t:2", "JSON object"),
        ([HEADER, '{"at_ms": 1}'], "t:2", "kind None"),
        ([HEADER, '{"kind": ["a"], "at_ms": 1}'], "t:2", "kind ['a']"),
        ([HEADER, "", '{"kind": "zone", "at_ms": 1, "zone": "a", "state": "up"}'], "t:3", "state"),
        ([HEADER, '{"kind": "request", "at_ms": "1", "service": "a", "path": ""}'], "t:2", "at_ms"),
        ([HEADER, '{"kind": "cancel", "at_ms": 1, "service": "a"}'], "t:2", "key"),
        ([HEADER, '{"kind": "cancel", "at_ms": -1, "service": "a", "key": "k"}'], "t:2", "before"),
        ([HEADER, '{"kind": "cancel", "at_ms": NaN, "service": "a", "key": "k"}'], "t:2", "at_ms"),
    ],
)
def test_errors_name_the_line_and_the_fault(lines, place, fault):
    """Guards against a replay of half a trace, or an error that nobody can find."""
    with pytest.raises(TraceError) as caught:
        parse_trace(lines, source="t")
    assert str(caught.value).startswith(f"{place}: ") and fault in str(caught.value)


def test_the_recorder_is_bounded_and_counts_what_it_dropped():
    """Guards against a recorder that fills the memory when its sink is away."""
    clock = ManualClock(start_s=100.0)
    recorder = TraceRecorder(clock=clock, capacity=2)
    for number in range(3):
        clock.advance(seconds=0.5)
        recorder.record(lambda at_ms, n=number: CancelEvent(at_ms=at_ms, service="s", key=str(n)))
    assert [(event.at_ms, event.key) for event in recorder.take()] == [(1000, "1"), (1500, "2")]
    assert recorder.dropped == 1 and recorder.take() == []
