"""Tests of runners whose responses have a status line that HTTP/1.1 does not allow.

A status outside 200 to 599 is no response (RFC 9110, section 15). A caller that gets
one can't tell whether its request has run.
"""

import pytest

from ..upstreams.raw_server import RawServer, answer
from .world import SIGNED, make_event, make_ok, make_stream, start_edge

INVALID_LINES = [
    b"HTTP/1.1 000 X",
    b"HTTP/1.1 001 X",
    b"HTTP/1.1 099 X",
    b"HTTP/1.1 101 X",
    b"HTTP/1.1 600 X",
    b"HTTP/1.1 700 X",
    b"HTTP/1.1 999 X",
    b"HTTP/1.1 1000 X",
    b"HTTP/1.1 20 X",
    b"HTTP/1.1 2x0 X",
    b"HTTP/1.1 -20 X",
    b"HTTP/0.9 200 X",
    b"HTTP/2.0 200 X",
    b"HTTP/9.9 200 X",
]
NOT_EXECUTED = "X-Not-Executed: 1\r\n"


def make_invalid(line: bytes, headers: str = "") -> bytes:
    """Return a signed response with a status line."""
    fields = f"X-Request-Id: q1\r\n{SIGNED}{headers}Content-Length: 5\r\n\r\n"
    return line + b"\r\n" + fields.encode() + b"whole"


class TestInvalidStatuses:
    """The caller never gets such a response as that of its runner."""

    @pytest.mark.parametrize("line", INVALID_LINES)
    @pytest.mark.parametrize(
        ("path", "service"), [("/once/x", "plain"), ("/fixed/x", "llm")]
    )
    async def test_request_that_may_have_run_fails(
        self, line: bytes, path: str, service: str
    ) -> None:
        async with RawServer(answer(make_invalid(line))) as bad, start_edge() as edge:
            edge.add("r1", bad, service)
            reply = await edge.async_call(path)
        assert reply.status == 502
        assert "x-response-signature" not in reply.headers
        assert len(bad.requests) == 1

    @pytest.mark.parametrize("line", [b"HTTP/1.1 000 X", b"HTTP/1.1 600 X"])
    async def test_it_proves_no_rejection(self, line: bytes) -> None:
        invalid = make_invalid(line, NOT_EXECUTED)
        async with RawServer(answer(invalid)) as bad, start_edge() as edge:
            edge.add("r1", bad, "plain")
            reply = await edge.async_call("/once/x")
        assert reply.status == 502

    @pytest.mark.parametrize("line", INVALID_LINES)
    async def test_idempotent_request_goes_to_another_runner(self, line: bytes) -> None:
        async with (
            RawServer(answer(make_invalid(line))) as bad,
            RawServer(answer(make_ok())) as good,
            start_edge() as edge,
        ):
            edge.add("r1", bad, "plain")
            edge.forwarder.plain_grant_provider.in_flight.add("r2")
            edge.add("r2", good, "plain")
            reply = await edge.async_call("/safe/x")
        assert (reply.status, reply.body) == (200, b"whole")
        assert len(bad.requests) == 1

    @pytest.mark.parametrize("line", INVALID_LINES)
    async def test_resumable_stream_goes_on_elsewhere(self, line: bytes) -> None:
        async with (
            RawServer(answer(make_invalid(line))) as bad,
            RawServer(answer(*make_stream(make_event(1)))) as good,
            start_edge() as edge,
        ):
            edge.add("r1", bad, "llm")
            edge.add("r2", good, "llm")
            reply = await edge.async_call("/stream/x")
        assert (reply.status, reply.body) == (200, make_event(1))
        assert reply.complete

    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    async def test_versions_of_http_1_are_valid(self, version: str) -> None:
        response = make_ok().replace(b"HTTP/1.1", f"HTTP/{version}".encode())
        async with RawServer(answer(response)) as runner, start_edge() as edge:
            edge.add("r1", runner, "plain")
            reply = await edge.async_call("/once/x")
        assert (reply.status, reply.body) == (200, b"whole")
