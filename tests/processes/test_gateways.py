"""Tests of gateways that are killed, paused or stopped during requests."""

import asyncio

import aiohttp
import pytest
from attrs import frozen

from tests.stand_ins.caller import KEY_HEADER, Caller, Ending, make_id, make_key
from tests.stand_ins.fleet import SERVICE, Fleet, async_wait_for
from tests.stand_ins.launcher import Process

from .conftest import (
    async_count_runs,
    async_make_caller,
    find_gateway,
)

pytestmark = pytest.mark.process

CALL = "confirm-guardian"
MODEL = "escort-chat"
ARTIFACT = "escort-chat@1"
TOKENS = 60
LONG_TOKENS = 200
"""Tokens of a stream that lasts longer than the validity of an address response."""

DEADLINE_S = 30.0


async def async_stream(caller: Caller, tokens: int = TOKENS) -> Ending:
    result = await caller.async_complete(
        MODEL, f"prompt {make_id()}", tokens, DEADLINE_S, artifact=ARTIFACT
    )
    return result.ending


async def async_wait_streams(fleet: Fleet, count: int) -> None:
    """Wait until the engines run at least `count` attempts in total."""

    async def async_is_open() -> bool:
        reports = [
            await fleet.async_get(engine.address, "/v1/report")
            for engine in fleet.engines
        ]
        return sum(int(report["running"]) for report in reports) >= count

    await async_wait_for(f"{count} streams are open", async_is_open)


async def async_open_stream(fleet: Fleet, gateway: Process) -> asyncio.Task[Ending]:
    """Open a stream at one gateway, and wait until it runs."""
    caller = await async_make_caller(fleet, gateway)
    caller.book.gateways = [find_gateway(caller, gateway)]
    stream = asyncio.create_task(async_stream(caller, LONG_TOKENS))
    await async_wait_streams(fleet, 1)
    return stream


async def async_wait_listed(fleet: Fleet, gateway: Process, listed: set[str]) -> None:
    """Wait until the address response of a gateway has exactly these addresses."""

    async def async_is_listed() -> bool:
        answer = await fleet.async_get(gateway.address, "/v1/addresses")
        return {each["address"] for each in answer["gateways"]} == listed

    await async_wait_for(f"{gateway.name} lists {listed}", async_is_listed)


@frozen
class HomedCall:
    """A call that may run only once, with a key of its home."""

    fleet: Fleet
    body_id: str
    key: str

    async def async_submit(self, gateway: Process) -> dict[str, object]:
        """Submit the call at a gateway, and return the response or the problem."""
        url = f"http://{gateway.address}/v1/services/{SERVICE}/{CALL}"
        headers = {"X-Caller": "agents", KEY_HEADER: self.key}
        body = {"id": self.body_id}
        session = self.fleet.session
        async with session.post(url, json=body, headers=headers) as response:
            return dict(await response.json(content_type=None))

    async def async_count_runs(self) -> int:
        """Return how often the call ran."""
        return await async_count_runs(self.fleet, f"{CALL}/{self.body_id}")

    async def async_wait_run(self) -> None:
        """Wait until the call has run."""

        async def async_has_run() -> bool:
            return await self.async_count_runs() == 1

        await async_wait_for("the call ran", async_has_run)


async def async_make_homed_call(fleet: Fleet, home: Process) -> HomedCall:
    """Return a new call with a key of a home."""
    caller = await async_make_caller(fleet, home)
    body_id = make_id()
    return HomedCall(fleet, body_id, make_key(find_gateway(caller, home), body_id))


class TestKilledGateway:
    """After SIGKILL no idempotent request fails, and no other call runs twice."""

    async def test_streams_complete_at_the_other_gateway(self, fleet: Fleet) -> None:
        caller = await async_make_caller(fleet, *fleet.gateways)
        streams = [asyncio.create_task(async_stream(caller)) for _ in range(6)]
        await async_wait_streams(fleet, 6)
        fleet.gateways[0].kill()
        assert set(await asyncio.gather(*streams)) == {Ending.ANSWERED}

    @pytest.mark.parametrize("restarts", [False, True])
    async def test_call_runs_once(self, fleet: Fleet, restarts: bool) -> None:
        for service in fleet.services:
            await fleet.async_switch(service, silent_after_run=1)
        home, other = fleet.gateways
        call = await async_make_homed_call(fleet, home)
        first = asyncio.create_task(call.async_submit(home))
        await call.async_wait_run()
        home.kill()
        with pytest.raises(aiohttp.ClientError):
            await first
        gateways = [other]
        if restarts:
            gateways.append(await fleet.async_restart_gateway(home))
        for gateway in gateways:
            problem = await call.async_submit(gateway)
            assert problem["verdict"] == "may_have_run"
        assert await call.async_count_runs() == 1


class TestAddressesAfterAFailure:
    """Callers aren't sent to a gateway that can't serve them."""

    @pytest.mark.parametrize("failure", ["kill", "pause"])
    async def test_failed_gateway_is_not_answered_while_it_counts_as_live(
        self, fleet: Fleet, failure: str
    ) -> None:
        """It counts as gone only after ten seconds of silence."""
        failed, other = fleet.gateways
        await async_wait_listed(fleet, other, {failed.address, other.address})
        getattr(failed, failure)()
        await async_wait_listed(fleet, other, {other.address})
        log = other.log.read_text()
        assert ('"event":603' in log, '"event":602' in log) == (True, False)


class TestPausedGateway:
    """A gateway is unused after SIGSTOP, and used again after SIGCONT."""

    async def test_runs_nothing_twice_and_is_used_again(self, fleet: Fleet) -> None:
        home, other = fleet.gateways
        call = await async_make_homed_call(fleet, home)
        home.pause()
        first = asyncio.create_task(call.async_submit(home))
        await async_wait_listed(fleet, other, {other.address})
        assert (await call.async_submit(other))["verdict"] == "may_have_run"
        home.resume()
        await async_wait_listed(fleet, other, {home.address, other.address})
        assert (await first)["run"] == 1
        assert await call.async_submit(other) == await first
        assert await call.async_count_runs() == 1


class TestPlannedStop:
    """After SIGTERM a gateway ends once its requests have ended."""

    async def test_stream_in_progress_completes(self, fleet: Fleet) -> None:
        leaving, remaining = fleet.gateways
        stream = await async_open_stream(fleet, leaving)
        leaving.terminate()
        await async_wait_listed(fleet, remaining, {remaining.address})
        assert await stream is Ending.ANSWERED
        assert await leaving.async_wait(60) == 0
        caller = await async_make_caller(fleet, remaining)
        assert await async_stream(caller) is Ending.ANSWERED

    async def test_stream_completes_though_the_successor_is_killed(
        self, fleet: Fleet
    ) -> None:
        leaving, successor = fleet.gateways
        stream = await async_open_stream(fleet, leaving)
        leaving.terminate()
        await async_wait_listed(fleet, successor, {successor.address})
        successor.kill()
        assert await stream is Ending.ANSWERED
        assert await leaving.async_wait(60) == 0
