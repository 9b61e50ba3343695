"""Tests of quotas over links: who counts, who is told, what a new scheduler learns."""

import asyncio

from attrs import evolve

from mangoway.models.customer import Customer, CustomerRegistry, Quota
from mangoway.policy.customers.quota import QuotaTracker
from mangoway.policy.customers.spending import SpendingEntry
from mangoway.policy.scheduling.events import (
    EndKind,
    Grant,
    GrantRequest,
    Refuse,
    SpendingReported,
)

from ..fakes.fleet import make_asked
from ..fakes.polling import async_wait_until
from .test_client import Edge, Scheduler, connect, receive

RATE = 2000.0


def make_registry() -> CustomerRegistry:
    registry = CustomerRegistry()
    quota = Quota(rate_per_s=RATE, burst=RATE)
    registry.add(
        Customer(
            name="acme",
            priority=None,
            quota=quota,
            counts_tokens=True,
            plain_tokens=200,
        ),
        ["key"],
    )
    return registry


def limit(scheduler: Scheduler, *edges: Edge) -> None:
    """Let all know the customers; the scheduler has just started."""
    state = scheduler.server.core.state
    state.quotas = QuotaTracker(starts_full=False, registry=make_registry())
    state.quotas.begin(scheduler.server.clock() - 1.0)
    for edge in edges:
        edge.local.core.state.quotas.registry = make_registry()


def ask(request_id: str, cost: float) -> GrantRequest:
    return evolve(make_asked(request_id), customer="acme", cost=cost)


class TestEngines:
    """Requests for places."""

    async def test_scheduler_refuses_what_is_over_the_quota(self) -> None:
        async with connect() as (scheduler, edge):
            limit(scheduler, edge)
            first = await receive(edge.client.ask(ask("q1", RATE)))
            second = await receive(edge.client.ask(ask("q2", RATE)))
        assert isinstance(first, Grant)
        assert isinstance(second, Refuse)
        assert second.over_quota
        assert 0.5 < second.retry_after_s <= 1.0

    async def test_request_that_waits_in_vain_is_given_back(self) -> None:
        async with connect() as (scheduler, edge):
            limit(scheduler, edge)
            gone = evolve(ask("q1", RATE), model="b")
            edge.client.ask(gone)
            await async_wait_until(lambda: bool(scheduler.server.core.state.charges))
            edge.client.end("q1", EndKind.LEFT)
            granted = await receive(edge.client.ask(ask("q2", RATE)))
        assert isinstance(granted, Grant)

    async def test_edge_that_is_lost_leaves_nothing_charged(self) -> None:
        async with connect() as (scheduler, edge):
            limit(scheduler, edge)
            edge.client.ask(evolve(ask("q1", RATE), model="b"))
            state = scheduler.server.core.state
            await async_wait_until(lambda: bool(state.charges))
            edge.link.close()
            await async_wait_until(lambda: not state.charges)
            assert state.quotas.get_balance("acme", scheduler.server.clock()) == RATE


class TestPlainServices:
    """What edges let in by themselves."""

    async def test_scheduler_hears_of_it_and_tells_all_edges(self) -> None:
        async with connect() as (scheduler, edge):
            limit(scheduler, edge)
            assert edge.client.consume_quota("acme", 2.5 * RATE) == 0.0
            await async_wait_until(
                lambda: edge.client.consume_quota("acme", 200.0) > 0, most_s=1.0
            )
            # A debt of one and a half times the rate.
            assert edge.client.consume_quota("acme", 200.0) > 1.0

    async def test_what_was_not_run_is_given_back(self) -> None:
        async with connect() as (scheduler, edge):
            limit(scheduler, edge)
            quotas = scheduler.server.core.state.quotas
            clock = scheduler.server.clock
            edge.client.consume_quota("acme", RATE)
            await async_wait_until(
                lambda: (quotas.get_balance("acme", clock()) or 0) < 0.5 * RATE
            )
            edge.client.give_back("acme", RATE)
            await async_wait_until(
                lambda: (quotas.get_balance("acme", clock()) or 0) > 0.9 * RATE
            )

    async def test_edge_that_is_alone_has_its_part(self) -> None:
        edge = Edge()
        try:
            edge.local.core.state.quotas.registry = make_registry()
            edge.local.core.state.quotas.share = 0.25
            assert edge.client.consume_quota("acme", 0.25 * RATE) == 0.0
            assert edge.client.consume_quota("acme", 200.0) > 0
        finally:
            edge.task.cancel()


class TestLoss:
    """The scheduler is lost, and no other one is there."""

    async def test_customer_goes_on_unless_he_had_nothing_left(self) -> None:
        async with connect() as (scheduler, edge):
            limit(scheduler, edge)
            local = edge.local.core.state.quotas
            local.share = 1 / 73
            scheduler.stop()
            await async_wait_until(lambda: edge.link.link is None)
            await asyncio.sleep(0.3)
            for number in range(3):
                request_id = f"q{number}"
                answer = await receive(edge.client.ask(ask(request_id, 1500.0)))
                assert isinstance(answer, Grant), answer
                edge.client.note_first_event(request_id)


class TestSuccession:
    """Another scheduler begins to grant, or the same once more."""

    async def test_what_it_has_counted_is_not_counted_twice(self) -> None:
        """Connections are reset, and made anew to the same scheduler."""
        async with connect() as (scheduler, edge):
            limit(scheduler, edge)
            quotas = scheduler.server.core.state.quotas
            clock = scheduler.server.clock
            assert edge.client.consume_quota("acme", 2 * RATE) == 0.0
            await async_wait_until(
                lambda: (quotas.get_balance("acme", clock()) or 0) < 0
            )
            before, at = quotas.get_balance("acme", clock()) or 0.0, clock()
            for _ in range(3):
                await asyncio.sleep(0.6)
                edge.link.close("for the test")
                await async_wait_until(lambda: not edge.link.leading)
                await edge.async_wait_leading()
            await asyncio.sleep(0.1)
            earned = RATE * (clock() - at)
            now_left = quotas.get_balance("acme", clock()) or 0.0
        assert now_left >= min(RATE, before + earned) - 1.0

    async def test_what_was_spent_elsewhere_is_not_taken_as_counted(self) -> None:
        """An edge was at a standby that granted nothing, and comes back to it."""
        standby = Scheduler()
        standby.leading = False
        limit(standby)
        row = SpendingEntry("acme", 0.5, 2 * RATE)
        standby.server._note_lost("e1")
        standby.leading = True
        told = standby.server._drop_known("e1", SpendingReported(rows=(row,)))
        assert told.rows == (row,)

    async def test_it_learns_what_was_spent(self) -> None:
        second = Scheduler()
        async with connect() as (scheduler, edge):
            limit(scheduler, edge)
            limit(second, edge)
            assert edge.client.consume_quota("acme", RATE) == 0.0
            assert edge.client.consume_quota("acme", RATE) == 0.0
            edge.follow(await second.async_start(), fence=2)
            await async_wait_until(lambda: edge.link.leading)
            scheduler.leading = False
            quotas = second.server.core.state.quotas
            clock = second.server.clock
            await async_wait_until(
                lambda: (quotas.get_balance("acme", clock()) or 0) < 0, most_s=2.0
            )
            await asyncio.sleep(0)
            answer = await receive(edge.client.ask(ask("q9", RATE)))
            second.stop()
        assert isinstance(answer, Refuse)
        assert answer.over_quota
