"""Tests of an outage of the key-value service."""

from typing import Any

import pytest

from tests.stand_ins.caller import KEY_HEADER, Caller, Ending, make_id
from tests.stand_ins.fleet import SERVICE, Fleet

from .conftest import BASE_FILE, async_count_runs, async_make_caller
from .test_gateways import CALL, DEADLINE_S, async_stream

pytestmark = pytest.mark.process


async def async_submit_plain(fleet: Fleet, key: str) -> dict[str, Any]:
    """Submit a call with a plain key, and return the response or the problem."""
    url = f"http://{fleet.gateways[0].address}/v1/services/{SERVICE}/{CALL}"
    headers = {"X-Caller": "agents", KEY_HEADER: key}
    async with fleet.session.post(url, json={"id": key}, headers=headers) as response:
        return dict(await response.json(content_type=None))


class TestOutage:
    """Traffic continues; only calls that need the service are rejected as not run."""

    async def test_calls_fail(self, fleet: Fleet) -> None:
        await fleet.async_switch(fleet.key_value, down=True)
        await self._async_check_traffic(fleet)
        await self._async_check_plain(fleet, "not_run")
        with pytest.raises(RuntimeError, match="platform_unavailable"):
            await fleet.async_apply_base(BASE_FILE)
        await fleet.async_switch(fleet.key_value, down=False)
        await fleet.async_apply_base(BASE_FILE)

    async def test_connections_are_refused(self, fleet: Fleet) -> None:
        fleet.key_value.kill()
        await fleet.key_value.async_wait()
        await self._async_check_traffic(fleet)
        await self._async_check_plain(fleet, "not_run")

    async def test_response_to_a_claim_is_lost(self, fleet: Fleet) -> None:
        await fleet.async_switch(fleet.key_value, lose_answers=1)
        key = make_id()
        assert (await async_submit_plain(fleet, key))["run"] == 1
        (truth,) = await fleet.async_get_truths([fleet.key_value])
        assert truth["switches"]["lose_answers"] == 0
        assert (await async_submit_plain(fleet, key))["run"] == 1
        assert await async_count_runs(fleet, f"{CALL}/{key}") == 1

    async def _async_check_traffic(self, fleet: Fleet) -> None:
        caller: Caller = await async_make_caller(fleet, *fleet.gateways)
        assert await async_stream(caller) is Ending.ANSWERED
        homed = await caller.async_call(SERVICE, CALL, make_id(), DEADLINE_S)
        assert homed.ending is Ending.ANSWERED

    async def _async_check_plain(self, fleet: Fleet, verdict: str) -> None:
        """Check the verdict on a call with a plain key, which must be claimed."""
        key = make_id()
        problem = await async_submit_plain(fleet, key)
        assert problem["verdict"] == verdict
        assert await async_count_runs(fleet, f"{CALL}/{key}") == 0
