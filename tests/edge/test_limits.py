"""Tests of the rate limits that runners signal."""

import asyncio

import pytest
from attrs import evolve

from mangoway.policy.limits.tracker import LimitReport
from mangoway.policy.scheduling.const import RETRY_SPREAD

from ..upstreams.raw_server import RawServer, Script, answer, cut, make_response
from .second_attempts import (
    FAILS,
    REJECTS,
    SECOND_ATTEMPTS,
    add_load,
    async_list_second_attempts,
)
from .world import EdgeWorld, make_ok, start_edge

LIMITED = make_ok(headers="X-Response-Signature: s1\r\nServer-Limit: 2\r\n")


def limit_runner(edge: EdgeWorld, runner_id: str, wait_s: float) -> None:
    """Apply a limit to a runner whose next permit is available after `wait_s`."""
    report = LimitReport(
        runner_id=runner_id,
        started_ms=0,
        limit=2.0,
        request_age_s=0.0,
        response_age_s=0.0,
    )
    edge.forwarder.signal_tracker.handle_relayed_limit(report)
    edge.grant_provider.permit_waits_s[runner_id] = wait_s


PLAIN_SECOND_ATTEMPTS = [each for each in SECOND_ATTEMPTS if each.values[0] == "plain"]
"""Cases at plain services. Where runners have an engine, the scheduler applies their
limits as it grants."""


async def answer_late(_: bytes, writer: asyncio.StreamWriter) -> None:
    """Respond after a silence in which another runner is searched for."""
    await asyncio.sleep(1.3)
    writer.write(make_ok(b"late"))


FIRST_ATTEMPTS = [
    pytest.param(answer(make_ok()), 200, id="first"),
    pytest.param(FAILS, 502, id="failure"),
    pytest.param(REJECTS, 503, id="refusal"),
    pytest.param(answer_late, 200, id="silence"),
]
"""Script of the first runner, and the caller's status if no other runner is used."""


class TestPlainRunners:
    """Attempts of requests for plain services."""

    @pytest.mark.parametrize(("first", "status"), FIRST_ATTEMPTS)
    async def test_caller_receives_the_result_of_the_first_runner(
        self, first: Script, status: int
    ) -> None:
        async with (
            RawServer(first) as server,
            RawServer(answer(make_ok())) as limited,
            start_edge() as edge,
        ):
            edge.add("r1", server, "plain")
            add_load(edge, "r2")
            edge.add("r2", limited, "plain")
            limit_runner(edge, "r2", 0.4)
            reply = await edge.async_call("/safe/x")
        assert limited.requests == []
        assert reply.status == status

    @pytest.mark.parametrize(("service", "path", "first"), PLAIN_SECOND_ATTEMPTS)
    async def test_limited_runner_receives_nothing_without_a_permit(
        self, service: str, path: str, first: Script
    ) -> None:
        def prepare(edge: EdgeWorld) -> None:
            limit_runner(edge, "r2", 0.4)

        assert await async_list_second_attempts(service, path, first, prepare) == []

    @pytest.mark.parametrize("first", [FAILS, REJECTS])
    async def test_permit_allows_a_retry(self, first: Script) -> None:
        async with (
            RawServer(first) as server,
            RawServer(answer(make_ok())) as limited,
            start_edge() as edge,
        ):
            edge.add("r1", server, "plain")
            add_load(edge, "r2")
            edge.add("r2", limited, "plain")
            limit_runner(edge, "r2", 0.0)
            reply = await edge.async_call("/safe/x")
        assert reply.status == 200
        assert edge.grant_provider.permits == ["r2"]

    async def test_request_goes_to_another_runner_at_once(self) -> None:
        async with (
            RawServer(answer(make_ok())) as limited,
            RawServer(answer(make_ok())) as other,
            start_edge() as edge,
        ):
            edge.add("r1", limited, "plain")
            add_load(edge, "r2")
            edge.add("r2", other, "plain")
            limit_runner(edge, "r1", 0.4)
            reply = await edge.async_call("/once/x")
        assert (reply.status, len(limited.requests)) == (200, 0)

    async def test_request_without_another_runner_is_rejected_at_once(self) -> None:
        async with RawServer(answer(make_ok())) as server, start_edge() as edge:
            edge.add("r1", server, "plain")
            limit_runner(edge, "r1", 1.25)
            reply = await edge.async_call("/once/x")
        assert reply.status == 503
        assert 1.25 <= float(reply.headers["retry-after"]) <= 1.25 * (1 + RETRY_SPREAD)
        assert b"take no more requests" in reply.body
        assert server.requests == []

    async def test_runner_without_a_limit_needs_no_permit(self) -> None:
        async with RawServer(answer(make_ok())) as server, start_edge() as edge:
            edge.add("r1", server, "plain")
            await edge.async_call("/once/x")
        assert edge.grant_provider.permits == []


class TestReports:
    """Limits that are reported to the scheduler."""

    async def test_new_limit_is_reported_with_recent_requests(self) -> None:
        reports: list[LimitReport] = []
        async with RawServer(answer(make_ok()), answer(LIMITED)) as server:
            async with start_edge() as edge:
                edge.forwarder.signal_tracker.report_signal = reports.append
                edge.add("r1", server, "plain")
                for _ in range(4):
                    await edge.async_call("/once/x")
        assert [(each.limit, each.recent_requests) for each in reports] == [(2.0, 2)]

    async def test_end_of_a_limit_is_reported(self) -> None:
        reports: list[LimitReport] = []
        async with RawServer(answer(LIMITED), answer(make_ok())) as server:
            async with start_edge() as edge:
                edge.forwarder.signal_tracker.report_signal = reports.append
                edge.add("r1", server, "plain")
                for _ in range(3):
                    await edge.async_call("/once/x")
        assert [each.limit for each in reports] == [2.0, None]

    async def test_broken_response_ends_no_limit(self) -> None:
        """Its head may be bytes of a faulty runner that look like one."""
        head = make_ok(b"half").replace(b"Content-Length: 4", b"Content-Length: 9")
        async with RawServer(cut(head)) as runner, start_edge() as edge:
            edge.add("r1", runner, "plain")
            limit_runner(edge, "r1", 0.0)
            reply = await edge.async_call("/once/x")
            limits = edge.forwarder.signal_tracker.limits
            assert reply.status == 502
            assert limits.get_limit("r1", 0) == 2.0

    async def test_limit_in_a_rejection_or_failure_is_reported(self) -> None:
        reports: list[LimitReport] = []
        headers = "X-Request-Id: q1\r\nServer-Limit: {}\r\n"
        scripts = [
            answer(make_response(status, b"", headers.format(number)))
            for number, status in enumerate((421, 500, 503))
        ]
        async with RawServer(*scripts) as server, start_edge() as edge:
            edge.forwarder.signal_tracker.report_signal = reports.append
            edge.add("r1", server, "plain")
            for _ in scripts:
                await edge.async_call("/once/x")
        assert [each.limit for each in reports] == [0.0, 1.0, 2.0]

    async def test_relayed_limit_is_answered_with_recent_requests(self) -> None:
        reports: list[LimitReport] = []
        async with RawServer(answer(make_ok())) as server, start_edge() as edge:
            edge.forwarder.signal_tracker.report_signal = reports.append
            edge.add("r1", server, "plain")
            for _ in range(3):
                await edge.async_call("/once/x")
            limit_runner(edge, "r1", 0.0)
        assert [each.recent_requests for each in reports] == [3]

    async def test_missed_end_is_reported_when_the_limit_is_relayed(self) -> None:
        """An edge that knows no limit reports no end of one, so it would stay."""
        reports: list[LimitReport] = []
        async with RawServer(answer(LIMITED), answer(make_ok())) as server:
            async with start_edge() as edge:
                edge.add("r1", server, "plain")
                await edge.async_call("/once/x")
                [report] = edge.forwarder.signal_tracker.list_limits()
                await edge.async_call("/once/x")
                edge.forwarder.signal_tracker.report_signal = reports.append
                edge.forwarder.signal_tracker.handle_relayed_limit(
                    evolve(report, response_age_s=0.3)
                )
        assert [each.limit for each in reports] == [None]
        assert edge.forwarder.signal_tracker.list_limits() == []
