"""Tests of runners that send a response twice, the second time late."""

import asyncio

import pytest

from ..upstreams.raw_server import RawServer, Script
from .world import make_event, make_not_run, make_ok, make_stream, start_edge


def reject_twice(*response: bytes) -> tuple[Script, list[str]]:
    """Return a script that rejects a request, and once more before the next response.

    Returns:
        The script, and a list of the requests that run.
    """
    rejected: list[asyncio.StreamWriter] = []
    runs: list[str] = []

    async def run(request: bytes, writer: asyncio.StreamWriter) -> None:
        if not rejected:
            rejected.append(writer)
            writer.write(make_not_run())
            return
        if writer in rejected:
            writer.write(make_not_run())
        runs.append(request.decode())
        writer.writelines(response)

    return run, runs


class TestExtraRejection:
    """An extra rejection where the response to the next attempt is due."""

    @pytest.mark.parametrize(
        ("service", "path", "response"),
        [
            ("llm", "/fixed/x", make_stream(make_event(1))),
            ("llm", "/stream/x", make_stream(make_event(1))),
            ("plain", "/once/x", [make_ok()]),
            ("plain", "/safe/x", [make_ok()]),
        ],
    )
    async def test_request_runs_once(
        self, service: str, path: str, response: list[bytes]
    ) -> None:
        """All attempts of a request have its ID, so the copy passed for its own."""
        script, runs = reject_twice(*response)
        async with RawServer(script) as runner, start_edge() as edge:
            edge.grant_provider.grants_excluded = True
            edge.add("r1", runner, service)
            reply = await edge.async_call(path)
        assert len(runs) <= 1
        if runs:
            assert (reply.status, reply.complete) == (200, True)
