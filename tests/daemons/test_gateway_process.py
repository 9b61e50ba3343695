"""Tests of `mangoway gateway` as a process: start, peers, planned stop."""

import asyncio
import json
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import pytest
from attrs import define

from mangoway.engines.client import EngineClient
from mangoway.key_value.registry import make_key_value_store
from mangoway.models.identifiers import FenceNumber, OrderId
from mangoway.models.order import Order, OrderKind
from mangoway.observability.metrics import Metrics
from mangoway.operators.bundle import BASE
from mangoway.operators.repository import ConfigurationRepository, Edit
from mangoway.settings.process import KeyValueSettings
from mangoway.upstreams.session import UpstreamSession
from tests.stand_ins.answers import make_answer
from tests.stand_ins.launcher import Launcher, Process, find_free_address

from .gateway_world import HEADERS, MODEL

pytestmark = pytest.mark.process

GATEWAYS = 2
WAIT_S = 60.0
BASE_TEXT = """
[models.m]
default_version = "1"
versions.1 = { memory_mb = 100 }
[callers.desk]
[[runner_groups]]
data_centre = "dc"
count = 1
memory_mb = 80000
[site]
address_validity_s = 1.0
"""


@define
class Site:
    """Processes of one small site."""

    launcher: Launcher
    client: aiohttp.ClientSession
    key_value: Process
    host_list: Process
    engine: Process
    gateways: list[Process]

    async def get(self, gateway: Process, path: str) -> tuple[int, Any]:
        url = f"http://{gateway.address}{path}"
        async with self.client.get(url) as response:
            return response.status, await response.json(content_type=None)

    async def complete(
        self, gateway: Process, tokens: int, stream: bool = False
    ) -> aiohttp.ClientResponse:
        body = {"model": "m", "prompt": "hi", "max_tokens": tokens, "stream": stream}
        url = f"http://{gateway.address}/v1/completions"
        return await self.client.post(url, json=body, headers=HEADERS)

    async def list_hosts(self) -> list[str]:
        """Return the hosts that the last gateway lists for callers."""
        _, answer = await self.get(self.gateways[-1], "/v1/addresses")
        return [each["host"] for each in answer.get("gateways", [])]


async def wait_for(check: Callable[[], Awaitable[bool]]) -> None:
    """Wait until a check succeeds; a refused connection counts as a failed check."""
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        try:
            if await check():
                return
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(0.1)
    raise AssertionError("the check did not succeed before the timeout")


@asynccontextmanager
async def open_site(folder: Path) -> AsyncIterator[Site]:
    """Start all processes of a site and wait until each gateway lists all gateways."""
    async with Launcher(folder) as launcher, aiohttp.ClientSession() as client:
        start = launcher.async_start_stand_in
        site = Site(
            launcher=launcher,
            client=client,
            key_value=await start("key-value", "key_value"),
            host_list=await start("host-list", "host_list"),
            engine=await start(
                "e1", "engine", "--name=e1", "--stream-tokens-per-second=50"
            ),
            gateways=[],
        )
        await apply_configuration(site)
        await load_model(site)
        for number in range(GATEWAYS):
            site.gateways.append(await start_gateway(site, number))
        await write_host_list(site)

        async def is_ready() -> bool:
            for gateway in site.gateways:
                _, answer = await site.get(gateway, "/v1/addresses")
                if len(answer.get("gateways", [])) < GATEWAYS:
                    return False
            return True

        await wait_for(is_ready)
        yield site


async def apply_configuration(site: Site) -> None:
    settings = KeyValueSettings(key_value=(site.key_value.address,))
    store = make_key_value_store(settings, Metrics())
    edit = Edit(part=BASE, text=BASE_TEXT, nonce="n", edited_at=time.time())
    await ConfigurationRepository(store).async_apply(edit, "test")
    store.close()


async def load_model(site: Site) -> None:
    async with UpstreamSession() as session:
        engines = EngineClient(session, time.monotonic)
        description = await engines.async_describe(site.engine.address)
        order = Order(
            id=OrderId("o"),
            upstream=description.upstream,
            incarnation=description.incarnation,
            fence=FenceNumber(1),
            kind=OrderKind.LOAD,
            artifact=MODEL,
            memory_mb=100,
        )
        await engines.async_send_order(site.engine.address, order)


async def start_gateway(site: Site, number: int) -> Process:
    caller_address, peer_address = find_free_address(), find_free_address()
    process = await site.launcher.async_start(
        f"g{number}",
        "mangoway",
        "gateway",
        f"--host=g{number}",
        "--data-centre=dc",
        "--site=one",
        f"--key-value={site.key_value.address}",
        f"--host-list-url=http://{site.host_list.address}/",
        "--host-list-period-s=0.2",
        f"--caller-listen={caller_address}",
        f"--peer-listen={peer_address}",
    )
    process.address, process.peer_address = caller_address, peer_address
    return process


async def write_host_list(site: Site) -> None:
    """Write the engine and the gateways to the host list."""
    entries = [("runner", "e1", site.engine.address)]
    entries += [("gateway", each.name, each.peer_address) for each in site.gateways]
    groups = [
        {
            "targets": [address],
            "labels": {"role": role, "host": host, "data_centre": "dc"},
        }
        for role, host, address in entries
    ]
    url = f"http://{site.host_list.admin}/admin/hosts"
    async with site.client.post(url, json=groups) as response:
        assert response.status == 200


def read_message_types(process: Process) -> list[str]:
    """Return the message types that a process logged."""
    lines = process.log.read_text().splitlines()
    return [json.loads(line).get("message_type", "") for line in lines]


class TestGatewayProcess:
    """A gateway run as a process."""

    async def test_serves_and_stops_without_interrupting_a_stream(
        self, tmp_path: Path
    ) -> None:
        async with open_site(tmp_path) as site:
            leaving, staying = site.gateways
            response = await site.complete(staying, 3)
            body = await response.json()
            assert body["choices"][0]["text"] == make_answer("m@1", "hi", 3)

            stream = await site.complete(leaving, 200, stream=True)
            first = await stream.content.readany()
            leaving.terminate()

            async def has_left() -> bool:
                return await site.list_hosts() == ["g1"]

            await wait_for(has_left)
            assert (await site.get(leaving, "/readyz"))[0] == 503
            rest = await stream.read()
            assert (first + rest).endswith(b"data: [DONE]\n\n")
            assert await leaving.async_wait(WAIT_S) == 0
            assert "ProcessStopped" in read_message_types(leaving)

    async def test_second_signal_forces_the_stop(self, tmp_path: Path) -> None:
        async with open_site(tmp_path) as site:
            gateway = site.gateways[0]
            stream = await site.complete(gateway, 5000, stream=True)
            await stream.content.readany()
            gateway.terminate()

            async def is_leaving() -> bool:
                return (await site.get(gateway, "/readyz"))[0] == 503

            await wait_for(is_leaving)
            gateway.send(signal.SIGTERM)
            assert await gateway.async_wait(WAIT_S) == 1
            assert "StopForced" in read_message_types(gateway)
            stream.close()
