"""Tests of keeping a process announced, in virtual time."""

import asyncio

import pytest

from mangoway.coordination.presence import (
    ANNOUNCE_SPREAD_S,
    EDGE_RENEW_S,
    RENEW_S,
    Presence,
)
from mangoway.models.fleet import Member, Role

from ..fakes.coordination_store import FakeCoordinationStore, loop_clock
from ..fakes.revisions import at

pytestmark = pytest.mark.looptime

PREFIX = "own/"


def make_presence(store: FakeCoordinationStore, renew_s: float = RENEW_S) -> Presence:
    member = Member(
        host="a",
        role=Role.EDGE,
        data_centre="dc1",
        incarnation="inc-a",
        peer_address="",
        caller_address="127.0.0.1:1",
    )
    return Presence(store, member, PREFIX, renew_s, clock=loop_clock())


class TestLostKey:
    """A member's key that the store no longer contains."""

    async def test_loss_before_the_last_write_is_ignored(self) -> None:
        store = FakeCoordinationStore()
        presence = make_presence(store)
        task = asyncio.get_running_loop().create_task(presence.async_run())
        await asyncio.sleep(0.1)
        presence.handle_key_lost(at(store.revision - 1))
        assert presence.announced
        task.cancel()

    async def test_lost_key_is_written_again(self) -> None:
        store = FakeCoordinationStore()
        presence = make_presence(store)
        task = asyncio.get_running_loop().create_task(presence.async_run())
        await asyncio.sleep(0.1)
        revision = store.revision
        presence.handle_key_lost(at(revision))
        assert not presence.announced
        await asyncio.sleep(RENEW_S + 0.1)
        assert presence.announced
        assert store.revision > revision
        task.cancel()

    async def test_lost_key_is_written_before_the_next_renewal(self) -> None:
        store = FakeCoordinationStore()
        presence = make_presence(store, renew_s=EDGE_RENEW_S)
        task = asyncio.get_running_loop().create_task(presence.async_run())
        await asyncio.sleep(0.1)
        presence.handle_key_lost(at(store.revision))
        await asyncio.sleep(ANNOUNCE_SPREAD_S + 0.1)
        assert presence.announced
        task.cancel()


class TestRenewals:
    """Cost of renewals, and the time for which a stopped process stays announced."""

    async def test_edge_renews_every_second_and_a_half(self) -> None:
        store = FakeCoordinationStore()
        presence = make_presence(store, renew_s=EDGE_RENEW_S)
        task = asyncio.get_running_loop().create_task(presence.async_run())
        await asyncio.sleep(30.5)
        task.cancel()
        assert presence.is_valid()
        assert store.calls.count("renew") <= 20

    @pytest.mark.parametrize("renew_s", [RENEW_S, EDGE_RENEW_S])
    async def test_stopped_process_is_not_announced_for_long(
        self, renew_s: float
    ) -> None:
        """With a lease of 9 s, callers received a host that had been gone for 6.2 s.

        The leader had run on the same failed host, so no process removed the key.
        """
        store = FakeCoordinationStore()
        presence = make_presence(store, renew_s=renew_s)
        task = asyncio.get_running_loop().create_task(presence.async_run())
        await asyncio.sleep(10.0)
        task.cancel()
        await asyncio.sleep(3.1)
        snapshot = await store.async_list(PREFIX)
        assert snapshot.items == ()
