"""Small HTTP/1.1 server and client on asyncio, for the stand-ins of the review's scripts."""

import asyncio
import contextlib
import dataclasses
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl, urlsplit

NO_ANSWER = object()
"""Returned by a handler that closes the connection without an answer."""

SILENCE = object()
"""Returned by a handler that leaves the call without an answer and the connection open."""


@dataclasses.dataclass
class Request:
    """One request with its whole body."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Returns the decoded body."""
        return json.loads(self.body or b"{}")


Handler = Callable[[Request], Awaitable[Any]]


class Server:
    """Serves one loopback address; a handler returns (status, body) for each request."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._generation = 0
        self.address = ""

    async def open(self, address: str = "127.0.0.1:0") -> str:
        """Listens; returns the address."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=2**22, backlog=512
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    def close(self) -> None:
        """Stops listening and resets all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def silence_connections(self) -> None:
        """Makes the open connections silent for good, without a reset; new ones work."""
        self._generation += 1

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        generation = self._generation
        try:
            while (req := await _read_request(reader)) is not None:
                if generation != self._generation:
                    continue
                answer = await self._handler(req)
                if generation != self._generation:
                    continue
                if answer is NO_ANSWER:
                    writer.transport.abort()
                    return
                if answer is SILENCE:
                    continue
                status, body = answer
                data = json.dumps(body, separators=(",", ":")).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    return Request(method, parts.path, dict(parse_qsl(parts.query)), headers, body)


async def call(
    method: str,
    address: str,
    path: str,
    *,
    host: str = "",
    body: Any = None,
    timeout_s: float = 3.0,
) -> tuple[int, Any]:
    """Sends one request on a connection of its own; returns status and body.

    The status is 0 if no complete answer arrived in time.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            ip, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(ip, int(port), limit=2**22)
            data = b"" if body is None else json.dumps(body).encode()
            lines = [
                f"{method} {path} HTTP/1.1",
                f"Host: {host or address}",
                "Content-Type: application/json",
                f"Content-Length: {len(data)}",
                f"X-Deadline-Ms: {int(timeout_s * 1000)}",
                "Connection: close",
            ]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            answer = await reader.read()
    except (OSError, TimeoutError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
    head, found, data = answer.partition(b"\r\n\r\n")
    if not found:
        return 0, None
    status = int(head.split(b" ", 2)[1])
    with contextlib.suppress(ValueError):
        return status, json.loads(data)
    return status, None
