"""Tests of what an edge pays from the retry budget, for each way to a second runner."""

import asyncio

from mangoway.policy.scheduling.state import RetryLimits

from ..upstreams.raw_server import RawServer, answer
from .world import make_not_run, make_ok, start_edge

NO_REPEATS = RetryLimits(ratio=0.0, slack=0.0, window_s=10.0)


class TestSilence:
    """A second runner beside a silent one."""

    async def test_unpaid_second_runner_is_not_used_when_the_first_one_fails(
        self,
    ) -> None:
        async def end_late(_: bytes, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(1.3)
            writer.close()

        async with (
            RawServer(end_late) as silent,
            RawServer(answer(make_ok())) as good,
            start_edge(limits=NO_REPEATS) as edge,
        ):
            edge.add("r1", silent, "plain")
            edge.forwarder.plain.in_flight.add("r2")
            edge.add("r2", good, "plain")
            reply = await edge.async_call("/safe/x")
        assert good.requests == []
        assert reply.status == 502


class TestRefusals:
    """Runners that refuse a request as not run."""

    async def test_refused_request_goes_to_another_runner_first(self) -> None:
        async with (
            RawServer(answer(make_not_run())) as full,
            RawServer(answer(make_ok())) as good,
            start_edge() as edge,
        ):
            edge.add("r1", full, "plain")
            # One that is busy is chosen last, unless the others have refused.
            for _ in range(5):
                edge.forwarder.plain.in_flight.add("r2")
            edge.add("r2", good, "plain")
            reply = await edge.async_call("/safe/x")
        assert reply.status == 200
        assert len(full.requests) == 1

    async def test_runner_that_refused_is_not_asked_again_at_once(self) -> None:
        async with RawServer(answer(make_not_run())) as full, start_edge() as edge:
            edge.add("r1", full, "plain")
            reply = await edge.async_call("/safe/x")
        assert reply.status == 503
        assert len(full.requests) == 1
