"""Tell constant, linear and worse growth apart from a few measured sizes."""

from collections.abc import Sequence

import attrs

__all__ = ["Fit", "fit"]

# A figure on a shared machine varies by a tenth from run to run: what grows by less than this share
# over all sizes counts as constant, and exponents are as uncertain.
_CONSTANT_BELOW = 0.2
_SUBLINEAR_BELOW = 0.8
_LINEAR_BELOW = 1.25
_EXPONENT_STEP = 0.05
_EXPONENTS = 60


@attrs.frozen
class Fit:
    """A straight line through the points, and the exponent of the growth above its base."""

    mean: float
    base: float
    slope: float
    exponent: float
    worst_error: float

    @property
    def shape(self) -> str:
        """Return the growth in one word."""
        if not self.exponent:
            return "constant"
        if self.exponent < _SUBLINEAR_BELOW:
            return "sublinear"
        return "linear" if self.exponent < _LINEAR_BELOW else "superlinear"

    def at(self, size: float) -> float:
        """Return the value at a size: the mean of what does not grow, else the line's.

        For what grows more slowly than a line, that is above the true value.
        """
        if self.shape == "constant":
            return self.mean
        return self.base + self.slope * size

    def as_dict(self, target: float) -> dict[str, float | str]:
        """Return the figures, with the value at the size to design for."""
        return {
            "shape": self.shape,
            "base": _short(self.base),
            "slope": _short(self.slope),
            "exponent": round(self.exponent, 2),
            "worst_error": round(self.worst_error, 3),
            "target": target,
            "at_target": _short(self.at(target)),
        }


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit a line by least squares, and the exponent of a base plus a power of the size.

    The base is part of the fit: the fixed cost of a process would otherwise make every growth
    look constant.
    """
    base, slope, _ = _line(sizes, values)
    largest = max(abs(value) for value in values) or 1.0
    pairs = zip(sizes, values, strict=True)
    worst = max(abs(base + slope * size - value) for size, value in pairs) / largest
    return Fit(_mean(values), base, slope, _exponent(sizes, values), worst)


def _exponent(sizes: Sequence[float], values: Sequence[float]) -> float:
    """Return the power whose line through the powers of the sizes is nearest."""
    if max(values) - min(values) <= _CONSTANT_BELOW * max(abs(value) for value in values):
        return 0.0
    tried = [number * _EXPONENT_STEP for number in range(1, _EXPONENTS + 1)]
    return min(tried, key=lambda power: _line([size**power for size in sizes], values)[2])


def _line(xs: Sequence[float], ys: Sequence[float]) -> tuple[float, float, float]:
    """Return the base, the slope and the sum of the squared errors."""
    mean_x, mean_y = _mean(xs), _mean(ys)
    pairs = list(zip(xs, ys, strict=True))
    slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / sum((x - mean_x) ** 2 for x in xs)
    base = mean_y - slope * mean_x
    return base, slope, sum((base + slope * x - y) ** 2 for x, y in pairs)


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values)


def _short(value: float) -> float:
    return float(f"{value:.4g}")
