"""Tests of runners that signal in their responses that they leave."""

import asyncio

import pytest
from attrs import evolve

from mangoway.models.signals import LeavingReport

from ..fakes.fleet import make_runner
from ..upstreams.raw_server import RawServer, Script, answer, make_response
from .second_attempts import (
    SECOND_ATTEMPTS,
    add_load,
    async_list_second_attempts,
    fail_late,
)
from .world import EdgeWorld, make_event, make_ok, make_stream, start_edge

LEAVING_HEADERS = (
    "X-Request-Id: q1\r\nX-Response-Signature: s1\r\nServer-Leaving: 1\r\n"
)


def report_leaving(edge: EdgeWorld, runner_id: str) -> None:
    """Pass a leaving report to an edge, as if the scheduler had relayed it."""
    report = LeavingReport(runner_id=runner_id, started_ms=0)
    edge.forwarder.signal_tracker.handle_relayed_leaving(report)


class TestSignals:
    """Responses of all kinds that carry the signal."""

    @pytest.mark.parametrize("status", [200, 421, 500, 503])
    async def test_next_request_goes_to_another_runner(self, status: int) -> None:
        reports: list[object] = []
        async with (
            RawServer(answer(make_response(status, b"", LEAVING_HEADERS))) as leaving,
            RawServer(answer(make_ok())) as other,
            start_edge() as edge,
        ):
            edge.forwarder.signal_tracker.report_signal = reports.append
            edge.add("r1", leaving, "plain")
            add_load(edge, "r2")
            edge.add("r2", other, "plain")
            for _ in range(3):
                await edge.async_call("/once/x")
        assert len(leaving.requests) == 1
        assert reports == [LeavingReport(runner_id="r1", started_ms=0)]

    async def test_signal_of_a_stream_applies_when_it_starts(self) -> None:
        head, *events = make_stream(make_event(1), end=False)
        head = head.replace(b"\r\n\r\n", b"\r\nServer-Leaving: 1\r\n\r\n")
        async with RawServer(answer(head, *events)) as server, start_edge() as edge:
            edge.add("r1", server, "llm")
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.3):
                    await edge.async_call("/stream/x")
            assert edge.view.find_open_runner("r1") is None

    async def test_running_request_continues(self) -> None:
        headers = LEAVING_HEADERS + "X-Extra: 1\r\n"
        async with RawServer(answer(make_response(200, b"whole", headers))) as server:
            async with start_edge() as edge:
                edge.add("r1", server, "plain")
                reply = await edge.async_call("/once/x")
        assert (reply.status, reply.body) == (200, b"whole")

    async def test_new_incarnation_at_the_address_is_used(self) -> None:
        async with RawServer(answer(make_ok())) as server, start_edge() as edge:
            entry = make_runner("r1", service="plain", address=server.address)
            edge.view.update_runner(evolve(entry, started_ms=1000))
            report = LeavingReport(runner_id="r1", started_ms=1000)
            edge.forwarder.signal_tracker.handle_relayed_leaving(report)
            assert edge.view.find_open_runner("r1") is None
            edge.view.update_runner(evolve(entry, started_ms=2000))
            reply = await edge.async_call("/once/x")
        assert reply.status == 200

    async def test_entry_restored_after_an_outage_stays_leaving(self) -> None:
        async with RawServer(answer(make_ok())) as server, start_edge() as edge:
            edge.add("r1", server, "plain")
            report_leaving(edge, "r1")
            edge.view.remove_runner("r1", now=1e9)
            edge.add("r1", server, "plain")
            reply = await edge.async_call("/once/x")
        assert (reply.status, server.requests) == (503, [])


class TestSecondAttempts:
    """Requests whose second runner leaves."""

    @pytest.mark.parametrize(("service", "path", "first"), SECOND_ATTEMPTS)
    async def test_leaving_runner_receives_nothing(
        self, service: str, path: str, first: Script
    ) -> None:
        def prepare(edge: EdgeWorld) -> None:
            report_leaving(edge, "r2")

        assert await async_list_second_attempts(service, path, first, prepare) == []

    async def test_grant_for_a_leaving_runner_is_requested_again(self) -> None:
        """The scheduler may receive the signal later than this edge."""
        async with (
            RawServer(answer(make_ok())) as leaving,
            RawServer(answer(*make_stream(make_event(1)))) as other,
            start_edge() as edge,
        ):
            edge.add("r1", leaving, "llm")
            edge.add("r2", other, "llm")
            report_leaving(edge, "r1")
            reply = await edge.async_call("/stream/x")
        assert (reply.status, leaving.requests) == (200, [])

    async def test_reserved_runner_is_not_used(self) -> None:
        async with (
            RawServer(fail_late) as silent,
            RawServer(answer(make_ok())) as leaving,
            start_edge() as edge,
        ):
            edge.add("r1", silent, "plain")
            add_load(edge, "r2")
            edge.add("r2", leaving, "plain")
            asyncio.get_running_loop().call_later(0.5, report_leaving, edge, "r2")
            await edge.async_call("/safe/x")
        assert leaving.requests == []
