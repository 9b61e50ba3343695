"""Tests of the placement core against the small fakes."""

import pytest

from .world import World, offer_models


class TestFloors:
    """Every offered artifact gets its ready copies and keeps them."""

    @pytest.mark.parametrize("checks", [True, False])
    def test_all_floors_get_ready(self, checks: bool) -> None:
        world = World(configuration=offer_models(a=40, b=40, c=30, floor=2))
        world.start(150, 150, checks=checks)
        world.run(30.0)
        assert world.list_missing() == []
        assert world.count_moves() == 6
        world.check()
