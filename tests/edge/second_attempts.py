"""The cases in which a request is sent to a second runner."""

import asyncio
from collections.abc import Callable

import pytest

from ..upstreams.raw_server import RawServer, Script, answer, cut
from .world import EdgeWorld, make_event, make_not_run, make_ok, make_stream, start_edge


async def fail_late(_: bytes, writer: asyncio.StreamWriter) -> None:
    """Close the connection after a silence in which another runner is searched for."""
    await asyncio.sleep(1.3)
    writer.close()


FAILS = cut(b"")
REJECTS = answer(make_not_run())
SILENT = answer()
BREAKS_OFF = cut(*make_stream(make_event(1), end=False))

SECOND_ATTEMPTS = [
    pytest.param("plain", "/safe/x", FAILS, id="failure"),
    pytest.param("plain", "/safe/x", REJECTS, id="refusal"),
    pytest.param("plain", "/safe/x", SILENT, id="silence"),
    pytest.param("plain", "/safe/x", fail_late, id="silence_then_failure"),
    pytest.param("llm", "/stream/x", FAILS, id="stream_failure"),
    pytest.param("llm", "/stream/x", REJECTS, id="stream_refusal"),
    pytest.param("llm", "/stream/x", SILENT, id="stream_silence"),
    pytest.param("llm", "/stream/x", BREAKS_OFF, id="resumed_stream"),
]
"""Service, path, and script of the first runner."""


def add_load(edge: EdgeWorld, runner_id: str) -> None:
    """Load a plain runner so that it is chosen only if there is no other."""
    for _ in range(5):
        edge.forwarder.plain_grant_provider.in_flight.add(runner_id)


async def async_list_second_attempts(
    service: str, path: str, first: Script, prepare: Callable[[EdgeWorld], None]
) -> list[bytes]:
    """Return the requests that the second runner, r2, receives.

    Args:
        service: The service of both runners.
        path: Path of the request.
        first: Script of the first runner.
        prepare: Called before the request is sent.
    """
    async with (
        RawServer(first) as server,
        RawServer(answer(make_ok())) as second,
        start_edge() as edge,
    ):
        edge.add("r1", server, service)
        add_load(edge, "r2")
        edge.add("r2", second, service)
        edge.grant_provider.drops_rejecting = True
        prepare(edge)
        await edge.async_call(path)
        assert len(server.requests) >= 1
        return second.requests
