"""Metrics of one instance: OpenTelemetry meters and their Prometheus text."""

from collections.abc import Callable, Iterable
from typing import Literal

from opentelemetry.metrics import CallbackOptions, Observation
from prometheus_client import generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from fescuerudder._meterprovider import create_provider

CONTENT_TYPE = CONTENT_TYPE_LATEST
LATENCY_BOUNDS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)

RequestOutcome = Literal["answered", "not_run", "unknown", "refused"]
StoreOutcome = Literal["applied", "conflict", "unavailable", "unknown"]
TaskEnd = Literal["finished", "failed", "cancelled", "lost"]


class Metrics:
    """Meters of one instance. Each object has its own provider and registry.

    Service names become label values, so callers pass only names of known services.

    Args:
        instance: id of the instance, reported with `target_info`.
    """

    def __init__(self, *, instance: str) -> None:
        self._provider, self._registry = create_provider(instance)
        self._meter = self._provider.get_meter("fescuerudder")
        self._create_request_meters()
        self._create_task_meters()
        self._create_store_meters()

    def __enter__(self) -> "Metrics":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._provider.shutdown()

    def _create_request_meters(self) -> None:
        meter = self._meter
        self._requests = meter.create_counter(
            "fescuerudder_requests", description="Requests by service and outcome."
        )
        self._latency = meter.create_histogram(
            "fescuerudder_request_latency",
            unit="s",
            description="Time from receipt of a request to its answer.",
            explicit_bucket_boundaries_advisory=LATENCY_BOUNDS_S,
        )
        self._queue_length = meter.create_gauge(
            "fescuerudder_queue_length", description="Requests that wait for a permit."
        )
        self._permits = meter.create_gauge(
            "fescuerudder_permits", description="Slot permits held, by service."
        )

    def _create_task_meters(self) -> None:
        meter = self._meter
        self._starts = meter.create_counter(
            "fescuerudder_task_starts", description="Attempts started on workers."
        )
        self._ends = meter.create_counter(
            "fescuerudder_task_ends", description="Attempts ended, by outcome."
        )
        self._evictions = meter.create_counter(
            "fescuerudder_evictions", description="Attempts evicted, by reason."
        )
        self._remedies = meter.create_counter(
            "fescuerudder_remedies", description="Mitigations of interference, by kind."
        )
        self._quarantines = meter.create_counter(
            "fescuerudder_quarantines", description="Workers put into quarantine."
        )
        self._unschedulable = meter.create_counter(
            "fescuerudder_unschedulable_tasks", description="Tasks that fit on no known worker."
        )
        self._leases = meter.create_gauge(
            "fescuerudder_task_leases", description="Task leases that this instance renews."
        )

    def _create_store_meters(self) -> None:
        self._transactions = self._meter.create_counter(
            "fescuerudder_store_transactions", description="Store transactions by outcome."
        )
        self._store_latency = self._meter.create_histogram(
            "fescuerudder_store_latency",
            unit="s",
            description="Time of a store transaction.",
            explicit_bucket_boundaries_advisory=LATENCY_BOUNDS_S,
        )

    def count_request(self, *, service: str, outcome: RequestOutcome, latency_s: float) -> None:
        """Counts one request and its latency in seconds."""
        self._requests.add(1, {"service": service, "outcome": outcome})
        self._latency.record(latency_s, {"service": service})

    def set_queue_length(self, *, service: str, length: int) -> None:
        """Sets the number of waiting requests of a service."""
        self._queue_length.set(length, {"service": service})

    def set_permits(self, *, service: str, held: int) -> None:
        """Sets the number of permits held for a service."""
        self._permits.set(held, {"service": service})

    def count_start(self, *, service: str) -> None:
        """Counts one started attempt."""
        self._starts.add(1, {"service": service})

    def count_end(self, *, service: str, end: TaskEnd) -> None:
        """Counts one ended attempt."""
        self._ends.add(1, {"service": service, "end": end})

    def count_eviction(self, *, service: str, reason: str) -> None:
        """Counts one evicted attempt; `reason` is a short fixed code."""
        self._evictions.add(1, {"service": service, "reason": reason})

    def count_remedy(self, *, service: str, remedy: str) -> None:
        """Counts one mitigation for a service; `remedy` is a short fixed code."""
        self._remedies.add(1, {"service": service, "remedy": remedy})

    def count_quarantine(self) -> None:
        """Counts one worker put into quarantine."""
        self._quarantines.add(1)

    def count_unschedulable(self, *, service: str) -> None:
        """Counts one task that fits on no known worker."""
        self._unschedulable.add(1, {"service": service})

    def set_leases(self, *, count: int) -> None:
        """Sets the number of task leases that this instance renews."""
        self._leases.set(count)

    def count_transaction(self, *, outcome: StoreOutcome, latency_s: float) -> None:
        """Counts one store transaction and its time in seconds."""
        self._transactions.add(1, {"outcome": outcome})
        self._store_latency.record(latency_s)

    def watch_view_age(self, read_age_s: Callable[[], float]) -> None:
        """Reports `read_age_s()` as the age of the configuration view at each scrape.

        Call once for each object.
        """

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            yield Observation(read_age_s())

        self._meter.create_observable_gauge(
            "fescuerudder_view_age",
            callbacks=[observe],
            unit="s",
            description="Age of the configuration view.",
        )

    def render(self) -> bytes:
        """Returns the Prometheus text, to be served with `CONTENT_TYPE`."""
        return generate_latest(self._registry)
