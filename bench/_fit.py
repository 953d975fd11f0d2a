"""Least-squares fits of measured quantities over the sizes that were varied."""

from collections.abc import Mapping, Sequence
from typing import Any

import attrs
import numpy as np


@attrs.frozen(kw_only=True)
class Point:
    """One measured run.

    Args:
        sizes: what was varied, by name.
        values: what was measured, by name.
    """

    sizes: Mapping[str, float]
    values: Mapping[str, float]


@attrs.frozen(kw_only=True)
class Fit:
    """Linear fit of one quantity.

    Args:
        quantity: name of the quantity.
        base: value with all sizes at 0.
        slopes: change for each unit of a size.
        residual: root mean square of the differences, in units of the quantity.
        points: number of runs.
    """

    quantity: str
    base: float
    slopes: dict[str, float]
    residual: float
    points: int

    def dump(self) -> dict[str, Any]:
        """Returns JSON-compatible data with rounded figures."""
        return {
            "quantity": self.quantity,
            "base": _short(self.base),
            "slopes": {name: _short(slope) for name, slope in self.slopes.items()},
            "residual": _short(self.residual),
            "points": self.points,
        }


def fit(points: Sequence[Point], *, quantity: str) -> Fit:
    """Returns the fit of `quantity` over all sizes that the points name."""
    names = sorted({name for point in points for name in point.sizes})
    rows = [[1.0, *(point.sizes[name] for name in names)] for point in points]
    wanted = np.array([point.values.get(quantity, 0.0) for point in points], dtype=float)
    matrix = np.array(rows, dtype=float)
    found, *_ = np.linalg.lstsq(matrix, wanted, rcond=None)
    rest = matrix @ found - wanted
    return Fit(
        quantity=quantity,
        base=float(found[0]),
        slopes={name: float(slope) for name, slope in zip(names, found[1:], strict=True)},
        residual=float(np.sqrt(np.mean(rest**2))),
        points=len(points),
    )


def fit_all(points: Sequence[Point]) -> list[Fit]:
    """Returns the fits of all quantities; one that a run lacks counts as 0 there."""
    names = sorted({name for point in points for name in point.values})
    return [fit(points, quantity=name) for name in names]


def _short(number: float) -> float:
    return float(f"{number:.4g}")
