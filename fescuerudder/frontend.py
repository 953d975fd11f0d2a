"""HTTP interface for callers and operators."""

import hashlib
import hmac
import re
import threading
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import attrs
import structlog
from result import Result

from fescuerudder._httpanswer import (
    NO_BODY_STATUS,
    json_answer,
    needs_length,
    problem_answer,
    status_line,
    unwrap,
)
from fescuerudder._httpcall import (
    Call,
    Json,
    check_key,
    deadline_s,
    if_match,
    json_object,
    read_call,
    text_field,
)
from fescuerudder.clock import Clock
from fescuerudder.document import NAME_PATTERN
from fescuerudder.errors import DocumentError, MalformedRequestError, RequestError
from fescuerudder.httpserver import HttpServer, close_after_answer, discard_body
from fescuerudder.upstream import Answer, Request, end_to_end

_log = structlog.get_logger(__name__)

RESERVED_SHARE = 0.1
"""Share of the HTTP threads, at least one, that callers' requests never occupy.

Requests that wait for a slot or for the store hold a thread each; without a reserve, health
checks and operators would wait behind them.
"""

PRIORITIES = ("normal", "urgent")

_TRACE_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")


class RequestRouter(Protocol):
    """Handles requests to services."""

    def handle(self, req: Request) -> Result[Answer, RequestError]:
        """Returns the complete answer, or why there is none."""


class Tasks(Protocol):
    """Batch tasks. Results are JSON objects with at least `task` and `state`."""

    def submit(
        self,
        *,
        service: str,
        payload: str,
        urgent: bool,
        idempotency_key: str,
        body_hash: str,
        trace_id: str,
    ) -> Result[Json, RequestError]:
        """Stores a task; repeats return the task as it is."""

    def get(self, task_id: str) -> Result[Json, RequestError]:
        """Returns a task's state; status 404 if there is none."""

    def cancel(self, task_id: str) -> Result[Json, RequestError]:
        """Asks for cancellation."""


class Operations(Protocol):
    """What operators do."""

    def put_service(
        self, *, name: str, raw: Any, base_revision: int | None
    ) -> Result[Json, RequestError | DocumentError]:
        """Applies a service document; `base_revision` None means without comparison."""

    def get_services(self, name: str | None) -> Result[Json, RequestError]:
        """Returns one service's document and revision, or all of them."""

    def put_zone(
        self, *, zone: str, state: str, base_revision: int | None
    ) -> Result[Json, RequestError]:
        """Takes a zone out of service or returns it; `provisional` true gives status 202."""

    def get_zones(self) -> Result[Json, RequestError]:
        """Returns all zones with state and revision."""

    def status(self) -> Result[Json, RequestError]:
        """Returns the state of the instance and what it knows."""

    def burn(self) -> Result[Json, RequestError]:
        """Returns the burn data of the instance."""

    def trace_lines(self) -> Result[bytes, RequestError]:
        """Returns and empties the trace recorded so far, as JSON lines."""

    def metrics_text(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""


@attrs.frozen(kw_only=True)
class _Route:
    """A method and path pattern with its handler."""

    method: str
    pattern: re.Pattern[str]
    handler: Callable[..., Answer]
    needs_key: bool = False


class _CallerThreads:
    """Bounds the threads that callers' requests occupy.

    Args:
        limit: most threads at a time.
    """

    def __init__(self, *, limit: int) -> None:
        self._free = threading.BoundedSemaphore(limit)

    def __enter__(self) -> None:
        if not self._free.acquire(blocking=False):
            raise RequestError("too many requests wait at this instance", status=503)

    def __exit__(self, *exc_info: object) -> None:
        self._free.release()


class Frontend:
    """HTTP server of one entry instance; a context manager.

    Args:
        address: `ip:port` to listen on; port 0 selects a free one.
        threads: threads that serve requests.
        operator_key: key of the operators.
        clock: source of time.
        new_id: returns a unique id for requests that bring none.
        router: handles requests to services.
        tasks: batch tasks.
        operations: what operators do.
    """

    def __init__(
        self,
        *,
        address: str,
        threads: int,
        operator_key: str,
        clock: Clock,
        new_id: Callable[[], str],
        router: RequestRouter,
        tasks: Tasks,
        operations: Operations,
    ) -> None:
        self._operator_key = operator_key.encode()
        self._clock = clock
        self._new_id = new_id
        self._router = router
        self._tasks = tasks
        self._operations = operations
        self._caller_threads = _CallerThreads(limit=_caller_limit(threads))
        self._routes = self._make_routes()
        self._server = HttpServer(address=address, threads=threads, app=self._serve, clock=clock)

    def __enter__(self) -> "Frontend":
        self.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.stop()

    @property
    def port(self) -> int:
        """Port the server listens on, after `start`."""
        return self._server.port

    def start(self) -> None:
        """Listens and serves in threads of its own.

        Raises:
            OSError: the address can't be used.
        """
        self._server.start()

    def drain(self, timeout_s: float) -> bool:
        """Refuses new requests and waits for those in flight; see `HttpServer.drain`."""
        return self._server.drain(timeout_s)

    def stop(self) -> None:
        """Stops listening and closes all connections."""
        self._server.stop()

    def _make_routes(self) -> list[_Route]:
        table = [
            ("POST", "/v1/tasks", self._submit_task, False),
            ("GET", "/v1/tasks/([0-9A-Za-z.-]{1,128})", self._get_task, False),
            ("POST", "/v1/tasks/([0-9A-Za-z.-]{1,128})/cancel", self._cancel_task, False),
            ("PUT", "/v1/services/([^/]+)", self._put_service, True),
            ("GET", "/v1/services", self._get_services, True),
            ("GET", "/v1/services/([^/]+)", self._get_services, True),
            ("PUT", "/v1/zones/([^/]+)", self._put_zone, True),
            ("GET", "/v1/zones", self._get_zones, True),
            ("GET", "/v1/status", self._get_status, True),
            ("GET", "/v1/burn", self._get_burn, True),
            ("GET", "/v1/trace", self._get_trace, True),
            ("GET", "/metrics", self._get_metrics, False),
            ("GET", "/health", self._get_health, False),
        ]
        return [
            _Route(method=method, pattern=re.compile(path), handler=handler, needs_key=needs_key)
            for method, path, handler, needs_key in table
        ]

    def _serve(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """WSGI application."""
        start_s = self._clock.now_s()
        trace_id = self._trace_id(environ)
        answer, outcome = self._answer(environ, trace_id)
        headers = [(k, v) for k, v in answer.headers if k.lower() != "x-request-id"]
        headers.append(("X-Request-Id", trace_id))
        if needs_length(environ["REQUEST_METHOD"], answer):
            headers.append(("Content-Length", str(len(answer.body))))
        if self._server.is_draining:
            # The connection is about to end; its caller must not send another request on it.
            close_after_answer(environ)
        start_response(status_line(answer.status), headers)
        _log.info(
            "request finished",
            trace_id=trace_id,
            method=environ.get("REQUEST_METHOD"),
            path=environ.get("PATH_INFO"),
            status=answer.status,
            outcome=outcome,
            duration_ms=round((self._clock.now_s() - start_s) * 1000, 3),
        )
        has_body = environ["REQUEST_METHOD"] != "HEAD" and answer.status not in NO_BODY_STATUS
        return [answer.body] if has_body else []

    def _trace_id(self, environ: dict[str, Any]) -> str:
        given = environ.get("HTTP_X_REQUEST_ID", "")
        return given if _TRACE_PATTERN.fullmatch(given) else self._new_id()

    def _answer(self, environ: dict[str, Any], trace_id: str) -> tuple[Answer, str]:
        """Returns the answer and the outcome for the log."""
        try:
            return self._dispatch(self._receive(environ, trace_id)), "answered"
        except RequestError as exc:
            return problem_answer(exc, trace_id), exc.outcome
        except Exception:
            _log.exception("request handler failed", trace_id=trace_id)
            failed = RequestError("internal error", status=500, outcome="unknown")
            return problem_answer(failed, trace_id), failed.outcome

    def _receive(self, environ: dict[str, Any], trace_id: str) -> Call:
        """Reads one request; closes the connection if the request was not read completely."""
        try:
            call = read_call(environ, trace_id)
            if self._server.is_draining and call.path != "/metrics":
                raise RequestError("this instance is stopping", status=503)
        except RequestError:
            discard_body(environ["wsgi.input"])
            close_after_answer(environ)
            raise
        return call

    def _dispatch(self, call: Call) -> Answer:
        if call.path.startswith("/s/"):
            with self._caller_threads:
                return self._forward(call)
        allowed = []
        for route in self._routes:
            match = route.pattern.fullmatch(call.path)
            if match is None:
                continue
            if route.method == call.method:
                if route.needs_key:
                    self._require_operator(call)
                return route.handler(call, *match.groups())
            allowed.append(route.method)
        if allowed:
            detail = f"method not allowed; use {', '.join(allowed)}"
            raise MalformedRequestError(detail, status=405)
        raise MalformedRequestError("no such path", status=404)

    def _require_operator(self, call: Call) -> None:
        scheme, _, given = (call.header("authorization") or "").partition(" ")
        matches = hmac.compare_digest(given.strip().encode(), self._operator_key)
        if scheme.lower() != "bearer" or not matches:
            raise MalformedRequestError("a valid operator key is required", status=401)

    def _forward(self, call: Call) -> Answer:
        service, _, rest = call.path.removeprefix("/s/").partition("/")
        if not NAME_PATTERN.fullmatch(service):
            raise MalformedRequestError("no such service", status=404)
        query = f"?{call.query}" if call.query else ""
        key = call.header("idempotency-key")
        if key is not None:
            check_key(key)
        req = Request(
            service=service,
            method=call.method,
            target=f"/{service}/{rest}{query}",
            headers=end_to_end(call.headers),
            body=call.body,
            deadline_s=self._clock.now_s() + deadline_s(call),
            trace_id=call.trace_id,
        )
        return unwrap(self._router.handle(req))

    def _submit_task(self, call: Call) -> Answer:
        with self._caller_threads:
            return self._submit(call)

    def _submit(self, call: Call) -> Answer:
        raw = json_object(call)
        key = call.header("idempotency-key")
        if key is None:
            raise MalformedRequestError("the header Idempotency-Key is required", status=400)
        check_key(key)
        unknown = sorted(set(raw) - {"service", "payload", "priority"})
        if unknown:
            raise MalformedRequestError(f"unknown fields: {', '.join(unknown)}", status=400)
        service = text_field(raw, "service")
        priority = raw.get("priority", "normal")
        if priority not in PRIORITIES:
            detail = f"priority must be one of {', '.join(PRIORITIES)}"
            raise MalformedRequestError(detail, status=400)
        res = self._tasks.submit(
            service=service,
            payload=text_field(raw, "payload"),
            urgent=priority == "urgent",
            idempotency_key=key,
            body_hash=hashlib.sha256(call.body).hexdigest(),
            trace_id=call.trace_id,
        )
        return json_answer(unwrap(res), status=202)

    def _get_task(self, call: Call, task_id: str) -> Answer:
        return json_answer(unwrap(self._tasks.get(task_id)))

    def _cancel_task(self, call: Call, task_id: str) -> Answer:
        return json_answer(unwrap(self._tasks.cancel(task_id)), status=202)

    def _put_service(self, call: Call, name: str) -> Answer:
        raw = json_object(call)
        if raw.get("name", name) != name:
            detail = "the document's name differs from the path"
            raise MalformedRequestError(detail, status=400)
        res = self._operations.put_service(name=name, raw=raw, base_revision=if_match(call))
        return json_answer(unwrap(res))

    def _get_services(self, call: Call, name: str | None = None) -> Answer:
        return json_answer(unwrap(self._operations.get_services(name)))

    def _put_zone(self, call: Call, zone: str) -> Answer:
        raw = json_object(call)
        if set(raw) != {"state"} or raw["state"] not in ("in", "out"):
            detail = 'the body must be {"state": "in"} or {"state": "out"}'
            raise MalformedRequestError(detail, status=400)
        res = self._operations.put_zone(zone=zone, state=raw["state"], base_revision=if_match(call))
        body = unwrap(res)
        return json_answer(body, status=202 if body.get("provisional") else 200)

    def _get_zones(self, call: Call) -> Answer:
        return json_answer(unwrap(self._operations.get_zones()))

    def _get_status(self, call: Call) -> Answer:
        return json_answer(unwrap(self._operations.status()))

    def _get_burn(self, call: Call) -> Answer:
        return json_answer(unwrap(self._operations.burn()))

    def _get_trace(self, call: Call) -> Answer:
        lines = unwrap(self._operations.trace_lines())
        headers = (("Content-Type", "application/jsonl"),)
        return Answer(status=200, headers=headers, body=lines)

    def _get_metrics(self, call: Call) -> Answer:
        headers = (("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),)
        return Answer(status=200, headers=headers, body=self._operations.metrics_text())

    def _get_health(self, call: Call) -> Answer:
        return json_answer({"state": "serving"})


def _caller_limit(threads: int) -> int:
    """Returns how many of the HTTP threads callers' requests may occupy."""
    return max(1, threads - max(1, int(threads * RESERVED_SHARE)))
