"""Routes and placement from published summaries while a rack changes its owner."""

import pytest
from result import Ok

from fescuerudder.clock import ManualClock
from fescuerudder.document import Size
from fescuerudder.ownership_types import RackSummary, UpstreamState
from fescuerudder.routes import SUMMARY_KEPT_S, PublishedSummaries, SummaryMemory, make_routes
from tests.rack_simulation import RackSimulation, batch

RACK = "rack-1"
BIG = Size(processors=32, memory_mb=1000, accelerators=0)
UPSTREAM = UpstreamState(
    worker="w0", data="10.0.0.1:80", slots=8, services=("draw",), leaving=False, status_age_s=0.0
)


def make_summary(*, epoch, known):
    fields = {"free": (BIG,), "largest": (BIG,), "upstreams": (UPSTREAM,)} if known else {}
    return RackSummary(rack=RACK, zone="z", epoch=epoch, **fields)


@pytest.mark.parametrize("own_first", [True, False])
@pytest.mark.parametrize(
    ("old", "new", "expected"), [(True, False, 1), (True, True, 2), (False, False, 2)]
)
def test_a_new_owner_without_status_does_not_hide_the_workers(old, new, expected, own_first):
    """Guards against requests without upstreams and refused tasks just after a claim."""
    summaries = [make_summary(epoch=1, known=old), make_summary(epoch=2, known=new)]
    found = PublishedSummaries().latest([], summaries if own_first else summaries[::-1])
    assert found[RACK].epoch == expected
    routes = make_routes(summaries=found, members=[], zones_out=frozenset(), region="r")
    assert bool(routes[0].workers) == (old or new)


@pytest.mark.parametrize(
    ("service", "known", "kind"),
    [
        ("draw", [True], "queued"),
        ("huge", [True], "never_runnable"),
        ("draw", [False], "busy"),
        ("huge", [True, False], "busy"),
        ("draw", [], "busy"),
    ],
)
def test_a_task_is_refused_for_good_only_if_the_workers_are_known(service, known, kind):
    """Guards against a 422 for a task that runs once the new owner has read the workers."""
    sim = RackSimulation(services=[batch("draw", "t"), batch("huge", "t", processors=99)])
    summaries = [make_summary(epoch=1, known=flag) for flag in known]
    sim.tasks._summaries = lambda: summaries
    answer = sim.tasks.submit(service=service, payload="", idempotency_key="k", body_hash="1")
    found = answer.ok_value.state if isinstance(answer, Ok) else answer.err_value.kind
    assert found == kind


@pytest.mark.parametrize(
    ("later", "after_s", "expected"),
    [
        ({}, 1.0, 1),
        ({RACK: make_summary(epoch=2, known=False)}, 1.0, 1),
        ({RACK: make_summary(epoch=2, known=True)}, 1.0, 2),
        ({RACK: make_summary(epoch=2, known=False)}, SUMMARY_KEPT_S + 0.1, 2),
        ({}, SUMMARY_KEPT_S + 0.1, None),
    ],
)
def test_workers_stay_known_while_a_rack_changes_its_owner(later, after_s, expected):
    """Guards against refusals between the old owner's last summary and the new one's first."""
    clock = ManualClock()
    memory = SummaryMemory(clock=clock)
    memory.complete({RACK: make_summary(epoch=1, known=True)})
    clock.advance(seconds=after_s)
    found = memory.complete(later).get(RACK)
    assert (found.epoch if found else None) == expected
