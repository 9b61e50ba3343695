"""Tests of runners that refuse requests and ask for rest."""

import asyncio

import pytest

from mangoway.policy.limits.cooldowns import CooldownReport
from mangoway.policy.scheduling.const import RETRY_SPREAD

from ..upstreams.raw_server import RawServer, Script, answer, frame
from .ways import WAYS, async_count_second, choose_last, end_late
from .world import EdgeWorld, make_not_run, make_ok, start_edge

FIELDS = "X-Request-Id: q1\r\nX-Not-Executed: 1\r\nRetry-After: {}\r\n"


def refuse(rest_s: str = "3") -> Script:
    return answer(frame(503, b"", FIELDS.format(rest_s)))


def let_rest(edge: EdgeWorld, runner_id: str, rest_s: float = 30.0) -> None:
    """Let a runner have asked the edge for rest."""
    said = CooldownReport(edge="e1", runner_id=runner_id, started_ms=0, rest_s=rest_s)
    watch = edge.forwarder.signal_tracker
    watch.cooldowns.update(said, watch.clock())


class TestRests:
    """What an edge sends to a runner that has asked it for rest."""

    async def test_runner_is_left_alone_until_the_end(self) -> None:
        async with RawServer(refuse("0.4"), answer(make_ok())) as server:
            async with start_edge() as edge:
                edge.add("r1", server, "plain")
                early = [await edge.async_call("/once/x") for _ in range(4)]
                count = len(server.requests)
                await asyncio.sleep(0.45)
                late = await edge.async_call("/once/x")
        assert ([each.status for each in early], count) == ([503] * 4, 1)
        assert late.status == 200

    async def test_callers_are_told_its_end(self) -> None:
        async with RawServer(refuse("3")) as server, start_edge() as edge:
            edge.add("r1", server, "plain")
            await edge.async_call("/once/x")
            reply = await edge.async_call("/once/x")
        assert reply.status == 503
        assert 2.5 < float(reply.headers["retry-after"]) <= 3.0 * (1 + RETRY_SPREAD)

    async def test_next_request_goes_to_another_runner(self) -> None:
        async with (
            RawServer(refuse()) as resting,
            RawServer(answer(make_ok())) as other,
            start_edge() as edge,
        ):
            edge.add("r1", resting, "plain")
            choose_last(edge, "r2")
            edge.add("r2", other, "plain")
            replies = [await edge.async_call("/safe/x") for _ in range(4)]
        assert [each.status for each in replies] == [200] * 4
        assert len(resting.requests) == 1

    async def test_refusal_without_rest_leaves_it_as_it_was(self) -> None:
        async with RawServer(answer(make_not_run())) as server, start_edge() as edge:
            edge.add("r1", server, "plain")
            for _ in range(3):
                await edge.async_call("/once/x")
        assert len(server.requests) == 3

    async def test_scheduler_is_told(self) -> None:
        told: list[object] = []
        async with RawServer(refuse("2.5")) as server, start_edge() as edge:
            edge.forwarder.signal_tracker.report_signal = told.append
            edge.add("r1", server, "llm")
            edge.grant_provider.drops_refusing = True
            await edge.async_call("/stream/x")
        assert told == [
            CooldownReport(edge="e1", runner_id="r1", started_ms=0, rest_s=2.5)
        ]


class TestWays:
    """Each way to a second runner, if that has asked for rest."""

    @pytest.mark.parametrize(("service", "path", "first"), WAYS)
    async def test_resting_runner_gets_nothing(
        self, service: str, path: str, first: Script
    ) -> None:
        def prepare(edge: EdgeWorld) -> None:
            let_rest(edge, "r2")

        assert await async_count_second(service, path, first, prepare) == 0

    async def test_place_at_a_resting_runner_is_not_used(self) -> None:
        """Who grants may hear of it later than this edge."""
        async with RawServer(answer(make_ok())) as resting, start_edge() as edge:
            edge.add("r1", resting, "llm")
            let_rest(edge, "r1")
            reply = await edge.async_call("/stream/x")
        assert (reply.status, resting.requests) == (503, [])

    async def test_place_that_was_kept_beside_a_silent_runner_is_not_used(self) -> None:
        async with (
            RawServer(end_late) as silent,
            RawServer(answer(make_ok())) as resting,
            start_edge() as edge,
        ):
            edge.add("r1", silent, "plain")
            choose_last(edge, "r2")
            edge.add("r2", resting, "plain")
            asyncio.get_running_loop().call_later(0.5, let_rest, edge, "r2")
            await edge.async_call("/safe/x")
        assert resting.requests == []
