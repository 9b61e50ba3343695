"""Tests of counting the signals in runners' responses."""

import asyncio

import pytest

from ..upstreams.raw_server import RawServer, answer, make_response
from .world import EdgeWorld, make_event, make_ok, make_stream, start_edge

LIMIT = "Server-Limit: 2.5\r\n"


def count_signals(edge: EdgeWorld, service: str, signal: str = "limit") -> float:
    return edge.forwarder.metrics.edge_signals.get(service, signal)


class TestResponses:
    """Signals in responses of all kinds."""

    @pytest.mark.parametrize("status", [200, 421, 500, 503])
    async def test_limit_in_a_complete_response_is_counted(self, status: int) -> None:
        headers = "X-Request-Id: q1\r\nX-Response-Signature: s1\r\n" + LIMIT
        async with RawServer(answer(make_response(status, b"", headers))) as server:
            async with start_edge() as edge:
                edge.add("r1", server, "plain")
                await edge.async_call("/once/x")
        assert count_signals(edge, "plain") == 1

    async def test_limit_in_a_stream_is_counted_when_it_starts(self) -> None:
        head, *events = make_stream(make_event(1), end=False)
        head = head.replace(b"\r\n\r\n", b"\r\n" + LIMIT.encode() + b"\r\n")
        async with RawServer(answer(head, *events)) as server, start_edge() as edge:
            edge.add("r1", server, "llm")
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.3):
                    await edge.async_call("/stream/x")
        assert count_signals(edge, "llm") == 1

    async def test_unreadable_header_is_counted_as_dropped(self) -> None:
        server = RawServer(answer(make_ok(headers="Server-Limit: soon\r\n")))
        async with server, start_edge() as edge:
            edge.add("r1", server, "plain")
            await edge.async_call("/once/x")
        assert count_signals(edge, "plain", "dropped") == 1
        assert count_signals(edge, "plain") == 0
