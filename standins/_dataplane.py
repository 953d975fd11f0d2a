"""Requests of callers at a worker's data address."""

import hashlib
import json
import random
import threading
import time
import uuid
from typing import Any

import attrs

from standins._events import EventLog
from standins._http import Answer, Request
from standins._workerfault import FaultSet
from standins.workerstate import WorkerState

MISSING_BYTES = 64
"""Bytes at the end of its body that a truncated answer declares and does not send."""


class DataPlane:
    """Answers requests of callers.

    Args:
        worker: worker id, part of each answer.
        state: slots and replicas.
        faults: faults in force.
        events: event file.
        mean_ms: mean of the exponential service time of requests that state none.
        seed: seed of these service times.
    """

    def __init__(
        self,
        *,
        worker: str,
        state: WorkerState,
        faults: FaultSet,
        events: EventLog,
        mean_ms: float,
        seed: int,
    ) -> None:
        self._worker = worker
        self._state = state
        self._faults = faults
        self._events = events
        self._mean_ms = mean_ms
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._seen_keys: set[str] = set()
        self._previous: Request | None = None

    def handle(self, req: Request) -> Answer:
        """Answers one request, or refuses it as not processed."""
        service = req.path.lstrip("/").split("/", 1)[0]
        closing = self._faults.get("close_after_read")
        if closing and not closing.executed:
            return Answer(abort=True)
        reason, slowdown = self._state.take_slot(service)
        if reason:
            return self._refuse(req, service, reason)
        started_s = time.monotonic()
        try:
            self._record(req, service, "request")
            time.sleep(self._service_ms(req) * slowdown / 1000)
            return self._finish(req, service, aborted=closing is not None)
        finally:
            self._state.free_slot(service, took_ms=(time.monotonic() - started_s) * 1000)

    def _finish(self, req: Request, service: str, *, aborted: bool) -> Answer:
        """Returns the answer of an executed request, changed by the faults in force."""
        if not self._state.runs_replica(service):
            # The replica ended while it answered.
            self._record(req, service, "request_cut")
            self._state.counts["violation_request_cut"] += 1
            return Answer(abort=True)
        late = self._faults.get("late")
        if late:
            time.sleep(late.delay_ms / 1000)
        self._record(req, service, "completed")
        if aborted:
            return Answer(abort=True)
        missing = MISSING_BYTES if self._faults.get("truncate") else 0
        answered = self._other_request(req) if self._faults.get("wrong_id") else req
        self._previous = req
        headers = _echo_id(answered)
        body = self._body(answered, service)
        return Answer(
            body=body[: len(body) - missing],
            headers=headers,
            missing_bytes=missing,
            close="refuse" in self._faults.modes(),
        )

    def _other_request(self, req: Request) -> Request:
        """Returns an earlier request, under an id that is not that of `req`."""
        previous = self._previous or req
        if previous.headers.get("x-request-id") != req.headers.get("x-request-id"):
            return previous
        return attrs.evolve(previous, headers={"x-request-id": f"other-{uuid.uuid4().hex[:8]}"})

    def _body(self, req: Request, service: str) -> bytes:
        """Returns an answer that lets the caller check that it belongs to its request."""
        content = {
            "worker": self._worker,
            "service": service,
            "method": req.method,
            "target": req.target,
            "request_id": req.headers.get("x-request-id", ""),
            "body_sha256": hashlib.sha256(req.body).hexdigest(),
        }
        padding = int(req.query.get("answer_bytes", 0))
        return json.dumps(content).encode() + b" " * padding

    def _refuse(self, req: Request, service: str, reason: str) -> Answer:
        self._state.counts[f"request_refused_{reason}"] += 1
        self._record(req, service, "request_refused", reason=reason)
        headers = {"Not-Processed": "true", **_echo_id(req)}
        return Answer(status=503, body={"reason": reason}, headers=headers)

    def _service_ms(self, req: Request) -> float:
        stated = req.headers.get("work-ms") or req.query.get("work_ms")
        if stated:
            return max(0.0, float(stated))
        with self._lock:
            return self._random.expovariate(1.0 / self._mean_ms)

    def _record(self, req: Request, service: str, event: str, **fields: Any) -> None:
        key = req.headers.get("idempotency-key", "")
        if event == "request" and key:
            with self._lock:
                self._state.counts["violation_key_repeated"] += (
                    f"{service}|{key}" in self._seen_keys
                )
                self._seen_keys.add(f"{service}|{key}")
        self._events.append(
            event,
            service=service,
            method=req.method,
            target=req.target,
            nonce=req.query.get("nonce", ""),
            key=key,
            request_id=req.headers.get("x-request-id", ""),
            **fields,
        )


def _echo_id(req: Request) -> dict[str, str]:
    request_id = req.headers.get("x-request-id")
    return {"X-Request-Id": request_id} if request_id else {}
