"""Tests of idempotency keys across gateways, with real connections between them."""

import asyncio
import time
from collections.abc import AsyncIterator
from typing import Any

import pytest
import pytest_asyncio

from mangoway.daemons.gateway_node import GatewayNode
from mangoway.models.idempotency import HomedKey
from mangoway.models.member import MemberState

from .gateway_world import GatewayWorld, open_world, wait_until
from .test_gateway_faults import assert_problem


@pytest_asyncio.fixture
async def world() -> AsyncIterator[GatewayWorld]:
    async with open_world(gateways=2) as opened:
        yield opened


def make_key(node: GatewayNode, own_id: str = "1") -> str:
    home = node.settings.incarnation
    return HomedKey(home=home, issued_at=int(time.time()), own_id=own_id).format()


async def confirm(
    world: GatewayWorld, key: str, body: Any, gateway: int = 0, **headers: str
) -> Any:
    return await world.call(
        "confirm", body, gateway=gateway, Idempotency_Key=key, **headers
    )


class TestHomedKeys:
    """Keys that name the gateway that may run their requests."""

    async def test_resubmission_gets_the_stored_answer(
        self, world: GatewayWorld
    ) -> None:
        key = make_key(world.node)
        answers = [await confirm(world, key, {"id": 1}) for _ in range(2)]
        bodies = [await answer.read() for answer in answers]
        assert [answer.status for answer in answers] == [200, 200]
        assert bodies[0] == bodies[1]
        assert world.service.runs["confirm/1"] == 1

    async def test_gateway_without_configuration_reports_may_have_run(
        self, world: GatewayWorld
    ) -> None:
        key = make_key(world.node)
        assert (await confirm(world, key, {"id": 1})).status == 200
        world.nodes[1].dispatcher.configuration = None
        again = await confirm(world, key, {"id": 1}, gateway=1)
        await assert_problem(again, 503, "not_ready", "may_have_run")
        own = await confirm(world, make_key(world.nodes[1]), {"id": 2}, gateway=1)
        await assert_problem(own, 503, "not_ready", "not_run")

    async def test_resubmission_joins_the_request_in_progress(
        self, world: GatewayWorld
    ) -> None:
        world.service.switches.slow_s = 0.2
        key = make_key(world.node)
        answers = await asyncio.gather(
            *(confirm(world, key, {"id": 1}) for _ in range(3))
        )
        assert {await answer.read() for answer in answers} == {await answers[0].read()}
        assert world.service.runs["confirm/1"] == 1

    async def test_request_continues_after_its_caller_hung_up(
        self, world: GatewayWorld
    ) -> None:
        world.service.switches.slow_s = 0.3
        key = make_key(world.node)
        task = asyncio.ensure_future(confirm(world, key, {"id": 1}))
        await wait_until(lambda: world.service.runs["confirm/1"] > 0)
        task.cancel()
        answer = await confirm(world, key, {"id": 1})
        assert answer.status == 200
        assert (await answer.json())["run"] == 1

    async def test_other_gateway_forwards_to_the_home(
        self, world: GatewayWorld
    ) -> None:
        key = make_key(world.node)
        first = await confirm(world, key, {"id": 1}, gateway=1)
        again = await confirm(world, key, {"id": 1}, gateway=0)
        assert first.status == again.status == 200
        assert await first.read() == await again.read()
        assert world.service.runs["confirm/1"] == 1

    async def test_forwarded_failure_keeps_its_verdict(
        self, world: GatewayWorld
    ) -> None:
        world.service.switches.drop_after_run = 1
        key = make_key(world.node)
        response = await confirm(world, key, {"id": 1}, gateway=1)
        await assert_problem(response, 502, "upstream_failed", "may_have_run")

    async def test_key_of_a_gone_home_is_not_run_elsewhere(
        self, world: GatewayWorld
    ) -> None:
        world.set_members({0: {"state": MemberState.GONE}})
        key = make_key(world.node)
        response = await confirm(world, key, {"id": 1}, gateway=1)
        await assert_problem(response, 409, "key_home_gone", "may_have_run")
        assert world.service.runs["confirm/1"] == 0

    async def test_request_of_an_unreachable_home_may_have_run(
        self, world: GatewayWorld
    ) -> None:
        key = make_key(world.node)
        assert (await confirm(world, key, {"id": 1})).status == 200
        await world.node.peer_server.async_stop()
        response = await confirm(world, key, {"id": 1}, gateway=1)
        await assert_problem(response, 502, "peer_unreachable", "may_have_run")
        assert world.service.runs["confirm/1"] == 1

    @pytest.mark.parametrize(("home", "verdict"), [(0, "may_have_run"), (1, "not_run")])
    async def test_gateway_without_configuration_reports_not_run_for_own_keys_only(
        self, world: GatewayWorld, home: int, verdict: str
    ) -> None:
        world.nodes[1].dispatcher.configuration = None
        key = make_key(world.nodes[home])
        response = await confirm(world, key, {"id": 1}, gateway=1)
        await assert_problem(response, 503, "not_ready", verdict)

    async def test_keys_of_two_callers_are_independent(
        self, world: GatewayWorld
    ) -> None:
        key = make_key(world.node)
        first = await confirm(world, key, {"id": 1}, X_Caller="desk")
        other = await confirm(world, key, {"id": 2}, X_Caller="lab")
        assert (await first.json())["echo"] == {"id": 1}
        assert (await other.json())["echo"] == {"id": 2}

    async def test_key_with_another_body_is_rejected(self, world: GatewayWorld) -> None:
        key = make_key(world.node)
        await confirm(world, key, {"id": 1})
        response = await confirm(world, key, {"id": 2})
        await assert_problem(response, 422, "key_reused", "not_run")


class TestPlainKeys:
    """Keys that are claimed in the key-value service."""

    async def test_only_one_gateway_runs_a_key(self, world: GatewayWorld) -> None:
        first, second = await asyncio.gather(
            confirm(world, "k", {"id": 1}, gateway=0),
            confirm(world, "k", {"id": 1}, gateway=1),
        )
        assert sorted((first.status, second.status)) == [200, 409]
        assert world.service.runs["confirm/1"] == 1

    async def test_outage_of_the_store_rejects_as_not_run(
        self, world: GatewayWorld
    ) -> None:
        world.store.down = True
        response = await confirm(world, "k", {"id": 1})
        await assert_problem(response, 503, "key_claim_unavailable", "not_run")
        assert world.service.runs["confirm/1"] == 0
        world.store.down = False
        assert (await confirm(world, "k", {"id": 1})).status == 200
