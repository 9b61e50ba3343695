"""Tests with gateways of controllers that are paused or killed while they plan."""

import pytest

from tests.stand_ins.fleet import Fleet, async_wait_for

from .conftest import async_wait_loaded

pytestmark = pytest.mark.process


class TestController:
    """A successor takes over, and a resumed controller does no harm."""

    async def test_paused_beyond_its_lease(self, fleet: Fleet) -> None:
        paused = await fleet.async_find_active_controller()
        paused.pause()
        await self._async_wait_other(fleet, paused.name)
        await fleet.async_restart_engine(fleet.engines[0])
        await async_wait_loaded(fleet)
        paused.resume()
        await fleet.async_restart_engine(fleet.engines[1])
        await async_wait_loaded(fleet)
        truths = [*fleet.earlier_truths, *await fleet.async_get_truths(fleet.engines)]
        assert not any(truth["over_size"] for truth in truths)

    async def test_killed(self, fleet: Fleet) -> None:
        killed = await fleet.async_find_active_controller()
        killed.kill()
        await killed.async_wait()
        await fleet.async_restart_engine(fleet.engines[0])
        await async_wait_loaded(fleet)
        assert (await fleet.async_find_active_controller()).name != killed.name

    async def _async_wait_other(self, fleet: Fleet, name: str) -> None:
        async def async_is_other() -> bool:
            return (await fleet.async_find_active_controller()).name != name

        await async_wait_for("another controller plans", async_is_other)
