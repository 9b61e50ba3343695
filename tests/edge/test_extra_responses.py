"""Tests of runners that send extra responses where the next one is due."""

import asyncio

import pytest

from ..upstreams.raw_server import RawServer, Script, answer, make_response
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


UNNAMED_REJECTION = make_response(503, b"", "X-Not-Executed: 1\r\n")
"""A rejection that names no request."""

RESPONSES = [
    ("llm", "/fixed/x", make_stream(make_event(1))),
    ("llm", "/stream/x", make_stream(make_event(1))),
    ("plain", "/once/x", [make_ok()]),
    ("plain", "/safe/x", [make_ok()]),
]


def precede(*response: bytes) -> tuple[Script, list[str]]:
    """Return a script that sends an unnamed rejection before later responses.

    Returns:
        The script, and a list of the requests that run.
    """
    served: list[asyncio.StreamWriter] = []
    runs: list[str] = []

    async def run(request: bytes, writer: asyncio.StreamWriter) -> None:
        if writer in served:
            writer.write(UNNAMED_REJECTION)
        served.append(writer)
        runs.append(request.decode())
        writer.writelines(response)

    return run, runs


class TestExtraRejection:
    """An extra rejection where the response to the next attempt is due."""

    @pytest.mark.parametrize(("service", "path", "response"), RESPONSES)
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


class TestUnnamedResponse:
    """Responses that name no request."""

    @pytest.mark.parametrize(("service", "path", "response"), RESPONSES)
    async def test_request_on_a_kept_connection_runs_once_and_is_served(
        self, service: str, path: str, response: list[bytes]
    ) -> None:
        """An extra response without an ID passed for the request's own."""
        script, runs = precede(*response)
        async with RawServer(script) as runner, start_edge() as edge:
            edge.grant_provider.grants_excluded = True
            edge.add("r1", runner, service)
            for number in (1, 2):
                reply = await edge.async_call(path)
                assert (reply.status, reply.complete) == (200, True)
                assert len(runs) == number

    async def test_one_after_another_request_s_response_is_skipped_too(self) -> None:
        """A new connection proves only its first response to be the request's own."""
        foreign = make_response(503, b"", "X-Request-Id: q0\r\nX-Not-Executed: 1\r\n")
        script = answer(foreign, UNNAMED_REJECTION, make_ok())
        async with RawServer(script) as runner, start_edge() as edge:
            edge.add("r1", runner, "plain")
            reply = await edge.async_call("/once/x")
        assert (reply.status, reply.body) == (200, b"whole")

    async def test_first_response_of_a_connection_is_the_request_s_own(self) -> None:
        async with RawServer(answer(UNNAMED_REJECTION)) as runner, start_edge() as edge:
            edge.add("r1", runner, "plain")
            reply = await edge.async_call("/once/x")
        assert reply.status == 503
        assert len(runner.requests) == 1


class TestUnnamedRequest:
    """Requests that have no ID."""

    async def test_each_has_a_new_connection(self) -> None:
        """An extra response to an earlier request passed for that to a later one."""
        script, runs = precede(make_ok())
        async with RawServer(script) as runner, start_edge() as edge:
            edge.add("r1", runner, "plain")
            await edge.async_call("/once/x")
            reply = await edge.async_call("/once/x", request_id="")
        assert (reply.status, reply.body) == (200, b"whole")
        assert len(runs) == runner.connections == 2
