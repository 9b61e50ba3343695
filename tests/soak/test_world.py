"""Tests of the addresses that the processes of a soak call."""

from pathlib import Path

import pytest

from ..stand_ins.launcher import PORTS, Launcher
from .world import World

SEED = 1


@pytest.mark.process
class TestAddresses:
    """Addresses of the parts that a soak stops while its processes run."""

    async def test_ports_of_stopped_parts_go_to_no_other_test(
        self, tmp_path: Path
    ) -> None:
        """The kernel gave them to servers of other tests, which got the calls."""
        async with Launcher(tmp_path) as launcher:
            world = World(SEED, launcher, edges=1, schedulers=1, callers=0)
            try:
                await world.async_start()
                relays = [each.relay for each in world.runners]
                relays += [each.store_relay for each in world.nodes]
                for relay in relays:
                    assert relay is not None
                    assert int(relay.relay_address.rpartition(":")[2]) in PORTS
            finally:
                await world.async_stop()
