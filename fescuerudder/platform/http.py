"""Calls to the platform over HTTP with JSON bodies; the one client that all ports share."""

import json
import socket
import threading
from http.client import HTTPException
from typing import Any, NamedTuple

import urllib3
from urllib3.connection import HTTPConnection

from fescuerudder.errors import PlatformError

CONNECT_TIMEOUT_S = 0.7
"""A connection to a machine without power hangs; one between regions takes 60 ms."""

UNACKNOWLEDGED_MS = 2500
"""Time after which the kernel gives up a connection whose peer acknowledges nothing."""

MAX_IDLE_CONNECTIONS = 8

_HEADERS = {"Content-Type": "application/json"}
_SOCKET_OPTIONS = [
    *HTTPConnection.default_socket_options,
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
]


class NotSentError(PlatformError):
    """No connection could be made; the peer has certainly not received the call."""


class NoAnswerError(PlatformError):
    """The call was sent, or may have been, and no whole answer came."""


class HttpAnswer(NamedTuple):
    """Status and parsed body of an answer; the body is None if it isn't JSON."""

    status: int
    body: Any


class HttpClient:
    """Keeps connections to many addresses; safe for many threads; a context manager.

    It uses the connections of urllib3 without its pools, whose retries, redirects and polls cost
    a third of the processor time of a call here.
    """

    def __init__(self) -> None:
        self._idle: dict[str, list[HTTPConnection]] = {}
        self._lock = threading.Lock()

    def __enter__(self) -> "HttpClient":
        return self

    def __exit__(self, *exc_info: object) -> None:
        for address in list(self._idle):
            self._drop_idle(address)

    def call(
        self,
        method: str,
        address: str,
        path: str,
        *,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout_s: float,
    ) -> HttpAnswer:
        """Sends one request, never twice.

        Raises:
            NotSentError: there was no connection.
            NoAnswerError: the answer did not come, or not whole.
        """
        data = None if body is None else json.dumps(body, separators=(",", ":")).encode()
        conn = self._take_idle(address) or _connect(address, timeout_s)
        try:
            # urllib3 sets the timeout of the connection on the socket with each request.
            conn.timeout = timeout_s
            conn.request(
                method,
                path,
                body=data,
                headers={**_HEADERS, **(headers or {})},
                decode_content=False,
            )
            resp = conn.getresponse()
            answer = HttpAnswer(resp.status, _parse(resp.data))
        except (urllib3.exceptions.HTTPError, HTTPException, OSError) as exc:
            conn.close()
            if not isinstance(exc, TimeoutError):
                # The peer restarted or dropped its connections: the others are of no use either.
                self._drop_idle(address)
            raise NoAnswerError(f"{address} did not answer: {type(exc).__name__}") from exc
        if resp.headers.get("Connection", "").lower() == "close":
            conn.close()
        else:
            self._keep(address, conn)
        return answer

    def _take_idle(self, address: str) -> HTTPConnection | None:
        with self._lock:
            idle = self._idle.get(address)
            return idle.pop() if idle else None

    def _keep(self, address: str, conn: HTTPConnection) -> None:
        with self._lock:
            idle = self._idle.setdefault(address, [])
            if len(idle) < MAX_IDLE_CONNECTIONS:
                idle.append(conn)
                return
        conn.close()

    def _drop_idle(self, address: str) -> None:
        with self._lock:
            idle = self._idle.pop(address, [])
        for conn in idle:
            conn.close()


def _connect(address: str, timeout_s: float) -> HTTPConnection:
    host, _, port = address.rpartition(":")
    conn = HTTPConnection(
        host,
        int(port),
        timeout=min(CONNECT_TIMEOUT_S, timeout_s),
        socket_options=_SOCKET_OPTIONS,
    )
    try:
        conn.connect()
    except (urllib3.exceptions.HTTPError, OSError) as exc:
        conn.close()
        raise NotSentError(f"{address} not reached: {type(exc).__name__}") from exc
    return conn


def _parse(data: bytes) -> Any:
    if not data:
        return None
    try:
        return json.loads(data)
    except ValueError:
        return None
