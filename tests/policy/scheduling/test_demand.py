"""Tests of how much is asked of a model, and will be."""

from mangoway.policy.scheduling.demand import Demand

AHEAD_S = 3.0


def play(rates: list[float]) -> Demand:
    """Return a demand after seconds with so many evenly spaced requests each."""
    demand = Demand()
    for second, rate in enumerate(rates):
        for number in range(int(rate)):
            demand.add(1, second + number / rate)
    return demand


class TestTrend:
    """What is expected some seconds ahead."""

    def test_even_rise_is_followed(self) -> None:
        demand = play([4, 8, 12, 16, 20])
        assert 20 < demand.expect(5.0, AHEAD_S) < 36

    def test_the_rate_alone_lags_behind(self) -> None:
        demand = play([4, 8, 12, 16, 20])
        assert demand.get(5.0) < 15

    def test_steady_rate_stays(self) -> None:
        demand = play([10] * 30)
        assert 9 < demand.expect(30.0, AHEAD_S) < 12

    def test_fall_does_not_go_below_what_is_asked(self) -> None:
        demand = play([20] * 20 + [10, 5, 5, 5])
        assert 5 < demand.expect(24.0, AHEAD_S) < 12
