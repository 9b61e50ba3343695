"""Tests of controllers that are frozen or killed while they plan."""

import pytest

from tests.stand_ins.fleet import Fleet, async_wait_for

from .conftest import async_wait_loaded

pytestmark = pytest.mark.process


class TestController:
    """A successor takes over, and an old one that wakes does no harm."""

    async def test_frozen_past_its_lease(self, fleet: Fleet) -> None:
        frozen = await fleet.async_find_active_controller()
        frozen.pause()
        await self._async_wait_other(fleet, frozen.name)
        await fleet.async_restart_engine(fleet.engines[0])
        await async_wait_loaded(fleet)
        frozen.resume()
        await fleet.async_restart_engine(fleet.engines[1])
        await async_wait_loaded(fleet)
        truths = [*fleet.past_truths, *await fleet.async_get_truths(fleet.engines)]
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
