"""Metrics: the Prometheus text names every meter, and objects share no state."""

import pytest

from fescuerudder.metrics import Metrics


def _fill(metrics):
    metrics.count_request(service="proofs", outcome="answered", latency_s=0.02)
    metrics.set_queue_length(service="proofs", length=4)
    metrics.set_permits(service="proofs", held=2)
    metrics.count_start(service="plates")
    metrics.count_end(service="plates", end="finished")
    metrics.count_eviction(service="plates", reason="zone")
    metrics.count_remedy(service="plates", remedy="throttle")
    metrics.set_leases(count=7)
    metrics.count_transaction(outcome="conflict", latency_s=0.5)
    metrics.watch_view_age(lambda: 0.25)


@pytest.mark.parametrize(
    "line",
    [
        'fescuerudder_requests_total{outcome="answered",service="proofs"} 1.0',
        'fescuerudder_request_latency_seconds_bucket{le="0.01",service="proofs"} 0.0',
        'fescuerudder_request_latency_seconds_bucket{le="0.025",service="proofs"} 1.0',
        'fescuerudder_queue_length{service="proofs"} 4.0',
        'fescuerudder_permits{service="proofs"} 2.0',
        'fescuerudder_task_starts_total{service="plates"} 1.0',
        'fescuerudder_task_ends_total{end="finished",service="plates"} 1.0',
        'fescuerudder_evictions_total{reason="zone",service="plates"} 1.0',
        'fescuerudder_remedies_total{remedy="throttle",service="plates"} 1.0',
        "fescuerudder_task_leases 7.0",
        'fescuerudder_store_transactions_total{outcome="conflict"} 1.0',
        'fescuerudder_store_latency_seconds_bucket{le="0.5"} 1.0',
        "fescuerudder_view_age_seconds 0.25",
    ],
)
def test_each_meter_reaches_the_text(line):
    """Guards against a renamed or unconnected meter, which empties dashboards silently."""
    with Metrics(instance="entry-1") as metrics:
        _fill(metrics)
        assert line in metrics.render().decode().splitlines()


def test_two_objects_share_nothing():
    """Guards against global registries, with which one test's counts leak into the next."""
    with Metrics(instance="a") as first, Metrics(instance="b") as second:
        _fill(first)
        second.set_leases(count=1)
        text = second.render().decode()
        assert "plates" not in text and "fescuerudder_task_leases 1.0" in text
        assert 'service_instance_id="b"' in text
