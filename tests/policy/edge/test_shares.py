"""Tests of how edges divide what the whole fleet may do."""

from mangoway.policy.edge.const import BASE_HORIZONS
from mangoway.policy.edge.shares import NO_SHARES, FleetShares, Shares

HORIZON_S = 10.0
SIX = [f"e{number}" for number in range(6)]


def make_known(members: list[str], began: float = 0.0) -> FleetShares:
    """Return the parts of an edge that joined with others and hears of them."""
    shares = FleetShares(HORIZON_S)
    shares.update(members, known_at=began, now=began, joined=True)
    return shares


class TestFleetShares:
    """The parts of one edge."""

    def test_an_edge_that_has_joined_waits_for_its_shared_part(self) -> None:
        shares = make_known(SIX)
        shares.update(SIX, known_at=9.0, now=9.0, joined=True)
        assert shares.measure(9.0) == Shares(1 / 6, 0.0)
        shares.update(SIX, known_at=10.0, now=10.0, joined=True)
        assert shares.measure(10.0) == Shares(1 / 6, 1 / 6)

    def test_edge_that_is_not_announced_counts_itself(self) -> None:
        shares = FleetShares(HORIZON_S)
        shares.update(SIX[1:], known_at=0.0, now=0.0, joined=False)
        assert shares.measure(0.0) == Shares(1 / 6, 0.0)

    def test_edge_that_left_is_counted_while_it_may_not_know(self) -> None:
        shares = make_known(SIX)
        shares.update(SIX, known_at=20.0, now=20.0, joined=True)
        shares.update(SIX[:3], known_at=29.0, now=29.0, joined=True)
        assert shares.measure(29.0).shared == 1 / 6
        shares.update(SIX[:3], known_at=32.0, now=32.0, joined=True)
        assert shares.measure(32.0) == Shares(1 / 6, 1 / 3)

    def test_edge_that_hears_nothing_loses_its_parts(self) -> None:
        shares = make_known(SIX)
        shares.update(SIX, known_at=20.0, now=20.0, joined=True)
        assert shares.measure(30.0).shared == 1 / 6
        assert shares.measure(30.1) == Shares(1 / 6, 0.0)
        assert shares.measure(20.1 + BASE_HORIZONS * HORIZON_S) == NO_SHARES

    def test_edge_that_was_taken_away_joins_anew(self) -> None:
        shares = make_known(SIX)
        shares.update(SIX[1:], known_at=20.0, now=20.0, joined=False)
        shares.update(SIX, known_at=21.0, now=21.0, joined=True)
        assert shares.measure(21.0).shared == 0.0

    def test_edge_that_knows_nothing_has_nothing(self) -> None:
        assert FleetShares(HORIZON_S).measure(0.0) == NO_SHARES
