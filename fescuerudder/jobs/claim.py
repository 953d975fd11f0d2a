"""The leader's claim in the store: who leads, under which epoch, reachable where."""

import json
from typing import TypeVar

import attrs
import cattrs

from fescuerudder.jobs.progress import StoredFormError

_CONVERTER = cattrs.Converter()
_T = TypeVar("_T")


@attrs.frozen(kw_only=True)
class Claim:
    """Row that names the leader.

    Args:
        epoch: number of the term; grows by one with each claim.
        instance: id of the leader.
        address: `ip:port` at which it takes messages of its peers.
        key: secret that peers present there.
        released: the leader has stepped down; anybody may claim at once.
    """

    epoch: int
    instance: str
    address: str
    key: str
    released: bool = False


@attrs.frozen(kw_only=True)
class Heartbeat:
    """Row by which the leader shows that it lives; rewritten with every write of its own.

    Args:
        epoch: number of the term.
        count: grows with each write of the term.
        pending: jobs of each queue of which no task has started, None while nobody has counted.
    """

    epoch: int
    count: int
    pending: dict[str, int] | None = None


def dump(value: Claim | Heartbeat) -> bytes:
    """Returns the stored form."""
    return json.dumps(_CONVERTER.unstructure(value), separators=(",", ":")).encode()


def load_claim(data: bytes) -> Claim:
    """Returns the claim of a stored form.

    Raises:
        StoredFormError: the data is malformed.
    """
    return _load(data, Claim)


def load_heartbeat(data: bytes) -> Heartbeat:
    """Returns the heartbeat of a stored form.

    Raises:
        StoredFormError: the data is malformed.
    """
    return _load(data, Heartbeat)


def _load(data: bytes, form: type[_T]) -> _T:
    try:
        return _CONVERTER.structure(json.loads(data), form)
    except Exception as exc:
        raise StoredFormError(f"malformed {form.__name__.lower()}: {type(exc).__name__}") from exc
