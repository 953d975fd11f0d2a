"""The leader's rows in the store: its claim, which names it and its epoch, and its heartbeat."""

import json
from typing import TypeVar

import attrs
import cattrs

from fescuerudder.jobs.progress import StoredFormError

MAX_EPOCH = 2**31
"""Fencing tokens are multiples of the epoch; beyond it they are not exact in JSON."""

_CONVERTER = cattrs.Converter()
_T = TypeVar("_T")


@attrs.frozen(kw_only=True)
class Claim:
    """Row that names the leader.

    Args:
        epoch: number of the term; increases by one with each claim.
        instance: id of the leader.
        address: `ip:port` at which it accepts messages of its peers.
        key: secret that peers present there.
        released: the leader has stepped down; any instance may claim at once.
    """

    epoch: int
    instance: str
    address: str
    key: str
    released: bool = False


@attrs.frozen(kw_only=True)
class Heartbeat:
    """Row that shows that the leader is alive; each of the leader's transactions rewrites it.

    Args:
        epoch: number of the term.
        count: number of the write in the term.
        pending: number of jobs of each queue of which no task has started, None before the first
            count.
        starts_recorded: every attempt that this or an earlier leader may have started, and that
            may still run, is in a record of starts.
    """

    epoch: int
    count: int
    pending: dict[str, int] | None = None
    starts_recorded: bool = False


def dump_row(value: Claim | Heartbeat) -> bytes:
    """Returns the serialized row."""
    return json.dumps(_CONVERTER.unstructure(value), separators=(",", ":")).encode()


def load_claim(data: bytes) -> Claim:
    """Returns the deserialized claim.

    Raises:
        StoredFormError: the data is malformed.
    """
    claim = _load(data, Claim)
    _check_epoch(claim.epoch)
    return claim


def load_heartbeat(data: bytes) -> Heartbeat:
    """Returns the deserialized heartbeat.

    Raises:
        StoredFormError: the data is malformed.
    """
    heartbeat = _load(data, Heartbeat)
    _check_epoch(heartbeat.epoch)
    return heartbeat


def _check_epoch(epoch: int) -> None:
    if not 0 <= epoch <= MAX_EPOCH:
        raise StoredFormError("epoch out of range")


def _load(data: bytes, form: type[_T]) -> _T:
    try:
        return _CONVERTER.structure(json.loads(data), form)
    except Exception as exc:
        raise StoredFormError(f"malformed {form.__name__.lower()}: {type(exc).__name__}") from exc
