"""Tests of runners and peers that close their connections within a head.

The failure: callers got a response with status 200 and a short or empty body.
"""

import asyncio

import pytest

from ..upstreams.cut_heads import CUTS, cut_head
from ..upstreams.raw_server import RawServer, Script, answer, cut
from .continuation_world import PART, start_world
from .copying_runner import CopyingRunner
from .second_attempts import add_load
from .test_relay import start_edge_with_peer, start_relaying_fleet
from .world import Reply, make_event, make_ok, make_stream, start_edge

FAILS = cut(b"")
BREAKS = cut(*make_stream(make_event(1), end=False))


async def async_call_second(service: str, path: str, *scripts: Script) -> Reply:
    """Call an edge whose first runner fails and whose second has the other script."""
    first, second = scripts
    async with (
        RawServer(first) as runner,
        RawServer(second) as other,
        start_edge() as edge,
    ):
        edge.add("r1", runner, service)
        add_load(edge, "r2")
        edge.add("r2", other, service)
        reply = await edge.async_call(path)
        assert len(other.requests) >= 1
        return reply


class CutTarget(CopyingRunner):
    """A target of transfers that closes within the head of a continued stream."""

    def __init__(self, script: Script) -> None:
        super().__init__()
        self.script = script

    async def _async_stream(self, text: str, writer: asyncio.StreamWriter) -> None:
        self.streams.append(text)
        await self.script(text.encode(), writer)


@pytest.mark.parametrize(("part", "reset"), CUTS)
class TestCutHead:
    """Heads that are cut off where a response is awaited."""

    @pytest.mark.parametrize(
        ("service", "path"),
        [("plain", "/safe/x"), ("plain", "/once/x"), ("llm", "/fixed/x")],
    )
    async def test_first_attempt(
        self, part: bytes, service: str, path: str, *, reset: bool
    ) -> None:
        async with (
            RawServer(cut_head(part, reset=reset)) as runner,
            start_edge() as edge,
        ):
            edge.add("r1", runner, service)
            assert (await edge.async_call(path)).status in (502, 503)

    @pytest.mark.parametrize(
        ("service", "path"), [("plain", "/safe/x"), ("llm", "/stream/x")]
    )
    async def test_second_attempt(
        self, part: bytes, service: str, path: str, *, reset: bool
    ) -> None:
        script = cut_head(part, reset=reset)
        reply = await async_call_second(service, path, FAILS, script)
        assert reply.status == 502

    async def test_resumed_stream(self, part: bytes, *, reset: bool) -> None:
        script = cut_head(part, reset=reset)
        reply = await async_call_second("llm", "/stream/x", BREAKS, script)
        assert (reply.body, reply.complete) == (make_event(1), False)

    async def test_target_of_a_transfer(self, part: bytes, *, reset: bool) -> None:
        target = CutTarget(cut_head(part, reset=reset))
        async with start_world(target=target) as world:
            call = await world.async_begin()
            world.order()
            reply = await call
            assert len(target.streams) == 1
            assert (reply.body, reply.complete) == (PART, False)

    async def test_backup(self, part: bytes, *, reset: bool) -> None:
        target = CutTarget(cut_head(part, reset=reset))
        async with start_world(target=target, backup=True) as world:
            call = await world.async_begin()
            world.source.break_off(listens=False)
            reply = await call
            assert len(target.streams) == 1
            assert (reply.body, reply.complete) == (PART, False)

    async def test_peer(self, part: bytes, *, reset: bool) -> None:
        script = cut_head(part, reset=reset)
        async with start_edge_with_peer(script) as (edge, peer):
            assert (await edge.async_call("/once/x")).status == 502
            assert len(peer.requests) == 1

    @pytest.mark.parametrize("path", ["/once/x", "/fixed/x"])
    async def test_runner_behind_a_peer(
        self, part: bytes, path: str, *, reset: bool
    ) -> None:
        script = cut_head(part, reset=reset)
        async with start_relaying_fleet(script) as fleet:
            await fleet.async_lose_reach()
            assert (await fleet.edge.async_call(path)).status == 502
            assert len(fleet.runner.requests) == 1

    async def test_later_response_of_a_kept_connection(
        self, part: bytes, *, reset: bool
    ) -> None:
        first = answer(make_ok(request_id="q0"))
        async with (
            RawServer(first, cut_head(part, reset=reset)) as runner,
            start_edge() as edge,
        ):
            edge.add("r1", runner, "plain")
            await edge.async_call("/safe/x", request_id="q0")
            reply = await edge.async_call("/once/x")
            assert (reply.status, runner.connections) == (502, 1)
