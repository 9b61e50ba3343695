"""Tests of edges that have lost the leading scheduler, over loopback."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from mangoway.coordination.store import Change, Changes, Item, Snapshot
from mangoway.models.fleet import Member, Role
from mangoway.policy.scheduling.events import EndKind, Grant
from mangoway.scheduling.codec import encode_frame
from mangoway.scheduling.messages import StoreChanges, StoreSnapshot

from ..fakes.fleet import make_grant_request, make_table
from ..fakes.polling import async_wait_until
from ..fakes.revisions import at
from .test_client import Edge, Scheduler, receive


def make_member(name: str, address: str) -> Member:
    return Member(
        host=name,
        role=Role.SCHEDULER,
        data_centre="dc1",
        incarnation=f"inc-{name}",
        peer_address=address,
        caller_address="",
    )


@asynccontextmanager
async def start_two() -> AsyncIterator[tuple[Scheduler, Scheduler, Edge]]:
    """Start a leader, a standby, and an edge that knows both and follows the leader."""
    leader, standby, edge = Scheduler(), Scheduler(), Edge()
    standby.leading = False
    try:
        edge.view.apply_table(make_table())
        addresses = [await each.async_start() for each in (leader, standby)]
        for name, address in zip("ab", addresses, strict=True):
            member = make_member(name, address)
            edge.view.update_member(member.key, member)
        edge.follow(addresses[0])
        await edge.async_wait_leading()
        yield leader, standby, edge
    finally:
        edge.task.cancel()
        edge.link.close()
        leader.stop()
        standby.stop()


class TestUpdate:
    """Changes that a scheduler sends to edges that come from another one."""

    async def test_edge_receives_missing_changes(self) -> None:
        """Sending the names of 450 keys to each of 195 edges would take a second."""
        scheduler = Scheduler()
        items = tuple(
            Item(key=f"runners/{number}", value=b"v" * 300, revision=at(5))
            for number in range(450)
        )
        scheduler.mirror.apply_snapshot(Snapshot(items=items, revision=at(6)))
        change = Change(key="runners/1", revision=at(7), item=None)
        scheduler.mirror.apply_changes(Changes(changes=(change,), revision=at(7)))
        snapshot = scheduler.mirror.make_snapshot()
        assert snapshot is not None
        update = scheduler.server.feed.make_update(snapshot, at(6))
        assert isinstance(update, StoreChanges)
        assert update.changes.changes == (change,)
        assert len(encode_frame([update])) < 300
        assert isinstance(
            scheduler.server.feed.make_update(snapshot, at(5)), StoreSnapshot
        )

    async def test_edge_receives_all_changes_from_a_standby(self) -> None:
        async with start_two() as (leader, standby, edge):
            item = Item(key="l", value=b"2", revision=at(6))
            snapshot = Snapshot(items=(item,), revision=at(6))
            for each in (leader, standby):
                each.mirror.apply_snapshot(snapshot)
            await async_wait_until(lambda: edge.recorder.values == {"l": b"2"})
            newer = Item(key="n", value=b"3", revision=at(7))
            change = Change(key="n", revision=at(7), item=newer)
            standby.mirror.apply_changes(Changes(changes=(change,), revision=at(7)))
            leader.stop()
            standby.leading = True
            await async_wait_until(lambda: len(edge.recorder.values) == 2)
            assert edge.link.is_fresh()


class TestStandby:
    """Edges that lose their connection to the leader."""

    async def test_standby_grants_while_the_leader_is_gone(self) -> None:
        """Edges must not grant locally for the three seconds of the leader's lease."""
        async with start_two() as (leader, standby, edge):
            leader.stop()
            standby.leading = True
            await async_wait_until(lambda: edge.link.leading)
            assert isinstance(
                await receive(edge.client.request_grant(make_grant_request("q1"))),
                Grant,
            )
            await async_wait_until(
                lambda: ("e1", "q1") in standby.server.core.state.granted
            )

    async def test_standby_receives_running_requests(self) -> None:
        async with start_two() as (leader, standby, edge):
            assert isinstance(
                await receive(edge.client.request_grant(make_grant_request("q1"))),
                Grant,
            )
            leader.stop()
            standby.leading = True
            await async_wait_until(
                lambda: ("e1", "q1") in standby.server.core.state.granted
            )
            edge.client.end_request("q1", EndKind.SERVED)
            await async_wait_until(lambda: not standby.server.core.state.granted)

    async def test_waiting_request_goes_to_the_standby(self) -> None:
        """Otherwise the requests of all edges would reach full runners at once."""
        async with start_two() as (leader, standby, edge):
            leader.server.core.state.orders_allowed = False
            first = edge.client.request_grant(make_grant_request("q1"))
            assert isinstance(await receive(first), Grant)
            waiting = edge.client.request_grant(make_grant_request("q2"))
            await async_wait_until(
                lambda: len(leader.server.core.state.get_queue("llm")) == 1
            )
            leader.stop()
            standby.leading = True
            await async_wait_until(
                lambda: len(standby.server.core.state.get_queue("llm")) == 1
            )
            assert len(edge.local.core.state.get_queue("llm")) == 0
            edge.client.end_request("q1", EndKind.SERVED)
            assert isinstance(await receive(waiting), Grant)

    async def test_edge_grants_locally_without_a_standby(self) -> None:
        async with start_two() as (leader, standby, edge):
            leader.stop()
            standby.stop()
            await async_wait_until(lambda: edge.link.link is None)
            granted = await receive(edge.client.request_grant(make_grant_request("q1")))
            assert isinstance(granted, Grant)

    async def test_edge_returns_to_a_leader_that_still_leads(self) -> None:
        """A standby with a live leader grants nothing, so the edge must leave it."""
        async with start_two() as (leader, _standby, edge):
            first = edge.view.leader
            assert first is not None
            edge.link._skip(first.member.peer_address)
            edge.link.close("for the test")
            await async_wait_until(lambda: edge.link.link is not None)
            assert not edge.link.leading
            await edge.async_wait_leading()
            assert leader.server.edge_count == 1

    async def test_leader_is_retried_when_the_standby_is_left(self) -> None:
        """If it were skipped for longer, the edge would return to the standby."""
        async with start_two() as (_leader, _standby, edge):
            first = edge.view.leader
            assert first is not None
            for seed in range(50):
                # On a busy host the leader would no longer be skipped by the time at
                # which the edge connects, and the edge would rightly choose it.
                now = edge.link.clock()
                edge.link.clock = lambda now=now: now
                edge.link.random.seed(seed)
                edge.link.close("for the test")
                edge.link._skip(first.member.peer_address)
                await async_wait_until(lambda: edge.link.link is not None)
                leave_at = edge.link._retry_leader_at
                assert edge.link._skipped_until[first.member.peer_address] <= leave_at

    async def test_edge_follows_the_next_leader(self) -> None:
        async with start_two() as (leader, standby, edge):
            third = Scheduler()
            address = await third.async_start()
            leader.stop()
            standby.leading = True
            await async_wait_until(lambda: standby.server.edge_count == 1)
            edge.follow(address, fence=2)
            await async_wait_until(lambda: third.server.edge_count == 1)
            await async_wait_until(lambda: standby.server.edge_count == 0)
            third.stop()
            await asyncio.sleep(0)
