"""Tests of how an edge keeps to the limits that runners name."""

import asyncio

import pytest
from attrs import evolve

from mangoway.policy.limits.tracker import LimitReport
from mangoway.policy.scheduling.const import RETRY_SPREAD

from ..upstreams.raw_server import RawServer, Script, answer, frame
from .ways import FAILS, REFUSES, WAYS, async_count_second, choose_last
from .world import EdgeWorld, make_ok, start_edge

NAMED = make_ok(headers="X-Response-Signature: s1\r\nServer-Limit: 2\r\n")


def limit(edge: EdgeWorld, runner_id: str, wait_s: float) -> None:
    """Let a runner be limited, with the next request after a time."""
    said = LimitReport(
        runner_id=runner_id,
        started_ms=0,
        limit=2.0,
        request_age_s=0.0,
        response_age_s=0.0,
    )
    edge.forwarder.signal_tracker.handle_relayed_limit(said)
    edge.grant_provider.permit_waits[runner_id] = wait_s


PLAIN_WAYS = [each for each in WAYS if each.values[0] == "plain"]
"""Places at engines are granted by a scheduler, which keeps to the limit itself."""


async def answer_late(_: bytes, writer: asyncio.StreamWriter) -> None:
    """Answer after a silence in which another runner is looked for."""
    await asyncio.sleep(1.3)
    writer.write(make_ok(b"late"))


STATUSES = [
    pytest.param(answer(make_ok()), 200, id="first"),
    pytest.param(FAILS, 502, id="failure"),
    pytest.param(REFUSES, 503, id="refusal"),
    pytest.param(answer_late, 200, id="silence"),
]
"""What the first runner does, and what the caller gets if no other takes it."""


class TestPlainRunners:
    """Requests for plain services, at each way to a runner."""

    @pytest.mark.parametrize(("first", "status"), STATUSES)
    async def test_caller_gets_what_the_first_runner_leaves_it(
        self, first: Script, status: int
    ) -> None:
        async with (
            RawServer(first) as server,
            RawServer(answer(make_ok())) as limited,
            start_edge() as edge,
        ):
            edge.add("r1", server, "plain")
            choose_last(edge, "r2")
            edge.add("r2", limited, "plain")
            limit(edge, "r2", 0.4)
            reply = await edge.async_call("/safe/x")
        assert limited.requests == []
        assert reply.status == status

    @pytest.mark.parametrize(("service", "path", "first"), PLAIN_WAYS)
    async def test_limited_runner_gets_nothing_without_a_permit(
        self, service: str, path: str, first: Script
    ) -> None:
        def prepare(edge: EdgeWorld) -> None:
            limit(edge, "r2", 0.4)

        assert await async_count_second(service, path, first, prepare) == 0

    @pytest.mark.parametrize("first", [FAILS, REFUSES])
    async def test_permit_lets_a_repeat_go_there(self, first: Script) -> None:
        async with (
            RawServer(first) as server,
            RawServer(answer(make_ok())) as limited,
            start_edge() as edge,
        ):
            edge.add("r1", server, "plain")
            choose_last(edge, "r2")
            edge.add("r2", limited, "plain")
            limit(edge, "r2", 0.0)
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
            choose_last(edge, "r2")
            edge.add("r2", other, "plain")
            limit(edge, "r1", 0.4)
            reply = await edge.async_call("/once/x")
        assert (reply.status, len(limited.requests)) == (200, 0)

    async def test_without_another_runner_it_is_refused_at_once(self) -> None:
        async with RawServer(answer(make_ok())) as server, start_edge() as edge:
            edge.add("r1", server, "plain")
            limit(edge, "r1", 1.25)
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


class TestTelling:
    """What the scheduler hears."""

    async def test_new_limit_is_told_with_what_was_sent_before(self) -> None:
        told: list[LimitReport] = []
        async with RawServer(answer(make_ok()), answer(NAMED)) as server:
            async with start_edge() as edge:
                edge.forwarder.signal_tracker.report_signal = told.append
                edge.add("r1", server, "plain")
                for _ in range(4):
                    await edge.async_call("/once/x")
        assert [(each.limit, each.recent_requests) for each in told] == [(2.0, 2)]

    async def test_end_of_a_limit_is_told(self) -> None:
        told: list[LimitReport] = []
        async with RawServer(answer(NAMED), answer(make_ok())) as server:
            async with start_edge() as edge:
                edge.forwarder.signal_tracker.report_signal = told.append
                edge.add("r1", server, "plain")
                for _ in range(3):
                    await edge.async_call("/once/x")
        assert [each.limit for each in told] == [2.0, None]

    async def test_limit_in_a_refusal_or_failure_is_told(self) -> None:
        told: list[LimitReport] = []
        fields = "X-Request-Id: q1\r\nServer-Limit: {}\r\n"
        scripts = [
            answer(frame(status, b"", fields.format(number)))
            for number, status in enumerate((421, 500, 503))
        ]
        async with RawServer(*scripts) as server, start_edge() as edge:
            edge.forwarder.signal_tracker.report_signal = told.append
            edge.add("r1", server, "plain")
            for _ in scripts:
                await edge.async_call("/once/x")
        assert [each.limit for each in told] == [0.0, 1.0, 2.0]

    async def test_limit_that_others_read_is_answered_with_what_was_sent(self) -> None:
        told: list[LimitReport] = []
        async with RawServer(answer(make_ok())) as server, start_edge() as edge:
            edge.forwarder.signal_tracker.report_signal = told.append
            edge.add("r1", server, "plain")
            for _ in range(3):
                await edge.async_call("/once/x")
            limit(edge, "r1", 0.0)
        assert [each.recent_requests for each in told] == [3]

    async def test_end_that_the_scheduler_missed_is_told_when_it_tells_the_limit(
        self,
    ) -> None:
        """Nobody else would: edges that believe no limit have nothing to tell."""
        told: list[LimitReport] = []
        async with RawServer(answer(NAMED), answer(make_ok())) as server:
            async with start_edge() as edge:
                edge.add("r1", server, "plain")
                await edge.async_call("/once/x")
                [said] = edge.forwarder.signal_tracker.list_limits()
                await edge.async_call("/once/x")
                edge.forwarder.signal_tracker.report_signal = told.append
                edge.forwarder.signal_tracker.handle_relayed_limit(
                    evolve(said, response_age_s=0.3)
                )
        assert [each.limit for each in told] == [None]
        assert edge.forwarder.signal_tracker.list_limits() == []
