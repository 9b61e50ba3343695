"""Tests of runners that say in their answers that they leave."""

import asyncio

import pytest
from attrs import evolve

from mangoway.models.signals import LeavingReport

from ..fakes.fleet import make_runner
from ..upstreams.raw_server import RawServer, Script, answer, frame
from .ways import WAYS, async_count_second, choose_last, end_late
from .world import EdgeWorld, make_event, make_ok, make_stream, start_edge

LEAVES = "X-Request-Id: q1\r\nX-Response-Signature: s1\r\nServer-Leaving: 1\r\n"


def leave(edge: EdgeWorld, runner_id: str) -> None:
    """Let an edge hear from others that a runner leaves."""
    said = LeavingReport(runner_id=runner_id, started_ms=0)
    edge.forwarder.signal_tracker.handle_relayed_leaving(said)


class TestStatements:
    """Answers that say so, of all kinds."""

    @pytest.mark.parametrize("status", [200, 421, 500, 503])
    async def test_next_request_goes_to_another_runner(self, status: int) -> None:
        told: list[object] = []
        async with (
            RawServer(answer(frame(status, b"", LEAVES))) as leaving,
            RawServer(answer(make_ok())) as other,
            start_edge() as edge,
        ):
            edge.forwarder.signal_tracker.report_signal = told.append
            edge.add("r1", leaving, "plain")
            choose_last(edge, "r2")
            edge.add("r2", other, "plain")
            for _ in range(3):
                await edge.async_call("/once/x")
        assert len(leaving.requests) == 1
        assert told == [LeavingReport(runner_id="r1", started_ms=0)]

    async def test_stream_says_so_when_it_begins(self) -> None:
        head, *events = make_stream(make_event(1), end=False)
        head = head.replace(b"\r\n\r\n", b"\r\nServer-Leaving: 1\r\n\r\n")
        async with RawServer(answer(head, *events)) as server, start_edge() as edge:
            edge.add("r1", server, "llm")
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.3):
                    await edge.async_call("/stream/x")
            assert edge.view.find_open_runner("r1") is None

    async def test_runs_that_have_begun_go_on(self) -> None:
        headers = LEAVES + "X-Extra: 1\r\n"
        async with RawServer(answer(frame(200, b"whole", headers))) as server:
            async with start_edge() as edge:
                edge.add("r1", server, "plain")
                reply = await edge.async_call("/once/x")
        assert (reply.status, reply.body) == (200, b"whole")

    async def test_new_life_at_the_address_owes_nothing(self) -> None:
        async with RawServer(answer(make_ok())) as server, start_edge() as edge:
            entry = make_runner("r1", service="plain", address=server.address)
            edge.view.take_runner(evolve(entry, started_ms=1000))
            said = LeavingReport(runner_id="r1", started_ms=1000)
            edge.forwarder.signal_tracker.handle_relayed_leaving(said)
            assert edge.view.find_open_runner("r1") is None
            edge.view.take_runner(evolve(entry, started_ms=2000))
            reply = await edge.async_call("/once/x")
        assert reply.status == 200

    async def test_entry_that_comes_back_after_an_outage_changes_nothing(self) -> None:
        async with RawServer(answer(make_ok())) as server, start_edge() as edge:
            edge.add("r1", server, "plain")
            leave(edge, "r1")
            edge.view.remove_runner("r1", now=1e9)
            edge.add("r1", server, "plain")
            reply = await edge.async_call("/once/x")
        assert (reply.status, server.requests) == (503, [])


class TestWays:
    """Each way to a second runner, if that has said that it leaves."""

    @pytest.mark.parametrize(("service", "path", "first"), WAYS)
    async def test_leaving_runner_gets_nothing(
        self, service: str, path: str, first: Script
    ) -> None:
        def prepare(edge: EdgeWorld) -> None:
            leave(edge, "r2")

        assert await async_count_second(service, path, first, prepare) == 0

    async def test_place_at_a_leaving_runner_is_asked_for_anew(self) -> None:
        """Who grants may hear of it later than this edge."""
        async with (
            RawServer(answer(make_ok())) as leaving,
            RawServer(answer(*make_stream(make_event(1)))) as other,
            start_edge() as edge,
        ):
            edge.add("r1", leaving, "llm")
            edge.add("r2", other, "llm")
            leave(edge, "r1")
            reply = await edge.async_call("/stream/x")
        assert (reply.status, leaving.requests) == (200, [])

    async def test_place_that_was_kept_beside_a_silent_runner_is_not_used(self) -> None:
        async with (
            RawServer(end_late) as silent,
            RawServer(answer(make_ok())) as leaving,
            start_edge() as edge,
        ):
            edge.add("r1", silent, "plain")
            choose_last(edge, "r2")
            edge.add("r2", leaving, "plain")
            asyncio.get_running_loop().call_later(0.5, leave, edge, "r2")
            await edge.async_call("/safe/x")
        assert leaving.requests == []
