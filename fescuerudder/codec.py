"""CBOR encoding of messages between instances."""

from collections.abc import Iterable
from typing import Any

import attrs
import cbor2
from cattrs.preconf.cbor2 import make_converter

from fescuerudder.errors import PeerError

_CONVERTER = make_converter()


@attrs.frozen(kw_only=True)
class Envelope:
    """A message with the number that pairs an answer with its question.

    Args:
        number: number of the question.
        answer: whether the message answers question `number`.
        message: the message.
    """

    number: int
    answer: bool
    message: Any


class MessageCodec:
    """Codec for a set of message types.

    Args:
        types: attrs classes of the messages.
    """

    def __init__(self, *, types: Iterable[type]) -> None:
        self._types = {cls.__name__: cls for cls in types}

    def encode(self, envelope: Envelope) -> bytes:
        """Returns the CBOR form: an array of number, answer flag, type name and fields."""
        name = type(envelope.message).__name__
        fields = _CONVERTER.unstructure(envelope.message)
        return cbor2.dumps([envelope.number, envelope.answer, name, fields])

    def decode(self, data: bytes) -> Envelope:
        """Returns the envelope of a CBOR form.

        Raises:
            PeerError: the data is malformed or of an unknown type.
        """
        try:
            number, answer, name, fields = cbor2.loads(data)
            message: Any = _CONVERTER.structure(fields, self._types[name])
        except Exception as exc:
            raise PeerError(f"malformed peer message: {type(exc).__name__}") from exc
        if not isinstance(number, int) or not isinstance(answer, bool):
            raise PeerError("malformed peer message: bad envelope")
        return Envelope(number=number, answer=answer, message=message)
