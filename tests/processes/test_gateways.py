"""Tests of gateways that are killed or stopped while they work."""

import asyncio

import aiohttp
import pytest

from tests.stand_ins.caller import KEY_HEADER, Caller, Ending, make_id, make_key
from tests.stand_ins.fleet import SERVICE, Fleet, async_wait_for

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
DEADLINE_S = 30.0


async def async_stream(caller: Caller) -> Ending:
    result = await caller.async_complete(
        MODEL, f"prompt {make_id()}", TOKENS, DEADLINE_S, artifact=ARTIFACT
    )
    return result.ending


async def async_wait_streams(fleet: Fleet, count: int) -> None:
    """Wait until the engines run so many attempts together."""

    async def async_is_open() -> bool:
        reports = [
            await fleet.async_get(engine.address, "/v1/report")
            for engine in fleet.engines
        ]
        return sum(int(report["running"]) for report in reports) >= count

    await async_wait_for(f"{count} streams are open", async_is_open)


class TestKilledGateway:
    """SIGKILL loses no answer that may be repeated, and doubles no call."""

    async def test_streams_end_whole_elsewhere(self, fleet: Fleet) -> None:
        caller = await async_make_caller(fleet, *fleet.gateways)
        streams = [asyncio.create_task(async_stream(caller)) for _ in range(6)]
        await async_wait_streams(fleet, 6)
        fleet.gateways[0].kill()
        assert set(await asyncio.gather(*streams)) == {Ending.ANSWERED}

    async def test_call_is_not_doubled(self, fleet: Fleet) -> None:
        for service in fleet.services:
            await fleet.async_switch(service, silent_after_run=1)
        home, other = fleet.gateways
        caller = await async_make_caller(fleet, home, other)
        body_id = make_id()
        headers = {
            "X-Caller": "agents",
            KEY_HEADER: make_key(find_gateway(caller, home), body_id),
        }
        path = f"/v1/services/{SERVICE}/{CALL}"

        async def async_submit(address: str) -> dict[str, object]:
            url = f"http://{address}{path}"
            async with fleet.session.post(
                url, json={"id": body_id}, headers=headers
            ) as response:
                return dict(await response.json(content_type=None))

        first = asyncio.create_task(async_submit(home.address))
        key = f"{CALL}/{body_id}"

        async def async_has_run() -> bool:
            return await async_count_runs(fleet, key) == 1

        await async_wait_for("the call ran", async_has_run)
        home.kill()
        with pytest.raises(aiohttp.ClientError):
            await first
        problem = await async_submit(other.address)
        assert problem["verdict"] == "may_have_run"
        assert await async_count_runs(fleet, key) == 1


class TestPlannedStop:
    """SIGTERM ends a gateway only after what runs there has ended."""

    async def test_stream_in_progress_ends_whole(self, fleet: Fleet) -> None:
        leaving, staying = fleet.gateways
        caller = await async_make_caller(fleet, leaving)
        caller.book.gateways = [find_gateway(caller, leaving)]
        stream = asyncio.create_task(async_stream(caller))
        await async_wait_streams(fleet, 1)
        leaving.terminate()

        async def async_is_left_out() -> bool:
            answer = await fleet.async_get(staying.address, "/v1/addresses")
            addresses = [each["address"] for each in answer["gateways"]]
            return addresses == [staying.address]

        await async_wait_for("it is no longer named to callers", async_is_left_out)
        assert await stream is Ending.ANSWERED
        assert await leaving.async_wait(60) == 0
        caller = await async_make_caller(fleet, staying)
        assert await async_stream(caller) is Ending.ANSWERED
