"""Tests of the driver of decision cores, in virtual time."""

import asyncio

import pytest

from mangoway.util.core_driver import CoreDriver

pytestmark = pytest.mark.looptime

TICK = "tick"


class Script:
    """A core that answers each event with prepared actions and keeps the times."""

    def __init__(self, **actions: list[str | float]) -> None:
        self.actions = actions
        self.seen: list[tuple[str, float]] = []

    def handle(self, event: str, now: float) -> list[str | float]:
        self.seen.append((event, now))
        return self.actions.pop(event, [])


def make_driver(core: Script) -> CoreDriver[str, str | float]:
    """Carry out texts as further events and numbers as times to wake at."""

    def carry_out(action: str | float) -> None:
        if isinstance(action, str):
            driver.async_handle(action)
        else:
            driver.async_wake_at(action)

    driver = CoreDriver(core, carry_out, lambda: TICK)
    return driver


class TestCoreDriver:
    """Order of events and times of ticks."""

    async def test_events_of_actions_wait_for_the_one_in_hand(self) -> None:
        core = Script(a=["b", "c"], b=["d"])
        make_driver(core).async_handle("a")
        assert [event for event, _ in core.seen] == ["a", "b", "c", "d"]

    async def test_later_wake_replaces_the_earlier(self) -> None:
        core = Script(a=[1.0], b=[3.0])
        driver = make_driver(core)
        driver.async_handle("a")
        driver.async_handle("b")
        await asyncio.sleep(5)
        assert [(event, now) for event, now in core.seen if event == TICK] == [
            (TICK, 3.0)
        ]

    async def test_tick_that_comes_early_shows_the_time_it_was_due(self) -> None:
        core = Script()
        make_driver(core)._tick(1.0)
        assert core.seen == [(TICK, 1.0)]

    async def test_stopped_driver_feeds_nothing(self) -> None:
        core = Script(a=[1.0])
        driver = make_driver(core)
        driver.async_handle("a")
        driver.async_stop()
        driver.async_handle("b")
        await asyncio.sleep(2)
        assert [event for event, _ in core.seen] == ["a"]
