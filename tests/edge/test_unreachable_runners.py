"""Tests of edges that can't connect to any runner, beside one that can.

The failure: such an edge tried one runner after the other until the caller's deadline,
although another edge could have sent the request on.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import pytest
from attrs import define

from mangoway.models.fleet import Member, Role

from ..fakes.fleet import make_runner
from ..upstreams.raw_server import RawServer, answer
from .unreachable import open_hanging_address, reserve_refusing_address
from .world import EdgeWorld, make_event, make_ok, make_stream, start_edge

RUNNERS = 4
"""Runners of each service."""

DETECTION_S = 3.0
"""Time from the begin of a cut after which callers are served again."""

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


def make_member(name: str, edge: EdgeWorld, data_centre: str = "dc1") -> Member:
    """Return the announcement of an edge."""
    return Member(
        host=name,
        role=Role.EDGE,
        data_centre=data_centre,
        incarnation=name,
        peer_address="",
        caller_address=f"127.0.0.1:{edge.port}",
    )


def introduce(*edges: EdgeWorld) -> None:
    """Let edges know each other; the first is called e1."""
    for number, edge in enumerate(edges, 1):
        member = make_member(f"e{number}", edge)
        for other in edges:
            other.view.update_member(f"members/edge/e{number}", member)


def add_runners(edge: EdgeWorld, address: str) -> None:
    """Add the runners of both services, all at one address."""
    for service in ("plain", "llm"):
        for number in range(RUNNERS):
            runner_id = f"{service}-{number}"
            entry = make_runner(runner_id, service=service, address=address)
            edge.view.update_runner(entry)
            if service == "llm":
                edge.grant_provider.runner_ids.append(runner_id)


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
