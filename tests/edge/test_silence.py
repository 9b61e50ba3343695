"""Tests of requests at runners that have gone silent."""

import asyncio
from collections.abc import Callable

import pytest
from attrs import evolve

from mangoway.edge.crash_detector import InterruptedRequest
from mangoway.models.crash import RequestIdentity
from mangoway.policy.scheduling.events import EndKind

from ..upstreams.raw_server import RawServer, Script, answer
from .world import ONCE, SAFE, EdgeWorld, make_event, make_ok, make_stream, start_edge

SEVERAL_SILENCES_S = 2.3
"""Longer than two silences of a route with an objective of 0.4 s."""


def answer_late(*parts: bytes) -> Script:
    """Return a script that responds after several silences."""

    async def run(_: bytes, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(SEVERAL_SILENCES_S)
        writer.writelines(parts)

    return run


def remove(edge: EdgeWorld) -> None:
    """Remove the entry of the silent runner."""
    edge.view.remove_runner("r1", 0.0)


def crash(edge: EdgeWorld) -> None:
    """Let another request's broken connection show that the silent runner crashed.

    Its host still keeps the connections of other requests, without any data.
    """
    entry = edge.view.runners["r1"]
    identity = RequestIdentity("c", "v")
    interrupted = InterruptedRequest(identity=identity, sent_at=0.0, ran_s=0.0)
    edge.forwarder.crash_detector.record_interrupted(entry, interrupted)


class TestSearch:
    """Searches for another runner."""

    @pytest.mark.parametrize(
        ("service", "path"), [("plain", "/safe/x"), ("llm", "/stream/x")]
    )
    async def test_runner_that_appears_after_the_first_search_is_used(
        self, service: str, path: str
    ) -> None:
        """The request waited until its deadline if the first search found nothing."""
        response = [make_ok()] if service == "plain" else make_stream(make_event(1))
        async with (
            RawServer(answer()) as silent,
            RawServer(answer(*response)) as other,
            start_edge() as edge,
        ):
            edge.add("r1", silent, service)
            asyncio.get_running_loop().call_later(
                SEVERAL_SILENCES_S, edge.add, "r2", other, service
            )
            reply = await edge.async_call(path)
        assert (reply.status, reply.complete) == (200, True)

    @pytest.mark.parametrize(
        ("path", "response"),
        [
            ("/once/x", [make_ok()]),
            ("/safe/x", [make_ok()]),
            ("/fixed/x", make_stream(make_event(1))),
        ],
    )
    async def test_response_after_several_silences_is_delivered(
        self, path: str, response: list[bytes]
    ) -> None:
        service = "llm" if path == "/fixed/x" else "plain"
        async with RawServer(answer_late(*response)) as slow, start_edge() as edge:
            edge.add("r1", slow, service)
            reply = await edge.async_call(path)
        assert (reply.status, reply.complete) == (200, True)
        assert len(slow.requests) == 1

    @pytest.mark.parametrize("is_listed", [True, False])
    async def test_request_that_may_not_be_repeated_stays_at_its_runner(
        self, *, is_listed: bool
    ) -> None:
        """It would run twice, although its route allows another attempt."""
        route = evolve(ONCE, max_attempts=2)
        async with (
            RawServer(answer_late(make_ok())) as slow,
            RawServer(answer(make_ok())) as other,
            start_edge((route,)) as edge,
        ):
            edge.add("r1", slow, "plain")
            loop = asyncio.get_running_loop()
            loop.call_later(0.3, edge.add, "r2", other, "plain")
            if not is_listed:
                loop.call_later(0.4, remove, edge)
            reply = await edge.async_call("/once/x")
        assert (reply.status, reply.complete) == (200, True)
        assert other.requests == []


class TestRunnerThatIsGone:
    """Silent runners whose process has ended."""

    @pytest.mark.parametrize("end", [remove, crash])
    async def test_idempotent_request_goes_to_another_runner(
        self, end: Callable[[EdgeWorld], None]
    ) -> None:
        async with (
            RawServer(answer()) as silent,
            RawServer(answer(make_ok())) as other,
            start_edge() as edge,
        ):
            edge.add("r1", silent, "plain")
            asyncio.get_running_loop().call_later(0.4, silent._server.close)
            asyncio.get_running_loop().call_later(0.5, end, edge)
            asyncio.get_running_loop().call_later(0.8, edge.add, "r2", other, "plain")
            reply = await edge.async_call("/safe/x")
        assert reply.status == 200

    @pytest.mark.parametrize("end", [remove, crash])
    async def test_request_that_may_not_be_retried_fails(
        self, end: Callable[[EdgeWorld], None]
    ) -> None:
        """It may have run, so it fails, but not only at its deadline."""
        async with (
            RawServer(answer()) as silent,
            RawServer(answer(make_ok())) as other,
            start_edge() as edge,
        ):
            edge.add("r1", silent, "plain")
            loop = asyncio.get_running_loop()
            loop.call_later(0.3, silent._server.close)
            loop.call_later(0.4, end, edge)
            loop.call_later(0.5, edge.add, "r2", other, "plain")
            reply = await edge.async_call("/once/x")
        assert (reply.status, other.requests) == (502, [])

    async def test_stream_that_may_not_be_resumed_is_broken_off(self) -> None:
        parts = make_stream(make_event(1), end=False)
        async with RawServer(answer(*parts)) as silent, start_edge() as edge:
            edge.add("r1", silent, "llm")
            asyncio.get_running_loop().call_later(0.3, silent._server.close)
            asyncio.get_running_loop().call_later(0.4, remove, edge)
            reply = await edge.async_call("/fixed/x")
        assert (reply.body, reply.complete) == (make_event(1), False)
        assert edge.grant_provider.end_kinds == [EndKind.FAILED]

    async def test_request_without_another_attempt_fails_before_its_deadline(
        self,
    ) -> None:
        """It is idempotent, but its route allows no further runner."""
        route = evolve(SAFE, max_attempts=1)
        async with RawServer(answer()) as silent, start_edge((route,)) as edge:
            edge.add("r1", silent, "plain")
            loop = asyncio.get_running_loop()
            loop.call_later(0.3, silent._server.close)
            loop.call_later(0.4, remove, edge)
            reply = await edge.async_call("/safe/x")
        assert reply.status == 502
