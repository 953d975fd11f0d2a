"""Websocket mesh between entry instances: numbered questions and answers in CBOR."""

import contextlib
import hmac
import itertools
import queue
import random
import threading
from collections.abc import Callable, Mapping
from concurrent.futures import Future, ThreadPoolExecutor
from concurrent.futures import TimeoutError as FutureTimeoutError
from functools import singledispatch
from http import HTTPStatus
from typing import Any

import attrs
import structlog
from websockets.exceptions import WebSocketException
from websockets.http11 import Request, Response
from websockets.sync.client import ClientConnection, connect
from websockets.sync.server import Server, ServerConnection, serve

from fescuerudder.clock import Clock
from fescuerudder.codec import Envelope, MessageCodec
from fescuerudder.errors import PeerError
from fescuerudder.messages import MESSAGE_TYPES, Hello, Message

MAX_MESSAGE_BYTES = 256 * 1024
PING_INTERVAL_S = 2.0
PING_TIMEOUT_S = 3.0
OPEN_TIMEOUT_S = 3.0
CLOSE_TIMEOUT_S = 0.5
RECEIVE_WAIT_S = 1.0

SEND_STUCK_S = 3.0
"""A send that takes longer shows a peer that no longer reads; pings queue up behind it."""

BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 3.0
OUTBOX_MAX = 1024
HANDLER_THREADS = 8
HANDLERS_MAX = 64

UNANSWERED = 0
"""Number of messages that get no answer."""

Handler = Callable[[str, Message], Message]

_CODEC = MessageCodec(types=MESSAGE_TYPES)

_log = structlog.get_logger(__name__)


class MessageHandlers:
    """Chooses the handler of a message by its type. Add all handlers before the server starts."""

    def __init__(self) -> None:
        self._dispatch = singledispatch(_refuse)

    def add(self, message_type: type, handler: Callable[[str, Any], Message]) -> None:
        """Registers `handler(instance, message)`, which returns the answer."""
        self._dispatch.register(message_type)(lambda message, instance: handler(instance, message))

    def __call__(self, instance: str, message: Message) -> Message:
        """Returns the answer to a message of `instance`.

        Raises:
            PeerError: there is no handler.
        """
        return self._dispatch(message, instance)


def _refuse(message: Any, instance: str) -> Message:
    raise PeerError(f"no handler for {type(message).__name__} from {instance}")


class PeerServer:
    """Accepts connections of peers and answers their messages.

    Args:
        address: `ip:port` to listen on; port 0 picks a free one.
        key: shared key that peers present.
        handler: returns the answer to `(instance, message)`; an exception gives no answer.
    """

    def __init__(self, *, address: str, key: str, handler: Handler) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._key = key
        self._handler = handler
        self._slots = threading.BoundedSemaphore(HANDLERS_MAX)
        self._pool: ThreadPoolExecutor | None = None
        self._server: Server | None = None
        self._thread: threading.Thread | None = None

    def __enter__(self) -> "PeerServer":
        self._pool = ThreadPoolExecutor(HANDLER_THREADS, thread_name_prefix="peer-handler")
        self._server = serve(
            self._serve,
            self._host,
            self._port,
            process_request=self._authorize,
            **_connection_options(),
        )
        self._thread = threading.Thread(
            target=self._server.serve_forever, name="peer-server", daemon=True
        )
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._server.shutdown()
        self._thread.join()
        self._pool.shutdown(cancel_futures=True)

    @property
    def address(self) -> str:
        """The `ip:port` that the server listens on."""
        return f"{self._host}:{self._server.socket.getsockname()[1]}"

    def _authorize(self, conn: ServerConnection, req: Request) -> Response | None:
        given = req.headers.get("Authorization", "")
        if hmac.compare_digest(given.encode(), f"Bearer {self._key}".encode()):
            return None
        return conn.respond(HTTPStatus.UNAUTHORIZED, "wrong peer key\n")

    def _serve(self, conn: ServerConnection) -> None:
        try:
            hello = _CODEC.decode(conn.recv(timeout=OPEN_TIMEOUT_S, decode=False)).message
            if not isinstance(hello, Hello):
                raise PeerError("first message is not Hello")
            for data in conn:
                self._accept(conn, hello.instance, _CODEC.decode(data))
        except (PeerError, TimeoutError) as exc:
            _log.warning("peer connection refused", reason=str(exc))
        except WebSocketException as exc:
            _log.debug("peer connection ended", reason=str(exc))

    def _accept(self, conn: ServerConnection, instance: str, envelope: Envelope) -> None:
        # Waiting here stops the reading of this connection, which bounds the work taken on.
        self._slots.acquire()
        try:
            self._pool.submit(self._answer, conn, instance, envelope)
        except RuntimeError:
            self._slots.release()

    def _answer(self, conn: ServerConnection, instance: str, envelope: Envelope) -> None:
        try:
            answer = self._handler(instance, envelope.message)
            if envelope.number != UNANSWERED:
                envelope = Envelope(number=envelope.number, answer=True, message=answer)
                conn.send(_CODEC.encode(envelope))
        except WebSocketException:
            _log.debug("answer not sent, connection ended", peer=instance)
        except Exception:
            _log.exception("peer message failed", peer=instance)
        finally:
            self._slots.release()


def _connection_options() -> dict[str, Any]:
    return {
        "compression": None,
        "max_size": MAX_MESSAGE_BYTES,
        "open_timeout": OPEN_TIMEOUT_S,
        "close_timeout": CLOSE_TIMEOUT_S,
        "ping_interval": PING_INTERVAL_S,
        "ping_timeout": PING_TIMEOUT_S,
    }


@attrs.define(eq=False, kw_only=True)
class _Wire:
    """One connection with its outgoing messages and open questions."""

    conn: ClientConnection
    outbox: "queue.Queue[bytes | None]" = attrs.Factory(lambda: queue.Queue(OUTBOX_MAX))
    questions: dict[int, Future[Message]] = attrs.Factory(dict)
    sending_since_s: float | None = None

    def post(self, data: bytes) -> None:
        """Queues a message.

        Raises:
            PeerError: too many wait.
        """
        try:
            self.outbox.put_nowait(data)
        except queue.Full:
            raise PeerError("too many messages wait for the peer") from None


class _PeerLink:
    """Keeps a connection to one peer; a background thread reconnects."""

    def __init__(
        self,
        *,
        address: str,
        key: str,
        hello: Callable[[], Hello],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.address = address
        self._key = key
        self._hello = hello
        self._clock = clock
        self._rng = rng
        self._numbers = itertools.count(UNANSWERED + 1)
        self._wire: _Wire | None = None
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name=f"peer-{address}", daemon=True)

    def start(self) -> None:
        """Begins to connect."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the connection without waiting for it."""
        self._stop.set()
        if (wire := self._wire) is not None:
            _cut(wire.conn)

    def join(self) -> None:
        """Waits for the end of the thread."""
        self._thread.join(timeout=OPEN_TIMEOUT_S + CLOSE_TIMEOUT_S)

    def is_connected(self) -> bool:
        """Returns whether messages can be sent."""
        return self._wire is not None

    def tell(self, message: Message) -> None:
        """Queues a message without an answer; raises PeerError."""
        self._connected().post(_question(UNANSWERED, message))

    def ask(self, message: Message, timeout_s: float) -> Message:
        """Sends a message and waits for its answer; raises PeerError."""
        wire = self._connected()
        number = next(self._numbers)
        fut: Future[Message] = Future()
        wire.questions[number] = fut
        try:
            wire.post(_question(number, message))
            if self._wire is not wire:
                raise PeerError("connection to the peer ended")
            return fut.result(timeout=timeout_s)
        except FutureTimeoutError:
            raise PeerError("peer did not answer in time") from None
        finally:
            wire.questions.pop(number, None)

    def _connected(self) -> _Wire:
        wire = self._wire
        if wire is None:
            raise PeerError(f"not connected to {self.address}")
        return wire

    def _run(self) -> None:
        failures = 0
        while not self._stop.is_set():
            try:
                with self._connect() as conn:
                    failures = 0
                    self._converse(_Wire(conn=conn))
            except (OSError, WebSocketException, PeerError) as exc:
                _log.debug("peer connection failed", peer=self.address, reason=str(exc))
            except Exception:
                _log.exception("peer connection failed", peer=self.address)
            longest_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2**failures)
            failures = min(failures + 1, 10)
            self._clock.wait_s(self._stop, self._rng.uniform(longest_s / 2, longest_s))

    def _connect(self) -> ClientConnection:
        return connect(
            f"ws://{self.address}/",
            additional_headers={"Authorization": f"Bearer {self._key}"},
            proxy=None,
            **_connection_options(),
        )

    def _converse(self, wire: _Wire) -> None:
        wire.conn.send(_question(UNANSWERED, self._hello()))
        sender = threading.Thread(target=self._send_all, args=(wire,), daemon=True)
        sender.start()
        self._wire = wire
        try:
            while not self._stop.is_set():
                self._receive(wire)
        finally:
            self._wire = None
            _end(wire)
            sender.join()

    def _receive(self, wire: _Wire) -> None:
        since_s = wire.sending_since_s
        if since_s is not None and self._clock.now_s() - since_s > SEND_STUCK_S:
            raise PeerError("peer does not read")
        try:
            envelope = _CODEC.decode(wire.conn.recv(timeout=RECEIVE_WAIT_S, decode=False))
        except TimeoutError:
            return
        fut = wire.questions.pop(envelope.number, None)
        if envelope.answer and fut is not None:
            fut.set_result(envelope.message)

    def _send_all(self, wire: _Wire) -> None:
        while (data := wire.outbox.get()) is not None:
            wire.sending_since_s = self._clock.now_s()
            try:
                wire.conn.send(data)
            except (OSError, WebSocketException):
                return
            wire.sending_since_s = None


def _question(number: int, message: Message) -> bytes:
    return _CODEC.encode(Envelope(number=number, answer=False, message=message))


def _cut(conn: ClientConnection) -> None:
    """Ends a connection at once, even while a send is stuck."""
    try:
        conn.socket.shutdown(2)
    except OSError:
        _log.debug("connection had already ended")


def _end(wire: _Wire) -> None:
    """Releases the sender and everyone who waits for an answer."""
    _cut(wire.conn)
    while True:
        try:
            wire.outbox.put_nowait(None)
            break
        except queue.Full:
            with contextlib.suppress(queue.Empty):
                wire.outbox.get_nowait()
    for number in list(wire.questions):
        fut = wire.questions.pop(number, None)
        if fut is not None:
            fut.set_exception(PeerError("connection to the peer ended"))


class PeerClients:
    """Connections to all peers. Callers never wait for a connection.

    Args:
        key: shared key.
        hello: returns the first message of each connection.
        clock: clock of this machine.
        rng: randomness of the reconnection delays.
    """

    def __init__(
        self, *, key: str, hello: Callable[[], Hello], clock: Clock, rng: random.Random
    ) -> None:
        self._key = key
        self._hello = hello
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        self._links: dict[str, _PeerLink] = {}

    def __enter__(self) -> "PeerClients":
        return self

    def __exit__(self, *exc_info: object) -> None:
        links = list(self._links.values())
        self.set_peers({})
        for link in links:
            link.join()

    def set_peers(self, addresses: Mapping[str, str]) -> None:
        """Connects to exactly these peers, given as instance and `ip:port`."""
        with self._lock:
            kept = {n: k for n, k in self._links.items() if addresses.get(n) == k.address}
            gone = [link for name, link in self._links.items() if name not in kept]
            added = {n: self._make_link(a) for n, a in addresses.items() if n not in kept}
            self._links = {**kept, **added}
        for link in gone:
            link.stop()
        for link in added.values():
            link.start()

    def connected(self) -> list[str]:
        """Returns the instances that messages can be sent to."""
        return sorted(name for name, link in self._links.items() if link.is_connected())

    def ask(self, instance: str, message: Message, timeout_s: float) -> Message:
        """Returns the peer's answer.

        Raises:
            PeerError: not connected, too many messages wait, the connection ended, or there was
                no answer in time. The peer may have received the message.
        """
        return self._link(instance).ask(message, timeout_s)

    def tell(self, instance: str, message: Message) -> None:
        """Queues a message that needs no answer.

        Raises:
            PeerError: not connected, or too many messages wait.
        """
        self._link(instance).tell(message)

    def _link(self, instance: str) -> _PeerLink:
        try:
            return self._links[instance]
        except KeyError:
            raise PeerError(f"unknown peer {instance}") from None

    def _make_link(self, address: str) -> _PeerLink:
        return _PeerLink(
            address=address,
            key=self._key,
            hello=self._hello,
            clock=self._clock,
            rng=self._rng,
        )
