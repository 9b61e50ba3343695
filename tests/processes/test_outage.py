"""Tests of an outage of the key-value service."""

import pytest

from tests.stand_ins.caller import KEY_HEADER, Ending, make_id
from tests.stand_ins.fleet import SERVICE, Fleet

from .conftest import BASE_FILE, async_count_runs, async_make_caller
from .test_gateways import CALL, DEADLINE_S, async_stream

pytestmark = pytest.mark.process


class TestOutage:
    """Traffic goes on; only what needs the service is refused, and truly not run."""

    async def test_traffic_and_refusals(self, fleet: Fleet) -> None:
        await fleet.async_switch(fleet.key_value, down=True)
        caller = await async_make_caller(fleet, *fleet.gateways)
        assert await async_stream(caller) is Ending.ANSWERED
        homed = await caller.async_call(SERVICE, CALL, make_id(), DEADLINE_S)
        assert homed.ending is Ending.ANSWERED
        body_id = make_id()
        problem = await self._async_submit_plain(fleet, body_id)
        assert problem["verdict"] == "not_run"
        assert await async_count_runs(fleet, f"{CALL}/{body_id}") == 0
        with pytest.raises(RuntimeError, match="platform_unavailable"):
            await fleet.async_apply_base(BASE_FILE)
        await fleet.async_switch(fleet.key_value, down=False)
        await fleet.async_apply_base(BASE_FILE)

    async def _async_submit_plain(self, fleet: Fleet, key: str) -> dict[str, object]:
        url = f"http://{fleet.gateways[0].address}/v1/services/{SERVICE}/{CALL}"
        headers = {"X-Caller": "agents", KEY_HEADER: key}
        async with fleet.session.post(url, json={"id": key}, headers=headers) as got:
            return dict(await got.json(content_type=None))
