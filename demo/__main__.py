"""Run the whole system with injected failures, and check the results."""

import argparse
import asyncio
import random
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
from attrs import define, field

from mangoway.models.artifact import Artifact
from tests.stand_ins.caller import AddressBook, Ending
from tests.stand_ins.fleet import Fleet, async_wait_for
from tests.stand_ins.launcher import ROOT, Launcher

from .offer import read_artifacts
from .tally import Check, Tally, check_all
from .traffic import Traffic

ENGINES = 6
ENGINE_MEMORY_MB = 160_000
SERVICES = 3
GATEWAYS = 3
CONTROLLERS = 2
PROGRESS_PERIOD_S = 2.0
KILL_GATEWAY_SHARE = 0.3
KILL_CONTROLLER_SHARE = 0.5
EDIT_CONFIGURATION_SHARE = 0.75
"""Times of the failures and the change, as shares of the duration of the traffic."""

LOADED_TIMEOUT_S = 60.0
BASE_FILE = ROOT / "examples" / "booking-assistant" / "base.toml"
OVERLAY_FILE = ROOT / "demo" / "overlay.toml"
LATER_OVERLAY_FILE = ROOT / "demo" / "later-overlay.toml"


@define
class Demo:
    """One run of the demo."""

    fleet: Fleet
    seconds: float
    rng: random.Random
    tally: Tally = field(factory=Tally)
    _start: float = field(factory=time.monotonic)

    def print_progress(self, text: str) -> None:
        """Print a line of progress."""
        print(f"{time.monotonic() - self._start:6.1f} s  {text}", flush=True)

    async def async_run(self) -> list[Check]:
        """Start all processes, inject failures into the traffic, and run the checks."""
        await self._async_start()
        artifacts = read_artifacts(BASE_FILE, OVERLAY_FILE)
        await self._async_wait_loaded(artifacts)
        seeds = tuple(gateway.address for gateway in self.fleet.gateways)
        address_book = AddressBook(self.fleet.session, seeds)
        traffic = Traffic(address_book, artifacts, self.tally, self.rng)
        traffic.start()
        self.print_progress(f"traffic starts, for {self.seconds:g} s")
        failures = asyncio.create_task(self._async_inject_failures())
        await self._async_show_progress(traffic)
        await failures
        await traffic.async_finish()
        self.print_progress("every request has ended")
        services = await self.fleet.async_get_truths(self.fleet.services)
        engines = await self.fleet.async_get_truths(self.fleet.engines)
        moves = sum(engine["loads"] + engine["unloads"] for engine in engines)
        self.print_progress(f"loads and unloads at the engines: {moves}")
        return check_all(self.tally, services, engines)

    async def _async_start(self) -> None:
        fleet = self.fleet
        self.print_progress("starting the key-value service and the host list")
        await fleet.async_start_platform()
        self.print_progress(f"starting {ENGINES} engines and {SERVICES} service hosts")
        await fleet.async_start_engines(ENGINES, ENGINE_MEMORY_MB)
        await fleet.async_start_services(SERVICES)
        self.print_progress(
            f"starting {GATEWAYS} gateways and {CONTROLLERS} controllers"
        )
        for _ in range(GATEWAYS):
            await fleet.async_start_gateway()
        for _ in range(CONTROLLERS):
            await fleet.async_start_controller()
        await fleet.async_list_hosts()
        await fleet.async_wait_started()
        self.print_progress("applying the base file and the overlay")
        await fleet.async_apply_base(BASE_FILE)
        await fleet.async_apply_overlay(OVERLAY_FILE)
        await fleet.async_wait_ready()
        self.print_progress("every gateway is ready")

    async def _async_wait_loaded(self, artifacts: tuple[Artifact, ...]) -> None:
        expected = set(map(str, artifacts))

        async def async_is_loaded() -> bool:
            engine_states = await self.fleet.async_get_truths(self.fleet.engines)
            loaded = {
                name for engine_state in engine_states for name in engine_state["ready"]
            }
            return expected <= loaded

        await async_wait_for(
            "every model and adapter is loaded", async_is_loaded, LOADED_TIMEOUT_S
        )
        self.print_progress(
            f"every one of {len(expected)} models and adapters is loaded"
        )

    async def _async_show_progress(self, traffic: Traffic) -> None:
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            await asyncio.sleep(PROGRESS_PERIOD_S)
            counts = " ".join(
                f"{ending.value} {self.tally.count(ending)}" for ending in Ending
            )
            self.print_progress(f"open {traffic.open_count}, {counts}")

    async def _async_inject_failures(self) -> None:
        """Kill a gateway, then the active controller, then change the configuration."""
        fleet = self.fleet
        await asyncio.sleep(self.seconds * KILL_GATEWAY_SHARE)
        killed_gateway = self.rng.choice(fleet.gateways)
        killed_gateway.kill()
        self.print_progress(f"killed {killed_gateway.name}")
        await asyncio.sleep(self.seconds * (KILL_CONTROLLER_SHARE - KILL_GATEWAY_SHARE))
        active_controller = await fleet.async_find_active_controller()
        active_controller.kill()
        self.print_progress(f"killed the active controller, {active_controller.name}")
        await asyncio.sleep(
            self.seconds * (EDIT_CONFIGURATION_SHARE - KILL_CONTROLLER_SHARE)
        )
        await fleet.async_apply_overlay(LATER_OVERLAY_FILE)
        self.print_progress("a changed overlay is in force on every live host")
        new_active_controller = await fleet.async_find_active_controller()
        self.print_progress(f"the active controller is {new_active_controller.name}")


async def async_main(seconds: float, seed: int) -> int:
    """Run the demo; return the exit code."""
    with tempfile.TemporaryDirectory(prefix="mangoway-demo-") as folder:
        async with (
            aiohttp.ClientSession() as session,
            Launcher(Path(folder)) as launcher,
        ):
            demo = Demo(Fleet(launcher, session), seconds, random.Random(seed))
            try:
                checks = await demo.async_run()
            except Exception as error:
                demo.print_progress(f"failed: {error!r}")
                for line in launcher.list_ended():
                    demo.print_progress(line)
                raise
        return print_results(demo.tally, checks)


def print_results(tally: Tally, checks: list[Check]) -> int:
    """Print the table and the results of the checks; return the exit code."""
    print("\n" + tally.format_table())
    for line in tally.list_details():
        print(line)
    print()
    for check in checks:
        print(f"{'FAILED' if check.violations else 'holds':<8}{check.name}")
        for violation in check.violations[:5]:
            print(f"        {violation}")
    return int(any(check.violations for check in checks))


def main() -> None:
    """Parse the command line and run the demo."""
    parser = argparse.ArgumentParser(prog="script/demo", description=__doc__)
    parser.add_argument(
        "--seconds", type=float, default=20.0, help="duration of the traffic"
    )
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    sys.exit(asyncio.run(async_main(options.seconds, options.seed)))


if __name__ == "__main__":
    main()
