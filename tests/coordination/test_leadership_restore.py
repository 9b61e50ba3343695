"""Tests of the leader election after the store came back from a copy."""

import asyncio

import pytest

from mangoway.coordination.view import Leader
from mangoway.models.fleet import Member, Role
from mangoway.platform.store import MAX_ERA

from ..fakes.coordination_store import FakeCoordinationStore, FakeStoreClient
from ..fakes.revisions import at
from .test_leadership import ORDER_DELAY_S, Candidate

pytestmark = pytest.mark.looptime

EARLIER_WRITES = 50
ELECTION_S = 5.0
"""Time within which a leader is elected after the previous lease has ended."""

MAX_EXACT_INTEGER = 2**53
"""Whole numbers below this are kept exactly by every JSON reader."""

MEMBER = Member(
    host="a",
    role=Role.SCHEDULER,
    data_centre="dc1",
    incarnation="inc-a",
    peer_address="127.0.0.1:1",
    caller_address="",
)


def make_candidate(
    store: FakeCoordinationStore, name: str, *, checks_fences: bool = False
) -> Candidate:
    address = f"127.0.0.1:{ord(name)}"
    client = FakeStoreClient(store)
    return Candidate(client, name, address=address, checks_fences=checks_fences)


def put_many(store: FakeCoordinationStore) -> None:
    for number in range(EARLIER_WRITES):
        store.put(f"key-{number}", b"1")


class TestFenceNumber:
    """Fence numbers of holders of different eras."""

    async def test_fence_number_does_not_go_back_with_the_revisions(self) -> None:
        store = FakeCoordinationStore()
        copy = store.copy()
        put_many(store)
        one = make_candidate(store, "a")
        await asyncio.sleep(ELECTION_S)
        before = one.leadership.fence
        store.restore(copy)
        await asyncio.sleep(ELECTION_S + ORDER_DELAY_S)
        after = one.leadership.fence
        one.kill()
        assert before is not None
        assert after is not None
        assert after > before

    async def test_rejection_of_an_earlier_era_does_not_stop_a_new_holder(
        self,
    ) -> None:
        store = FakeCoordinationStore()
        copy = store.copy()
        put_many(store)
        one = make_candidate(store, "a", checks_fences=True)
        await asyncio.sleep(ELECTION_S)
        fence = one.leadership.fence
        assert fence is not None
        one.leadership.handle_fence_rejected(fence + 1)
        store.restore(copy)
        await asyncio.sleep(2 * ELECTION_S + ORDER_DELAY_S)
        may_order = one.leadership.may_order
        one.kill()
        assert may_order

    def test_highest_fence_number_is_kept_exactly_in_json(self) -> None:
        revision = at(2**40 - 1, era=MAX_ERA)
        leader = Leader(member=MEMBER, revision=revision, lease_id=1)
        assert leader.fence < MAX_EXACT_INTEGER

    def test_fence_number_without_eras_is_the_revision(self) -> None:
        leader = Leader(member=MEMBER, revision=at(7), lease_id=1)
        assert leader.fence == 7


class TestHolders:
    """Holders of the key before and after a restore."""

    @pytest.mark.parametrize("checks_fences", [False, True])
    async def test_at_most_one_may_order(self, checks_fences: bool) -> None:
        """The previous holder may stand in the key of the copy again."""
        store = FakeCoordinationStore()
        one = make_candidate(store, "a", checks_fences=checks_fences)
        await asyncio.sleep(ELECTION_S)
        copy = store.copy()
        store.end_lease(one.presence.lease_id)
        two = make_candidate(store, "b", checks_fences=checks_fences)
        await asyncio.sleep(ELECTION_S + ORDER_DELAY_S)
        store.restore(copy)
        orderers: list[tuple[str, int]] = []
        for _ in range(200):
            await asyncio.sleep(0.05)
            for name, each in (("a", one), ("b", two)):
                if each.leadership.may_order and each.leadership.fence is not None:
                    orderers.append((name, each.leadership.fence))
        one.kill()
        two.kill()
        fences = [fence for _, fence in orderers]
        assert fences == sorted(fences)
        assert len({(name, fence) for name, fence in orderers}) == len(set(fences))
        assert fences

    async def test_holder_that_knows_of_a_later_era_stops_without_the_store(
        self,
    ) -> None:
        """Another process may hold the restored key."""
        store = FakeCoordinationStore()
        client = FakeStoreClient(store)
        one = Candidate(client, "a", checks_fences=True)
        await asyncio.sleep(ELECTION_S)
        client.cut_off = True
        await asyncio.sleep(ELECTION_S)
        assert one.leadership.may_order
        client.learn_era(1)
        may_order = one.leadership.may_order
        one.kill()
        assert not may_order

    async def test_holder_whose_key_was_lost_leads_again(self) -> None:
        store = FakeCoordinationStore()
        copy = store.copy()
        one = make_candidate(store, "a")
        await asyncio.sleep(ELECTION_S)
        store.restore(copy)
        await asyncio.sleep(ELECTION_S + ORDER_DELAY_S)
        may_order = one.leadership.may_order
        one.kill()
        assert may_order
