"""Simulated interference: how much a neighbour slows a service down."""

import random
from collections.abc import Iterable, Mapping

MAX_FACTOR = 2.5
NEUTRAL_PAIR_SHARE = 0.4
"""Share of (service, neighbour) pairs that don't disturb each other."""

LOAD_KNEE = 0.7
LOAD_SLOPE = 1.0
"""Work slows by this much per unit of committed processors beyond `LOAD_KNEE`."""


class FactorTable:
    """Slowdown factor of each (service, neighbour service) pair.

    Args:
        seed: pairs that are not fixed draw their factor from a generator of this seed, so
            that all workers with one seed agree.
        fixed: factors by `service|neighbour`.
    """

    def __init__(self, *, seed: int, fixed: Mapping[str, float] | None = None) -> None:
        self._seed = seed
        self._factors = dict(fixed or {})

    def factor(self, service: str, neighbour: str) -> float:
        """Returns the factor, 1.0 or more, of an unthrottled neighbour."""
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

        Several tasks of one neighbour service count once, with the largest share.
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
