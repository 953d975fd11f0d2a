"""HTTP client for the many calls to workers: one event loop in place of a thread for each call."""

import asyncio
import contextlib
import json
import math
import socket
import struct
from typing import Any

import attrs

from fescuerudder.platform._responsereader import (
    MalformedResponseError,
    Response,
    ResponseReader,
)
from fescuerudder.platform.http import (
    CONNECT_TIMEOUT_S,
    TCP_USER_TIMEOUT_MS,
    HttpAnswer,
    NoAnswerError,
    NotConnectedError,
    NotSentError,
    parse_json,
)

MAX_CONNECTIONS_PER_ADDRESS = 8
"""Connections to one peer; further calls wait, as new connections cost more than the wait."""

MAX_IDLE_CONNECTIONS = 2500
"""Idle connections to all peers together; the smallest machines have 4,100 descriptors."""

MAX_CONNECTION_WAIT_S = 0.4
"""Time after which a call that no connection was free for is given up without being sent."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a connection is reset as it is closed."""


class _Connection(asyncio.Protocol):
    """One connection with at most one call under way."""

    def __init__(self) -> None:
        self._reader = ResponseReader()
        self._answer: asyncio.Future[HttpAnswer] | None = None
        self._transport: asyncio.Transport | None = None
        self.is_reusable = True
        self.answered_s = 0.0
        """When the latest answer was complete, on the loop's clock."""

    def send(self, data: bytes) -> "asyncio.Future[HttpAnswer]":
        """Sends a request; returns a future of its answer."""
        assert self._transport is not None
        self._answer = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        return self._answer

    def close(self) -> None:
        """Closes the connection at once, without sending what is still buffered."""
        self.is_reusable = False
        if self._transport is not None:
            self._transport.abort()

    def reset(self) -> None:
        """Resets the connection, so that the kernel doesn't go on sending a call that is given up.

        Bytes that a partition holds up would otherwise reach the peer, or its next incarnation,
        when the partition ends.
        """
        if self._transport is not None:
            sock = self._transport.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.close()

    # --- called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the time after which the kernel gives up a peer that acknowledges nothing."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Handles a part of an answer."""
        try:
            resp = self._reader.feed(data)
        except MalformedResponseError as exc:
            self._fail(exc)
            self.close()
            return
        if resp is not None:
            self._end_call(resp)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the call under way, if there is one."""
        self.is_reusable = False
        resp = self._reader.end() if exc is None else None
        if resp is not None:
            self._end_call(resp)
        self._fail(exc or ConnectionResetError("closed by the peer"))

    def _end_call(self, resp: Response) -> None:
        self.is_reusable = self.is_reusable and resp.keeps_alive and self._reader.is_idle
        if self._answer is None or self._answer.done():
            # An answer that nobody waits for would be taken for that of the next call.
            self.close()
            return
        self.answered_s = asyncio.get_running_loop().time()
        self._answer.set_result(HttpAnswer(resp.status, parse_json(resp.body)))

    def _fail(self, exc: Exception) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(exc)


@attrs.define(eq=False, kw_only=True)
class _Peer:
    """Connections to one address.

    Args:
        idle: open connections without a call, the latest used last.
        slots: limits the number of calls under way.
    """

    idle: list[_Connection] = attrs.Factory(list)
    slots: asyncio.Semaphore = attrs.Factory(lambda: asyncio.Semaphore(MAX_CONNECTIONS_PER_ADDRESS))

    async def acquire(self, address: str) -> None:
        """Waits until a call may begin.

        Raises:
            NotSentError: the wait took too long.
        """
        if not self.slots.locked():
            await self.slots.acquire()
            return
        try:
            async with asyncio.timeout(MAX_CONNECTION_WAIT_S):
                await self.slots.acquire()
        except TimeoutError as exc:
            raise NotSentError(f"no free connection to {address}") from exc

    def take_idle(self) -> _Connection | None:
        """Returns an open connection, None if there is none."""
        while self.idle:
            conn = self.idle.pop()
            if conn.is_reusable:
                return conn
        return None

    def drop_idle(self, *, answered_before_s: float = math.inf) -> int:
        """Closes the idle connections without an answer since a time; returns how many there were.

        Args:
            answered_before_s: the time, on the loop's clock; all are closed by default.
        """
        outdated = [conn for conn in self.idle if conn.answered_s < answered_before_s]
        self.idle = [conn for conn in self.idle if conn.answered_s >= answered_before_s]
        for conn in outdated:
            conn.close()
        return len(outdated)


class AsyncHttpClient:
    """Client that keeps its connections by address; for use within one event loop.

    Args:
        max_idle: number of idle connections that are kept, to all addresses together.
    """

    def __init__(self, *, max_idle: int = MAX_IDLE_CONNECTIONS) -> None:
        self._peers: dict[str, _Peer] = {}
        self._max_idle = max_idle
        self._idle = 0

    async def call(
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
            path: path of the request.
            body: JSON body, None for none.
            headers: further headers.
            timeout_s: time allowed for the answer once the request is sent.
            hold_s: part of that for which the peer may hold the answer back as the request asks.

        Raises:
            NotSentError: no connection was established, or none was free in time.
            NoAnswerError: no complete answer arrived.
        """
        try:
            data = _format_request(method, address, path, body=body, headers=headers or {})
        except UnicodeEncodeError as exc:
            raise NotSentError(f"no header can hold {address!r}, or an id") from exc
        peer = self._peers.setdefault(address, _Peer())
        await peer.acquire(address)
        due_s = math.inf
        try:
            conn = self._take_idle(peer) or await _connect(address, timeout_s)
            due_s = asyncio.get_running_loop().time() + hold_s
            answer = await _exchange(conn, data, address, timeout_s)
        except NoAnswerError as exc:
            if isinstance(exc.__cause__, TimeoutError):
                # Connections may go silent together, before the answer was due.
                self._idle -= peer.drop_idle(answered_before_s=due_s)
            else:
                # The peer restarted or dropped its connections, so the idle ones are broken too.
                self._idle -= peer.drop_idle()
            raise
        finally:
            peer.slots.release()
        if conn.is_reusable:
            self._return_idle(peer, conn)
        return answer

    def _take_idle(self, peer: _Peer) -> _Connection | None:
        before = len(peer.idle)
        conn = peer.take_idle()
        self._idle -= before - len(peer.idle)
        return conn

    def _return_idle(self, peer: _Peer, conn: _Connection) -> None:
        """Keeps a connection for later calls, or closes it if there are too many."""
        if self._idle >= self._max_idle:
            conn.close()
            return
        peer.idle.append(conn)
        self._idle += 1


async def _connect(address: str, timeout_s: float) -> _Connection:
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(min(CONNECT_TIMEOUT_S, timeout_s)):
            _, conn = await loop.create_connection(_Connection, host, int(port))
    except (OSError, ValueError, OverflowError) as exc:
        # The socket layer raises OverflowError for a port out of range.
        raise NotConnectedError(f"{address} not reached: {type(exc).__name__}") from exc
    return conn


async def _exchange(conn: _Connection, data: bytes, address: str, timeout_s: float) -> HttpAnswer:
    answer = conn.send(data)
    try:
        async with asyncio.timeout(timeout_s):
            return await answer
    except asyncio.CancelledError:
        conn.reset()
        raise
    except (OSError, MalformedResponseError) as exc:
        if answer.done() and not answer.cancelled() and answer.exception() is None:
            # The loop was busy, and found answer and timeout in the same round.
            return answer.result()
        conn.reset()
        raise NoAnswerError(f"{address} did not answer: {type(exc).__name__}") from exc


def _format_request(
    method: str, address: str, path: str, *, body: Any, headers: dict[str, str]
) -> bytes:
    data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {address}",
        "Content-Type: application/json",
        f"Content-Length: {len(data)}",
        *(f"{name}: {value}" for name, value in headers.items()),
    ]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + data
