"""Tests of the planned stop of a gateway."""

import asyncio
from typing import Any

import pytest
from attrs import evolve

from mangoway.daemons.gateway_stop import PlannedStop, StopOutcome
from mangoway.models.identifiers import ConfigVersion, IncarnationId
from mangoway.models.member import MemberState
from mangoway.models.offer import SitePolicy
from mangoway.peers import peers_pb2 as pb

from .gateway_world import CONFIGURATION, GatewayWorld, open_world, wait_until
from .test_gateway_faults import assert_problem
from .test_gateway_keys import confirm, make_key

LONG_VALIDITY = evolve(
    CONFIGURATION,
    version=ConfigVersion(CONFIGURATION.version + 1),
    site=SitePolicy(address_validity_s=60.0),
)


class ImmediateAnnouncer:
    """Announces a stop to all gateways of a world immediately."""

    def __init__(self, world: GatewayWorld) -> None:
        self._world = world

    def async_announce(self, successor: IncarnationId | None) -> None:
        changes = {"state": MemberState.LEAVING, "successor": successor}
        self._world.set_members({0: changes})


def make_stop(world: GatewayWorld, deadline_s: float = 30.0) -> PlannedStop:
    return PlannedStop(
        node=world.node, announcer=ImmediateAnnouncer(world), deadline_s=deadline_s
    )


async def start_stop(stop: PlannedStop, world: GatewayWorld) -> Any:
    """Start a stop and return its task once the gateway is leaving."""
    task = asyncio.ensure_future(stop.async_run("SIGTERM"))
    await wait_until(lambda: world.node.view.stopping)
    return task


class TestPlannedStop:
    """Requests, addresses and keys while a gateway leaves."""

    async def test_stream_in_progress_is_not_interrupted(self) -> None:
        async with open_world(tokens_per_second=50.0, gateways=2) as world:
            response = await world.complete(stream=True, max_tokens=60)
            first = await response.content.readany()
            task = await start_stop(make_stop(world), world)
            rest = await response.read()
            assert (first + rest).endswith(b"data: [DONE]\n\n")
            assert await task is StopOutcome.IDLE

    async def test_leaving_gateway_is_not_ready_and_not_listed(self) -> None:
        async with open_world(gateways=2) as world:
            task = await start_stop(make_stop(world), world)
            status, problem = await world.get("/readyz")
            assert (status, problem["code"]) == (503, "leaving")
            assert (await world.get("/healthz"))[0] == 200
            _, answer = await world.get("/v1/addresses")
            assert [each["host"] for each in answer["gateways"]] == ["g1"]
            await task

    async def test_new_requests_go_to_a_peer_and_are_rejected_after_the_stop(
        self,
    ) -> None:
        async with open_world(gateways=2) as world:
            task = await start_stop(make_stop(world), world)
            response = await world.complete(stream=True)
            assert (await response.read()).endswith(b"data: [DONE]\n\n")
            # Request IDs are numbered, so the peer has received exactly one request.
            assert world.nodes[1].gate.make_id().endswith("-2")
            assert await task is StopOutcome.IDLE
            late = await world.complete()
            await assert_problem(late, 503, "leaving", "not_run")

    @pytest.mark.parametrize("failed_peer", [1, 2])
    async def test_undetected_failure_of_a_peer_loses_no_request(
        self, failed_peer: int
    ) -> None:
        async with open_world(gateways=3) as world:
            # The requests are sent while addresses are valid, also on a busy host.
            for node in world.nodes:
                node.set_configuration(LONG_VALIDITY)
            await world.nodes[failed_peer].peer_server.async_stop()
            stop = make_stop(world)
            task = await start_stop(stop, world)
            requests = [world.complete() for _ in range(4)]
            calls = [world.call("confirm", {}) for _ in range(4)]
            answers = await asyncio.gather(*requests, *calls)
            assert {answer.status for answer in answers} == {200}
            stop.force()
            assert await task is StopOutcome.FORCED

    async def test_peer_failure_ends_a_stream_with_an_error_event(self) -> None:
        async with open_world(tokens_per_second=50.0, gateways=2) as world:
            task = await start_stop(make_stop(world), world)
            response = await world.complete(stream=True, max_tokens=500)
            first = await response.content.readany()
            await world.nodes[1].peer_server.async_stop()
            body = first + await response.read()
            assert b"[DONE]" not in body
            assert b"event: error\n" in body
            assert b'"verdict":"may_have_run"' in body
            await task

    async def test_without_peers_new_requests_are_rejected_as_not_run(self) -> None:
        async with open_world() as world:
            task = await start_stop(make_stop(world), world)
            response = await world.complete()
            await assert_problem(response, 503, "leaving", "not_run")
            await task

    async def test_successor_replays_answers_of_handed_over_keys(self) -> None:
        async with open_world(gateways=2) as world:
            key = make_key(world.node)
            first = await confirm(world, key, {"id": 1})
            assert await make_stop(world).async_run("SIGTERM") is StopOutcome.IDLE
            successor = world.nodes[1].settings.incarnation
            gone = {"state": MemberState.GONE, "successor": successor}
            world.set_members({0: gone})
            again = await confirm(world, key, {"id": 1}, gateway=1)
            assert again.status == 200
            assert await again.read() == await first.read()
            assert world.service.runs["confirm/1"] == 1

    async def test_successor_runs_new_keys_that_name_the_home(self) -> None:
        async with open_world(gateways=2) as world:
            key = make_key(world.node)
            assert await make_stop(world).async_run("SIGTERM") is StopOutcome.IDLE
            successor = world.nodes[1].settings.incarnation
            world.set_members({0: {"state": MemberState.GONE, "successor": successor}})
            response = await confirm(world, key, {"id": 1}, gateway=1)
            assert response.status == 200, await response.text()
            assert world.service.runs["confirm/1"] == 1

    async def test_deadline_ends_the_stop_with_requests_in_progress(self) -> None:
        async with open_world(tokens_per_second=20.0) as world:
            response = await world.complete(stream=True, max_tokens=1000)
            await response.content.readany()
            outcome = await make_stop(world, deadline_s=0.5).async_run("SIGTERM")
            assert outcome is StopOutcome.DEADLINE
            response.close()

    async def test_second_signal_forces_the_stop(self) -> None:
        async with open_world(tokens_per_second=20.0) as world:
            response = await world.complete(stream=True, max_tokens=1000)
            await response.content.readany()
            stop = make_stop(world)
            task = await start_stop(stop, world)
            stop.force()
            assert await task is StopOutcome.FORCED
            response.close()

    async def test_second_signal_ends_a_hand_over_that_hangs(self) -> None:
        async with open_world(gateways=2) as world:
            receiving = asyncio.Event()

            class HangingReceiver:
                async def async_receive_keys(self, chunks: object) -> pb.HandOverReply:
                    receiving.set()
                    return await asyncio.get_running_loop().create_future()

            world.nodes[1].receivers.keys = HangingReceiver()
            stop = make_stop(world)
            task = await start_stop(stop, world)
            await receiving.wait()
            stop.force()
            async with asyncio.timeout(5):
                assert await task is StopOutcome.FORCED
