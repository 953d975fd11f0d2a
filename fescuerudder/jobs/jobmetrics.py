"""Metrics of an instance that serves jobs: counters of log events, and call latencies."""

from collections import Counter
from typing import Any

from opentelemetry.metrics import CallbackOptions, Observation
from prometheus_client import generate_latest
from structlog.typing import EventDict

from fescuerudder._meterprovider import create_provider

LATENCY_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0)

EVENT_LABELS = ("event", "level", "end", "result", "outcome", "status")
"""Fields of a log line that become labels: only those with few distinct values."""


class JobMetrics:
    """Counters and latency histograms; a context manager.

    Args:
        instance: id of the instance.
    """

    def __init__(self, *, instance: str) -> None:
        self._provider, self._registry = create_provider(instance)
        meter = self._provider.get_meter("fescuerudder")
        # Counted in a plain map, which is read only on demand, to keep the cost of a log line low.
        self._events: Counter[tuple[tuple[str, str], ...]] = Counter()
        meter.create_observable_counter(
            "fescuerudder_decisions",
            callbacks=[self._observe_events],
            description="Log events by name and outcome.",
        )
        self._latency = meter.create_histogram(
            "fescuerudder_call_latency",
            unit="s",
            description="Time of calls by peer (store, worker, caller), operation and outcome.",
            explicit_bucket_boundaries_advisory=LATENCY_BOUNDS_S,
        )

    def __enter__(self) -> "JobMetrics":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._provider.shutdown()

    def count_event(self, _: Any, __: str, event: EventDict) -> EventDict:
        """Counts a log line; a structlog processor."""
        self._events[tuple((name, str(event[name])) for name in EVENT_LABELS if name in event)] += 1
        return event

    def _observe_events(self, _: CallbackOptions) -> list[Observation]:
        return [Observation(count, dict(labels)) for labels, count in self._events.copy().items()]

    def record_call(self, *, peer: str, operation: str, outcome: str, seconds: float) -> None:
        """Records a call to a peer, with its outcome and duration."""
        labels = {"peer": peer, "operation": operation, "outcome": outcome}
        self._latency.record(seconds, labels)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
