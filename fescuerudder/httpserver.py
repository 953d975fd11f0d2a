"""HTTP server that stops without losing a request; a shell around cheroot."""

import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

import structlog
from cheroot import wsgi
from cheroot.server import ChunkedRFile, KnownLengthRFile

from fescuerudder._connection import Connection
from fescuerudder._synfilter import drop_new_connections
from fescuerudder.clock import Clock

_log = structlog.get_logger(__name__)

MAX_BODY_BYTES = 1024 * 1024
MAX_DISCARDED_BYTES = 4 * MAX_BODY_BYTES
DISCARD_CHUNK_BYTES = 64 * 1024
MAX_RAW_HEADER_BYTES = 64 * 1024
LISTEN_BACKLOG = 512
MAX_LAST_CONNECTIONS = 4 * LISTEN_BACKLOG
KEEPALIVE_S = 10
HANDSHAKE_S = 0.1
DRAIN_POLL_S = 0.02
DRAIN_QUIET_S = 0.2
STOP_S = 2

_REQUEST_KEY = "fescuerudder.request"

Application = Callable[[dict[str, Any], Any], Iterable[bytes]]


class _InFlight:
    """Counts the requests in flight and when the last one ended."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._count = 0
        self._last_end_s = clock.now_s()
        self._lock = threading.Lock()

    def __enter__(self) -> None:
        with self._lock:
            self._count += 1

    def __exit__(self, *exc_info: object) -> None:
        with self._lock:
            self._count -= 1
            self._last_end_s = self._clock.now_s()

    def idle_s(self) -> float:
        """Returns for how long there was no request; negative if there is one."""
        with self._lock:
            return -1.0 if self._count else self._clock.now_s() - self._last_end_s


class _Server(wsgi.Server):
    """WSGI server that counts requests until their answers are written."""

    ConnectionClass = Connection
    in_flight: _InFlight

    def stop(self) -> None:
        """Stops listening, answers what has arrived and closes all connections."""
        if self.ready:
            self._end_arrivals()
            self._connections.stop()
            self._take_accepted()
            self._take_readable()
        super().stop()

    def _end_arrivals(self) -> None:
        try:
            drop_new_connections(self.socket)
        except OSError as exc:
            _log.warning("late connections may be reset", error=str(exc))
        # Handshakes that have begun take a round trip.
        time.sleep(HANDSHAKE_S)

    def _take_accepted(self) -> None:
        """Serves the connections that the kernel has accepted, then closes the listener.

        Closing the listener resets them, and their callers could not tell whether their
        requests ran. cheroot has no hook for this, hence its private members.
        """
        listener, self.socket = self.socket, None
        self._connections._selector.unregister(listener.fileno())
        listener.setblocking(False)
        for _ in range(MAX_LAST_CONNECTIONS):
            conn = self._connections._from_server_socket(listener)
            if conn is None:
                break
            self.process_conn(conn)
        listener.close()

    def _take_readable(self) -> None:
        """Serves the idle connections on which a request has arrived."""
        for sock_fd, conn in list(self._connections._selector.select(timeout=0)):
            self._connections._selector.unregister(sock_fd)
            self.process_conn(conn)


class _Gateway(wsgi.Gateway_10):
    """Counts requests, bounds chunked bodies and lets the application close the connection."""

    def get_environ(self) -> dict[str, Any]:
        if isinstance(self.req.rfile, ChunkedRFile):
            # Also counts the framing, hence the allowance; the exact limit is checked later.
            self.req.rfile.maxlen = 2 * MAX_BODY_BYTES
        return {**super().get_environ(), _REQUEST_KEY: self.req}

    def respond(self) -> None:
        with self.req.server.in_flight:
            super().respond()


class HttpServer:
    """Listens on one address and serves a WSGI application; a context manager.

    Args:
        address: `ip:port` to listen on; port 0 takes a free one.
        threads: threads that serve requests.
        app: WSGI application.
        clock: source of time.
        keepalive_s: idle time after which a connection is closed.
    """

    def __init__(
        self,
        *,
        address: str,
        threads: int,
        app: Application,
        clock: Clock,
        keepalive_s: float = KEEPALIVE_S,
    ) -> None:
        self._clock = clock
        self._draining = threading.Event()
        host, _, port = address.rpartition(":")
        self._server = _Server(
            (host, int(port)),
            app,
            numthreads=threads,
            max=threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=keepalive_s,
            shutdown_timeout=STOP_S,
        )
        self._server.gateway = _Gateway
        self._server.in_flight = _InFlight(clock=clock)
        self._server.max_request_header_size = MAX_RAW_HEADER_BYTES
        self._server.error_log = _log_server_error
        self._thread: threading.Thread | None = None

    def __enter__(self) -> "HttpServer":
        self.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.stop()

    @property
    def port(self) -> int:
        """Port the server listens on, after `start`."""
        return self._server.bind_addr[1]

    @property
    def is_draining(self) -> bool:
        """Whether a planned stop has begun."""
        return self._draining.is_set()

    def start(self) -> None:
        """Listens and serves in threads of its own.

        Raises:
            OSError: the address can't be used.
        """
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, name="http", daemon=True)
        self._thread.start()

    def begin_drain(self) -> None:
        """Lets the application refuse requests or close connections after their answers."""
        self._draining.set()

    def drain(self, timeout_s: float) -> bool:
        """Waits until no request came for `DRAIN_QUIET_S`; returns whether all ended.

        The listener stays open, so that late requests get an answer instead of a reset.
        Call `stop` afterwards.
        """
        self._draining.set()
        end_s = self._clock.now_s() + timeout_s
        never = threading.Event()
        while self._clock.now_s() < end_s:
            if self._server.in_flight.idle_s() >= DRAIN_QUIET_S:
                return True
            self._clock.wait_s(never, DRAIN_POLL_S)
        return self._server.in_flight.idle_s() >= 0

    def stop(self) -> None:
        """Stops listening and closes all connections."""
        self._draining.set()
        self._server.stop()
        if self._thread is not None:
            self._thread.join(timeout=STOP_S)
            self._thread = None


def close_after_answer(environ: dict[str, Any]) -> None:
    """Makes the server close the connection once the request of `environ` is answered."""
    environ[_REQUEST_KEY].close_connection = True


def discard_body(rfile: KnownLengthRFile | ChunkedRFile) -> None:
    """Reads what is left of a refused body, within limits.

    Closing a connection with unread data resets it, and the caller may lose the answer.
    """
    left = min(getattr(rfile, "remaining", 0), MAX_DISCARDED_BYTES)
    try:
        while left > 0:
            part = rfile.read(min(left, DISCARD_CHUNK_BYTES))
            if not part:
                return
            left -= len(part)
    except OSError:
        _log.debug("a refused body could not be read to its end")


def _log_server_error(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    _log.warning("HTTP server error", error=msg.strip(), exc_info=traceback)
