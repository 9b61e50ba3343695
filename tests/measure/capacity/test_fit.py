"""Tests of the fits."""

import math

import pytest

from measure.capacity.fit import Point, fit_line
from measure.capacity.registry import Series


def make_points(*values: float) -> tuple[Point, ...]:
    return tuple(
        Point(size, value) for size, value in zip((1, 2, 4, 8), values, strict=False)
    )


class TestFitLine:
    """Lines and exponents through points."""

    def test_points_on_a_line_give_the_line(self) -> None:
        fit = fit_line(make_points(5, 7, 11, 19))
        assert (fit.constant, fit.slope) == (pytest.approx(3), pytest.approx(2))
        assert fit.worst == pytest.approx(0)
        assert fit.predict(100) == pytest.approx(203)

    def test_exponent_tells_proportion_from_squares(self) -> None:
        assert fit_line(make_points(3, 6, 12, 24)).exponent == pytest.approx(1)
        assert fit_line(make_points(1, 4, 16, 64)).exponent == pytest.approx(2)
        assert math.isnan(fit_line(make_points(0, 1, 2, 3)).exponent)

    def test_worst_is_a_share_of_the_largest_value(self) -> None:
        fit = fit_line(
            (Point(0, 0), Point(1, 10), Point(2, 0), Point(3, 10)),
        )
        assert fit.worst == pytest.approx(0.6)

    def test_line_never_predicts_less_than_nothing(self) -> None:
        assert fit_line(make_points(8, 6, 2, 0)).predict(1000) == 0.0

    def test_too_few_points_or_one_size_are_refused(self) -> None:
        with pytest.raises(ValueError, match="at least 4"):
            fit_line(make_points(1, 2, 3, 4)[:3])
        with pytest.raises(ValueError, match="one size"):
            fit_line([Point(5, value) for value in range(4)])


class TestSeries:
    """What a series says at a size."""

    def test_measured_point_goes_before_the_line(self) -> None:
        series = Series(
            name="n",
            title="t",
            size_name="s",
            unit="u",
            points=make_points(5, 7, 11, 21),
        )
        assert series.predict(8) == 21
        assert series.predict(3) == pytest.approx(series.fit.predict(3))
