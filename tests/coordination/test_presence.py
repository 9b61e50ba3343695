"""Tests of how a process stays announced, in virtual time."""

import asyncio

import pytest

from mangoway.coordination.presence import RENEW_S, Presence
from mangoway.models.fleet import Member, Role

from ..fakes.coordination_store import FakeCoordinationStore, loop_clock

pytestmark = pytest.mark.looptime

PREFIX = "own/"


def make_presence(store: FakeCoordinationStore) -> Presence:
    member = Member(
        host="a",
        role=Role.EDGE,
        data_centre="dc1",
        incarnation="inc-a",
        peer_address="",
        caller_address="127.0.0.1:1",
    )
    return Presence(store, member, PREFIX, clock=loop_clock())


class TestLostKey:
    """A store that does not show the process."""

    async def test_reading_from_before_the_write_says_nothing(self) -> None:
        store = FakeCoordinationStore()
        presence = make_presence(store)
        task = asyncio.get_running_loop().create_task(presence.async_run())
        await asyncio.sleep(0.1)
        presence.note_key_lost(store.revision - 1)
        assert presence.announced
        task.cancel()

    async def test_key_that_is_gone_is_written_again(self) -> None:
        store = FakeCoordinationStore()
        presence = make_presence(store)
        task = asyncio.get_running_loop().create_task(presence.async_run())
        await asyncio.sleep(0.1)
        revision = store.revision
        presence.note_key_lost(revision)
        assert not presence.announced
        await asyncio.sleep(RENEW_S + 0.1)
        assert presence.announced
        assert store.revision > revision
        task.cancel()
