"""Tests of polling the host list."""

import asyncio
from collections.abc import AsyncIterator

import pytest
from attrs import define, field

from mangoway.host_list.http import HttpHostList
from mangoway.host_list.listing import HostListing
from mangoway.host_list.poller import HostListPoller
from mangoway.observability.metrics import Metrics
from tests.stand_ins.host_list import HostListStandIn, make_group

TIMEOUT_S = 10.0
RUNNER = make_group("10.0.0.1:80", "runner", "r1")
LEAVING = make_group("10.0.0.1:80", "runner", "r1", state="leaving")


@define
class Setup:
    """Stand-in for the host list, an adapter that reads it, and their poller."""

    stand_in: HostListStandIn
    host_list: HttpHostList
    changes: list[HostListing] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.poller = HostListPoller(
            self.host_list,
            period_s=1.0,
            metrics=Metrics(),
            on_change=self.changes.append,
        )

    poller: HostListPoller = field(init=False)


@pytest.fixture
async def setup() -> AsyncIterator[Setup]:
    stand_in = HostListStandIn()
    address = await stand_in.async_start()
    host_list = HttpHostList(f"http://{address}/", timeout_s=0.3)
    yield Setup(stand_in, host_list)
    await host_list.async_close()
    await stand_in.async_stop()


class TestHostListPoller:
    """Which listings are kept, and which are passed to the callback."""

    async def test_callback_is_called_for_changes_only(self, setup: Setup) -> None:
        setup.stand_in.set_groups([RUNNER])
        await setup.poller.async_poll()
        await setup.poller.async_poll()
        setup.stand_in.set_groups([LEAVING])
        await setup.poller.async_poll()
        assert [each.count_leaving() for each in setup.changes] == [0, 1]

    async def test_outdated_list_returns_the_old_state(self, setup: Setup) -> None:
        setup.stand_in.set_groups([RUNNER])
        setup.stand_in.switches.lag_s = 1000.0
        setup.stand_in.set_groups([LEAVING])
        await setup.poller.async_poll()
        assert setup.poller.listing.count_leaving() == 0

    @pytest.mark.parametrize("failure", ["down", "garbled", "empty"])
    async def test_last_good_list_is_kept(self, setup: Setup, failure: str) -> None:
        setup.stand_in.set_groups([RUNNER])
        await setup.poller.async_poll()
        setattr(setup.stand_in.switches, failure, True)
        setup.stand_in.set_groups([LEAVING])
        await setup.poller.async_poll()
        assert len(setup.changes) == 1
        setattr(setup.stand_in.switches, failure, False)
        await setup.poller.async_poll()
        assert setup.poller.listing.count_leaving() == 1

    async def test_failing_callback_does_not_end_the_polling(
        self, setup: Setup, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        accepted = asyncio.Event()
        listings: list[HostListing] = []

        def accept(listing: HostListing) -> None:
            listings.append(listing)
            if len(listings) == 1:
                setup.stand_in.set_groups([LEAVING])
                raise RuntimeError("callback")
            accepted.set()

        setup.stand_in.set_groups([RUNNER])
        monkeypatch.setattr(setup.poller, "_on_change", accept)
        monkeypatch.setattr(setup.poller, "_period_s", 0.01)
        polling = asyncio.create_task(setup.poller.async_run())
        await asyncio.wait_for(accepted.wait(), TIMEOUT_S)
        polling.cancel()
        assert listings[-1].count_leaving() == 1

    async def test_silent_connection_is_replaced(self, setup: Setup) -> None:
        setup.stand_in.set_groups([RUNNER])
        await setup.poller.async_poll()
        setup.stand_in._silent_connections |= setup.stand_in._connections
        setup.stand_in.set_groups([LEAVING])
        await setup.poller.async_poll()
        await setup.poller.async_poll()
        assert setup.poller.listing.count_leaving() == 1
