"""Serialized, compressed form of configuration data that instances send each other."""

import zlib
from typing import Any, TypeVar

import cbor2
from cattrs.preconf.cbor2 import make_converter

from fescuerudder.errors import PeerError

COMPRESSION_LEVEL = 1
"""The fastest level; queues are so alike that it still compresses them to a tenth."""

MAX_UNPACKED_BYTES = 64 * 1024 * 1024
"""Bounds the memory that a message takes; the largest manifests have about a megabyte."""

_CONVERTER = make_converter()
_T = TypeVar("_T")


def pack(value: Any) -> bytes:
    """Returns the compressed CBOR form of an attrs instance."""
    return zlib.compress(cbor2.dumps(_CONVERTER.unstructure(value)), COMPRESSION_LEVEL)


def unpack(data: bytes, cls: type[_T]) -> _T:
    """Returns the instance of `cls` that `pack` serialized.

    Raises:
        PeerError: the data is malformed.
    """
    try:
        decoder = zlib.decompressobj()
        plain = decoder.decompress(data, MAX_UNPACKED_BYTES)
        if not decoder.eof:
            raise ValueError("cut off, or too large")
        return _CONVERTER.structure(cbor2.loads(plain), cls)
    except Exception as exc:
        raise PeerError(f"malformed {cls.__name__}: {type(exc).__name__}") from exc
