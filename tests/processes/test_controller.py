"""Tests without gateways of controllers that are killed, paused or stopped."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
import pytest
from attrs import define

from mangoway.cli.inquiry import async_read_fleet
from mangoway.key_value.etcd import make_etcd_store
from mangoway.observability.metrics import Metrics
from mangoway.operators.bundle import BASE
from mangoway.operators.repository import ConfigurationRepository, Edit
from mangoway.peers import peers_pb2 as pb
from mangoway.settings.process import KeyValueSettings
from tests.stand_ins.fleet import Fleet, async_wait_for
from tests.stand_ins.launcher import Launcher, Process

MODEL_MB = 20_000
ENGINE_MB = 60_000


def make_base(*names: str) -> str:
    """Return a base file with models of the same size."""
    return "".join(
        f'[models.{name}]\ndefault_version = "1"\n\n'
        f"[models.{name}.versions.1]\nmemory_mb = {MODEL_MB}\n\n"
        for name in names
    )


@define
class Site:
    """A fleet with two controllers and no gateway."""

    fleet: Fleet
    repository: ConfigurationRepository

    async def async_offer(self, *names: str) -> None:
        """Apply a base file that offers these models."""
        edit = Edit(
            part=BASE, text=make_base(*names), nonce="+".join(names), edited_at=0.0
        )
        await self.repository.async_apply(edit, "operator")

    async def async_wait_loaded(self, *names: str) -> None:
        """Wait until every model is ready; check that no engine exceeded its memory."""

        async def check() -> bool:
            truths = await self.fleet.async_get_truths(self.fleet.engines)
            assert not any(truth["over_size"] for truth in truths)
            ready = {artifact for truth in truths for artifact in truth["ready"]}
            return {f"{name}@1" for name in names} <= ready

        await async_wait_for(f"{names} are ready", check)

    async def async_find_planner(self, *peers: Process) -> Process:
        """Wait until one of the controllers reports that it plans, and return it."""
        found: list[pb.StatusReply] = []

        async def check() -> bool:
            status = await async_read_fleet(each.peer_address for each in peers)
            found.extend(filter(None, [status.planner]))
            return bool(found)

        await async_wait_for("a controller plans", check)
        name = found[0].self.host
        return next(each for each in self.fleet.controllers if each.name == name)

    def find_other(self, planner: Process) -> Process:
        """Return the controller that does not plan."""
        return next(each for each in self.fleet.controllers if each is not planner)


@asynccontextmanager
async def run_site(folder: Path) -> AsyncIterator[Site]:
    """Run engines, the platform and two controllers in one host list."""
    async with Launcher(folder) as launcher, aiohttp.ClientSession() as session:
        fleet = Fleet(launcher=launcher, session=session)
        await fleet.async_start_platform()
        await fleet.async_start_engines(2, ENGINE_MB)
        for _ in range(2):
            await fleet.async_start_controller()
        await fleet.async_list_hosts()
        settings = KeyValueSettings(key_value=(fleet.key_value.address,))
        store = make_etcd_store(settings, Metrics())
        yield Site(fleet, ConfigurationRepository(store))
        store.close()


@pytest.mark.process
class TestController:
    """Two controllers of one cell."""

    async def test_other_controller_plans_after_planner_is_killed(
        self, tmp_path: Path
    ) -> None:
        async with run_site(tmp_path) as site:
            await site.async_offer("chat")
            await site.async_wait_loaded("chat")
            planner = await site.async_find_planner(*site.fleet.controllers)
            planner.kill()
            await site.async_offer("chat", "draft")
            await site.async_wait_loaded("chat", "draft")
            other = site.find_other(planner)
            assert await site.async_find_planner(other) is other

    async def test_planner_paused_beyond_its_lease_does_no_harm(
        self, tmp_path: Path
    ) -> None:
        async with run_site(tmp_path) as site:
            await site.async_offer("chat")
            await site.async_wait_loaded("chat")
            planner = await site.async_find_planner(*site.fleet.controllers)
            planner.pause()
            other = site.find_other(planner)
            assert await site.async_find_planner(other) is other
            await site.async_offer("chat", "draft", "audit")
            await site.async_wait_loaded("chat", "draft", "audit")
            planner.resume()
            names = ("chat", "draft", "audit", "late")
            await site.async_offer(*names)
            await site.async_wait_loaded(*names)
            assert planner.is_running and other.is_running

    async def test_stopped_planner_hands_over_and_exits_with_0(
        self, tmp_path: Path
    ) -> None:
        async with run_site(tmp_path) as site:
            await site.async_offer("chat")
            await site.async_wait_loaded("chat")
            planner = await site.async_find_planner(*site.fleet.controllers)
            planner.terminate()
            assert await planner.async_wait() == 0
            other = site.find_other(planner)
            assert await site.async_find_planner(other) is other

    async def test_second_signal_exits_with_1(self, tmp_path: Path) -> None:
        async with run_site(tmp_path) as site:
            planner = await site.async_find_planner(*site.fleet.controllers)

            async def is_stopping() -> bool:
                # 102 is the event StopRequested.
                return '"event":102' in planner.log.read_text()

            planner.terminate()
            await async_wait_for("the stop began", is_stopping)
            planner.terminate()
            assert await planner.async_wait() == 1
