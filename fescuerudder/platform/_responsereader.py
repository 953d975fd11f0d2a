"""Incremental reader of HTTP/1.1 responses.

A report from a worker takes 3 us to read here, 45 us with `http.client`, whose header parser is
that of mail messages, and 77 us with h11. Parsers in C need a build for each kind of machine, which
the one-file archive can't hold.
"""

import string

import attrs

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
STATUS_DIGITS = 3
MAX_LENGTH_DIGITS = 20
"""A number of thousands of digits can't be decoded: `int` refuses it with an error of its own."""

_STATUSES_WITHOUT_BODY = (204, 304)


class MalformedResponseError(ValueError):
    """The peer's data is not a response, or one larger than allowed."""


@attrs.frozen(kw_only=True)
class Response:
    """A complete response.

    Args:
        status: status code.
        body: the body, without transfer coding.
        keeps_alive: whether the connection can carry another request.
    """

    status: int
    body: bytes
    keeps_alive: bool


@attrs.define(kw_only=True)
class _Head:
    """Status line and headers of a response.

    Args:
        status: status code.
        length: length of the body in bytes, None if it ends with the connection or is chunked.
        is_chunked: whether the body is sent in chunks.
        keeps_alive: whether the connection stays open.
    """

    status: int
    length: int | None
    is_chunked: bool
    keeps_alive: bool


class ResponseReader:
    """Reads the responses on one connection, one after another."""

    def __init__(self) -> None:
        self._buffer = b""
        self._head: _Head | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no part of a response has arrived since the last complete one."""
        return self._head is None and not self._buffer

    def feed(self, data: bytes) -> Response | None:
        """Adds data from the peer; returns the response if it is complete.

        Raises:
            MalformedResponseError: the data is no response.
        """
        self._buffer += data
        while self._head is None:
            head = self._take_head()
            if head is None:
                return None
            # A provisional response, such as "100 Continue", precedes the final one.
            self._head = head if head.status >= 200 else None
        body = self._take_body(self._head)
        return None if body is None else self._end(body)

    def end(self) -> Response | None:
        """Handles the end of the connection; returns a response that ends with it."""
        head = self._head
        if head is None or head.length is not None or head.is_chunked:
            return None
        body, self._buffer = self._buffer, b""
        return self._end(body)

    def _end(self, body: bytes) -> Response:
        assert self._head is not None
        head, self._head = self._head, None
        return Response(status=head.status, body=body, keeps_alive=head.keeps_alive)

    def _take_head(self) -> _Head | None:
        text, separator, rest = self._buffer.partition(b"\r\n\r\n")
        if len(text) > MAX_HEAD_BYTES:
            raise MalformedResponseError("head too long")
        if not separator:
            return None
        self._buffer = rest
        return _parse_head(text)

    def _take_body(self, head: _Head) -> bytes | None:
        if head.is_chunked:
            found = _join_chunks(self._buffer)
            if found is None:
                self._check_size()
                return None
            body, self._buffer = found
            return body
        if head.length is None or len(self._buffer) < head.length:
            self._check_size()
            return None
        body, self._buffer = self._buffer[: head.length], self._buffer[head.length :]
        return body

    def _check_size(self) -> None:
        if len(self._buffer) > MAX_BODY_BYTES:
            raise MalformedResponseError("body too long")


def _parse_head(text: bytes) -> _Head:
    status_line, *lines = text.split(b"\r\n")
    parts = status_line.split(b" ", 2)
    if len(parts) < 2 or not parts[0].startswith(b"HTTP/1.") or not _is_status(parts[1]):
        raise MalformedResponseError("no status line")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon:
            raise MalformedResponseError("no header line")
        headers[name.lower()] = value.strip()
    status = int(parts[1])
    is_chunked = headers.get(b"transfer-encoding", b"").lower() == b"chunked"
    length = None if is_chunked else _parse_length(status, headers)
    connection = headers.get(b"connection", b"").lower()
    keeps_alive = connection != b"close" and (
        parts[0] != b"HTTP/1.0" or connection == b"keep-alive"
    )
    return _Head(
        status=status,
        length=length,
        is_chunked=is_chunked,
        keeps_alive=keeps_alive and (is_chunked or length is not None),
    )


def _is_status(digits: bytes) -> bool:
    return len(digits) == STATUS_DIGITS and digits.isdigit()


def _parse_length(status: int, headers: dict[bytes, bytes]) -> int | None:
    if status < 200 or status in _STATUSES_WITHOUT_BODY:
        return 0
    value = headers.get(b"content-length")
    if value is None:
        return None
    if not value.isdigit() or len(value) > MAX_LENGTH_DIGITS or int(value) > MAX_BODY_BYTES:
        raise MalformedResponseError("invalid length")
    return int(value)


def _join_chunks(data: bytes) -> tuple[bytes, bytes] | None:
    """Returns a chunked body and what follows it, None if it is incomplete."""
    chunks = []
    while True:
        line, separator, data = data.partition(b"\r\n")
        if not separator:
            return None
        size = _parse_chunk_size(line)
        if size == 0:
            return _skip_trailers(b"".join(chunks), data)
        if len(data) < size + 2:
            return None
        if data[size : size + 2] != b"\r\n":
            raise MalformedResponseError("chunk of another size")
        chunks.append(data[:size])
        data = data[size + 2 :]


def _parse_chunk_size(line: bytes) -> int:
    digits = line.partition(b";")[0].strip()
    if not digits or digits.strip(string.hexdigits.encode()):
        raise MalformedResponseError("invalid size of a chunk")
    return int(digits, 16)


def _skip_trailers(body: bytes, data: bytes) -> tuple[bytes, bytes] | None:
    while True:
        line, separator, data = data.partition(b"\r\n")
        if not separator:
            return None
        if not line:
            return body, data
