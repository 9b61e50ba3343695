"""Tests of the decision core driver, in virtual time."""

import asyncio

import pytest

from mangoway.util.core_driver import CoreDriver

pytestmark = pytest.mark.looptime

TICK = "tick"


class ScriptedCore:
    """Core that returns prepared actions for an event and records events and times."""

    def __init__(self, **actions: list[str | float]) -> None:
        self.actions = actions
        self.handled: list[tuple[str, float]] = []

    def handle(self, event: str, now: float) -> list[str | float]:
        self.handled.append((event, now))
        return self.actions.pop(event, [])


def make_driver(core: ScriptedCore) -> CoreDriver[str, str | float]:
    """Return a driver for which text actions are events and numbers wakeup times."""

    def execute(action: str | float) -> None:
        if isinstance(action, str):
            driver.async_handle(action)
        else:
            driver.async_wake_at(action)

    driver = CoreDriver(core, execute, lambda: TICK)
    return driver


class TestCoreDriver:
    """Order of events, and times of ticks."""

    async def test_events_of_actions_wait_for_the_current_event(self) -> None:
        core = ScriptedCore(a=["b", "c"], b=["d"])
        make_driver(core).async_handle("a")
        assert [event for event, _ in core.handled] == ["a", "b", "c", "d"]

    async def test_later_wakeup_replaces_the_earlier(self) -> None:
        core = ScriptedCore(a=[1.0], b=[3.0])
        driver = make_driver(core)
        driver.async_handle("a")
        driver.async_handle("b")
        await asyncio.sleep(5)
        assert [(event, now) for event, now in core.handled if event == TICK] == [
            (TICK, 3.0)
        ]

    async def test_early_tick_is_handled_at_its_due_time(self) -> None:
        core = ScriptedCore()
        make_driver(core)._tick(1.0)
        assert core.handled == [(TICK, 1.0)]

    async def test_stopped_driver_handles_nothing(self) -> None:
        core = ScriptedCore(a=[1.0])
        driver = make_driver(core)
        driver.async_handle("a")
        driver.async_stop()
        driver.async_handle("b")
        await asyncio.sleep(2)
        assert [event for event, _ in core.handled] == ["a"]
