"""Tests of what an edge pays from the retry budget, for each way to a second runner."""

import asyncio

from mangoway.policy.scheduling.state import RetryLimits

from ..upstreams.raw_server import RawServer, answer
from .world import make_ok, start_edge

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
