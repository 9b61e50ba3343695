"""Tests of runners that reject requests and request a cooldown."""

import asyncio

import pytest

from mangoway.policy.limits.cooldowns import CooldownReport
from mangoway.policy.scheduling.const import RETRY_SPREAD

from ..upstreams.raw_server import RawServer, Script, answer, make_response
from .second_attempts import (
    SECOND_ATTEMPTS,
    add_load,
    async_list_second_attempts,
    fail_late,
)
from .world import EdgeWorld, make_not_run, make_ok, start_edge

REJECTION_HEADERS = "X-Request-Id: q1\r\nX-Not-Executed: 1\r\nRetry-After: {}\r\n"


def reject(retry_after: str = "3") -> Script:
    return answer(make_response(503, b"", REJECTION_HEADERS.format(retry_after)))


def start_cooldown(edge: EdgeWorld, runner_id: str, duration_s: float = 30.0) -> None:
    """Apply a cooldown that a runner has requested from the edge."""
    report = CooldownReport(
        edge="e1", runner_id=runner_id, started_ms=0, rest_s=duration_s
    )
    tracker = edge.forwarder.signal_tracker
    tracker.cooldowns.update(report, tracker.clock())


class TestCooldowns:
    """Requests to a runner that has requested a cooldown."""

    async def test_runner_receives_nothing_during_a_cooldown(self) -> None:
        async with RawServer(reject("0.4"), answer(make_ok())) as server:
            async with start_edge() as edge:
                edge.add("r1", server, "plain")
                early = [await edge.async_call("/once/x") for _ in range(4)]
                count = len(server.requests)
                await asyncio.sleep(0.45)
                late = await edge.async_call("/once/x")
        assert ([each.status for each in early], count) == ([503] * 4, 1)
        assert late.status == 200

    async def test_callers_receive_the_remaining_cooldown(self) -> None:
        async with RawServer(reject("3")) as server, start_edge() as edge:
            edge.add("r1", server, "plain")
            await edge.async_call("/once/x")
            reply = await edge.async_call("/once/x")
        assert reply.status == 503
        assert 2.5 < float(reply.headers["retry-after"]) <= 3.0 * (1 + RETRY_SPREAD)

    async def test_next_request_goes_to_another_runner(self) -> None:
        async with (
            RawServer(reject()) as cooling_down,
            RawServer(answer(make_ok())) as other,
            start_edge() as edge,
        ):
            edge.add("r1", cooling_down, "plain")
            add_load(edge, "r2")
            edge.add("r2", other, "plain")
            replies = [await edge.async_call("/safe/x") for _ in range(4)]
        assert [each.status for each in replies] == [200] * 4
        assert len(cooling_down.requests) == 1

    async def test_rejection_without_a_cooldown_keeps_the_runner_in_use(self) -> None:
        async with RawServer(answer(make_not_run())) as server, start_edge() as edge:
            edge.add("r1", server, "plain")
            for _ in range(3):
                await edge.async_call("/once/x")
        assert len(server.requests) == 3

    async def test_cooldown_is_reported(self) -> None:
        reports: list[object] = []
        async with RawServer(reject("2.5")) as server, start_edge() as edge:
            edge.forwarder.signal_tracker.report_signal = reports.append
            edge.add("r1", server, "llm")
            edge.grant_provider.drops_rejecting = True
            await edge.async_call("/stream/x")
        assert reports == [
            CooldownReport(edge="e1", runner_id="r1", started_ms=0, rest_s=2.5)
        ]


class TestSecondAttempts:
    """Requests whose second runner has requested a cooldown."""

    @pytest.mark.parametrize(("service", "path", "first"), SECOND_ATTEMPTS)
    async def test_runner_in_a_cooldown_receives_nothing(
        self, service: str, path: str, first: Script
    ) -> None:
        def prepare(edge: EdgeWorld) -> None:
            start_cooldown(edge, "r2")

        assert await async_list_second_attempts(service, path, first, prepare) == []

    async def test_grant_for_a_runner_in_a_cooldown_is_not_used(self) -> None:
        """The scheduler may receive the signal later than this edge."""
        async with RawServer(answer(make_ok())) as cooling_down, start_edge() as edge:
            edge.add("r1", cooling_down, "llm")
            start_cooldown(edge, "r1")
            reply = await edge.async_call("/stream/x")
        assert (reply.status, cooling_down.requests) == (503, [])

    async def test_reserved_runner_is_not_used(self) -> None:
        async with (
            RawServer(fail_late) as silent,
            RawServer(answer(make_ok())) as cooling_down,
            start_edge() as edge,
        ):
            edge.add("r1", silent, "plain")
            add_load(edge, "r2")
            edge.add("r2", cooling_down, "plain")
            asyncio.get_running_loop().call_later(0.5, start_cooldown, edge, "r2")
            await edge.async_call("/safe/x")
        assert cooling_down.requests == []
