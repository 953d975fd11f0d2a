"""Checked conversions of values that other programs wrote.

A document of another writer may hold anything: numbers that overflow, fields of another type, or
nesting that the decoder can't follow. Each conversion returns a value that is safe to use, or
raises a ValueError.
"""

import ipaddress
import json
from typing import Any

MAX_WHOLE = 2**53 - 1
"""Largest whole number taken; sums with it are finite, and all writers of JSON agree on it."""

MAX_AMOUNT = 1e12
"""Largest amount of a resource taken, in any unit."""

MAX_UNIX_MS = 253_402_300_799_999
"""The end of the year 9999, in milliseconds since 1970."""

MAX_ID_LENGTH = 200
MAX_PORT = 65_535
MAX_REASON_LENGTH = 200
"""Length up to which an error is logged; it may quote a document of any size."""


class OddValueError(ValueError):
    """A value that another program wrote can't be used."""


def load_json(data: str | bytes) -> Any:
    """Returns a decoded JSON document.

    Raises:
        ValueError: the data is no JSON document, or nested too deeply.
    """
    try:
        return json.loads(data)
    except RecursionError as exc:
        raise OddValueError("nested too deeply") from exc


def whole(value: Any, *, least: int = 0, most: int = MAX_WHOLE) -> int:
    """Returns a whole number between two bounds."""
    if type(value) is float and value.is_integer():
        value = int(value)
    if type(value) is not int or not least <= value <= most:
        raise _odd(f"expected a whole number from {least} to {most}", value)
    return value


def finite(value: Any, *, least: float = 0.0, most: float = MAX_WHOLE) -> float:
    """Returns a number between two bounds."""
    if type(value) not in (int, float) or not least <= value <= most:
        raise _odd(f"expected a number from {least:g} to {most:g}", value)
    return float(value)


def text(value: Any) -> str:
    """Returns a text that can be encoded; JSON may hold half of a surrogate pair."""
    if not isinstance(value, str):
        raise _odd("expected text", value)
    value.encode()
    return value


def name(value: Any) -> str:
    """Returns a text that isn't empty."""
    if not text(value):
        raise OddValueError("expected a text that isn't empty")
    return value


def identifier(value: Any) -> str:
    """Returns an id that may be sent in a header: printable ASCII without spaces."""
    if not name(value).isascii() or not value.isprintable() or " " in value:
        raise OddValueError("expected an id of printable ASCII characters")
    if len(value) > MAX_ID_LENGTH:
        raise OddValueError(f"expected an id of at most {MAX_ID_LENGTH} characters")
    return value


def items(value: Any) -> list[Any]:
    """Returns a list."""
    if not isinstance(value, list):
        raise _odd("expected a list", value)
    return value


def host_port(value: Any) -> str:
    """Returns a `host:port` whose port is in range."""
    host, _, port = text(value).rpartition(":")
    if not host or not port.isascii() or not port.isdigit():
        raise OddValueError("expected host:port")
    if not 0 < int(port[:6]) <= MAX_PORT:
        raise OddValueError(f"expected a port from 1 to {MAX_PORT}")
    return value


def address(value: Any) -> str:
    """Returns an `ip:port` of one machine."""
    ip = ipaddress.ip_address(host_port(value).rpartition(":")[0])
    if ip.is_unspecified or ip.is_multicast:
        raise OddValueError("expected the address of one machine")
    return value


def reason(exc: BaseException) -> str:
    """Returns a bounded description of an error, for the log."""
    return f"{type(exc).__name__}: {exc}"[:MAX_REASON_LENGTH]


def _odd(expected: str, value: Any) -> OddValueError:
    # The value itself may be of any size, so only its type is named.
    return OddValueError(f"{expected}, got {type(value).__name__}")
