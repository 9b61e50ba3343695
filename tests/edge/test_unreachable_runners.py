"""Tests of edges that can't connect to any runner, beside one that can.

The failure: such an edge tried one runner after the other until the caller's deadline,
although another edge could have sent the request on.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import pytest
from attrs import define

from mangoway.policy.edge.const import MAX_UNREACHABLE_ATTEMPTS

from ..fakes.fleet import make_runner
from ..upstreams.raw_server import RawServer, answer
from .unreachable import (
    RUNNERS,
    add_runners,
    introduce,
    open_hanging_address,
    open_resetting_address,
    reserve_refusing_address,
)
from .world import EdgeWorld, make_event, make_ok, make_stream, start_edge

DETECTION_S = 3.0
"""Time from the begin of a cut after which callers are served again."""

RESET_DELAY_S = 0.1
"""Time after which connections are reset: more than a check waits for at first."""

PAUSE_S = 0.05
"""Time between two requests while connections are reset late."""

MAX_FAILED = 6
"""Requests that may fail before and after false signs that runners are reached."""

RESPONSES = {
    "/safe/x": [make_ok()],
    "/once/x": [make_ok()],
    "/stream/x": make_stream(make_event(1), make_event(2)),
    "/fixed/x": make_stream(make_event(1), make_event(2)),
}


@define
class CutOffFleet:
    """An edge that is cut off from all runners, and a peer of it that reaches them."""

    cut_off: EdgeWorld
    peer: EdgeWorld
    runner: RawServer
    """Stands for all runners, as the peer reaches them."""


@asynccontextmanager
async def start_fleet(path: str, kind: str) -> AsyncIterator[CutOffFleet]:
    """Start both edges and the runners, whose responses are those to one path.

    Args:
        path: The path.
        kind: What happens to connections of the edge that is cut off.
    """
    async with AsyncExitStack() as stack:
        if kind == "hanging":
            unreachable = await stack.enter_async_context(open_hanging_address())
        elif kind == "reset late":
            unreachable = await stack.enter_async_context(
                open_resetting_address(RESET_DELAY_S)
            )
        else:
            unreachable = stack.enter_context(reserve_refusing_address())
        runner = RawServer(answer(*RESPONSES[path]))
        await stack.enter_async_context(runner)
        cut_off = await stack.enter_async_context(start_edge())
        peer = await stack.enter_async_context(start_edge(incarnation="e2"))
        introduce(cut_off, peer)
        add_runners(cut_off, unreachable)
        add_runners(peer, runner.address)
        yield CutOffFleet(cut_off, peer, runner)


def leave_one_refusing(edge: EdgeWorld, service: str, address: str) -> None:
    """Leave a service with a single runner, which refuses connections."""
    for number in range(1, RUNNERS):
        edge.view.remove_runner(f"{service}-{number}", 0.0)
    entry = make_runner(f"{service}-0", service=service, address=address)
    edge.view.update_runner(entry)
    edge.grant_provider.runner_ids = [f"{service}-0"]
    edge.grant_provider.grants_excluded = True


class TestServiceWithoutRunners:
    """A service whose runner refuses connections, while those of others accept them."""

    @pytest.mark.parametrize(
        ("service", "path"), [("plain", "/safe/x"), ("llm", "/stream/x")]
    )
    @pytest.mark.parametrize("has_peer", [False, True])
    async def test_refused_connection_is_not_repeated_without_end(
        self, service: str, path: str, has_peer: bool
    ) -> None:
        async with start_fleet(path, "refused") as fleet:
            edge = fleet.cut_off
            refusing = edge.view.runners[f"{service}-0"].address
            add_runners(edge, fleet.runner.address)
            leave_one_refusing(edge, service, refusing)
            if not has_peer:
                edge.view.remove_member("members/edge/e2")
            async with asyncio.timeout(1.0):
                reply = await edge.async_call(path)
            attempts = edge.forwarder.metrics.edge_attempts
            assert reply.status == (200 if has_peer else 503)
            assert attempts.get("unreachable") <= MAX_UNREACHABLE_ATTEMPTS


@pytest.mark.parametrize("kind", ["refused", "hanging"])
@pytest.mark.parametrize("path", list(RESPONSES))
class TestEdgeWithoutRunners:
    """Requests to an edge that can't connect to any runner."""

    async def test_request_is_served_through_a_peer(self, path: str, kind: str) -> None:
        async with start_fleet(path, kind) as fleet:
            loop = asyncio.get_running_loop()
            began = loop.time()
            while loop.time() < began + DETECTION_S:
                await fleet.cut_off.async_call(path, headers="X-Deadline-Ms: 1500\r\n")
            fleet.runner.requests.clear()
            reply = await fleet.cut_off.async_call(path)
        assert (reply.status, reply.complete) == (200, True)
        assert len(fleet.runner.requests) == 1


@pytest.mark.parametrize("path", list(RESPONSES))
class TestLateResets:
    """Something on the way accepts connections and resets them a little later."""

    async def test_requests_are_served_through_a_peer(self, path: str) -> None:
        async with start_fleet(path, "reset late") as fleet:
            loop = asyncio.get_running_loop()
            calls, began = [], loop.time()
            while loop.time() < began + 2 * DETECTION_S:
                calls.append(asyncio.create_task(fleet.cut_off.async_call(path)))
                await asyncio.sleep(PAUSE_S)
            replies = await asyncio.gather(*calls)
        failed = [each.status for each in replies if each.status != 200]
        assert len(failed) <= MAX_FAILED, failed
