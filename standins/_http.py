"""Small JSON-over-HTTP server on cheroot that can also misbehave on request."""

import contextlib
import json
import selectors
import signal
import socket
import threading
from collections.abc import Callable
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl

import attrs
from cheroot import server as cheroot_server

KEEP_ALIVE_TIMEOUT_S = 120.0
"""Idle connections stay open this long, so that reuse rarely meets a closing connection."""

SHUTDOWN_TIMEOUT_S = 1.0
SIGNAL_POLL_INTERVAL_S = 0.2
WAKE_INTERVAL_S = 0.01


@attrs.frozen(kw_only=True)
class Request:
    """A request whose body was read completely; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    target: str

    def json(self) -> dict[str, Any]:
        """Returns the decoded body.

        Raises:
            ValueError: the body is not a JSON object.
        """
        decoded = json.loads(self.body or b"{}")
        if not isinstance(decoded, dict):
            raise ValueError("body must be a JSON object")
        return decoded


@attrs.frozen(kw_only=True)
class Answer:
    """An answer, or a fault in its place.

    Args:
        status: HTTP status.
        body: bytes, or an object sent as JSON.
        headers: further headers.
        abort: close the connection without an answer.
        missing_bytes: how many more bytes Content-Length declares than are sent.
        close: close the connection after the answer.
    """

    status: int = 200
    body: bytes | dict[str, Any] = b""
    headers: dict[str, str] = attrs.field(factory=dict)
    abort: bool = False
    missing_bytes: int = 0
    close: bool = False


Handler = Callable[[Request], Answer]


class _Gateway(cheroot_server.Gateway):
    """Converts between cheroot and `Handler`."""

    def respond(self) -> None:
        """Answers one request."""
        req = self.req
        body = req.rfile.read()
        if req.chunked_read:
            req.close_connection = True
        answer = self._handle(body)
        if answer.abort:
            _abort(req)
            return
        _send(req, answer)

    def _handle(self, body: bytes) -> Answer:
        req = self.req
        request = Request(
            method=req.method.decode(),
            path=req.path.decode(),
            query=dict(parse_qsl((req.qs or b"").decode())),
            headers={k.decode("latin-1").lower(): _text(v) for k, v in req.inheaders.items()},
            body=body,
            target=req.uri.decode("latin-1"),
        )
        try:
            return req.server.handler(request)
        except (ValueError, KeyError, TypeError) as exc:
            return Answer(status=400, body={"error": f"{type(exc).__name__}: {exc}"})


def _text(raw: Any) -> str:
    return raw.decode("latin-1") if isinstance(raw, bytes) else str(raw)


def _abort(req: Any) -> None:
    """Closes the connection of `req` without sending anything."""
    req.sent_headers = True
    req.close_connection = True
    with contextlib.suppress(OSError):
        req.conn.socket.shutdown(socket.SHUT_RDWR)


def _send(req: Any, answer: Answer) -> None:
    is_json = not isinstance(answer.body, bytes)
    body = json.dumps(answer.body).encode() if is_json else answer.body
    req.status = f"{answer.status} {HTTPStatus(answer.status).phrase}".encode()
    headers = {"Content-Length": str(len(body) + answer.missing_bytes), **answer.headers}
    if is_json:
        headers["Content-Type"] = "application/json"
    req.outheaders += [(k.encode("latin-1"), v.encode("latin-1")) for k, v in headers.items()]
    if answer.close or answer.missing_bytes:
        req.close_connection = True
    req.ensure_headers_sent()
    if body and req.method != b"HEAD":
        req.write(body)


class _Connection(cheroot_server.HTTPConnection):
    """Connection that tells its server when it closes."""

    admitted = False

    def close(self) -> None:
        """Closes the connection."""
        if self.admitted:
            self.admitted = False
            self.server.release()
        super().close()


class _Server(cheroot_server.HTTPServer):
    """Server with a limit on open connections."""

    ConnectionClass = _Connection

    def __init__(
        self, *, address: tuple[str, int], handler: Handler, threads: int, max_connections: int
    ) -> None:
        super().__init__(address, _Gateway, minthreads=threads, maxthreads=threads)
        self.handler = handler
        self.timeout = KEEP_ALIVE_TIMEOUT_S
        self.nodelay = True
        self.request_queue_size = 128
        self.keep_alive_conn_limit = None
        self.shutdown_timeout = SHUTDOWN_TIMEOUT_S
        self.max_connections = max_connections
        self.open_connections = 0
        self.peak_connections = 0
        self.refused_connections = 0
        self._count_lock = threading.Lock()

    def process_conn(self, conn: Any) -> None:
        """Queues a connection for service, or closes it when it is one too many."""
        if not conn.admitted and not self._admit(conn):
            conn.close()
            return
        super().process_conn(conn)

    def release(self) -> None:
        """Counts a closed connection."""
        with self._count_lock:
            self.open_connections -= 1

    def _admit(self, conn: Any) -> bool:
        with self._count_lock:
            if self.max_connections and self.open_connections >= self.max_connections:
                self.refused_connections += 1
                return False
            conn.admitted = True
            self.open_connections += 1
            self.peak_connections = max(self.peak_connections, self.open_connections)
            return True


class HttpServer:
    """Serves `handler` on `address` until the context ends.

    Args:
        address: `ip:port`; port 0 takes a free one.
        handler: answers requests, called from several threads.
        threads: threads that answer requests.
        max_connections: further connections are closed at once; 0 means no limit.

    Attributes:
        address: the bound `ip:port`, once the context is entered.
    """

    def __init__(
        self, *, address: str, handler: Handler, threads: int = 8, max_connections: int = 0
    ) -> None:
        host, port = split_address(address)
        self._server = _Server(
            address=(host, port or free_port(host)),
            handler=handler,
            threads=threads,
            max_connections=max_connections,
        )
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._refusing = False
        self.address = ""

    def __enter__(self) -> "HttpServer":
        self._server.prepare()
        self.address = "{}:{}".format(*self._server.bind_addr[:2])
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        stopper = threading.Thread(target=self._stop, daemon=True)
        stopper.start()
        # The server notices the stop only when its selector wakes, hence the connections.
        while stopper.is_alive():
            with contextlib.suppress(OSError):
                socket.create_connection(split_address(self.address), SHUTDOWN_TIMEOUT_S).close()
            stopper.join(WAKE_INTERVAL_S)
        self._thread.join(SHUTDOWN_TIMEOUT_S)

    def connection_counts(self) -> dict[str, int]:
        """Returns open, peak and refused connections."""
        srv = self._server
        return {
            "open": srv.open_connections,
            "peak": srv.peak_connections,
            "refused": srv.refused_connections,
        }

    def set_refusing(self, refusing: bool) -> None:
        """Refuses or accepts new connections."""
        if refusing == self._refusing:
            return
        self._refusing = refusing
        if refusing:
            self.refuse_connections()
        else:
            self.accept_connections()

    def refuse_connections(self) -> None:
        """Refuses new connections (ECONNREFUSED); open ones stay.

        Shutting down a listening socket ends listening but keeps the port, and `listen`
        resumes it. The selector must not watch the socket meanwhile: it would report a
        hang-up without pause.
        """
        with contextlib.suppress(KeyError, OSError):
            self._selector().unregister(self._server.socket.fileno())
            self._server.socket.shutdown(socket.SHUT_RDWR)

    def accept_connections(self) -> None:
        """Accepts new connections again."""
        self._server.socket.listen(self._server.request_queue_size)
        with contextlib.suppress(KeyError):
            listener = self._server.socket.fileno()
            self._selector().register(listener, selectors.EVENT_READ, data=self._server)

    def _stop(self) -> None:
        """Stops the server; its threads end even if closing a connection fails.

        They are not daemon threads, so one left over would keep the process from ending.
        """
        try:
            self._server.stop()
        finally:
            self._server.requests.stop(SHUTDOWN_TIMEOUT_S)

    def _selector(self) -> Any:
        return self._server._connections._selector


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of `ip:port`."""
    host, _, port = str(address).rpartition(":")
    return host, int(port)


def free_port(host: str) -> int:
    """Returns a port that is free now.

    Binding to an explicit port matters: the kernel drops an automatically chosen port when
    the socket stops listening (see `HttpServer.refuse_connections`).
    """
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def wait_for_signal() -> None:
    """Blocks until SIGTERM or SIGINT."""
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    # After SIGCONT the kernel may deliver a signal to a thread other than the main one, which
    # then doesn't leave an unlimited wait. Python runs handlers on the main thread only.
    while not stopped.wait(SIGNAL_POLL_INTERVAL_S):
        pass
