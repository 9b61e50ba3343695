"""Tests of engines that are killed with the last copies, or report that they leave."""

import asyncio
from typing import Any

import aiohttp
import pytest

from tests.stand_ins.caller import Ending
from tests.stand_ins.fleet import Fleet

from .conftest import ARTIFACTS, async_make_caller
from .test_gateways import DEADLINE_S, async_stream

pytestmark = pytest.mark.process

TOKENS = 10
LEAVING_NOTIFIED_S = 5.0
"""Time within which every gateway is notified of a leaving engine."""


class TestLastCopies:
    """Requests for lost models wait until their deadline, or get a retry time."""

    async def test_all_engines_die(self, fleet: Fleet) -> None:
        caller = await async_make_caller(fleet, *fleet.gateways)
        for engine in fleet.engines:
            engine.kill()
        response, problem = await self._async_request(fleet)
        # A request that was sent to an engine just before its end may have run there.
        while problem["verdict"] == "may_have_run":
            response, problem = await self._async_request(fleet)
        assert problem["verdict"] == "not_run"
        assert problem["retry_after_s"] > 0
        assert "Retry-After" in response.headers
        waiting = [
            asyncio.create_task(
                caller.async_complete(name, "hi", TOKENS, DEADLINE_S, artifact=name)
            )
            for name in sorted(ARTIFACTS)
        ]
        for engine in tuple(fleet.engines):
            await fleet.async_start_engine_again(engine)
        results = await asyncio.gather(*waiting)
        assert [result.ending for result in results] == [Ending.ANSWERED] * len(results)

    async def _async_request(
        self, fleet: Fleet
    ) -> tuple[aiohttp.ClientResponse, dict[str, Any]]:
        """Request a model with a short deadline; return the rejection."""
        url = f"http://{fleet.gateways[0].address}/v1/completions"
        body = {"model": "policy-summary", "prompt": "hi", "max_tokens": TOKENS}
        headers = {"X-Caller": "agents", "X-Deadline-Seconds": "1"}
        async with fleet.session.post(url, json=body, headers=headers) as response:
            return response, await response.json(content_type=None)


class TestLeavingEngine:
    """An engine that reports that it leaves gets no new requests, though listed."""

    async def test_engine_leaves_but_stays_in_the_host_list(self, fleet: Fleet) -> None:
        leaving, _ = fleet.engines
        caller = await async_make_caller(fleet, *fleet.gateways)
        await fleet.async_switch(leaving, leaving=True)
        await asyncio.sleep(LEAVING_NOTIFIED_S)
        (before,) = await fleet.async_get_truths([leaving])
        streams = (async_stream(caller) for _ in range(8))
        assert set(await asyncio.gather(*streams)) == {Ending.ANSWERED}
        (after,) = await fleet.async_get_truths([leaving])
        assert after["after_leaving"] == before["after_leaving"]
        assert after["runs"] == before["runs"]
