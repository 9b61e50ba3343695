"""Tests of the platform's stand-ins as processes."""

from pathlib import Path

import aiohttp
import pytest

from mangoway.key_value.etcd import make_etcd_store
from mangoway.key_value.store import CallRank
from mangoway.observability.metrics import Metrics
from mangoway.settings.process import KeyValueSettings

from .launcher import Launcher


@pytest.mark.process
class TestPlatformProcesses:
    """Addresses, switches and counters over the network."""

    async def test_key_value_service(self, tmp_path: Path) -> None:
        async with Launcher(tmp_path) as launcher, aiohttp.ClientSession() as session:
            process = await launcher.async_start_stand_in("kv", "key_value")
            settings = KeyValueSettings(key_value=(process.address,))
            store = make_etcd_store(settings, Metrics())
            await store.async_get("/a", CallRank.SAFETY)
            url = f"http://{process.admin}/admin"
            async with session.post(f"{url}/switches", json={"slow_s": 0.01}) as answer:
                assert (await answer.json())["slow_s"] == 0.01
            async with session.get(f"{url}/truth") as answer:
                assert (await answer.json())["calls"] == {"range": 1}
            store.close()

    async def test_host_list(self, tmp_path: Path) -> None:
        async with Launcher(tmp_path) as launcher, aiohttp.ClientSession() as session:
            process = await launcher.async_start_stand_in("hosts", "host_list")
            url = f"http://{process.address}"
            async with session.post(f"{url}/admin/hosts", json=[{"targets": []}]):
                pass
            async with session.get(url) as answer:
                assert await answer.json() == [{"targets": []}]
