"""Burn: rates by window, risk rules, bounded memory, merging and rendering."""

import importlib.util
import json
import xml.etree.ElementTree as ET

import pytest

from fescuerudder import burn
from fescuerudder._burnpage import render_page
from fescuerudder._burnplot import plot_svg
from fescuerudder._burntext import render_json, render_text, summary_lines
from fescuerudder.burn import BurnRecorder, dump_data, load_data, make_report, merge_data
from fescuerudder.document import Objective

NOW_S = 1_800_000_000.0
HOUR_S = 3_600


class _Wall:
    def __init__(self):
        self.now_s = NOW_S

    def __call__(self):
        return self.now_s


def _recorder(wall, instance="entry-1", services=("proofs",)):
    recorder = BurnRecorder(instance=instance, read_time_s=wall)
    recorder.set_objectives({name: Objective(latency_ms=100, target=0.99) for name in services})
    return recorder


def _count(recorder, good, bad, service="proofs"):
    for is_answered in [True] * good + [False] * bad:
        recorder.count_request(service=service, latency_ms=50, is_answered=is_answered)


def _report(*recorders, missing=()):
    return make_report(merge_data([r.snapshot() for r in recorders], missing=missing))


@pytest.mark.parametrize(
    ("phases", "rates", "at_risk"),
    [
        ([(0, 100, 0)], (0, 0, 0, 0), False),
        ([(0, 99, 1)], (1, 1, 1, 1), False),
        ([(0, 80, 20)], (20, 20, 20, 20), True),
        ([(0, 0, 2)], (100, 100, 100, 100), False),
        ([(0, 0, 3)], (100, 100, 100, 100), True),
        ([(0, 50, 50), (2 * HOUR_S, 100, 0)], (0, 0, 25, 25), True),
        ([(0, 50, 50), (7 * HOUR_S, 100, 0)], (0, 0, 0, 25), False),
        ([(0, 0, 100), (73 * HOUR_S, 100, 0)], (0, 0, 0, 0), False),
        ([(0, 900, 0), (600, 0, 100)], (100, 10, 10, 10), True),
    ],
)
def test_rates_and_risk_by_window(phases, rates, at_risk):
    """Guards against windows that reach too far or not far enough, and against alarms at a
    single bad request."""
    wall = _Wall()
    recorder = _recorder(wall)
    for delay_s, good, bad in phases:
        wall.now_s += delay_s
        _count(recorder, good, bad)
    report = _report(recorder)
    (service,) = report.services
    assert [window.rate for window in service.windows] == pytest.approx(rates)
    assert service.budget_left == pytest.approx(1 - rates[-1])
    assert bool(report.at_risk) == at_risk
    assert summary_lines(report)[0].startswith("At risk: " + ("1 of 1" if at_risk else "none"))


@pytest.mark.parametrize(
    ("latency_ms", "is_answered", "is_good"),
    [(100, True, True), (100.1, True, False), (1, False, False)],
)
def test_good_is_an_answer_within_the_objective(latency_ms, is_answered, is_good):
    """Guards against refused or late requests that count as good."""
    recorder = _recorder(_Wall())
    recorder.count_request(service="proofs", latency_ms=latency_ms, is_answered=is_answered)
    assert _report(recorder).services[0].windows[0].good == is_good


def test_memory_stays_bounded():
    """Guards against an instance that grows with time, unknown services or many events."""
    wall = _Wall()
    recorder = _recorder(wall)
    for number in range(burn.COARSE_SPAN_S // burn.COARSE_BUCKET_S + 500):
        wall.now_s += burn.COARSE_BUCKET_S
        _count(recorder, 1, 0)
        _count(recorder, 1, 0, service=f"unknown-{number}")
        recorder.add_event(kind="shed", target=f"s{number}")
    (counts,) = recorder.snapshot().services
    assert len(counts.fine) == burn.FINE_SPAN_S // burn.FINE_BUCKET_S + 1
    assert len(counts.coarse) == burn.COARSE_SPAN_S // burn.COARSE_BUCKET_S + 1
    assert len(recorder.snapshot().events) == burn.MAX_EVENTS


def test_events_are_merged_within_a_minute_and_zone_changes_over_instances():
    """Guards against a flood of shed requests that hides an eviction, and against a zone
    change that counts once for each instance."""
    wall = _Wall()
    first, second = _recorder(wall, "entry-1"), _recorder(wall, "entry-2")
    for _ in range(5):
        first.add_event(kind="shed", target="proofs", detail="deadline")
    first.add_event(kind="eviction", target="plates", detail="zone")
    for recorder in (first, second):
        recorder.add_event(kind="zone", target="a", detail="out")
    report = _report(first, second, missing=["10.0.0.9:80"])
    assert [(event.kind, event.count) for event in report.recent] == [
        ("shed", 5),
        ("eviction", 1),
        ("zone", 1),
    ]
    done, basis = summary_lines(report)[1:]
    assert "evictions 1, zone changes 1, shed requests 5" in done
    assert "2 of 3 instances" in basis and "10.0.0.9:80" in basis


def test_merged_counts_are_the_sum_and_survive_the_wire():
    """Guards against a report that shows one instance's share as the whole."""
    wall = _Wall()
    first, second = _recorder(wall, "entry-1"), _recorder(wall, "entry-2")
    _count(first, 10, 0)
    _count(second, 5, 5)
    parts = [load_data(json.loads(json.dumps(dump_data(r.snapshot())))) for r in (first, second)]
    window = make_report(merge_data(parts)).services[0].windows[0]
    assert (window.good, window.bad) == (15, 5)


@pytest.mark.parametrize("raw", [None, {}, {"instances": ["a"]}, "<html>"])
def test_malformed_data_is_refused(raw):
    """Guards against a traceback from another version's answer."""
    with pytest.raises(burn.BurnError):
        load_data(raw)


@pytest.mark.parametrize("use_matplotlib", [False, True])
@pytest.mark.parametrize("counted", [False, True])
def test_the_page_is_self_contained_and_its_plot_is_well_formed(use_matplotlib, counted):
    """Guards against a page that needs a network, or breaks on names and empty data."""
    if use_matplotlib and not importlib.util.find_spec("matplotlib"):
        pytest.skip("matplotlib is not installed")
    recorder = _recorder(_Wall(), services=("proofs", "a<b>&"))
    if counted:
        _count(recorder, 10, 5)
        _count(recorder, 10, 1, service="a<b>&")
    report = _report(recorder)
    page = render_page(report, use_matplotlib=use_matplotlib)
    assert "<script" not in page and "src=" not in page and "<b>" not in page
    ET.fromstring(plot_svg(report, use_matplotlib=use_matplotlib))
    assert render_text(report).splitlines()[:3] == json.loads(render_json(report))["summary"]
