"""HTTP client for the platform, with JSON bodies; all ports share one."""

import json
import math
import socket
import threading
import time
from http.client import HTTPException
from typing import Any, NamedTuple

import urllib3
from urllib3.connection import HTTPConnection

from fescuerudder import checked
from fescuerudder.errors import PlatformError

CONNECT_TIMEOUT_S = 0.7
"""Connecting to a machine without power hangs; connecting to another region takes 60 ms."""

TCP_USER_TIMEOUT_MS = 2500
"""Time after which the kernel closes a connection whose peer acknowledges no data."""

MAX_IDLE_PER_ADDRESS = 8

_HEADERS = {"Content-Type": "application/json"}
_SOCKET_OPTIONS = [
    *HTTPConnection.default_socket_options,
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
]


class NotSentError(PlatformError):
    """No connection was established, so the peer has not received the call."""


class NotConnectedError(NotSentError):
    """The peer refuses connections, or can't be reached."""


class NoAnswerError(PlatformError):
    """The call was sent, or may have been, but no complete answer arrived."""


class _IdleConnection(NamedTuple):
    """An open connection without a call, and when its latest answer was complete.

    The time is that of `time.monotonic`.
    """

    conn: HTTPConnection
    answered_s: float


class HttpAnswer(NamedTuple):
    """Status and decoded body of an answer; the body is None if it isn't JSON."""

    status: int
    body: Any


class HttpClient:
    """Client that keeps idle connections by address; thread-safe; a context manager.

    It uses urllib3's connections without its pools: their handling of retries and redirects, and
    their polling of sockets, took a third of the processor time of a call.
    """

    def __init__(self) -> None:
        self._idle: dict[str, list[_IdleConnection]] = {}
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
        hold_s: float = 0.0,
    ) -> HttpAnswer:
        """Sends one request and returns the answer; never sends it twice.

        After a call without an answer, idle connections to the address are used again only if they
        have carried an answer since; see docs/design/silent-connections.md.

        Args:
            method: HTTP method.
            address: `ip:port` of the peer.
            path: path of the request, with its query.
            body: JSON body, None for none.
            headers: further headers.
            timeout_s: time allowed for the answer once the request is sent.
            hold_s: part of that for which the peer may hold the answer back as the request asks.

        Raises:
            NotSentError: no connection was established.
            NoAnswerError: no complete answer arrived.
        """
        data = None if body is None else json.dumps(body, separators=(",", ":")).encode()
        conn = self._take_idle(address) or _connect(address, timeout_s)
        due_s = time.monotonic() + hold_s
        try:
            # urllib3 applies the connection's timeout to the socket at each request.
            conn.timeout = timeout_s
            conn.request(
                method,
                path,
                body=data,
                headers={**_HEADERS, **(headers or {})},
                decode_content=False,
            )
            resp = conn.getresponse()
            answer = HttpAnswer(resp.status, parse_json(resp.data))
        except (urllib3.exceptions.HTTPError, HTTPException, OSError) as exc:
            conn.close()
            if isinstance(exc, TimeoutError):
                # Connections may go silent together, before the answer was due.
                self._drop_idle(address, answered_before_s=due_s)
            else:
                # The peer restarted or dropped its connections, so the idle ones are broken too.
                self._drop_idle(address)
            raise NoAnswerError(f"{address} did not answer: {type(exc).__name__}") from exc
        if resp.headers.get("Connection", "").lower() == "close":
            conn.close()
        else:
            self._return_idle(address, conn)
        return answer

    def _take_idle(self, address: str) -> HTTPConnection | None:
        with self._lock:
            idle = self._idle.get(address)
            return idle.pop().conn if idle else None

    def _return_idle(self, address: str, conn: HTTPConnection) -> None:
        with self._lock:
            idle = self._idle.setdefault(address, [])
            if len(idle) < MAX_IDLE_PER_ADDRESS:
                idle.append(_IdleConnection(conn, time.monotonic()))
                return
        conn.close()

    def _drop_idle(self, address: str, *, answered_before_s: float = math.inf) -> None:
        """Closes the idle connections to an address without an answer since a time."""
        with self._lock:
            idle = self._idle.pop(address, [])
            kept = [entry for entry in idle if entry.answered_s >= answered_before_s]
            if kept:
                self._idle[address] = kept
        for entry in idle:
            if entry.answered_s < answered_before_s:
                entry.conn.close()


def _connect(address: str, timeout_s: float) -> HTTPConnection:
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise NotSentError(f"{address} is no ip:port")
    conn = HTTPConnection(
        host,
        int(port),
        timeout=min(CONNECT_TIMEOUT_S, timeout_s),
        socket_options=_SOCKET_OPTIONS,
    )
    try:
        conn.connect()
    except (urllib3.exceptions.HTTPError, OSError, ValueError, OverflowError) as exc:
        # The socket layer raises OverflowError for a port out of range.
        conn.close()
        raise NotSentError(f"{address} not reached: {type(exc).__name__}") from exc
    return conn


def parse_json(data: bytes) -> Any:
    """Returns a decoded body, None if it is empty or isn't JSON."""
    if not data:
        return None
    try:
        return checked.load_json(data)
    except ValueError:
        return None
