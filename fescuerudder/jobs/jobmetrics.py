"""Metrics of an instance that serves jobs: of its log events, and call latencies."""

import bisect
import threading
from collections import Counter
from collections.abc import Iterator
from typing import Any

import attrs
from opentelemetry.metrics import CallbackOptions, Meter, Observation
from prometheus_client import generate_latest
from prometheus_client.core import HistogramMetricFamily
from prometheus_client.registry import Collector
from structlog.typing import EventDict

from fescuerudder._meterprovider import create_provider
from fescuerudder.clock import Clock, SystemClock
from fescuerudder.jobs.accountmetrics import AccountGauges
from fescuerudder.jobs.rosterrows import SerializedRoster

LATENCY_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0)

CALL_LABELS = ("operation", "outcome", "peer")

EVENT_LABELS = ("event", "level", "end", "result", "outcome", "status")
"""Fields of a log line that become labels: only those with few distinct values."""

FIRST_START_BOUNDS_S = (0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 7.5, 10.0, 20.0, 60.0)

WAITS_KEPT_S = 12.0
"""Time for which the waits of the latest log line are shown; such a line comes each 5 to 6 s."""

TERM_ENDS = frozenset({"leadership lost", "term ended"})
"""Events after which this instance knows of no waits."""


@attrs.define(kw_only=True)
class _Latencies:
    """Durations of calls that have all labels in common.

    Args:
        counts: number of calls up to each of LATENCY_BOUNDS_S and beyond the last one.
        sum_s: sum of the durations, in seconds.
    """

    counts: list[int] = attrs.Factory(lambda: [0] * (len(LATENCY_BOUNDS_S) + 1))
    sum_s: float = 0.0

    def buckets(self) -> list[tuple[str, float]]:
        """Returns the upper bounds and the number of calls up to each of them."""
        total, buckets = 0, []
        for bound, count in zip((*map(str, LATENCY_BOUNDS_S), "+Inf"), self.counts, strict=True):
            total += count
            buckets.append((bound, total))
        return buckets


class CallLatencies(Collector):
    """Histogram of call latencies, thread-safe.

    A record of OpenTelemetry's histogram takes 16 us, of which the check of the labels is most;
    the leader makes hundreds of calls a second.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._latencies: dict[tuple[str, str, str], _Latencies] = {}

    def record(self, labels: tuple[str, str, str], seconds: float) -> None:
        """Adds a call with the labels CALL_LABELS."""
        index = bisect.bisect_left(LATENCY_BOUNDS_S, seconds)
        with self._lock:
            latencies = self._latencies.setdefault(labels, _Latencies())
            latencies.counts[index] += 1
            latencies.sum_s += seconds

    def collect(self) -> Iterator[HistogramMetricFamily]:
        """Yields the histogram for Prometheus."""
        family = HistogramMetricFamily(
            "fescuerudder_call_latency_seconds",
            "Time of calls by peer (store, worker, caller), operation and outcome.",
            labels=CALL_LABELS,
        )
        with self._lock:
            for labels, latencies in sorted(self._latencies.items()):
                family.add_metric(labels, latencies.buckets(), latencies.sum_s)
        yield family


@attrs.frozen(kw_only=True)
class _Wait:
    """Steps that wait for one reason, as last logged.

    Args:
        steps: number of steps.
        longest_s: longest wait.
        logged_s: when it was logged.
    """

    steps: int
    longest_s: float
    logged_s: float


class WaitGauges:
    """Gauges of the steps that wait, by reason, from the log lines that tell of them.

    Args:
        meter: creates the gauges.
        clock: source of time.
    """

    def __init__(self, *, meter: Meter, clock: Clock) -> None:
        self._clock = clock
        self._waits: dict[str, _Wait] = {}
        meter.create_observable_gauge(
            "fescuerudder_waiting_steps",
            callbacks=[lambda _: self._observe("steps")],
            description="Steps that could start and run nothing, by reason.",
        )
        meter.create_observable_gauge(
            "fescuerudder_waiting_steps_longest",
            callbacks=[lambda _: self._observe("longest_s")],
            unit="s",
            description="Longest wait of a step that could start, by reason.",
        )

    def update(self, event: EventDict) -> None:
        """Takes up a log line."""
        name = event.get("event")
        if name == "steps wait":
            self._waits[event["result"]] = _Wait(
                steps=event["steps"], longest_s=event["longest_s"], logged_s=self._clock.now_s()
            )
        elif name == "steps wait no more":
            self._waits.pop(event["result"], None)
        elif name in TERM_ENDS:
            self._waits.clear()

    def _observe(self, field: str) -> list[Observation]:
        # A plan that is under way when the term ends may still log a wait, so waits also expire.
        oldest_s = self._clock.now_s() - WAITS_KEPT_S
        return [
            Observation(getattr(wait, field), {"reason": reason})
            for reason, wait in self._waits.copy().items()
            if wait.logged_s >= oldest_s
        ]


class JobMetrics:
    """Counters, gauges and latency histograms; a context manager.

    Args:
        instance: id of the instance.
        clock: source of time.
    """

    def __init__(self, *, instance: str, clock: Clock | None = None) -> None:
        self._provider, self._registry = create_provider(instance)
        meter = self._provider.get_meter("fescuerudder")
        # Counted in a plain map, which is read only on demand, to keep the cost of a log line low.
        self._events: Counter[tuple[tuple[str, str], ...]] = Counter()
        meter.create_observable_counter(
            "fescuerudder_decisions",
            callbacks=[self._observe_events],
            description="Log events by name and outcome.",
        )
        self.accounts = AccountGauges(meter=meter)
        self._waits = WaitGauges(meter=meter, clock=clock or SystemClock())
        self._first_starts = meter.create_histogram(
            "fescuerudder_takeover_first_start",
            unit="s",
            description="Time from a claim to the first start of each older job that ran nowhere.",
            explicit_bucket_boundaries_advisory=FIRST_START_BOUNDS_S,
        )
        self._isolated_rows = meter.create_counter(
            "fescuerudder_isolated_rows",
            description="Rows that the store rejected, counted with each try.",
        )
        self._roster_workers = meter.create_gauge(
            "fescuerudder_roster_workers",
            description="Workers of the last roster, by whether it fits into the store.",
        )
        self._latencies = CallLatencies()
        self._registry.register(self._latencies)

    def __enter__(self) -> "JobMetrics":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._provider.shutdown()

    def count_event(self, _: Any, __: str, event: EventDict) -> EventDict:
        """Counts a log line and takes up its figures; a structlog processor."""
        self._events[tuple((name, str(event[name])) for name in EVENT_LABELS if name in event)] += 1
        self._waits.update(event)
        if event.get("event") == "older job goes on":
            self._first_starts.record(event["after_claim_s"], {"result": event["result"]})
        return event

    def _observe_events(self, _: CallbackOptions) -> list[Observation]:
        return [Observation(count, dict(labels)) for labels, count in self._events.copy().items()]

    def record_call(self, *, peer: str, operation: str, outcome: str, seconds: float) -> None:
        """Records a call to a peer, with its outcome and duration."""
        self._latencies.record((operation, outcome, peer), seconds)

    def record_isolated(self, *, rows: int) -> None:
        """Records rows that the store rejected."""
        self._isolated_rows.add(rows)

    def record_roster(self, roster: SerializedRoster | None) -> None:
        """Records the size of a roster, unless it is None."""
        for fits in (True, False) if roster is not None else ():
            count = roster.workers if roster.fits is fits else 0
            self._roster_workers.set(count, {"fits": str(fits).lower()})

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
