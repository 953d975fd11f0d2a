"""Replay: open loop, the callers' record, and the verdict on every stated outcome."""

import json

import attrs
import pytest

from bench._outcomes import Observations, TaskEnd, check_outcomes, holds, make_histogram
from bench._record import Call
from bench.generate import TRACES_DIR, WORKLOADS, generate_all, make_trace
from bench.replay import Replayer
from fescuerudder.document import parse_document
from fescuerudder.trace import (
    CancelEvent,
    DocumentEvent,
    Outcomes,
    RequestEvent,
    SubmitEvent,
    Trace,
    TraceHeader,
    ZoneEvent,
    read_trace,
)
from tests.fake_entry import KEY, PROBLEM, FakeEntry

DOCUMENT = {"name": "draw", "team": "press", "kind": "batch", "size": {"processors": 1}}
OUTCOMES = Outcomes(
    within_deadline={"proofs": 0.9},
    all_tasks_finish_once=True,
    max_unknown=0,
    zones_left_empty=("a",),
)
EVENTS = (
    DocumentEvent(at_ms=0, document=DOCUMENT),
    ZoneEvent(at_ms=10, zone="a", state="out"),
    *(
        RequestEvent(at_ms=20.0 + n, service="proofs", path="p", deadline_ms=5000)
        for n in range(10)
    ),
    SubmitEvent(at_ms=40, service="draw", key="k"),
    ZoneEvent(at_ms=80, zone="a", state="in"),
)


def _replay(fakes, events=EVENTS, outcomes=OUTCOMES, record=None, extra=()):
    addresses = [*(fake.address for fake in fakes), *extra]
    trace = Trace(header=TraceHeader(name="t", outcomes=outcomes), events=tuple(events))
    replayer = Replayer(addresses=addresses, operator_key=KEY, drain_s=1.5)
    return replayer.run(trace, record=record)


def _bad(result):
    return [verdict.name for verdict in result.verdicts if not verdict.held]


def test_a_good_run_holds_and_leaves_the_callers_records(tmp_path):
    """Guards against a replay that loses calls or reports no figures."""
    with FakeEntry() as fake:
        result = _replay([fake], record=tmp_path / "calls.jsonl")
    assert result.held, result.summary
    lines = (tmp_path / "calls.jsonl").read_text().splitlines()
    assert len(lines) == len(EVENTS)
    assert {json.loads(line)["outcome"] for line in lines} == {"answered"}


@pytest.mark.parametrize(
    ("change", "bad"),
    [
        ({"task_end": "failed"}, ["tasks finished once"]),
        ({"zone_tasks": 2}, ["zone a left empty"]),
    ],
)
def test_each_broken_outcome_is_found(change, bad):
    """Guards against a check that passes whatever the system did."""
    with FakeEntry(**change) as fake:
        assert _bad(_replay([fake])) == bad


@pytest.mark.parametrize("stated", ["unknown", "not_run"])
def test_a_problem_is_not_an_answer(stated):
    """Guards against counting a failure as an answer, and against repeating an unknown one."""
    body = json.dumps({"title": "x", "outcome": stated}).encode()
    event = RequestEvent(at_ms=0, service="proofs", path="p", method="POST", key="k")
    with FakeEntry(scripted=[(503, PROBLEM, body)]) as fake:
        result = _replay([fake], [event], Outcomes(within_deadline={"proofs": 1}, max_unknown=0))
        assert len(fake.seen) == 1
    expected = ["proofs within deadline"] + ["unknown outcomes"] * (stated == "unknown")
    assert _bad(result) == expected


def test_a_dead_instance_is_passed_over_like_at_a_balancer():
    """Guards against blaming the system for a refused connection that a balancer avoids."""
    with FakeEntry() as fake:
        events = [RequestEvent(at_ms=n, service="proofs", path="p") for n in range(4)]
        result = _replay([fake], events, Outcomes(max_unknown=0), extra=["127.0.0.1:1"])
    assert result.held and "4 answered" in result.summary


def test_latency_counts_from_the_intended_time(tmp_path):
    """Guards against coordinated omission: a stall must show in every request behind it."""
    events = [RequestEvent(at_ms=n / 10, service="proofs", path="p") for n in range(200)]
    with FakeEntry(delay_s=0.3) as fake:
        _replay([fake], events, Outcomes(), record=tmp_path / "calls.jsonl")
    calls = [json.loads(line) for line in (tmp_path / "calls.jsonl").read_text().splitlines()]
    late = [call["done_ms"] - call["intended_ms"] for call in calls]
    # 128 threads send at once; the other 72 wait for the first answers, then for their own.
    assert len(late) == 200 and max(late) >= 550


def test_a_cancelled_task_may_end_either_way():
    """Guards against a verdict that calls a cancelled task lost."""
    events = [
        SubmitEvent(at_ms=0, service="draw", key="k"),
        CancelEvent(at_ms=100, service="draw", key="k"),
    ]
    with FakeEntry(task_end="cancelled") as fake:
        result = _replay([fake], events, Outcomes(all_tasks_finish_once=True))
    assert result.held, result.summary


CALL = Call(kind="request", target="proofs", intended_ms=0, sent_ms=0, done_ms=10, deadline_ms=50)
SUBMIT = Call(kind="submit", target="draw", intended_ms=0, sent_ms=0, done_ms=1)
ENDED = TaskEnd(task="t", states=(("finished", "r"),), finishes=1)
SEEN = Observations(calls=(CALL,) * 10 + (SUBMIT,), tasks=(ENDED,), zone_tasks={"a": 0})


@pytest.mark.parametrize(
    ("change", "held"),
    [
        ({}, True),
        ({"calls": (CALL,) * 9 + (attrs.evolve(CALL, done_ms=51), SUBMIT)}, True),
        ({"calls": (CALL,) * 8 + (attrs.evolve(CALL, done_ms=51),) * 2 + (SUBMIT,)}, False),
        ({"calls": (CALL,) * 99 + (attrs.evolve(CALL, outcome="unknown"), SUBMIT)}, False),
        ({"calls": (SUBMIT,)}, False),
        ({"calls": (CALL, attrs.evolve(SUBMIT, outcome="refused"))}, False),
        ({"tasks": ()}, False),
        ({"tasks": (attrs.evolve(ENDED, finishes=2),)}, False),
        ({"tasks": (attrs.evolve(ENDED, finishes=0),)}, False),
        ({"tasks": (attrs.evolve(ENDED, states=()),)}, False),
        ({"tasks": (attrs.evolve(ENDED, states=(("finished", "r"), ("finished", "s"))),)}, False),
        ({"zone_tasks": {"a": None}}, False),
        ({"zone_tasks": {}}, False),
    ],
)
def test_verdicts(change, held):
    """Guards against a stated outcome that holds without evidence."""
    assert holds(check_outcomes(OUTCOMES, attrs.evolve(SEEN, **change))) == held


def test_histograms_keep_tails():
    """Guards against a summary that rounds the tail away."""
    histogram = make_histogram([1.0] * 999 + [900.0])
    assert histogram.get_value_at_percentile(99.95) == pytest.approx(900_000, rel=0.01)


@pytest.mark.parametrize("workload", WORKLOADS, ids=lambda workload: workload.name)
def test_committed_traces_match_their_generator_and_seed(workload, tmp_path):
    """Guards against traces that were edited by hand or that the seed does not give again."""
    trace = read_trace(TRACES_DIR / f"{workload.name}.jsonl")
    seed = int(trace.header.origin.rpartition(" ")[2])
    assert trace == make_trace(workload, seed=seed)
    generate_all(seed=seed + 1, directory=tmp_path)
    assert read_trace(tmp_path / f"{workload.name}.jsonl") != trace
    for event in trace.events:
        if isinstance(event, DocumentEvent):
            parse_document(event.document)
