"""Tests of streams that go on while runners of several software versions serve."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import pytest
from attrs import define, evolve

from mangoway.edge.identity import identify_stream
from mangoway.models.routing import RouteKind, TrafficShare
from mangoway.models.streams import StreamOrigin

from ..fakes.fleet import make_route
from ..fakes.version_records import record_current_versions
from ..upstreams.raw_server import RawServer, Script, answer, cut
from .second_attempts import add_load
from .unreachable import (
    RUNNERS,
    add_runners,
    introduce,
    make_member,
    reserve_refusing_address,
)
from .world import STREAM, EdgeWorld, make_event, make_stream, start_edge

PLAIN_STREAM = make_route(
    RouteKind.STREAMING, service="plain", prefix="/plain/", resumable=True
)
BEGUN = cut(*make_stream(make_event(1), end=False))
RESUMED = "Last-Event-Id: 1\r\nResumes: q0\r\n"
REST = answer(*make_stream(make_event(2)))
WHOLE = make_event(1) + make_event(2)


@define
class BrokenStream:
    """A stream of which one event was written, and the runners that could go on."""

    edge: EdgeWorld
    others: list[RawServer]

    def count_requests(self) -> list[int]:
        """Return the number of requests at each of the other runners."""
        return [len(each.requests) for each in self.others]


@asynccontextmanager
async def start_broken_stream(
    *versions: str, service: str = "llm", first: Script = BEGUN
) -> AsyncIterator[BrokenStream]:
    """Start an edge and runners, the first of which gets the request and breaks off.

    Args:
        versions: Software version of each runner.
        service: Service of the runners.
        first: What the first runner does.
    """
    async with AsyncExitStack() as stack:
        scripts = [first, *(REST for _ in versions[1:])]
        servers = [await stack.enter_async_context(RawServer(each)) for each in scripts]
        edge = await stack.enter_async_context(start_edge((STREAM, PLAIN_STREAM)))
        for number, (server, version) in enumerate(zip(servers, versions, strict=True)):
            edge.add(f"r{number}", server, service, version)
            if number:
                add_load(edge, f"r{number}")
        yield BrokenStream(edge, servers[1:])


class TestResumption:
    """Streams that an edge resumes after their runner has broken off."""

    @pytest.mark.parametrize(
        ("path", "service"), [("/stream/x", "llm"), ("/plain/x", "plain")]
    )
    @pytest.mark.parametrize(("first", "other"), [("v1", "v2"), ("v1", ""), ("", "v1")])
    async def test_stream_does_not_go_on_at_another_version(
        self, first: str, other: str, path: str, service: str
    ) -> None:
        async with start_broken_stream(first, other, service=service) as stream:
            reply = await stream.edge.async_call(path)
            assert stream.count_requests() == [0]
        assert (reply.body, reply.complete) == (make_event(1), False)

    @pytest.mark.parametrize("version", ["v1", ""])
    @pytest.mark.parametrize(
        ("path", "service"), [("/stream/x", "llm"), ("/plain/x", "plain")]
    )
    async def test_stream_goes_on_at_the_same_version(
        self, path: str, service: str, version: str
    ) -> None:
        async with start_broken_stream(version, version, service=service) as stream:
            reply = await stream.edge.async_call(path)
        assert (reply.body, reply.complete) == (WHOLE, True)

    async def test_unstated_versions_are_not_equal_beside_a_stated_one(self) -> None:
        async with start_broken_stream("", "", "v1") as stream:
            reply = await stream.edge.async_call("/stream/x")
        assert (reply.body, reply.complete) == (make_event(1), False)

    @pytest.mark.parametrize(("other", "requested"), [("v2", "v1"), ("v1", "")])
    async def test_version_is_requested_if_it_excludes_any_runner(
        self, other: str, requested: str
    ) -> None:
        """With one version, a model may be loaded at any runner for the stream."""
        async with start_broken_stream("v1", "v1", other) as stream:
            await stream.edge.async_call("/stream/x")
            requests = stream.edge.grant_provider.grant_requests
        assert [each.software_version for each in requests] == ["", requested]

    async def test_scheduler_that_ignores_versions_is_asked_for_another_runner(
        self,
    ) -> None:
        async with start_broken_stream("v1", "v2", "v1") as stream:
            reply = await stream.edge.async_call("/stream/x")
            assert stream.count_requests() == [0, 1]
        assert (reply.body, reply.complete) == (WHOLE, True)

    async def test_resumption_is_counted(self) -> None:
        async with start_broken_stream("v1", "v1") as stream:
            await stream.edge.async_call("/stream/x")
            counter = stream.edge.forwarder.metrics.resumed_streams
        assert counter.get("llm", "edge", "same") == 1


class TestSilence:
    """Streams whose runner goes silent."""

    async def test_silent_stream_stays_without_another_runner_of_its_version(
        self,
    ) -> None:
        silent = answer(*make_stream(make_event(1), end=False))
        async with start_broken_stream("v1", "v2", first=silent) as stream:
            call = asyncio.create_task(stream.edge.async_call("/stream/x"))
            await asyncio.sleep(1.5)
            call.cancel()
            assert stream.count_requests() == [0]


def record(edge: EdgeWorld, version: str, customer: str | None = None) -> None:
    """Let an edge have a record of the stream that `RESUMED` names."""
    origin = StreamOrigin(service="llm", software_version=version, runner_id="")
    digest = identify_stream(customer, "q0")
    edge.forwarder.stream_origins.record(digest, origin, STREAM)


class TestCallers:
    """Streams that a caller resumes, having lost or left another edge."""

    @pytest.mark.parametrize("version", ["v1", "v2"])
    async def test_stream_goes_on_at_the_recorded_version(self, version: str) -> None:
        async with (
            RawServer(REST) as first,
            RawServer(REST) as second,
            start_edge() as edge,
        ):
            edge.add("r1", first, "llm", "v1")
            edge.add("r2", second, "llm", "v2")
            record(edge, version)
            reply = await edge.async_call("/stream/x", headers=RESUMED)
            [request] = edge.grant_provider.grant_requests[-1:]
        assert (reply.body, reply.complete) == (make_event(2), True)
        assert len(first.requests) == (version == "v1")
        assert len(second.requests) == (version == "v2")
        assert request.software_version == version
        assert request.interrupted

    @pytest.mark.parametrize(
        "headers",
        [
            pytest.param(RESUMED, id="unknown"),
            pytest.param("Last-Event-Id: 1\r\n", id="unnamed"),
        ],
    )
    async def test_stream_of_unknown_version_is_rejected(self, headers: str) -> None:
        async with (
            RawServer(REST) as first,
            RawServer(REST) as second,
            start_edge() as edge,
        ):
            edge.add("r1", first, "llm", "v1")
            edge.add("r2", second, "llm", "v2")
            record(edge, "v1", customer="somebody else")
            reply = await edge.async_call("/stream/x", headers=headers)
        assert reply.status == 503
        assert "retry-after" not in reply.headers
        assert first.requests == second.requests == []

    async def test_stream_may_be_sent_again_if_a_peer_has_not_answered(self) -> None:
        async with RawServer(REST) as runner, start_edge() as edge:
            edge.add("r1", runner, "llm", "v1")
            edge.add("r2", runner, "llm", "v2")
            silent = evolve(make_member("e2", edge), peer_address="127.0.0.1:9")
            edge.view.update_member("members/edge/e2", silent)
            reply = await edge.async_call("/stream/x", headers=RESUMED)
        assert reply.status == 503
        assert "retry-after" in reply.headers
        assert runner.requests == []

    async def test_stream_of_a_moved_route_is_not_sent_to_the_new_service(self) -> None:
        async with RawServer(REST) as runner, start_edge() as edge:
            edge.add("r1", runner, "llm", "v1")
            edge.add("r2", runner, "plain", "v1")
            record_current_versions(edge.view)
            edge.forwarder.stream_origins.update()
            assert edge.view.table is not None
            shares = (TrafficShare(service="plain", weight=1.0),)
            routes = tuple(
                evolve(each, shares=shares) if each.prefix == "/stream/" else each
                for each in edge.view.table.routes
            )
            edge.view.apply_table(evolve(edge.view.table, version=9, routes=routes))
            edge.forwarder.stream_origins.update()
            reply = await edge.async_call("/stream/x", headers=RESUMED)
        assert reply.status == 503
        assert runner.requests == []

    async def test_stream_whose_version_has_left_is_rejected(self) -> None:
        async with RawServer(REST) as runner, start_edge() as edge:
            edge.add("r1", runner, "llm", "v2")
            record(edge, "v1")
            reply = await edge.async_call("/stream/x", headers=RESUMED)
        assert reply.status == 503
        assert "retry-after" not in reply.headers
        assert runner.requests == []

    async def test_stream_may_be_sent_again_while_no_runner_is_there(self) -> None:
        async with RawServer(REST) as runner, start_edge() as edge:
            edge.add("r1", runner, "llm", "v1")
            record(edge, "v1")
            edge.view.remove_runner("r1", 0.0)
            edge.grant_provider.runner_ids.clear()
            reply = await edge.async_call("/stream/x", headers=RESUMED)
        assert reply.status == 503
        assert "retry-after" in reply.headers

    async def test_stream_of_unknown_version_goes_on_if_there_is_only_one(self) -> None:
        async with RawServer(REST) as runner, start_edge() as edge:
            edge.add("r1", runner, "llm", "v1")
            record_current_versions(edge.view)
            reply = await edge.async_call("/stream/x", headers=RESUMED)
        assert (reply.body, reply.complete) == (make_event(2), True)
        assert b"\r\nResumes: q0\r\n" in runner.requests[0]

    async def test_stream_may_be_sent_again_until_the_store_lists_the_versions(
        self,
    ) -> None:
        async with RawServer(REST) as runner, start_edge() as edge:
            edge.add("r1", runner, "llm", "v1")
            reply = await edge.async_call("/stream/x", headers=RESUMED)
        assert reply.status == 503
        assert "retry-after" in reply.headers
        assert runner.requests == []

    async def test_stream_of_two_listed_versions_is_to_begin_anew(self) -> None:
        async with RawServer(REST) as runner, start_edge() as edge:
            edge.add("r1", runner, "llm", "v1")
            record_current_versions(edge.view)
            edge.view.remove_runner("r1", 0.0)
            edge.add("r2", runner, "llm", "v2")
            edge.view.update_version_record("v2", ("llm", "v2"))
            reply = await edge.async_call("/stream/x", headers=RESUMED)
        assert reply.status == 503
        assert "retry-after" not in reply.headers
        assert b"begin the stream anew" in reply.body
        assert runner.requests == []

    async def test_new_stream_is_not_searched_for(self) -> None:
        async with (
            RawServer(answer(*make_stream(make_event(1)))) as first,
            RawServer(REST) as second,
            start_edge() as edge,
        ):
            edge.add("r1", first, "llm", "v1")
            edge.add("r2", second, "llm", "v2")
            reply = await edge.async_call("/stream/x", headers="Resumes: q0\r\n")
        assert (reply.body, reply.complete) == (make_event(1), True)

    async def test_stream_that_has_begun_is_recorded_under_its_request(self) -> None:
        async with (
            RawServer(answer(*make_stream(make_event(1)))) as runner,
            start_edge() as edge,
        ):
            edge.add("r1", runner, "llm", "v1")
            await edge.async_call("/stream/x")
            records = edge.forwarder.stream_origins.records
            found = records.find(identify_stream(None, "q1"))
        assert found is not None
        assert found.software_version == "v1"

    async def test_runner_without_a_version_is_requested_by_its_id(self) -> None:
        origin = StreamOrigin(service="llm", software_version="", runner_id="r1")
        async with RawServer(REST) as runner, start_edge() as edge:
            edge.add("r1", runner, "llm")
            edge.add("r2", runner, "llm", "v2")
            edge.forwarder.stream_origins.record(
                identify_stream(None, "q0"), origin, STREAM
            )
            reply = await edge.async_call("/stream/x", headers=RESUMED)
            [request] = edge.grant_provider.grant_requests
        assert reply.complete
        assert request.only == ("r1",)

    async def test_stream_stays_at_the_service_that_began_it(self) -> None:
        shares = (
            TrafficShare(service="other", weight=1000.0),
            TrafficShare(service="llm", weight=0.001),
        )
        route = evolve(STREAM, shares=shares)
        async with RawServer(REST) as runner, start_edge((route,)) as edge:
            edge.add("r1", runner, "llm", "v1")
            record(edge, "v1")
            reply = await edge.async_call("/stream/x", headers=RESUMED)
        assert (reply.body, reply.complete) == (make_event(2), True)


class TestRelay:
    """Streams at an edge that reaches no runner."""

    @pytest.mark.parametrize("known", [True, False])
    async def test_peer_decides_by_what_it_knows(self, known: bool) -> None:
        with reserve_refusing_address() as refusing:
            async with (
                RawServer(REST) as runner,
                start_edge() as edge,
                start_edge(incarnation="e2") as peer,
            ):
                introduce(edge, peer)
                add_runners(edge, refusing)
                for number in range(RUNNERS):
                    peer.add(f"llm-{number}", runner, "llm", f"v{number % 2}")
                if known:
                    record(peer, "v1")
                edge.forwarder.connector.start_check(0.0)
                await edge.forwarder.connector.async_settle()
                assert edge.forwarder.connector.reach.is_lost
                reply = await edge.async_call("/stream/x", headers=RESUMED)
        assert (reply.status, reply.body) == (
            (200, make_event(2)) if known else (503, reply.body)
        )
        assert len(runner.requests) == known
