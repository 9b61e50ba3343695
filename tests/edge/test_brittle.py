"""Tests of runners that end if they reject too many requests within a second."""

import asyncio

import pytest

from mangoway.platform.signals import decode_signals
from mangoway.policy.limits.const import MAX_BRITTLE_REST_S
from mangoway.policy.limits.cooldowns import compute_brittle_rest_s

from ..upstreams.raw_server import RawServer, answer, make_response
from .unreachable import introduce
from .world import make_ok, start_edge

BRITTLE = "Server-Brittle: 4\r\n"
FULL = make_response(503, b"", f"X-Request-Id: q1\r\nX-Not-Executed: 1\r\n{BRITTLE}")


class TestDecoding:
    """The header field in a runner's response."""

    @pytest.mark.parametrize(
        ("values", "expected"),
        [((b"4",), 4.0), ((b"4", b"2"), 2.0), ((b"x",), None), ((), None)],
    )
    def test_strictest_valid_value_counts(
        self, values: tuple[bytes, ...], expected: float | None
    ) -> None:
        headers = tuple((b"Server-Brittle", each) for each in values)
        assert decode_signals(headers, 200).brittle == expected


class TestCooldown:
    """The cooldown of an edge after a rejection."""

    @pytest.mark.parametrize("edges", [1, 9, 73])
    def test_all_edges_together_cause_no_more_rejections(self, edges: int) -> None:
        rest_s = compute_brittle_rest_s(50.0, edges)
        assert edges / rest_s <= 50.0

    def test_runner_that_may_reject_none_is_tried_rarely(self) -> None:
        assert compute_brittle_rest_s(0.0, 9) == MAX_BRITTLE_REST_S


class TestRejection:
    """Requests to a brittle runner that is full."""

    async def test_rejection_keeps_further_requests_away(self) -> None:
        async with (
            RawServer(answer(FULL)) as runner,
            start_edge() as edge,
            start_edge(incarnation="e2") as other,
        ):
            introduce(edge, other)
            edge.add("r1", runner, "plain")
            for _ in range(5):
                reply = await edge.async_call("/once/x")
                assert reply.status == 503
            assert len(runner.requests) == 1
            await asyncio.sleep(0.6)
            await edge.async_call("/once/x")
        assert len(runner.requests) == 2

    async def test_success_starts_no_cooldown(self) -> None:
        ok = make_ok(headers=f"X-Response-Signature: s1\r\n{BRITTLE}")
        async with RawServer(answer(ok)) as runner, start_edge() as edge:
            edge.add("r1", runner, "plain")
            for _ in range(3):
                assert (await edge.async_call("/once/x")).status == 200
        assert len(runner.requests) == 3
