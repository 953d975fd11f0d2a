"""Rendezvous hashing: all instances agree on a ranking without talking to each other."""

import hashlib
from collections.abc import Iterable

SCORE_BYTES = 8


def score(*, key: str, node: str) -> int:
    """Returns the weight of `node` for `key`; the highest weight ranks first."""
    text = f"{len(key)}:{key}{node}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=SCORE_BYTES).digest(), "big")


def rank(*, key: str, nodes: Iterable[str]) -> list[str]:
    """Returns `nodes` in order of preference for `key`."""
    return sorted(nodes, key=lambda node: (-score(key=key, node=node), node))


def first(*, key: str, nodes: Iterable[str]) -> str | None:
    """Returns the preferred node for `key`, or None without nodes."""
    return next(iter(rank(key=key, nodes=nodes)), None)
