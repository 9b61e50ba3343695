"""The system, its platform and its upstreams as processes on loopback."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
from attrs import define, field

from mangoway.cli.inquiry import async_read_fleet
from mangoway.models.errors import MangowayError

from .launcher import Launcher, Process, find_free_address

SITE = "demo"
CELL = "demo"
POLL_S = 0.1
READY_TIMEOUT_S = 30.0
COMMAND_TIMEOUT_S = 60.0
DATA_CENTRES = ("centre-1", "centre-2", "centre-3")
SERVICE = "booking-records"
PROGRAM = "mangoway"
LEASE_S = 2
SWITCHES = ('{"checks_fences": true}', '{"checks_fences": false}')
"""Switches of the engines with even numbers, and of those with odd ones."""

HOST_LIST_PERIOD_S = 0.5


async def async_wait_for(
    what: str, check: Callable[[], Awaitable[bool]], timeout_s: float = READY_TIMEOUT_S
) -> None:
    """Wait until a check returns True; a failed connection counts as False.

    Raises:
        TimeoutError: If it doesn't in time; `what` says what was waited for.
    """
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        try:
            if await check():
                return
        except (aiohttp.ClientError, MangowayError, TimeoutError):
            pass
        await asyncio.sleep(POLL_S)
    raise TimeoutError(f"timed out after {timeout_s:g} s: {what}")


@define
class Fleet:
    """Processes of one site; their launcher stops them."""

    launcher: Launcher
    session: aiohttp.ClientSession
    _key_value: Process | None = None
    _host_list: Process | None = None
    engines: list[Process] = field(factory=list)
    services: list[Process] = field(factory=list)
    gateways: list[Process] = field(factory=list)
    controllers: list[Process] = field(factory=list)
    earlier_truths: list[dict[str, Any]] = field(factory=list)
    """Ground truths of engines from before their restarts."""

    _groups: dict[str, dict[str, Any]] = field(factory=dict)

    @property
    def key_value(self) -> Process:
        """Return the key-value service."""
        assert self._key_value is not None
        return self._key_value

    @property
    def host_list(self) -> Process:
        """Return the host list."""
        assert self._host_list is not None
        return self._host_list

    # Stand-ins.

    async def async_start_platform(self) -> None:
        """Start the key-value service and the host list."""
        start = self.launcher.async_start_stand_in
        self._key_value, self._host_list = await asyncio.gather(
            start("key-value", "key_value"), start("host-list", "host_list")
        )

    async def async_start_engines(
        self, count: int, memory_mb: int, *flags: str
    ) -> None:
        """Start model engines, every second of which does not check fences."""
        names = [f"engine-{number}" for number in range(count)]
        self.engines += await asyncio.gather(
            *(
                self.launcher.async_start_stand_in(
                    name,
                    "engine",
                    f"--name={name}",
                    f"--memory-mb={memory_mb}",
                    f"--switches={SWITCHES[number % len(SWITCHES)]}",
                    *flags,
                )
                for number, name in enumerate(names)
            )
        )

    async def async_start_services(self, count: int) -> None:
        """Start hosts of one plain service."""
        names = [f"{SERVICE}-{number}" for number in range(count)]
        self.services += await asyncio.gather(
            *(
                self.launcher.async_start_stand_in(name, "service", f"--name={name}")
                for name in names
            )
        )

    async def async_restart_engine(self, engine: Process) -> None:
        """Kill an engine, and restart it without models at the same address."""
        self.earlier_truths += await self.async_get_truths([engine])
        engine.kill()
        await self.async_start_engine_again(engine)

    async def async_start_engine_again(self, engine: Process) -> None:
        """Restart a killed engine without models at the same address."""
        await engine.async_wait()
        number = self.engines.index(engine)
        self.engines[number] = await self.launcher.async_start_stand_in(
            engine.name, "engine", *engine.flags
        )

    async def async_switch(self, process: Process, **switches: Any) -> None:
        """Set switches of a stand-in."""
        await self.async_post(process.admin, "/admin/switches", switches)

    async def async_get_truths(self, processes: list[Process]) -> list[dict[str, Any]]:
        """Return the ground truths of stand-ins."""
        gets = (self.async_get(each.admin, "/admin/truth") for each in processes)
        return list(await asyncio.gather(*gets))

    async def async_list_hosts(self) -> None:
        """Put all started processes into the host list, and publish it."""
        for number, engine in enumerate(self.engines):
            self.set_host(engine.name, engine.address, "runner", number)
        for number, service in enumerate(self.services):
            self.set_host(service.name, service.address, "service", number)
        for number, gateway in enumerate(self.gateways):
            self.set_host(gateway.name, gateway.peer_address, "gateway", number)
        for number, controller in enumerate(self.controllers):
            address = controller.peer_address
            self.set_host(controller.name, address, "controller", number)
        await self.async_publish_hosts()

    def set_host(self, name: str, address: str, role: str, number: int) -> None:
        """Add one host to the list, or change its entry, without publishing it."""
        labels = {
            "host": name,
            "role": role,
            "data_centre": DATA_CENTRES[number % len(DATA_CENTRES)],
        }
        if role == "service":
            labels["service"] = SERVICE
        self._groups[name] = {"targets": [address], "labels": labels}

    async def async_publish_hosts(self) -> None:
        """Publish the current host list."""
        groups = list(self._groups.values())
        await self.async_post(self.host_list.admin, "/admin/hosts", groups)

    # The system's own processes.

    async def async_start_gateway(self) -> Process:
        """Start one more gateway."""
        number = len(self.gateways)
        flags = self._make_flags(f"gateway-{number}", number)
        address = find_free_address()
        process = await self._async_start(
            f"gateway-{number}",
            "gateway",
            address,
            *flags,
            f"--caller-listen={address}",
        )
        self.gateways.append(process)
        return process

    async def async_restart_gateway(self, gateway: Process) -> Process:
        """Kill a gateway, and restart it at the same addresses."""
        gateway.kill()
        await gateway.async_wait()
        start = self.launcher.async_start
        process = await start(gateway.name, PROGRAM, *gateway.flags)
        process.address = gateway.address
        process.peer_address = gateway.peer_address
        self.gateways[self.gateways.index(gateway)] = process
        await self.async_wait_ready()
        return process

    async def async_start_controller(self) -> Process:
        """Start one more controller."""
        number = len(self.controllers)
        flags = self._make_flags(f"controller-{number}", number)
        address = find_free_address()
        process = await self._async_start(
            f"controller-{number}",
            "controller",
            address,
            *flags,
            f"--metrics-listen={address}",
            f"--lease-s={LEASE_S}",
        )
        self.controllers.append(process)
        return process

    async def _async_start(
        self, name: str, command: str, address: str, *flags: str
    ) -> Process:
        peer_address = find_free_address()
        process = await self.launcher.async_start(
            name, PROGRAM, command, *flags, f"--peer-listen={peer_address}"
        )
        process.address = address
        process.peer_address = peer_address
        return process

    def _make_flags(self, name: str, number: int) -> list[str]:
        return [
            f"--host={name}",
            f"--data-centre={DATA_CENTRES[number % len(DATA_CENTRES)]}",
            f"--site={SITE}",
            f"--cell={CELL}",
            f"--key-value={self.key_value.address}",
            f"--host-list-url=http://{self.host_list.address}/",
            f"--host-list-period-s={HOST_LIST_PERIOD_S}",
        ]

    async def async_wait_started(self) -> None:
        """Wait until every gateway and controller listens."""
        for process in (*self.gateways, *self.controllers):
            await self._async_wait_page(process, "/metrics")

    async def async_wait_ready(self) -> None:
        """Wait until every running gateway accepts requests."""
        for process in self.gateways:
            if process.is_running:
                await self._async_wait_page(process, "/readyz")

    async def _async_wait_page(self, process: Process, path: str) -> None:
        async def async_is_ok() -> bool:
            async with self.session.get(f"http://{process.address}{path}") as response:
                return response.status == 200

        await async_wait_for(f"{process.name} responds to {path}", async_is_ok)

    async def async_find_active_controller(self) -> Process:
        """Wait until a controller reports that it plans, and return it."""
        found: list[Process] = []

        async def async_find() -> bool:
            peers = (each for each in self.controllers if each.is_running)
            status = await async_read_fleet([each.peer_address for each in peers])
            planner = "" if status.planner is None else status.planner.self.host
            found[:] = [each for each in self.controllers if each.name == planner]
            return bool(found) and found[0].is_running

        await async_wait_for("a controller plans", async_find)
        return found[0]

    # Operators.

    async def async_apply_base(self, file: Path) -> None:
        """Apply a base file, and wait until all processes have applied it."""
        await self._async_apply("base", file)

    async def async_apply_overlay(self, file: Path) -> None:
        """Apply the site's overlay, and wait until all processes have applied it."""
        await self._async_apply(f"overlay/{SITE}", file)

    async def _async_apply(self, part: str, file: Path) -> None:
        peers = ",".join(
            process.peer_address
            for process in (*self.gateways, *self.controllers)
            if process.is_running
        )
        flags = (f"--key-value={self.key_value.address}", f"--peers={peers}", "--wait")
        await self.async_run_command("config", "apply", part, str(file), *flags)

    async def async_run_command(self, *arguments: str) -> str:
        """Run a command of the program, and return its output."""
        process = await self.launcher.async_start(
            "command", PROGRAM, *arguments, reads_output=True
        )
        output, _ = await asyncio.wait_for(
            process.child.communicate(), COMMAND_TIMEOUT_S
        )
        if process.child.returncode:
            raise RuntimeError(f"command {arguments} failed: {process.log.read_text()}")
        return output.decode()

    # HTTP.

    async def async_get(self, address: str, path: str) -> Any:
        """Get JSON from a process."""
        async with self.session.get(f"http://{address}{path}") as response:
            response.raise_for_status()
            return await response.json(content_type=None)

    async def async_post(self, address: str, path: str, body: Any) -> Any:
        """Post JSON to a process."""
        async with self.session.post(f"http://{address}{path}", json=body) as response:
            response.raise_for_status()
            return await response.json(content_type=None)
