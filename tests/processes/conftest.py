"""Fixture with a small system of real processes for each test."""

from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from tests.stand_ins.caller import AddressBook, Caller, Gateway
from tests.stand_ins.fleet import Fleet, async_wait_for
from tests.stand_ins.launcher import Launcher, Process

BASE_FILE = Path(__file__).with_name("base.toml")
ARTIFACTS = {"escort-chat@1", "escort-chat@1+mn", "policy-summary@1"}
ENGINES = 2
ENGINE_MEMORY_MB = 80_000
SERVICES = 2
SLOW = ("--stream-tokens-per-second=20",)
"""Streams last a few seconds, so that there is time to interrupt them."""


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[Fleet]:
    """Start two gateways and two controllers for two engines and two service hosts."""
    async with (
        aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=60)) as session,
        Launcher(tmp_path) as launcher,
    ):
        fleet = Fleet(launcher, session)
        await fleet.async_start_platform()
        await fleet.async_start_engines(ENGINES, ENGINE_MEMORY_MB, *SLOW)
        await fleet.async_start_services(SERVICES)
        for _ in range(2):
            await fleet.async_start_gateway()
            await fleet.async_start_controller()
        await fleet.async_list_hosts()
        await fleet.async_wait_started()
        await fleet.async_apply_base(BASE_FILE)
        await fleet.async_wait_ready()
        await async_wait_loaded(fleet)
        yield fleet


async def async_wait_loaded(fleet: Fleet) -> None:
    """Wait until every artifact is ready at some engine."""

    async def async_is_loaded() -> bool:
        running = [engine for engine in fleet.engines if engine.is_running]
        truths = await fleet.async_get_truths(running)
        return ARTIFACTS <= {name for truth in truths for name in truth["ready"]}

    await async_wait_for("every artifact is ready", async_is_loaded)


async def async_make_caller(fleet: Fleet, *gateways: Process) -> Caller:
    """Return a caller with an address response of one of the given gateways."""
    book = AddressBook(fleet.session, tuple(each.address for each in gateways))
    await book.async_next()
    return Caller("agents", book)


def find_gateway(caller: Caller, process: Process) -> Gateway:
    """Return the entry of a gateway in the address response."""
    (found,) = (
        each for each in caller.book.gateways if each.address == process.address
    )
    return found


async def async_count_runs(fleet: Fleet, key: str) -> int:
    """Return how often a call ran on all running hosts of the service."""
    running = [service for service in fleet.services if service.is_running]
    truths = await fleet.async_get_truths(running)
    return sum(truth["runs"].get(key, 0) for truth in truths)
