"""Traces of caller and operator actions: reading, writing and recording (docs/trace-format.md)."""

import json
import threading
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any, ClassVar, Literal, TypeAlias

import attrs
import cattrs
from cattrs import transform_error

from fescuerudder.clock import Clock
from fescuerudder.errors import FescuerudderError

TRACE_FORMAT = "fescuerudder-trace"
TRACE_VERSION = 1
RECORDER_CAPACITY = 10_000
MS_PER_S = 1000.0

Method = Literal["GET", "HEAD", "PUT", "DELETE", "POST", "PATCH", "OPTIONS"]


class TraceError(FescuerudderError):
    """A trace is invalid; the text names the source, the line and the fault."""


@attrs.frozen(kw_only=True)
class Outcomes:
    """What a replay of the trace must show.

    Args:
        within_deadline: smallest share of requests answered within their deadline, by service.
        all_tasks_finish_once: whether every submitted and not cancelled task finishes once.
        max_unknown: largest number of unknown outcomes; None does not check.
        zones_left_empty: zones that hold no task before they are returned to service.
    """

    within_deadline: dict[str, float] = attrs.field(factory=dict)
    all_tasks_finish_once: bool = False
    max_unknown: int | None = None
    zones_left_empty: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class TraceHeader:
    """First line of a trace.

    Args:
        name: name of the trace.
        format: always `fescuerudder-trace`.
        version: version of the format.
        origin: how the trace came about, for example `generated, seed 7` or `recorded`.
        outcomes: what a replay must show.
    """

    name: str
    format: str = TRACE_FORMAT
    version: int = TRACE_VERSION
    origin: str = ""
    outcomes: Outcomes = Outcomes()


@attrs.frozen(kw_only=True)
class RequestEvent:
    """A caller sends a request to a service. `at_ms` is the offset from the start in ms."""

    kind: ClassVar[str] = "request"
    at_ms: float
    service: str
    path: str
    method: Method = "GET"
    body: str = ""
    key: str = ""
    deadline_ms: float = 0.0


@attrs.frozen(kw_only=True)
class SubmitEvent:
    """A caller submits a batch task under an idempotency key."""

    kind: ClassVar[str] = "submit"
    at_ms: float
    service: str
    key: str
    payload: str = ""
    urgent: bool = False


@attrs.frozen(kw_only=True)
class CancelEvent:
    """A caller cancels the task that was submitted for `service` under `key`."""

    kind: ClassVar[str] = "cancel"
    at_ms: float
    service: str
    key: str


@attrs.frozen(kw_only=True)
class ZoneEvent:
    """Operators take a zone out of service or return it."""

    kind: ClassVar[str] = "zone"
    at_ms: float
    zone: str
    state: Literal["in", "out"]


@attrs.frozen(kw_only=True)
class DocumentEvent:
    """Operators apply a service document."""

    kind: ClassVar[str] = "document"
    at_ms: float
    document: dict[str, Any]


TraceEvent: TypeAlias = RequestEvent | SubmitEvent | CancelEvent | ZoneEvent | DocumentEvent

_EVENT_TYPES: dict[str, type] = {
    cls.kind: cls for cls in (RequestEvent, SubmitEvent, CancelEvent, ZoneEvent, DocumentEvent)
}


@attrs.frozen(kw_only=True)
class Trace:
    """A header and its events in order of time."""

    header: TraceHeader
    events: tuple[TraceEvent, ...]


def _structure_strictly(value: Any, cls: type) -> Any:
    if cls is float and type(value) is int:
        return float(value)
    if type(value) is not cls:
        raise ValueError(f"expected {cls.__name__}, got {value!r}")
    return value


def _make_converter() -> cattrs.Converter:
    conv = cattrs.Converter(forbid_extra_keys=True)
    for cls in (str, int, float, bool):
        conv.register_structure_hook(cls, _structure_strictly)
    return conv


_CONVERTER = _make_converter()


def read_trace(path: Path) -> Trace:
    """Returns the trace in a file.

    Raises:
        TraceError: the file can't be read, or a line is invalid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise TraceError(f"{path}: not readable: {exc}") from exc
    return parse_trace(text.splitlines(), source=str(path))


def parse_trace(lines: Iterable[str], *, source: str) -> Trace:
    """Returns the trace in `lines`; `source` names it in errors.

    Raises:
        TraceError: a line is invalid.
    """
    numbered = ((number, line) for number, line in enumerate(lines, start=1) if line.strip())
    number, line = next(numbered, (1, ""))
    if not line:
        raise TraceError(f"{source}:1: the trace is empty, expected a header")
    header = _parse_header(_decode(line, source=source, number=number), source, number)
    return Trace(header=header, events=tuple(_parse_events(numbered, source)))


def _parse_events(numbered: Iterator[tuple[int, str]], source: str) -> Iterator[TraceEvent]:
    last_ms = 0.0
    for number, line in numbered:
        event = _parse_event(_decode(line, source=source, number=number), source, number)
        if not event.at_ms >= last_ms:
            raise TraceError(f"{source}:{number}: at_ms {event.at_ms:g} is before {last_ms:g}")
        last_ms = event.at_ms
        yield event


def _decode(line: str, *, source: str, number: int) -> dict[str, Any]:
    try:
        raw = json.loads(line)
    except ValueError as exc:
        raise TraceError(f"{source}:{number}: not JSON: {exc}") from exc
    if not isinstance(raw, dict):
        raise TraceError(f"{source}:{number}: expected a JSON object")
    return raw


def _parse_header(raw: dict[str, Any], source: str, number: int) -> TraceHeader:
    if raw.get("format") != TRACE_FORMAT:
        raise TraceError(f"{source}:{number}: the header lacks format {TRACE_FORMAT!r}")
    if raw.get("version") != TRACE_VERSION:
        raise TraceError(
            f"{source}:{number}: version {raw.get('version')!r}, expected {TRACE_VERSION}"
        )
    return _structure(raw, TraceHeader, source, number)


def _parse_event(raw: dict[str, Any], source: str, number: int) -> TraceEvent:
    kind = raw.pop("kind", None)
    cls = _EVENT_TYPES.get(kind) if isinstance(kind, str) else None
    if cls is None:
        known = ", ".join(_EVENT_TYPES)
        raise TraceError(f"{source}:{number}: kind {kind!r} is not one of {known}")
    return _structure(raw, cls, source, number)


def _structure(raw: dict[str, Any], cls: type, source: str, number: int) -> Any:
    try:
        return _CONVERTER.structure(raw, cls)
    except Exception as exc:
        problems = "; ".join(transform_error(exc))
        raise TraceError(f"{source}:{number}: {problems}") from exc


def dump_header(header: TraceHeader) -> str:
    """Returns the header line without its line end."""
    return json.dumps(_CONVERTER.unstructure(header), sort_keys=True)


def dump_event(event: TraceEvent) -> str:
    """Returns the line of an event without its line end; fields at their default are left out."""
    fields = attrs.fields(type(event))
    raw = {f.name: getattr(event, f.name) for f in fields if getattr(event, f.name) != f.default}
    return json.dumps({"kind": event.kind, **raw}, sort_keys=True)


def write_trace(path: Path, trace: Trace) -> None:
    """Writes a trace as JSON lines."""
    lines = [dump_header(trace.header), *(dump_event(event) for event in trace.events)]
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


class TraceRecorder:
    """Keeps the latest events in a bounded buffer until a sink takes them. Thread-safe.

    Args:
        clock: source of the offsets; the first reading is offset 0.
        capacity: largest number of events held; the oldest are dropped beyond it.
    """

    def __init__(self, *, clock: Clock, capacity: int = RECORDER_CAPACITY) -> None:
        self._clock = clock
        self._start_s = clock.now_s()
        self._events: deque[TraceEvent] = deque(maxlen=capacity)
        self._dropped = 0
        self._lock = threading.Lock()

    @property
    def dropped(self) -> int:
        """Events lost because the buffer was full."""
        return self._dropped

    def record(self, make_event: Callable[[float], TraceEvent]) -> None:
        """Adds the event that `make_event` returns for the present offset in ms."""
        with self._lock:
            at_ms = round((self._clock.now_s() - self._start_s) * MS_PER_S, 3)
            if len(self._events) == self._events.maxlen:
                self._dropped += 1
            self._events.append(make_event(at_ms))

    def take(self) -> list[TraceEvent]:
        """Returns the held events in order of time and empties the buffer."""
        with self._lock:
            events = list(self._events)
            self._events.clear()
        return events
