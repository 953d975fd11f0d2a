"""Calls to the platform over HTTP with JSON bodies; the one client that all ports share."""

import json
import socket
import threading
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


class NotSentError(PlatformError):
    """No connection could be made; the peer has certainly not received the call."""


class NoAnswerError(PlatformError):
    """The call was sent, or may have been, and no whole answer came."""


class HttpAnswer(NamedTuple):
    """Status and parsed body of an answer; the body is None if it isn't JSON."""

    status: int
    body: Any


class HttpClient:
    """Keeps connections to many addresses; safe for many threads; a context manager."""

    def __init__(self) -> None:
        self._pools: dict[str, urllib3.HTTPConnectionPool] = {}
        self._lock = threading.Lock()

    def __enter__(self) -> "HttpClient":
        return self

    def __exit__(self, *exc_info: object) -> None:
        with self._lock:
            pools, self._pools = self._pools, {}
        for pool in pools.values():
            pool.close()

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
        timeout = urllib3.Timeout(connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s)
        try:
            resp = self._pool(address).urlopen(
                method,
                path,
                body=data,
                headers={**_HEADERS, **(headers or {})},
                timeout=timeout,
                retries=False,
                redirect=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            raise NotSentError(f"{address} not reached: {type(exc).__name__}") from exc
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            raise NoAnswerError(f"{address} did not answer: {type(exc).__name__}") from exc
        return HttpAnswer(resp.status, _parse(resp.data))

    def _pool(self, address: str) -> urllib3.HTTPConnectionPool:
        pool = self._pools.get(address)
        if pool is not None:
            return pool
        host, _, port = address.rpartition(":")
        with self._lock:
            return self._pools.setdefault(
                address,
                urllib3.HTTPConnectionPool(
                    host,
                    int(port),
                    maxsize=MAX_IDLE_CONNECTIONS,
                    socket_options=[
                        *HTTPConnection.default_socket_options,
                        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
                    ],
                ),
            )


def _parse(data: bytes) -> Any:
    if not data:
        return None
    try:
        return json.loads(data)
    except ValueError:
        return None
