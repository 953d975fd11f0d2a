"""The arithmetic of experiments: plans, percentiles and counts."""

import threading

import pytest
from cheroot import wsgi

from bench._load import Arrival, Sent, plan_arrivals, send_all
from bench.experiment import summarise


def plan(**fields):
    base = {"seed": 1, "rate": 200.0, "duration_s": 50.0, "mean_ms": 30.0, "weights": [3.0, 1.0]}
    return plan_arrivals(**{**base, **fields})


def test_plan_follows_its_seed_and_figures():
    """Guards against policies that are compared under different loads."""
    arrivals = plan()
    assert arrivals == plan() != plan(seed=2)
    assert len(arrivals) == pytest.approx(200 * 50, rel=0.05)
    mean_ms = sum(item.work_ms for item in arrivals) / len(arrivals)
    assert mean_ms == pytest.approx(30.0, rel=0.05)
    first = sum(item.entry == 0 for item in arrivals)
    assert first / len(arrivals) == pytest.approx(0.75, abs=0.02)


def test_summary_counts_failures_against_the_policy():
    """Guards against a policy that looks fast because it fails what is slow."""

    def sent(latency_ms, status=200, detail=""):
        return Sent(
            at_s=0.0, lag_ms=0.0, latency_ms=latency_ms, work_ms=20.0, status=status, detail=detail
        )

    shed = sent(1.0, 503, "the expected wait exceeds the deadline")
    line = summarise([sent(30.0), sent(90.0), shed, sent(5.0, 0)], deadline_ms=50)
    counts = [line[name] for name in ("requests", "answered", "prompt", "in_time", "shed")]
    assert counts == [4, 2, 1, 1, 1]
    assert line["extra_ms"]["p99.9"] == pytest.approx(70.0, rel=0.01)


def test_latency_counts_from_the_planned_time():
    """Guards against coordinated omission: a stall must show in all requests behind it."""
    lock = threading.Lock()

    def serve(environ, start_response):
        with lock:
            threading.Event().wait(0.1)
        start_response("200 OK", [("Content-Length", "0")])
        return []

    server = wsgi.Server(("127.0.0.1", 0), serve, numthreads=8)
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    arrivals = [Arrival(at_s=0.0, entry=0, work_ms=0.0) for _ in range(5)]
    try:
        address = f"127.0.0.1:{server.bind_addr[1]}"
        sent = send_all(arrivals, addresses=[address], path="/", senders=1)
    finally:
        server.stop()
        thread.join()
    assert max(item.latency_ms for item in sent) >= 500.0
    assert all(item.lag_ms < 400.0 for item in sent)
