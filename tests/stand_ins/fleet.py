"""The whole system as processes on loopback: platform, upstreams and itself."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import aiohttp
from attrs import define, field

from .launcher import Launcher, Process, find_free_address

SITE = "demo"
CELL = "demo"
POLL_S = 0.1
READY_TIMEOUT_S = 30.0
COMMAND_TIMEOUT_S = 60.0
DATA_CENTRES = ("centre-1", "centre-2", "centre-3")
SERVICE = "booking-records"


async def async_wait_for(
    what: str, check: Callable[[], Awaitable[bool]], timeout_s: float = READY_TIMEOUT_S
) -> None:
    """Wait until a check holds; a refused connection counts as not yet."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        try:
            if await check():
                return
        except (aiohttp.ClientError, TimeoutError):
            pass
        await asyncio.sleep(POLL_S)
    raise TimeoutError(f"not within {timeout_s:g} s: {what}")


@define
class Fleet:
    """Processes of one site; the launcher ends them."""

    launcher: Launcher
    session: aiohttp.ClientSession
    key_value: Process | None = None
    host_list: Process | None = None
    engines: list[Process] = field(factory=list)
    services: list[Process] = field(factory=list)
    gateways: list[Process] = field(factory=list)
    controllers: list[Process] = field(factory=list)

    async def async_get(self, address: str, path: str) -> Any:
        """Get JSON from a process."""
        timeout = aiohttp.ClientTimeout(total=5)
        url = f"http://{address}{path}"
        async with self.session.get(url, timeout=timeout) as response:
            response.raise_for_status()
            return await response.json(content_type=None)

    async def async_post(self, address: str, path: str, **body: Any) -> Any:
        """Post JSON to a process."""
        url = f"http://{address}{path}"
        async with self.session.post(url, json=body) as response:
            response.raise_for_status()
            return await response.json(content_type=None)

    async def async_switch(self, process: Process, **switches: Any) -> None:
        """Set switches of a stand-in."""
        await self.async_post(process.admin, "/admin/switches", **switches)

    async def async_get_truths(self, processes: list[Process]) -> list[dict[str, Any]]:
        """Return the truths of stand-ins."""
        return [
            await self.async_get(process.admin, "/admin/truth") for process in processes
        ]

    async def async_start_engines(self, count: int, memory_mb: int) -> None:
        """Start model engines, spread over the data centres."""
        for number in range(count):
            flags = ("--name", f"engine-{number}", "--memory-mb", str(memory_mb))
            self.engines.append(
                await self.launcher.async_start_stand_in(
                    f"engine-{number}", "engine", *flags
                )
            )

    async def async_start_services(self, count: int) -> None:
        """Start hosts of one plain service."""
        for number in range(count):
            name = f"{SERVICE}-{number}"
            self.services.append(
                await self.launcher.async_start_stand_in(
                    name, "service", "--name", name
                )
            )

    async def async_start_platform(self) -> None:
        """Start the key-value service and the host list."""
        start = self.launcher.async_start_stand_in
        self.key_value = await start("key-value", "key_value")
        self.host_list = await start("host-list", "host_list")

    async def async_list_hosts(self) -> None:
        """Tell the host list every process that runs."""
        assert self.host_list is not None
        await self.async_post(self.host_list.admin, "/admin/hosts", hosts=self._hosts)

    def _make_flags(self, name: str, number: int) -> list[str]:
        assert self.key_value is not None
        assert self.host_list is not None
        return [
            f"--host={name}",
            f"--data-centre={DATA_CENTRES[number % len(DATA_CENTRES)]}",
            f"--site={SITE}",
            f"--cell={CELL}",
            f"--key-value={self.key_value.address}",
            f"--host-list-url=http://{self.host_list.address}/hosts",
        ]

    async def async_start_gateway(self) -> Process:
        """Start one more gateway."""
        number = len(self.gateways)
        name = f"gateway-{number}"
        caller_address, peer_address = find_free_address(), find_free_address()
        process = await self.launcher.async_start(
            name,
            "mangoway",
            "gateway",
            *self._make_flags(name, number),
            f"--caller-listen={caller_address}",
            f"--peer-listen={peer_address}",
        )
        process.address = caller_address
        process.peer_address = peer_address
        self.gateways.append(process)
        return process

    async def async_start_controller(self) -> Process:
        """Start one more controller."""
        number = len(self.controllers)
        name = f"controller-{number}"
        metrics_address, peer_address = find_free_address(), find_free_address()
        process = await self.launcher.async_start(
            name,
            "mangoway",
            "controller",
            *self._make_flags(name, number),
            f"--metrics-listen={metrics_address}",
            f"--peer-listen={peer_address}",
            "--lease-s=2",
        )
        process.address = metrics_address
        process.peer_address = peer_address
        self.controllers.append(process)
        return process

    async def async_wait_ready(self) -> None:
        """Wait until every running gateway takes requests."""
        for process in self.gateways:
            if process.is_running:
                await async_wait_for(
                    f"{process.name} is ready", partial(self._async_is_ready, process)
                )

    async def _async_is_ready(self, process: Process) -> bool:
        url = f"http://{process.address}/readyz"
        async with self.session.get(url) as response:
            return response.status == 200
