"""Simulated interference: the slowdown of a service by the services next to it."""

import random
from collections.abc import Iterable, Mapping

MAX_FACTOR = 2.5
NEUTRAL_PAIR_SHARE = 0.4
"""Share of (service, neighbour) pairs without interference."""

LOAD_KNEE = 0.7
LOAD_SLOPE = 1.0
"""Increase of the slowdown per unit of load beyond `LOAD_KNEE`; load is the committed share."""


class FactorTable:
    """Slowdown factor of each (service, neighbour service) pair.

    Args:
        seed: seed from which factors of pairs that are not fixed are drawn; workers with the
            same seed have the same factors.
        fixed: factors by `service|neighbour`.
    """

    def __init__(self, *, seed: int, fixed: Mapping[str, float] | None = None) -> None:
        self._seed = seed
        self._factors = dict(fixed or {})

    def factor(self, service: str, neighbour: str) -> float:
        """Returns the slowdown factor of an unthrottled neighbour, 1.0 or more."""
        if service == neighbour:
            return 1.0
        pair = f"{service}|{neighbour}"
        if pair not in self._factors:
            self._factors[pair] = self._draw(pair)
        return self._factors[pair]

    def slowdown(
        self, service: str, neighbours: Iterable[tuple[str, float]], *, load: float
    ) -> float:
        """Returns the slowdown by `neighbours` (service, processor share) under `load` (0 to 1).

        Several tasks of one service count once, with their largest share.
        """
        shares: dict[str, float] = {}
        for name, share in neighbours:
            shares[name] = max(share, shares.get(name, 0.0))
        result = 1.0 + LOAD_SLOPE * max(0.0, load - LOAD_KNEE)
        for name, share in shares.items():
            result *= 1.0 + (self.factor(service, name) - 1.0) * share
        return result

    def _draw(self, pair: str) -> float:
        rng = random.Random(f"{self._seed}|{pair}")
        if rng.random() < NEUTRAL_PAIR_SHARE:
            return 1.0
        return rng.uniform(1.0, MAX_FACTOR)
