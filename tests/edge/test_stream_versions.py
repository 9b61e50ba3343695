"""Tests of streams that go on while runners of several software versions serve."""

import asyncio

import pytest

from mangoway.models.routing import RouteKind

from ..fakes.fleet import make_route
from ..upstreams.raw_server import RawServer, answer, cut
from .second_attempts import add_load
from .world import STREAM, make_event, make_stream, start_edge

PLAIN_STREAM = make_route(
    RouteKind.STREAMING, service="plain", prefix="/plain/", resumable=True
)
BEGUN = cut(*make_stream(make_event(1), end=False))
REST = answer(*make_stream(make_event(2)))
WHOLE = make_event(1) + make_event(2)


class TestResumption:
    """Streams that an edge resumes after their runner has broken off."""

    @pytest.mark.parametrize(
        ("path", "service"), [("/stream/x", "llm"), ("/plain/x", "plain")]
    )
    @pytest.mark.parametrize(("first", "other"), [("v1", "v2"), ("v1", ""), ("", "v1")])
    async def test_stream_does_not_go_on_at_another_version(
        self, first: str, other: str, path: str, service: str
    ) -> None:
        async with (
            RawServer(BEGUN) as bad,
            RawServer(REST) as good,
            start_edge((STREAM, PLAIN_STREAM)) as edge,
        ):
            edge.add("r1", bad, service, first)
            edge.add("r2", good, service, other)
            add_load(edge, "r2")
            reply = await edge.async_call(path)
        assert (reply.body, reply.complete) == (make_event(1), False)
        assert good.requests == []

    @pytest.mark.parametrize("version", ["v1", ""])
    @pytest.mark.parametrize(
        ("path", "service"), [("/stream/x", "llm"), ("/plain/x", "plain")]
    )
    async def test_stream_goes_on_at_the_same_version(
        self, path: str, service: str, version: str
    ) -> None:
        async with (
            RawServer(BEGUN) as bad,
            RawServer(REST) as good,
            start_edge((STREAM, PLAIN_STREAM)) as edge,
        ):
            edge.add("r1", bad, service, version)
            edge.add("r2", good, service, version)
            add_load(edge, "r2")
            reply = await edge.async_call(path)
        assert (reply.body, reply.complete) == (WHOLE, True)

    async def test_unstated_versions_are_not_equal_beside_a_stated_one(self) -> None:
        async with (
            RawServer(BEGUN) as bad,
            RawServer(REST) as good,
            RawServer(REST) as stated,
            start_edge() as edge,
        ):
            edge.add("r1", bad, "llm")
            edge.add("r2", good, "llm")
            edge.add("r3", stated, "llm", "v1")
            reply = await edge.async_call("/stream/x")
        assert (reply.body, reply.complete) == (make_event(1), False)

    async def test_runner_of_the_version_is_requested_from_the_scheduler(self) -> None:
        async with (
            RawServer(BEGUN) as bad,
            RawServer(REST) as good,
            start_edge() as edge,
        ):
            edge.add("r1", bad, "llm", "v1")
            edge.add("r2", good, "llm", "v1")
            await edge.async_call("/stream/x")
            versions = [
                each.software_version for each in edge.grant_provider.grant_requests
            ]
        assert versions == ["", "v1"]

    async def test_scheduler_that_ignores_versions_is_asked_for_another_runner(
        self,
    ) -> None:
        async with (
            RawServer(BEGUN) as bad,
            RawServer(REST) as other,
            RawServer(REST) as good,
            start_edge() as edge,
        ):
            edge.add("r1", bad, "llm", "v1")
            edge.add("r2", other, "llm", "v2")
            edge.add("r3", good, "llm", "v1")
            reply = await edge.async_call("/stream/x")
        assert (reply.body, reply.complete) == (WHOLE, True)
        assert other.requests == []

    async def test_resumption_is_counted(self) -> None:
        async with (
            RawServer(BEGUN) as bad,
            RawServer(REST) as good,
            start_edge() as edge,
        ):
            edge.add("r1", bad, "llm", "v1")
            edge.add("r2", good, "llm", "v1")
            await edge.async_call("/stream/x")
            counted = edge.forwarder.metrics.resumed_streams.get("llm", "edge", "same")
        assert counted == 1


class TestSilence:
    """Streams whose runner goes silent."""

    async def test_silent_stream_stays_without_another_runner_of_its_version(
        self,
    ) -> None:
        async with (
            RawServer(answer(*make_stream(make_event(1), end=False))) as silent,
            RawServer(REST) as other,
            start_edge() as edge,
        ):
            edge.add("r1", silent, "llm", "v1")
            edge.add("r2", other, "llm", "v2")
            call = asyncio.create_task(edge.async_call("/stream/x"))
            await asyncio.sleep(1.5)
            call.cancel()
        assert other.requests == []
