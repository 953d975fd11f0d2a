"""Connections of the HTTP server that bound the time for reading a request."""

import re
import socket
import time
from typing import Any

from cheroot.makefile import MakeFile
from cheroot.server import HeaderReader, HTTPConnection, HTTPRequest

REQUEST_READ_S = 15.0
"""A caller that sends a few bytes now and then would otherwise hold a thread for good."""


_NAME_PATTERN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_SINGLE = frozenset(
    {
        b"Authorization",
        b"Content-Length",
        b"Deadline-Ms",
        b"Host",
        b"Idempotency-Key",
        b"If-Match",
        b"X-Request-Id",
    }
)


class _ReadDeadlineSocket(socket.socket):
    """Socket whose reads of one request share a deadline; writes keep the usual timeout."""

    read_by_s: float | None = None

    def recv_into(self, *args: Any, **kwargs: Any) -> int:
        usual_s = self.gettimeout()
        if self.read_by_s is None or usual_s is None:
            return super().recv_into(*args, **kwargs)
        left_s = self.read_by_s - time.monotonic()
        if left_s <= 0:
            # cheroot knows a timeout by this text.
            raise TimeoutError("timed out")
        self.settimeout(min(usual_s, left_s))
        try:
            return super().recv_into(*args, **kwargs)
        finally:
            self.settimeout(usual_s)


class _SingleHeaders(dict[bytes, bytes]):
    """Headers that refuse a second value where it would be ambiguous."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name in self and name in _SINGLE:
            raise ValueError(f"Repeated header {name.decode()}.")
        super().__setitem__(name, value)


class _HeaderReader(HeaderReader):
    """Reads headers; refuses malformed names and repeated headers that must be single.

    Names with an underscore are dropped, because WSGI can't tell them from those with a hyphen.
    """

    def __call__(self, rfile: Any, hdict: dict[bytes, bytes]) -> dict[bytes, bytes]:
        hdict.update(super().__call__(rfile, _SingleHeaders()))
        return hdict

    def _allow_header(self, key_name: bytes) -> bool:
        return b"_" not in key_name

    def _transform_key(self, key_name: bytes) -> bytes:
        if not _NAME_PATTERN.fullmatch(key_name):
            raise ValueError("Illegal header name.")
        return key_name.title()


class _Request(HTTPRequest):
    """Request that is also answered if cheroot fails to parse its target."""

    header_reader = _HeaderReader()

    def read_request_line(self) -> bool:
        try:
            return super().read_request_line()
        except ValueError:
            self.simple_response("400 Bad Request", "Malformed Request-URI")
            return False


class Connection(HTTPConnection):
    """Connection with `REQUEST_READ_S` for reading each request."""

    RequestHandlerClass = _Request

    def __init__(self, server: Any, sock: socket.socket, makefile: Any = MakeFile) -> None:
        timeout_s = sock.gettimeout()
        own = _ReadDeadlineSocket(sock.family, sock.type, sock.proto, fileno=sock.detach())
        own.settimeout(timeout_s)
        super().__init__(server, own, makefile)

    def communicate(self) -> bool:
        """Serves one request; returns whether to keep the connection."""
        self.socket.read_by_s = time.monotonic() + REQUEST_READ_S
        return super().communicate()
