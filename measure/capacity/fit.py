"""Straight lines and powers through measured points."""

import math
from collections.abc import Sequence

from attrs import frozen

MIN_POINTS = 4


@frozen
class Point:
    """A cost at a size."""

    size: float
    value: float


@frozen(kw_only=True)
class Fit:
    """A straight line through points, and how the cost grows.

    `exponent` is the slope of the points in logarithms: 0 is constant, 1 is in
    proportion, 2 is quadratic. NaN if a value is not positive.
    """

    constant: float
    slope: float
    exponent: float
    worst: float
    """Largest distance of a point from the line, as a share of the largest value."""

    def predict(self, size: float) -> float:
        """Return the value of the line at a size; never below 0."""
        return max(0.0, self.constant + self.slope * size)


def fit_line(points: Sequence[Point]) -> Fit:
    """Return the line of least squares.

    Raises:
        ValueError: If there are fewer than four points, or all are of one size.
    """
    if len(points) < MIN_POINTS:
        raise ValueError(f"{len(points)} points; at least {MIN_POINTS} are needed")
    sizes = [point.size for point in points]
    values = [point.value for point in points]
    constant, slope = _regress(sizes, values)
    worst = max(abs(constant + slope * p.size - p.value) for p in points)
    largest = max(map(abs, values))
    return Fit(
        constant=constant,
        slope=slope,
        exponent=_find_exponent(points),
        worst=worst / largest if largest else 0.0,
    )


def _find_exponent(points: Sequence[Point]) -> float:
    if any(point.size <= 0 or point.value <= 0 for point in points):
        return math.nan
    sizes = [math.log(point.size) for point in points]
    values = [math.log(point.value) for point in points]
    return _regress(sizes, values)[1]


def _regress(sizes: Sequence[float], values: Sequence[float]) -> tuple[float, float]:
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    if not spread:
        raise ValueError("all points are of one size")
    slope = (
        sum(
            (size - mean_size) * (value - mean_value)
            for size, value in zip(sizes, values, strict=True)
        )
        / spread
    )
    return mean_value - slope * mean_size, slope
