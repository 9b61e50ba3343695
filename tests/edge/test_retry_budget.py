"""Tests of what an edge pays from the retry budget, for each way to a second runner."""

import asyncio

import pytest

from mangoway.edge.const import BUDGET_SPENT
from mangoway.models.routing import RouteKind
from mangoway.policy.edge.const import SAVED_SHARE
from mangoway.policy.edge.retry_budget import RetryLimits

from ..fakes.fleet import make_route
from ..upstreams.raw_server import RawServer, Script, answer, cut
from .ways import WAYS, choose_last, end_late
from .world import (
    RETRY_LIMITS,
    EdgeWorld,
    make_event,
    make_not_run,
    make_ok,
    make_stream,
    start_edge,
)

SAVED = RETRY_LIMITS.slack * SAVED_SHARE
NO_REPEATS = RetryLimits(ratio=0.0, slack=0.0, window_s=10.0)


SERVES = answer(make_ok())
RESUMES = answer(*make_stream(make_event(1), make_event(2)))
SECONDS = {"plain": SERVES, "llm": RESUMES}
"""What the second runner of each service does."""


async def async_call_twice(
    service: str, path: str, first: Script, limits: RetryLimits
) -> tuple[int, EdgeWorld]:
    """Return how often the second runner got a request, and the edge."""
    async with (
        RawServer(first) as bad,
        RawServer(SECONDS[service]) as good,
        start_edge(limits=limits) as edge,
    ):
        edge.add("r1", bad, service)
        choose_last(edge, "r2")
        edge.add("r2", good, service)
        edge.grant_provider.drops_refusing = True
        await edge.async_call(path)
        assert len(bad.requests) == 1
        return len(good.requests), edge


class TestPayment:
    """Each arrival beyond the first is paid for once, before it is sent."""

    @pytest.mark.parametrize(("service", "path", "first"), WAYS)
    async def test_repeat_takes_one_credit(
        self, service: str, path: str, first: Script
    ) -> None:
        limits = RetryLimits(ratio=0.2, slack=50.0, window_s=1e9)
        arrivals, edge = await async_call_twice(service, path, first, limits)
        budget = edge.forwarder.retry_budgets.get(service)
        assert (arrivals, budget.repeats, budget.held) == (1, 1, 0)
        assert budget.balance == pytest.approx(SAVED - 1)

    @pytest.mark.parametrize(("service", "path", "first"), WAYS)
    async def test_without_credit_nothing_is_sent_again(
        self, service: str, path: str, first: Script
    ) -> None:
        arrivals, edge = await async_call_twice(service, path, first, NO_REPEATS)
        assert arrivals == 0
        assert edge.forwarder.retry_budgets.get(service).refused > 0

    async def test_try_that_reached_no_runner_costs_nothing(self) -> None:
        async with RawServer(answer(make_ok())) as good, start_edge() as edge:
            gone = RawServer()
            async with gone:
                edge.add("r1", gone, "plain")
            choose_last(edge, "r2")
            edge.add("r2", good, "plain")
            reply = await edge.async_call("/safe/x")
        assert reply.status == 200
        budget = edge.forwarder.retry_budgets.get("plain")
        assert (budget.repeats, budget.held) == (0, 0)

    async def test_two_repeats_take_two_credits(self) -> None:
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
                choose_last(edge, runner_id)
            reply = await edge.async_call("/safe/x")
        assert reply.status == 200
        assert edge.forwarder.retry_budgets.get("plain").repeats == 2

    async def test_credit_of_a_try_that_was_not_sent_pays_the_next_one(self) -> None:
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
                choose_last(edge, runner_id)
            reply = await edge.async_call("/safe/x")
        assert reply.status == 200
        assert edge.forwarder.retry_budgets.get("plain").repeats == 1

    async def test_request_that_is_not_repeated_pays_nothing(self) -> None:
        async with RawServer(cut(b"")) as bad, start_edge() as edge:
            edge.add("r1", bad, "plain")
            await edge.async_call("/once/x")
        assert edge.forwarder.retry_budgets.get("plain").repeats == 0

    async def test_place_that_is_refused_is_not_paid_for(self) -> None:
        async with RawServer(cut(b"")) as bad, start_edge() as edge:
            edge.add("r1", bad, "llm")
            await edge.async_call("/stream/x")
        budget = edge.forwarder.retry_budgets.get("llm")
        assert budget.balance == pytest.approx(SAVED)
        assert budget.held == 0

    async def test_caller_that_leaves_holds_no_credit(self) -> None:
        async with (
            RawServer(cut(b"")) as bad,
            RawServer(answer()) as silent,
            start_edge() as edge,
        ):
            edge.add("r1", bad, "plain")
            choose_last(edge, "r2")
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
    """A second runner beside a silent one."""

    async def test_unpaid_second_runner_is_not_used_when_the_first_one_fails(
        self,
    ) -> None:
        async with (
            RawServer(end_late) as silent,
            RawServer(answer(make_ok())) as good,
            start_edge(limits=NO_REPEATS) as edge,
        ):
            edge.add("r1", silent, "plain")
            edge.forwarder.plain_grant_provider.in_flight.add("r2")
            edge.add("r2", good, "plain")
            reply = await edge.async_call("/safe/x")
        assert good.requests == []
        assert reply.status == 502

    async def test_without_credit_a_silent_runner_may_still_answer(self) -> None:
        async def answer_late(_: bytes, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(1.3)
            writer.write(make_ok(b"late"))

        async with (
            RawServer(answer_late) as silent,
            RawServer(answer(make_ok())) as good,
            start_edge(limits=NO_REPEATS) as edge,
        ):
            edge.add("r1", silent, "plain")
            choose_last(edge, "r2")
            edge.add("r2", good, "plain")
            reply = await edge.async_call("/safe/x")
        assert (reply.status, reply.body) == (200, b"late")


class TestRefusals:
    """Runners that refuse a request as not run."""

    async def test_refused_request_goes_to_another_runner_first(self) -> None:
        async with (
            RawServer(answer(make_not_run())) as full,
            RawServer(answer(make_ok())) as good,
            start_edge() as edge,
        ):
            edge.add("r1", full, "plain")
            # One that is busy is chosen last, unless the others have refused.
            choose_last(edge, "r2")
            edge.add("r2", good, "plain")
            reply = await edge.async_call("/safe/x")
        assert reply.status == 200
        assert len(full.requests) == 1

    async def test_runner_that_refused_is_not_asked_again_at_once(self) -> None:
        async with RawServer(answer(make_not_run())) as full, start_edge() as edge:
            edge.add("r1", full, "plain")
            reply = await edge.async_call("/safe/x")
        assert reply.status == 503
        assert len(full.requests) == 1

    async def test_without_credit_a_refused_request_is_refused_for_that(self) -> None:
        async with (
            RawServer(answer(make_not_run())) as full,
            start_edge(limits=NO_REPEATS) as edge,
        ):
            edge.add("r1", full, "plain")
            reply = await edge.async_call("/safe/x")
        assert reply.status == 503
        assert BUDGET_SPENT in reply.body.decode()
