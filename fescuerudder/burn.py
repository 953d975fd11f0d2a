"""Service-level burn: good and bad requests in time buckets, and what the scheduler did.

Counts stay in the memory of each instance; a report merges those of all instances. Times
are wall-clock seconds, because a report compares instances; no decision rests on them.
"""

import threading
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Literal, TypeAlias

import attrs
import cattrs

from fescuerudder.document import Objective, ServiceDocument
from fescuerudder.errors import FescuerudderError

WINDOWS_S = (300, 3_600, 21_600, 259_200)
WINDOW_NAMES = {300: "5 min", 3_600: "1 h", 21_600: "6 h", 259_200: "3 days"}
BUDGET_WINDOW_S = 259_200
FINE_BUCKET_S = 10
FINE_SPAN_S = 3_600
COARSE_BUCKET_S = 300
COARSE_SPAN_S = 259_200
MAX_SERVICES = 500
MAX_EVENTS = 1_000
EVENT_MERGE_S = 60.0
RECENT_S = 21_600

# Each pair burns at least this multiple of the even rate in both windows. Over the 3 days of
# the budget, 14.4 spends a fifth of it in one hour, 6 spends half of it in six hours.
RISK_RULES = ((300, 3_600, 14.4), (3_600, 21_600, 6.0), (21_600, 259_200, 1.0))
MIN_BAD_REQUESTS = 3
"""Fewer bad requests in the shorter window are no risk, whatever their share."""

EventKind: TypeAlias = Literal["eviction", "zone", "remedy", "shed"]
EVENT_PLURALS = {
    "eviction": "evictions",
    "zone": "zone changes",
    "remedy": "remedies",
    "shed": "shed requests",
}


class BurnError(FescuerudderError):
    """Burn data of an instance is malformed."""


@attrs.frozen(kw_only=True)
class BurnEvent:
    """What the scheduler did, possibly several times within a minute.

    Args:
        at_s: wall-clock time of the first time.
        kind: `eviction`, `zone`, `remedy` or `shed`.
        target: service or zone.
        detail: reason or kind of remedy, a short fixed text.
        count: how often.
    """

    at_s: float
    kind: EventKind
    target: str
    detail: str = ""
    count: int = 1


@attrs.frozen(kw_only=True)
class Counts:
    """Good and bad requests in the bucket that starts at `start_s`."""

    start_s: int
    good: int
    bad: int


@attrs.frozen(kw_only=True)
class ServiceCounts:
    """Buckets of one service: fine ones for the last hour, coarse ones for three days."""

    service: str
    fine: tuple[Counts, ...] = ()
    coarse: tuple[Counts, ...] = ()


@attrs.frozen(kw_only=True)
class BurnData:
    """What one instance, or several together, counted.

    Args:
        instances: ids of the instances.
        since_s: start of the youngest instance's counts.
        taken_s: time of the snapshot.
        objectives: objective of each service, from its document.
        services: counts of each service.
        events: what the scheduler did, in order of time.
        missing: instances whose data could not be read.
    """

    instances: tuple[str, ...]
    since_s: float
    taken_s: float
    objectives: dict[str, Objective] = attrs.field(factory=dict)
    services: tuple[ServiceCounts, ...] = ()
    events: tuple[BurnEvent, ...] = ()
    missing: tuple[str, ...] = ()


class _Series:
    """Good and bad counts in buckets of one width; old buckets are dropped."""

    def __init__(self, *, bucket_s: int, span_s: int) -> None:
        self._bucket_s = bucket_s
        self._capacity = span_s // bucket_s + 1
        self._buckets: dict[int, list[int]] = {}

    def add(self, *, now_s: float, is_good: bool) -> None:
        start_s = int(now_s // self._bucket_s) * self._bucket_s
        bucket = self._buckets.setdefault(start_s, [0, 0])
        bucket[0 if is_good else 1] += 1
        while len(self._buckets) > self._capacity:
            del self._buckets[min(self._buckets)]

    def counts(self) -> tuple[Counts, ...]:
        ordered = sorted(self._buckets.items())
        return tuple(Counts(start_s=at, good=good, bad=bad) for at, (good, bad) in ordered)


class _ServiceSeries:
    """Both series of one service."""

    def __init__(self) -> None:
        self._fine = _Series(bucket_s=FINE_BUCKET_S, span_s=FINE_SPAN_S)
        self._coarse = _Series(bucket_s=COARSE_BUCKET_S, span_s=COARSE_SPAN_S)

    def add(self, *, now_s: float, is_good: bool) -> None:
        self._fine.add(now_s=now_s, is_good=is_good)
        self._coarse.add(now_s=now_s, is_good=is_good)

    def counts(self, service: str) -> ServiceCounts:
        return ServiceCounts(
            service=service, fine=self._fine.counts(), coarse=self._coarse.counts()
        )


def objectives_of(docs: Iterable[ServiceDocument]) -> dict[str, Objective]:
    """Returns the objective of each latency-critical service."""
    return {doc.name: doc.objective for doc in docs if doc.kind == "latency-critical"}


class BurnRecorder:
    """Counts requests and events of one instance in bounded memory. Thread-safe.

    Args:
        instance: id of the instance.
        read_time_s: wall clock in seconds.
    """

    def __init__(self, *, instance: str, read_time_s: Callable[[], float]) -> None:
        self._instance = instance
        self._read_time_s = read_time_s
        self._since_s = read_time_s()
        self._objectives: dict[str, Objective] = {}
        self._services: dict[str, _ServiceSeries] = {}
        self._events: deque[BurnEvent] = deque(maxlen=MAX_EVENTS)
        self._lock = threading.Lock()

    def set_objectives(self, objectives: dict[str, Objective]) -> None:
        """Replaces the objectives; counts of services without one are dropped."""
        with self._lock:
            self._objectives = dict(sorted(objectives.items())[:MAX_SERVICES])
            gone = [name for name in self._services if name not in self._objectives]
            for name in gone:
                del self._services[name]

    def count_request(self, *, service: str, latency_ms: float, is_answered: bool) -> None:
        """Counts a request; good is an answer within the objective's latency."""
        with self._lock:
            objective = self._objectives.get(service)
            if objective is None:
                return
            is_good = is_answered and latency_ms <= objective.latency_ms
            series = self._services.setdefault(service, _ServiceSeries())
            series.add(now_s=self._read_time_s(), is_good=is_good)

    def add_event(self, *, kind: EventKind, target: str, detail: str = "") -> None:
        """Adds an event; equal ones within a minute are merged."""
        with self._lock:
            now_s = self._read_time_s()
            for place in range(len(self._events) - 1, -1, -1):
                event = self._events[place]
                if not now_s - EVENT_MERGE_S <= event.at_s <= now_s:
                    break
                if (event.kind, event.target, event.detail) == (kind, target, detail):
                    self._events[place] = attrs.evolve(event, count=event.count + 1)
                    return
            self._events.append(BurnEvent(at_s=now_s, kind=kind, target=target, detail=detail))

    def snapshot(self) -> BurnData:
        """Returns the data for `GET /v1/burn`."""
        with self._lock:
            return BurnData(
                instances=(self._instance,),
                since_s=self._since_s,
                taken_s=self._read_time_s(),
                objectives=dict(self._objectives),
                services=tuple(
                    series.counts(name) for name, series in sorted(self._services.items())
                ),
                events=tuple(self._events),
            )


_CONVERTER = cattrs.Converter()


def dump_data(data: BurnData) -> dict[str, Any]:
    """Returns the data as JSON-compatible values."""
    return _CONVERTER.unstructure(data)


def load_data(raw: Any) -> BurnData:
    """Returns the data of an instance.

    Raises:
        BurnError: it is malformed.
    """
    try:
        return _CONVERTER.structure(raw, BurnData)
    except Exception as exc:
        raise BurnError("burn data is malformed") from exc


def merge_data(parts: Sequence[BurnData], *, missing: Iterable[str] = ()) -> BurnData:
    """Returns the data of several instances together; the first given instance wins objectives.

    Raises:
        BurnError: there is no data.
    """
    if not parts:
        raise BurnError("no instance gave burn data")
    objectives: dict[str, Objective] = {}
    for part in parts:
        objectives = {**part.objectives, **objectives}
    return BurnData(
        instances=tuple(sorted({name for part in parts for name in part.instances})),
        since_s=max(part.since_s for part in parts),
        taken_s=max(part.taken_s for part in parts),
        objectives=objectives,
        services=_merge_services(parts),
        events=_merge_events(parts),
        missing=tuple(missing),
    )


def _merge_services(parts: Sequence[BurnData]) -> tuple[ServiceCounts, ...]:
    groups: dict[str, list[ServiceCounts]] = {}
    for part in parts:
        for counts in part.services:
            groups.setdefault(counts.service, []).append(counts)
    return tuple(
        ServiceCounts(
            service=name,
            fine=_add_counts(counts.fine for counts in group),
            coarse=_add_counts(counts.coarse for counts in group),
        )
        for name, group in sorted(groups.items())
    )


def _add_counts(series: Iterable[tuple[Counts, ...]]) -> tuple[Counts, ...]:
    sums: dict[int, list[int]] = {}
    for counts in series:
        for bucket in counts:
            total = sums.setdefault(bucket.start_s, [0, 0])
            total[0] += bucket.good
            total[1] += bucket.bad
    return tuple(Counts(start_s=at, good=g, bad=b) for at, (g, b) in sorted(sums.items()))


def _merge_events(parts: Sequence[BurnData]) -> tuple[BurnEvent, ...]:
    """Returns the events of all instances; a zone change that all of them saw counts once."""
    events: list[BurnEvent] = []
    last_zone_s: dict[tuple[str, str], float] = {}
    for event in sorted((e for part in parts for e in part.events), key=lambda e: e.at_s):
        if event.kind == "zone":
            change = (event.target, event.detail)
            if event.at_s - last_zone_s.get(change, -EVENT_MERGE_S) < EVENT_MERGE_S:
                continue
            last_zone_s[change] = event.at_s
        events.append(event)
    return tuple(events)


@attrs.frozen(kw_only=True)
class WindowBurn:
    """Burn in one window.

    Args:
        window_s: length in seconds.
        good: good requests.
        bad: bad requests.
        rate: share of bad requests divided by the share that the objective allows.
    """

    window_s: int
    good: int
    bad: int
    rate: float


@attrs.frozen(kw_only=True)
class ServiceBurn:
    """Burn of one service.

    Args:
        service: service name.
        objective: its objective.
        windows: one entry for each window, shortest first.
        budget_left: share of the 3 days' budget that is left; below 0 when it is overspent.
        risk: why it is at risk, or empty.
    """

    service: str
    objective: Objective
    windows: tuple[WindowBurn, ...]
    budget_left: float
    risk: str


@attrs.frozen(kw_only=True)
class BurnReport:
    """Burn of all services at one time.

    Args:
        data: what the report was made from.
        services: one entry for each service with an objective.
        recent: events of the last six hours.
    """

    data: BurnData
    services: tuple[ServiceBurn, ...]
    recent: tuple[BurnEvent, ...]

    @property
    def at_risk(self) -> tuple[ServiceBurn, ...]:
        """Services at risk."""
        return tuple(burn for burn in self.services if burn.risk)


def make_report(data: BurnData) -> BurnReport:
    """Returns the report of the merged data."""
    counts = {entry.service: entry for entry in data.services}
    services = tuple(
        _service_burn(counts.get(name, ServiceCounts(service=name)), objective, data.taken_s)
        for name, objective in sorted(data.objectives.items())
    )
    recent = tuple(event for event in data.events if event.at_s > data.taken_s - RECENT_S)
    return BurnReport(data=data, services=services, recent=recent)


def _service_burn(counts: ServiceCounts, objective: Objective, now_s: float) -> ServiceBurn:
    windows = tuple(_window_burn(counts, objective, length, now_s) for length in WINDOWS_S)
    by_length = {window.window_s: window for window in windows}
    return ServiceBurn(
        service=counts.service,
        objective=objective,
        windows=windows,
        budget_left=1.0 - by_length[BUDGET_WINDOW_S].rate,
        risk=_find_risk(by_length),
    )


def _window_burn(
    counts: ServiceCounts, objective: Objective, window_s: int, now_s: float
) -> WindowBurn:
    buckets = counts.fine if window_s <= FINE_SPAN_S else counts.coarse
    inside = [bucket for bucket in buckets if bucket.start_s > now_s - window_s]
    good = sum(bucket.good for bucket in inside)
    bad = sum(bucket.bad for bucket in inside)
    rate = bad / (good + bad) / (1.0 - objective.target) if good + bad else 0.0
    return WindowBurn(window_s=window_s, good=good, bad=bad, rate=rate)


def _find_risk(windows: dict[int, WindowBurn]) -> str:
    for short_s, long_s, limit in RISK_RULES:
        short, long = windows[short_s], windows[long_s]
        if short.bad >= MIN_BAD_REQUESTS and min(short.rate, long.rate) >= limit:
            return (
                f"burn {short.rate:.1f} over {WINDOW_NAMES[short_s]} and "
                f"{long.rate:.1f} over {WINDOW_NAMES[long_s]}, limit {limit:g}"
            )
    return ""
