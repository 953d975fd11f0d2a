"""Recording of what callers and operators send to one instance, as a trace for replay."""

import threading
from collections import OrderedDict
from typing import Any

from fescuerudder.clock import Clock
from fescuerudder.trace import (
    CancelEvent,
    DocumentEvent,
    RequestEvent,
    SubmitEvent,
    TraceHeader,
    TraceRecorder,
    ZoneEvent,
    dump_event,
    dump_header,
)
from fescuerudder.upstream import Request

MAX_KNOWN_TASKS = 10_000
MS_PER_S = 1000.0


class Recording:
    """Records events if the setting `record` asks for it. Safe for several threads.

    Payloads and bodies are kept as they came, so a trace may hold callers' data.

    Args:
        clock: source of the offsets.
        instance: id of this instance, named in the trace header.
        enabled: whether anything is recorded.
    """

    def __init__(self, *, clock: Clock, instance: str, enabled: bool) -> None:
        self._clock = clock
        self._instance = instance
        self._recorder = TraceRecorder(clock=clock) if enabled else None
        self._keys: OrderedDict[str, tuple[str, str]] = OrderedDict()
        self._lock = threading.Lock()

    def note_request(self, req: Request) -> None:
        """Records a request to a service."""
        if self._recorder is None:
            return
        deadline_ms = max(0.0, (req.deadline_s - self._clock.now_s()) * MS_PER_S)
        self._recorder.record(
            lambda at_ms: RequestEvent(
                at_ms=at_ms,
                service=req.service,
                path=req.target.removeprefix(f"/{req.service}/"),
                method=req.method,
                body=req.body.decode(errors="replace"),
                key=req.header("idempotency-key") or "",
                deadline_ms=round(deadline_ms, 3),
            )
        )

    def note_submit(self, *, task: str, service: str, key: str, payload: str, urgent: bool) -> None:
        """Records the submission of a batch task."""
        if self._recorder is None:
            return
        with self._lock:
            self._keys[task] = (service, key)
            while len(self._keys) > MAX_KNOWN_TASKS:
                self._keys.popitem(last=False)
        self._recorder.record(
            lambda at_ms: SubmitEvent(
                at_ms=at_ms, service=service, key=key, payload=payload, urgent=urgent
            )
        )

    def note_cancel(self, task: str) -> None:
        """Records a cancellation; one of a task submitted elsewhere can't be expressed."""
        if self._recorder is None or task not in self._keys:
            return
        service, key = self._keys[task]
        self._recorder.record(lambda at_ms: CancelEvent(at_ms=at_ms, service=service, key=key))

    def note_zone(self, *, zone: str, state: str) -> None:
        """Records a zone decision."""
        if self._recorder is not None:
            self._recorder.record(lambda at_ms: ZoneEvent(at_ms=at_ms, zone=zone, state=state))

    def note_document(self, document: dict[str, Any]) -> None:
        """Records an applied service document."""
        if self._recorder is not None:
            self._recorder.record(lambda at_ms: DocumentEvent(at_ms=at_ms, document=document))

    def take_lines(self) -> bytes | None:
        """Returns the trace so far as JSON lines and empties it; None if nothing is recorded."""
        if self._recorder is None:
            return None
        header = TraceHeader(name=self._instance, origin=f"recorded by {self._instance}")
        lines = [dump_header(header), *(dump_event(event) for event in self._recorder.take())]
        return ("\n".join(lines) + "\n").encode()
