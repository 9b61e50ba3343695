"""Tests of quotas that an edge and a scheduler enforce together."""

import asyncio

from attrs import evolve

from mangoway.models.customer import Customer, CustomerRegistry, Quota
from mangoway.policy.customers.quota import QuotaTracker
from mangoway.policy.customers.spending import SpendingEntry
from mangoway.policy.scheduling.events import (
    EndKind,
    Grant,
    GrantRequest,
    Reject,
    SpendingReported,
)

from ..fakes.fleet import make_grant_request
from ..fakes.polling import async_wait_until
from .test_client import Edge, Scheduler, connect, receive

RATE = 2000.0
"""Tokens a second of the customer's quota, and its burst."""


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


def configure_quotas(scheduler: Scheduler, *edges: Edge) -> None:
    """Configure the customers at all processes.

    The scheduler has refilled the quotas for one second, which is a full burst.
    """
    state = scheduler.server.core.state
    state.quotas = QuotaTracker(starts_full=False, registry=make_registry())
    state.quotas.begin(scheduler.server.clock() - 1.0)
    for edge in edges:
        edge.local.core.state.quotas.registry = make_registry()


def make_customer_request(request_id: str, cost: float) -> GrantRequest:
    return evolve(make_grant_request(request_id), customer="acme", cost=cost)


class TestEngines:
    """Requests that need a grant."""

    async def test_scheduler_rejects_requests_over_quota(self) -> None:
        async with connect() as (scheduler, edge):
            configure_quotas(scheduler, edge)
            first = await receive(
                edge.client.request_grant(make_customer_request("q1", RATE))
            )
            second = await receive(
                edge.client.request_grant(make_customer_request("q2", RATE))
            )
        assert isinstance(first, Grant)
        assert isinstance(second, Reject)
        assert second.over_quota
        assert 0.5 < second.retry_after_s <= 1.0

    async def test_ended_waiting_request_is_refunded(self) -> None:
        async with connect() as (scheduler, edge):
            configure_quotas(scheduler, edge)
            gone = evolve(make_customer_request("q1", RATE), model="b")
            edge.client.request_grant(gone)
            await async_wait_until(lambda: bool(scheduler.server.core.state.charges))
            edge.client.end_request("q1", EndKind.LEFT)
            granted = await receive(
                edge.client.request_grant(make_customer_request("q2", RATE))
            )
        assert isinstance(granted, Grant)

    async def test_lost_edge_is_refunded(self) -> None:
        async with connect() as (scheduler, edge):
            configure_quotas(scheduler, edge)
            edge.client.request_grant(
                evolve(make_customer_request("q1", RATE), model="b")
            )
            state = scheduler.server.core.state
            await async_wait_until(lambda: bool(state.charges))
            edge.link.close()
            await async_wait_until(lambda: not state.charges)
            assert state.quotas.get_balance("acme", scheduler.server.clock()) == RATE


class TestPlainServices:
    """Requests that edges admit by themselves."""

    async def test_scheduler_announces_exhausted_quotas(self) -> None:
        async with connect() as (scheduler, edge):
            configure_quotas(scheduler, edge)
            assert edge.client.consume_quota("acme", 2.5 * RATE) == 0.0
            await async_wait_until(
                lambda: edge.client.consume_quota("acme", 200.0) > 0, timeout_s=1.0
            )
            # The quota is overdrawn by one and a half times the rate.
            assert edge.client.consume_quota("acme", 200.0) > 1.0

    async def test_request_that_was_not_run_is_refunded(self) -> None:
        async with connect() as (scheduler, edge):
            configure_quotas(scheduler, edge)
            quotas = scheduler.server.core.state.quotas
            clock = scheduler.server.clock
            edge.client.consume_quota("acme", RATE)
            await async_wait_until(
                lambda: (quotas.get_balance("acme", clock()) or 0) < 0.5 * RATE
            )
            edge.client.refund_quota("acme", RATE)
            await async_wait_until(
                lambda: (quotas.get_balance("acme", clock()) or 0) > 0.9 * RATE
            )

    async def test_disconnected_edge_has_its_share(self) -> None:
        edge = Edge()
        try:
            edge.local.core.state.quotas.registry = make_registry()
            edge.local.core.state.quotas.share = 0.25
            assert edge.client.consume_quota("acme", 0.25 * RATE) == 0.0
            assert edge.client.consume_quota("acme", 200.0) > 0
        finally:
            edge.task.cancel()


class TestLoss:
    """Quotas after the scheduler is lost without a replacement."""

    async def test_unexhausted_customer_may_overdraw(self) -> None:
        async with connect() as (scheduler, edge):
            configure_quotas(scheduler, edge)
            local = edge.local.core.state.quotas
            local.share = 1 / 73
            scheduler.stop()
            await async_wait_until(lambda: edge.link.link is None)
            await asyncio.sleep(0.3)
            for number in range(3):
                request_id = f"q{number}"
                response = await receive(
                    edge.client.request_grant(make_customer_request(request_id, 1500.0))
                )
                assert isinstance(response, Grant), response
                edge.client.report_first_event(request_id)


class TestNewScheduler:
    """Spending that is reported to another scheduler, or to the same one again."""

    async def test_counted_spending_is_not_counted_twice(self) -> None:
        """The edge loses its connection and reconnects to the same scheduler."""
        async with connect() as (scheduler, edge):
            configure_quotas(scheduler, edge)
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
            refilled = RATE * (clock() - at)
            balance = quotas.get_balance("acme", clock()) or 0.0
        assert balance >= min(RATE, before + refilled) - 1.0

    async def test_spending_elsewhere_is_counted(self) -> None:
        """The edge was lost while the scheduler was a standby, which counts nothing."""
        standby = Scheduler()
        standby.leading = False
        configure_quotas(standby)
        row = SpendingEntry("acme", 0.5, 2 * RATE)
        standby.server._record_edge_lost("e1")
        standby.leading = True
        reported = standby.server._drop_counted_spending(
            "e1", SpendingReported(rows=(row,))
        )
        assert reported.rows == (row,)

    async def test_new_scheduler_receives_spending(self) -> None:
        second = Scheduler()
        async with connect() as (scheduler, edge):
            configure_quotas(scheduler, edge)
            configure_quotas(second, edge)
            assert edge.client.consume_quota("acme", RATE) == 0.0
            assert edge.client.consume_quota("acme", RATE) == 0.0
            edge.follow(await second.async_start(), fence=2)
            await async_wait_until(lambda: edge.link.leading)
            scheduler.leading = False
            quotas = second.server.core.state.quotas
            clock = second.server.clock
            await async_wait_until(
                lambda: (quotas.get_balance("acme", clock()) or 0) < 0, timeout_s=2.0
            )
            await asyncio.sleep(0)
            response = await receive(
                edge.client.request_grant(make_customer_request("q9", RATE))
            )
            second.stop()
        assert isinstance(response, Reject)
        assert response.over_quota
