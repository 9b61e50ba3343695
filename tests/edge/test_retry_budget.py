"""Tests of the retry budget, for each kind of attempt at a second runner."""

import asyncio

import pytest

from mangoway.edge.const import RETRY_BUDGET_SPENT_REASON
from mangoway.models.routing import RouteKind
from mangoway.policy.edge.const import SAVED_SHARE
from mangoway.policy.edge.retry_budget import RetryLimits

from ..fakes.fleet import make_route
from ..upstreams.raw_server import RawServer, Script, answer, cut
from .second_attempts import SECOND_ATTEMPTS, add_load, fail_late
from .world import (
    RETRY_LIMITS,
    EdgeWorld,
    make_event,
    make_not_run,
    make_ok,
    make_stream,
    start_edge,
)

SAVED_CREDITS = RETRY_LIMITS.slack * SAVED_SHARE
NO_RETRIES = RetryLimits(ratio=0.0, slack=0.0, window_s=10.0)

SERVES = answer(make_ok())
RESUMES = answer(*make_stream(make_event(1), make_event(2)))
SECOND_SCRIPTS = {"plain": SERVES, "llm": RESUMES}
"""Script of the second runner of each service."""


async def async_call_with_two_runners(
    service: str, path: str, first: Script, limits: RetryLimits
) -> tuple[int, EdgeWorld]:
    """Call once; return how often the second runner received it, and the edge."""
    async with (
        RawServer(first) as bad,
        RawServer(SECOND_SCRIPTS[service]) as good,
        start_edge(limits=limits) as edge,
    ):
        edge.add("r1", bad, service)
        add_load(edge, "r2")
        edge.add("r2", good, service)
        edge.grant_provider.drops_rejecting = True
        await edge.async_call(path)
        assert len(bad.requests) == 1
        return len(good.requests), edge


class TestCredits:
    """Each attempt beyond the first uses one credit, taken before it is sent."""

    @pytest.mark.parametrize(("service", "path", "first"), SECOND_ATTEMPTS)
    async def test_retry_takes_one_credit(
        self, service: str, path: str, first: Script
    ) -> None:
        limits = RetryLimits(ratio=0.2, slack=50.0, window_s=1e9)
        second_requests, edge = await async_call_with_two_runners(
            service, path, first, limits
        )
        budget = edge.forwarder.retry_budgets.get(service)
        assert (second_requests, budget.repeats, budget.held) == (1, 1, 0)
        assert budget.balance == pytest.approx(SAVED_CREDITS - 1)

    @pytest.mark.parametrize(("service", "path", "first"), SECOND_ATTEMPTS)
    async def test_nothing_is_retried_without_credit(
        self, service: str, path: str, first: Script
    ) -> None:
        second_requests, edge = await async_call_with_two_runners(
            service, path, first, NO_RETRIES
        )
        assert second_requests == 0
        assert edge.forwarder.retry_budgets.get(service).refused > 0

    async def test_attempt_that_reached_no_runner_takes_no_credit(self) -> None:
        async with RawServer(answer(make_ok())) as good, start_edge() as edge:
            gone = RawServer()
            async with gone:
                edge.add("r1", gone, "plain")
            add_load(edge, "r2")
            edge.add("r2", good, "plain")
            reply = await edge.async_call("/safe/x")
        assert reply.status == 200
        budget = edge.forwarder.retry_budgets.get("plain")
        assert (budget.repeats, budget.held) == (0, 0)

    async def test_two_retries_take_two_credits(self) -> None:
        route = make_route(
            RouteKind.SAFE, service="plain", prefix="/safe/", max_attempts=3
        )
        async with (
            RawServer(cut(b"")) as first,
            RawServer(cut(b"")) as second,
            RawServer(answer(make_ok())) as third,
            start_edge(routes=(route,)) as edge,
        ):
            for number, server in enumerate((first, second, third)):
                edge.add(f"r{number}", server, "plain")
            for runner_id in ("r1", "r2", "r2"):
                add_load(edge, runner_id)
            reply = await edge.async_call("/safe/x")
        assert reply.status == 200
        assert edge.forwarder.retry_budgets.get("plain").repeats == 2

    async def test_credit_of_an_unsent_attempt_is_used_for_the_next(self) -> None:
        async with (
            RawServer(cut(b"")) as bad,
            RawServer(answer(make_ok())) as good,
            start_edge() as edge,
        ):
            gone = RawServer()
            async with gone:
                edge.add("r2", gone, "plain")
            edge.add("r1", bad, "plain")
            edge.add("r3", good, "plain")
            for runner_id in ("r2", "r3", "r3"):
                add_load(edge, runner_id)
            reply = await edge.async_call("/safe/x")
        assert reply.status == 200
        assert edge.forwarder.retry_budgets.get("plain").repeats == 1

    async def test_request_without_a_retry_takes_no_credit(self) -> None:
        async with RawServer(cut(b"")) as bad, start_edge() as edge:
            edge.add("r1", bad, "plain")
            await edge.async_call("/once/x")
        assert edge.forwarder.retry_budgets.get("plain").repeats == 0

    async def test_rejected_grant_takes_no_credit(self) -> None:
        async with RawServer(cut(b"")) as bad, start_edge() as edge:
            edge.add("r1", bad, "llm")
            await edge.async_call("/stream/x")
        budget = edge.forwarder.retry_budgets.get("llm")
        assert budget.balance == pytest.approx(SAVED_CREDITS)
        assert budget.held == 0

    async def test_disconnected_caller_holds_no_credit(self) -> None:
        async with (
            RawServer(cut(b"")) as bad,
            RawServer(answer()) as silent,
            start_edge() as edge,
        ):
            edge.add("r1", bad, "plain")
            add_load(edge, "r2")
            edge.add("r2", silent, "plain")
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.15):
                    await edge.async_call("/safe/x")
            await asyncio.sleep(0.1)
            assert edge.forwarder.retry_budgets.get("plain").held == 0

    async def test_request_is_counted_once(self) -> None:
        async with (
            RawServer(cut(b"")) as bad,
            RawServer(answer(*make_stream(make_event(1)))) as good,
            start_edge() as edge,
        ):
            budget = edge.forwarder.retry_budgets.get("llm")
            before = budget.requests
            edge.add("r1", bad, "llm")
            edge.add("r2", good, "llm")
            await edge.async_call("/stream/x")
        assert budget.requests == before + 1


class TestSilence:
    """Retry credits for an alternative to a silent runner."""

    async def test_alternative_without_credit_is_not_used(self) -> None:
        async with (
            RawServer(fail_late) as silent,
            RawServer(answer(make_ok())) as good,
            start_edge(limits=NO_RETRIES) as edge,
        ):
            edge.add("r1", silent, "plain")
            edge.forwarder.plain_grant_provider.in_flight.add("r2")
            edge.add("r2", good, "plain")
            reply = await edge.async_call("/safe/x")
        assert good.requests == []
        assert reply.status == 502

    async def test_silent_runner_may_respond_without_credit(self) -> None:
        async def answer_late(_: bytes, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(1.3)
            writer.write(make_ok(b"late"))

        async with (
            RawServer(answer_late) as silent,
            RawServer(answer(make_ok())) as good,
            start_edge(limits=NO_RETRIES) as edge,
        ):
            edge.add("r1", silent, "plain")
            add_load(edge, "r2")
            edge.add("r2", good, "plain")
            reply = await edge.async_call("/safe/x")
        assert (reply.status, reply.body) == (200, b"late")


class TestRejections:
    """Runners that reject a request without running it."""

    async def test_rejected_request_goes_to_another_runner_first(self) -> None:
        async with (
            RawServer(answer(make_not_run())) as full,
            RawServer(answer(make_ok())) as good,
            start_edge() as edge,
        ):
            edge.add("r1", full, "plain")
            # A busy runner is chosen last, unless the others have rejected the request.
            add_load(edge, "r2")
            edge.add("r2", good, "plain")
            reply = await edge.async_call("/safe/x")
        assert reply.status == 200
        assert len(full.requests) == 1

    async def test_rejecting_runner_is_not_retried_at_once(self) -> None:
        async with RawServer(answer(make_not_run())) as full, start_edge() as edge:
            edge.add("r1", full, "plain")
            reply = await edge.async_call("/safe/x")
        assert reply.status == 503
        assert len(full.requests) == 1

    async def test_rejection_without_credit_names_the_budget(self) -> None:
        async with (
            RawServer(answer(make_not_run())) as full,
            start_edge(limits=NO_RETRIES) as edge,
        ):
            edge.add("r1", full, "plain")
            reply = await edge.async_call("/safe/x")
        assert reply.status == 503
        assert RETRY_BUDGET_SPENT_REASON in reply.body.decode()
