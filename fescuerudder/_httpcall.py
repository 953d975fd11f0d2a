"""Reads and checks one HTTP request of a caller or operator."""

import json
import re
from typing import Any
from urllib.parse import unquote

import attrs
from cheroot.errors import MaxSizeExceeded
from cheroot.server import ChunkedRFile

from fescuerudder.errors import MalformedRequestError
from fescuerudder.httpserver import MAX_BODY_BYTES
from fescuerudder.upstream import Headers

MAX_HEADER_BYTES = 16 * 1024
MAX_HEADER_COUNT = 100
MAX_KEY_LENGTH = 255
DEFAULT_DEADLINE_S = 30.0
MAX_DEADLINE_S = 24 * 3600.0
METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
_TARGET_PATTERN = re.compile(r"[!-~]+")
_KEY_PATTERN = re.compile(rf"[ -~]{{1,{MAX_KEY_LENGTH}}}")
_LENGTH_PATTERN = re.compile(r"[0-9]{1,18}")
_REVISION_PATTERN = re.compile(r'"(\d{1,18})"')

Json = dict[str, Any]


@attrs.frozen(kw_only=True)
class Call:
    """One received HTTP request."""

    method: str
    path: str
    query: str
    headers: Headers
    body: bytes
    trace_id: str

    def header(self, name: str) -> str | None:
        return next((value for key, value in self.headers if key.lower() == name), None)


def read_call(environ: dict[str, Any], trace_id: str) -> Call:
    """Checks and reads one request."""
    method = environ["REQUEST_METHOD"]
    if method not in METHODS:
        raise MalformedRequestError("method not supported", status=501)
    headers = _headers(environ)
    path, _, query = _target(environ).partition("?")
    return Call(
        method=method,
        path=path,
        query=query,
        headers=headers,
        body=_read_body(environ),
        trace_id=trace_id,
    )


def _target(environ: dict[str, Any]) -> str:
    target = environ["REQUEST_URI"]
    if not target.startswith("/") or not _TARGET_PATTERN.fullmatch(target):
        raise MalformedRequestError("malformed path", status=400)
    # A worker that resolves dot segments would otherwise be led to another service.
    segments = unquote(target.partition("?")[0]).replace("\\", "/").split("/")
    if "." in segments or ".." in segments:
        raise MalformedRequestError("the path must not contain dot segments", status=400)
    return target


def _headers(environ: dict[str, Any]) -> Headers:
    names = [key for key in environ if key.startswith("HTTP_")]
    headers = [(key[5:].replace("_", "-").title(), environ[key]) for key in names]
    if environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", environ["CONTENT_TYPE"]))
    size = sum(len(key) + len(value) for key, value in headers)
    if len(headers) > MAX_HEADER_COUNT or size > MAX_HEADER_BYTES:
        raise MalformedRequestError("the headers are too large", status=431)
    return tuple(headers)


def _read_body(environ: dict[str, Any]) -> bytes:
    declared = environ.get("CONTENT_LENGTH", "")
    chunked = environ["wsgi.input_terminated"]
    if chunked and declared:
        detail = "Content-Length and Transfer-Encoding exclude each other"
        raise MalformedRequestError(detail, status=400)
    if chunked:
        return _read_chunked(environ["wsgi.input"])
    if declared and not _LENGTH_PATTERN.fullmatch(declared):
        raise MalformedRequestError("Content-Length must be a whole number", status=400)
    size = int(declared or 0)
    if size > MAX_BODY_BYTES:
        raise _too_large()
    try:
        body = environ["wsgi.input"].read(size) if size else b""
    except OSError as exc:
        raise MalformedRequestError("the body could not be read", status=400) from exc
    if len(body) != size:
        raise MalformedRequestError("the body is shorter than declared", status=400)
    return body


def _read_chunked(rfile: ChunkedRFile) -> bytes:
    try:
        body = rfile.read(MAX_BODY_BYTES + 1)
        if len(body) > MAX_BODY_BYTES:
            raise _too_large()
        for _ in rfile.read_trailer_lines():
            pass
    except (ValueError, TimeoutError) as exc:
        raise MalformedRequestError("the chunked body is malformed", status=400) from exc
    except (MaxSizeExceeded, OSError) as exc:
        raise _too_large() from exc
    return body


def _too_large() -> MalformedRequestError:
    return MalformedRequestError(f"the body exceeds {MAX_BODY_BYTES} bytes", status=413)


def deadline_s(call: Call) -> float:
    """Returns how long the caller waits, in seconds.

    Raises:
        MalformedRequestError: the header is malformed.
    """
    given = call.header("deadline-ms")
    if given is None:
        return DEFAULT_DEADLINE_S
    if not re.fullmatch(r"[0-9]{1,12}", given):
        raise MalformedRequestError("Deadline-Ms must be a whole number", status=400)
    return min(MAX_DEADLINE_S, int(given) / 1000)


def check_key(key: str) -> None:
    """Checks an idempotency key.

    Raises:
        MalformedRequestError: it is malformed.
    """
    if not _KEY_PATTERN.fullmatch(key):
        detail = f"Idempotency-Key must be 1 to {MAX_KEY_LENGTH} printable ASCII characters"
        raise MalformedRequestError(detail, status=400)


def if_match(call: Call) -> int | None:
    """Returns the revision that a change is based on, None for any.

    Raises:
        MalformedRequestError: it is malformed.
    """
    given = call.header("if-match")
    if given is None or given == "*":
        return None
    match = _REVISION_PATTERN.fullmatch(given)
    if match is None:
        raise MalformedRequestError('If-Match must be "<revision>"', status=400)
    return int(match.group(1))


def json_object(call: Call) -> Json:
    """Returns the body as a JSON object.

    Raises:
        MalformedRequestError: it is malformed.
    """
    try:
        raw = json.loads(call.body)
    except (ValueError, RecursionError) as exc:
        raise MalformedRequestError("the body is not valid JSON", status=400) from exc
    if not isinstance(raw, dict):
        raise MalformedRequestError("the body must be a JSON object", status=400)
    return raw


def text_field(raw: Json, name: str) -> str:
    """Returns a field that must be text.

    Raises:
        MalformedRequestError: it is malformed.
    """
    value = raw.get(name)
    if not isinstance(value, str):
        raise MalformedRequestError(f"{name} must be text", status=400)
    return value
