"""Forwards one request over one connection to one worker and says whether it may have run."""

import http.client
import socket
import threading
from collections.abc import Callable, Iterable
from typing import Any

import attrs
from result import Err, Ok, Result
from urllib3.connection import HTTPConnection
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NameResolutionError,
    NewConnectionError,
    ReadTimeoutError,
)
from urllib3.response import HTTPResponse
from urllib3.util import SKIP_HEADER

from fescuerudder.clock import Clock
from fescuerudder.errors import UpstreamError
from fescuerudder.messages import SlotPermit

MAX_ANSWER_BYTES = 8 * 1024 * 1024
CONNECT_TIMEOUT_S = 1.0
READ_CHUNK_BYTES = 64 * 1024
MIN_TIMEOUT_S = 0.001

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_REPLACED = frozenset({"host", "content-length", "expect", "x-request-id", "deadline-ms"})
_NO_BODY_STATUS = frozenset({204, 304})

Headers = tuple[tuple[str, str], ...]


@attrs.frozen(kw_only=True)
class Request:
    """A caller's request to a service.

    Args:
        service: service name.
        method: HTTP method.
        target: path and query for the worker, starting with `/<service>`.
        headers: end-to-end and other headers as received.
        body: complete body.
        deadline_s: end of the caller's patience on the local clock.
        trace_id: id that follows the request through all logs.
    """

    service: str
    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""
    deadline_s: float
    trace_id: str

    def header(self, name: str) -> str | None:
        """Returns the first header `name` (lower case), or None."""
        return next((value for key, value in self.headers if key.lower() == name), None)


@attrs.frozen(kw_only=True)
class Answer:
    """A complete answer; `headers` has no hop-by-hop headers and no Content-Length."""

    status: int
    headers: Headers = ()
    body: bytes = b""


def end_to_end(headers: Iterable[tuple[str, str]]) -> Headers:
    """Returns the headers without hop-by-hop ones and those that Connection names."""
    items = list(headers)
    named = {
        name.strip().lower()
        for key, value in items
        if key.lower() == "connection"
        for name in value.split(",")
    }
    return tuple((k, v) for k, v in items if k.lower() not in HOP_BY_HOP | named)


class _DeadlineSocket(socket.socket):
    """Socket whose reads share one deadline, so that a slow trickle can't prolong a request."""

    remaining_s: Callable[[], float] | None = None

    def recv_into(self, *args: Any, **kwargs: Any) -> int:
        if self.remaining_s is not None:
            self.settimeout(max(MIN_TIMEOUT_S, self.remaining_s()))
        return super().recv_into(*args, **kwargs)


class _Connection(HTTPConnection):
    """Connection that never connects by itself and reads under a deadline."""

    auto_open = 0

    def _new_conn(self) -> socket.socket:
        plain = super()._new_conn()
        return _DeadlineSocket(plain.family, plain.type, plain.proto, fileno=plain.detach())


class Upstream:
    """Sends requests to workers, one connection for each permit. Safe for several threads.

    Args:
        clock: source of time.
        new_id: returns a unique id; answers must echo it.
        connect_timeout_s: limit for connecting.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        new_id: Callable[[], str],
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        self._clock = clock
        self._new_id = new_id
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[tuple[str, int, int], _Connection] = {}
        self._lock = threading.Lock()

    def __enter__(self) -> "Upstream":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def forward(self, permit: SlotPermit, req: Request) -> Result[Answer, UpstreamError]:
        """Sends `req` to the permit's worker and reads the answer completely.

        Nothing is sent once the permit's `ttl_s` has passed: the worker may be leaving.
        """
        start_by_s = min(req.deadline_s, self._clock.now_s() + permit.ttl_s)
        opened = self._connection(permit, start_by_s)
        if isinstance(opened, Err):
            return opened
        conn = opened.ok_value
        reusable = False
        try:
            answer, reusable = self._exchange(conn, req, start_by_s)
        except UpstreamError as exc:
            return Err(exc)
        except (TimeoutError, ReadTimeoutError):
            return Err(_failed("the worker did not answer in time", status=504))
        except (HTTPError, http.client.HTTPException, OSError, ValueError) as exc:
            return Err(_failed(f"the exchange with the worker broke: {type(exc).__name__}"))
        finally:
            if reusable:
                self._keep(permit, conn)
            else:
                conn.close()
        return Ok(answer)

    def discard(self, permit: SlotPermit) -> None:
        """Closes the idle connection of a permit that is over."""
        with self._lock:
            conn = self._idle.pop(_key(permit), None)
        if conn is not None:
            conn.close()

    def close(self) -> None:
        """Closes all idle connections."""
        with self._lock:
            conns = list(self._idle.values())
            self._idle.clear()
        for conn in conns:
            conn.close()

    def _keep(self, permit: SlotPermit, conn: _Connection) -> None:
        with self._lock:
            previous = self._idle.get(_key(permit))
            self._idle[_key(permit)] = conn
        if previous is not None:
            previous.close()

    def _connection(
        self, permit: SlotPermit, start_by_s: float
    ) -> Result[_Connection, UpstreamError]:
        """Returns a usable connection; until it is returned nothing was written."""
        with self._lock:
            conn = self._idle.pop(_key(permit), None)
        if conn is not None:
            # A worker that closed the idle connection shows as readable.
            if conn.is_connected:
                return Ok(conn)
            conn.close()
        left_s = start_by_s - self._clock.now_s()
        if left_s <= 0:
            return Err(_too_late())
        host, _, port = permit.data.rpartition(":")
        conn = _Connection(host, int(port), timeout=min(self._connect_timeout_s, left_s))
        try:
            conn.connect()
        except (NewConnectionError, ConnectTimeoutError, NameResolutionError, OSError) as exc:
            conn.close()
            detail = f"no connection to the worker: {type(exc).__name__}"
            return Err(_failed(detail, status=503, outcome="not_run"))
        return Ok(conn)

    def _exchange(self, conn: _Connection, req: Request, start_by_s: float) -> tuple[Answer, bool]:
        """Sends the request and reads the answer; returns it and whether to keep `conn`."""
        now_s = self._clock.now_s()
        if now_s >= start_by_s:
            raise _too_late()
        left_s = req.deadline_s - now_s
        request_id = f"{req.trace_id}.{self._new_id()}"
        conn.timeout = left_s
        conn.sock.remaining_s = lambda: req.deadline_s - self._clock.now_s()
        conn.request(
            req.method,
            req.target,
            body=req.body or None,
            headers=_outgoing(req, request_id, left_s),
            preload_content=False,
            decode_content=False,
        )
        resp = conn.getresponse()
        try:
            return self._read_answer(resp, req, request_id)
        except BaseException:
            # The answer holds the socket open even after `conn.close()`.
            resp.close()
            raise

    def _read_answer(
        self, resp: HTTPResponse, req: Request, request_id: str
    ) -> tuple[Answer, bool]:
        if resp.headers.get("X-Request-Id") != request_id:
            raise _failed("the worker answered another request")
        body = _read_body(resp, req.method)
        if resp.status == 503 and resp.headers.get("Not-Processed", "").lower() == "true":
            raise _failed("the worker did not process it", status=503, outcome="not_run")
        headers = end_to_end(resp.headers.items())
        kept = tuple((k, v) for k, v in headers if k.lower() not in _REPLACED)
        answer = Answer(status=resp.status, headers=kept, body=body)
        will_close = "close" in resp.headers.get("Connection", "").lower()
        return answer, not will_close and resp.version == 11


def _key(permit: SlotPermit) -> tuple[str, int, int]:
    return permit.worker, permit.slot, permit.serial


def _failed(detail: str, *, status: int = 502, outcome: str = "unknown") -> UpstreamError:
    return UpstreamError(detail, status=status, outcome=outcome)


def _too_late() -> UpstreamError:
    detail = "the deadline or the permit ended before the request was sent"
    return _failed(detail, status=503, outcome="not_run")


def _outgoing(req: Request, request_id: str, left_s: float) -> dict[str, str]:
    headers: dict[str, str] = {}
    for key, value in end_to_end(req.headers):
        if key.lower() not in _REPLACED:
            headers[key] = f"{headers[key]}, {value}" if key in headers else value
    if not any(key.lower() == "user-agent" for key in headers):
        headers["User-Agent"] = SKIP_HEADER
    if req.body or req.method in ("POST", "PUT", "PATCH"):
        headers["Content-Length"] = str(len(req.body))
    headers["X-Request-Id"] = request_id
    headers["Deadline-Ms"] = str(max(1, int(left_s * 1000)))
    return headers


def _read_body(resp: HTTPResponse, method: str) -> bytes:
    """Reads the body up to its declared end."""
    if method == "HEAD" or resp.status in _NO_BODY_STATUS:
        resp.read()
        return b""
    if not resp.chunked and "Content-Length" not in resp.headers:
        # The end of such an answer can't be told from a broken connection.
        raise _failed("the worker's answer has no declared length")
    parts: list[bytes] = []
    size = 0
    for part in resp.stream(READ_CHUNK_BYTES, decode_content=False):
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            raise _failed(f"the worker's answer exceeds {MAX_ANSWER_BYTES} bytes")
        parts.append(part)
    return b"".join(parts)
