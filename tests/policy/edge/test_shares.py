"""Tests of the division of fleet-wide allowances among edges."""

from mangoway.policy.edge.shares import FleetShare

HORIZON_S = 60.0
SIX = [f"e{number}" for number in range(6)]


def make_share(members: list[str], *, joined: bool = True) -> FleetShare:
    share = FleetShare(HORIZON_S)
    share.update(members, known_at=0.0, now=0.0, joined=joined)
    return share


class TestFleetShare:
    """The share of one edge."""

    def test_edges_have_equal_shares(self) -> None:
        assert make_share(SIX).measure(0.0) == 1 / 6

    def test_edge_without_key_counts_itself(self) -> None:
        assert make_share(SIX[1:], joined=False).measure(0.0) == 1 / 6

    def test_edge_that_left_is_counted_until_horizon(self) -> None:
        share = make_share(SIX)
        share.update(SIX[:3], known_at=59.0, now=59.0, joined=True)
        assert share.measure(59.0) == 1 / 6
        share.update(SIX[:3], known_at=62.0, now=62.0, joined=True)
        assert share.measure(62.0) == 1 / 3

    def test_edge_without_news_loses_its_share(self) -> None:
        share = make_share(SIX)
        share.update(SIX, known_at=0.0, now=50.0, joined=True)
        assert share.measure(59.9) == 1 / 6
        assert share.measure(60.0) == 0.0

    def test_suspended_host_has_no_share_without_news(self) -> None:
        share = make_share(SIX)
        assert share.measure(100.0) == 0.0
        share.update(SIX, known_at=99.9, now=100.0, joined=True)
        assert share.measure(100.0) == 1 / 6

    def test_edge_without_members_has_no_share(self) -> None:
        assert FleetShare(HORIZON_S).measure(0.0) == 0.0
