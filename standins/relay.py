"""TCP relay with routes that can be cut, healed and delayed.

A cut route keeps its connections open but forwards neither data nor closes; data sent meanwhile
is forwarded after the route heals, as TCP would retransmit it. The open connections of a route can
be dropped, as when another machine or a fresh boot takes over the address.
"""

import asyncio
import contextlib
import random
import socket
import struct
import threading
from collections.abc import Coroutine
from typing import Any

import attrs

from standins._http import Answer, HttpServer, Request, split_address, wait_for_signal

CHUNK_BYTES = 65_536
QUEUE_CHUNKS = 64
CALL_TIMEOUT_S = 5.0
NEW_CONNECTION_MODES = ("hang", "refuse")
DROP_MODES = ("reset", "silent")
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a connection is reset as it is closed."""


@attrs.define(kw_only=True)
class Route:
    """One relayed address.

    Args:
        name: name on the control interface.
        listen: `ip:port` to which clients connect.
        target: `ip:port` to which it relays.
        delay_ms: one-way delay in milliseconds, added in both directions.
        passing: set unless the route is cut.
        server: accepts connections; None while connections are refused.
        connections: number of open connections.
        bytes_to_target: bytes forwarded from clients.
        bytes_from_target: bytes forwarded to clients.
        writers: writers to the clients by the tasks of their connections. The loop refers to a
            connection only while it waits for data of it, so without this reference to its task a
            half-closed one is garbage.
        silent: tasks of connections that were dropped without a reset.
    """

    name: str
    listen: str
    target: str
    delay_ms: float = 0.0
    passing: asyncio.Event = attrs.field(factory=asyncio.Event)
    server: asyncio.Server | None = None
    connections: int = 0
    bytes_to_target: int = 0
    bytes_from_target: int = 0
    writers: dict[asyncio.Task[Any] | None, asyncio.StreamWriter] = attrs.field(factory=dict)
    silent: set[asyncio.Task[Any] | None] = attrs.field(factory=set)

    def describe(self) -> dict[str, Any]:
        """Returns the entry of `GET /routes`."""
        names = ("name", "listen", "target", "delay_ms", "connections")
        counts = ("bytes_to_target", "bytes_from_target")
        fields = {name: getattr(self, name) for name in (*names, *counts)}
        return {**fields, "cut": not self.passing.is_set(), "refusing": self.server is None}

    async def open(self) -> None:
        """Starts to accept connections."""
        if self.server is None:
            host, port = split_address(self.listen)
            self.server = await asyncio.start_server(self._accept, host, port)

    async def heal(self) -> None:
        """Resumes forwarding data and accepting connections."""
        await self.open()
        self.passing.set()

    async def cut(self, new: str) -> None:
        """Stops forwarding data; new connections hang or are refused."""
        self.passing.clear()
        if new == "refuse" and self.server is not None:
            self.server.close()
            self.server = None

    async def drop(self, how: str, share: float) -> None:
        """Ends a share of the open connections at the target's side.

        Args:
            how: `reset` resets them at the client's side too; `silent` leaves them open there,
                where nothing is answered any more.
            share: the share, chosen at random.
        """
        count = round(share * len(self.writers))
        for task, writer in random.sample(list(self.writers.items()), count):
            assert task is not None
            if how == "reset":
                sock = writer.get_extra_info("socket")
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                writer.transport.abort()
            elif task in self.silent:
                continue
            else:
                self.silent.add(task)
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self.connections += 1
        self.writers[task] = writer
        try:
            # The task is cancelled only when the relay stops or drops the connection.
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await self.passing.wait()
                await self._connect(reader, writer)
            if task in self.silent:
                await _discard(reader)
        finally:
            self.connections -= 1
            del self.writers[task]
            self.silent.discard(task)
            writer.close()

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Connects to the target and forwards data until both directions end or one fails."""
        host, port = split_address(self.target)
        target_reader, target_writer = await asyncio.open_connection(host, port)
        try:
            async with asyncio.TaskGroup() as pipes:
                pipes.create_task(self._pipe(reader, target_writer, "bytes_to_target"))
                pipes.create_task(self._pipe(target_reader, writer, "bytes_from_target"))
        except* OSError:
            pass
        finally:
            target_writer.close()

    async def _pipe(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, counter: str
    ) -> None:
        """Forwards one direction; reading goes on while chunks wait for their delay."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(QUEUE_CHUNKS)
        fill = asyncio.create_task(self._enqueue(reader, queue))
        try:
            while await self._forward(queue, writer, counter):
                pass
        finally:
            fill.cancel()
            await asyncio.gather(fill, return_exceptions=True)

    async def _enqueue(self, reader: asyncio.StreamReader, queue: asyncio.Queue[Any]) -> None:
        chunk = b"-"
        while chunk:
            try:
                chunk = await reader.read(CHUNK_BYTES)
            except OSError:
                chunk = b""
            due_s = asyncio.get_running_loop().time() + self.delay_ms / 1000
            await queue.put((due_s, chunk))

    async def _forward(
        self, queue: asyncio.Queue[Any], writer: asyncio.StreamWriter, counter: str
    ) -> bool:
        """Forwards one chunk when it is due; returns False at the end of the stream."""
        due_s, chunk = await queue.get()
        await asyncio.sleep(max(0.0, due_s - asyncio.get_running_loop().time()))
        await self.passing.wait()
        if not chunk:
            writer.write_eof()
            return False
        writer.write(chunk)
        setattr(self, counter, getattr(self, counter) + len(chunk))
        await writer.drain()
        return True


async def _discard(reader: asyncio.StreamReader) -> None:
    """Reads a stream to its end."""
    with contextlib.suppress(OSError):
        while await reader.read(CHUNK_BYTES):
            pass


class Relay:
    """Runs routes on an event loop of its own thread; use as a context manager.

    Args:
        listen: `ip:port` of the control interface.
    """

    def __init__(self, *, listen: str) -> None:
        self._routes: dict[str, Route] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self.control = HttpServer(address=listen, handler=self._handle, threads=2)

    def __enter__(self) -> "Relay":
        self._thread.start()
        self.control.__enter__()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.control.__exit__(*exc_info)
        self._call(self._close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def add(self, *, name: str, listen: str, target: str, delay_ms: float = 0.0) -> None:
        """Adds a route and starts to forward data."""
        if name in self._routes:
            raise ValueError(f"route {name} exists")
        route = Route(name=name, listen=listen, target=target, delay_ms=delay_ms)
        self._call(route.heal())
        self._routes[name] = route

    def names(self) -> list[str]:
        """Returns the names of all routes."""
        return list(self._routes)

    def cut(self, name: str, new: str) -> None:
        """Stops forwarding data on a route; see `Route.cut`."""
        self._call(self._routes[name].cut(new))

    def heal(self, name: str) -> None:
        """Resumes forwarding data on a route."""
        self._call(self._routes[name].heal())

    def drop(self, name: str, how: str, *, share: float = 1.0) -> None:
        """Ends open connections of a route at the target's side; see `Route.drop`."""
        if how not in DROP_MODES:
            raise ValueError(f"how must be one of {', '.join(DROP_MODES)}")
        self._call(self._routes[name].drop(how, share))

    def delay(self, name: str, delay_ms: float) -> None:
        """Sets the one-way delay of a route, in milliseconds."""
        self._routes[name].delay_ms = delay_ms

    def _handle(self, req: Request) -> Answer:
        body = req.json()
        if req.path == "/routes" and req.method == "POST":
            self.add(**body)
        elif req.path == "/cut":
            self._cut(body)
        elif req.path == "/heal":
            for route in self._select_routes(body):
                self._call(route.heal())
        elif req.path == "/delay":
            for route in self._select_routes(body):
                route.delay_ms = float(body["delay_ms"])
        elif req.path != "/routes":
            return Answer(status=404, body={"error": "no such resource"})
        return Answer(body={"routes": [route.describe() for route in self._routes.values()]})

    def _cut(self, body: dict[str, Any]) -> None:
        new = body.get("new", "hang")
        if new not in NEW_CONNECTION_MODES:
            raise ValueError(f"new must be one of {', '.join(NEW_CONNECTION_MODES)}")
        for route in self._select_routes(body):
            self._call(route.cut(new))

    def _select_routes(self, body: dict[str, Any]) -> list[Route]:
        """Returns the routes that the command names, or all if it names none."""
        return [self._routes[name] for name in body.get("routes", list(self._routes))]

    def _call(self, coro: Coroutine[Any, Any, None]) -> None:
        """Runs `coro` on the loop and waits for it."""
        asyncio.run_coroutine_threadsafe(coro, self._loop).result(CALL_TIMEOUT_S)

    async def _close(self) -> None:
        for route in self._routes.values():
            if route.server is not None:
                route.server.close()
        # A connection accepted just before may start its tasks only now, hence the loop.
        while tasks := asyncio.all_tasks() - {asyncio.current_task()}:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


def run(*, listen: str, routes: str = "") -> None:
    """Runs a relay until SIGTERM.

    Args:
        listen: `ip:port` of the control interface.
        routes: initial routes as `name=ip:port=ip:port`, separated by commas.
    """
    with Relay(listen=listen) as relay:
        for text in filter(None, str(routes).split(",")):
            name, source, target = text.split("=")
            relay.add(name=name, listen=source, target=target)
        wait_for_signal()
