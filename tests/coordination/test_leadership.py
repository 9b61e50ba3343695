"""Tests of the leader election, in virtual time."""

import asyncio

import pytest

from mangoway.coordination.leadership import Leadership
from mangoway.coordination.members import LEADER_KEY, decode_member
from mangoway.coordination.mirror import Mirror
from mangoway.coordination.presence import LEASE_S, Presence
from mangoway.coordination.store import (
    Change,
    Changes,
    CoordinationStore,
    Item,
    Snapshot,
)
from mangoway.coordination.view import FleetView, Leader
from mangoway.models.fleet import Member, Role

from ..fakes.coordination_store import FakeCoordinationStore, loop_clock
from ..fakes.fleet import make_table
from ..fakes.receiver import InertReceiver

pytestmark = pytest.mark.looptime

PREFIX = "own/"
ORDER_DELAY_S = 3.0


class Receiver(InertReceiver):
    """A receiver that decodes the leader's key into a view."""

    def __init__(self, view: FleetView) -> None:
        self.view = view

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        self.view.update_leader(None)
        for item in snapshot.items:
            self._apply(item)

    def apply_changes(self, changes: Changes) -> None:
        for change in changes.changes:
            if change.item is not None:
                self._apply(change.item)
            elif change.key == PREFIX + LEADER_KEY:
                self.view.update_leader(None)

    def has_effect(self, change: Change) -> bool:
        return True

    def _apply(self, item: Item) -> None:
        if item.key == PREFIX + LEADER_KEY:
            self.view.update_leader(
                Leader(
                    member=decode_member(item.value),
                    revision=item.revision,
                    lease_id=item.lease_id,
                )
            )


class Candidate:
    """A process that takes part in the election."""

    def __init__(
        self,
        store: CoordinationStore,
        name: str,
        *,
        checks_fences: bool = False,
        incarnation: int = 1,
        address: str = "127.0.0.1:1",
    ) -> None:
        self.clock_offset = 0.0
        """Seconds by which the clock of this process is ahead."""

        view = FleetView()
        view.apply_table(make_table())
        member = Member(
            host=name,
            role=Role.SCHEDULER,
            data_centre="dc1",
            incarnation=f"inc-{name}-{incarnation}",
            peer_address=address,
            caller_address="",
        )
        clock = loop_clock()
        self.presence = Presence(
            store, member, PREFIX, clock=lambda: clock() + self.clock_offset
        )
        self.leadership = Leadership(
            store=store,
            view=view,
            presence=self.presence,
            prefix=PREFIX,
            order_delay_s=ORDER_DELAY_S,
            runners_check_fences=checks_fences,
            clock=lambda: clock() + self.clock_offset,
            find_item=lambda key: mirror.items.get(key),
        )
        mirror = Mirror(store, Receiver(view), clock)
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(each)
            for each in (
                mirror.async_run(),
                self.presence.async_run(),
                self.leadership.async_run(),
            )
        ]

    def kill(self) -> None:
        for task in self.tasks:
            task.cancel()


class TestElection:
    """Acquisition of the key by one process at a time."""

    async def test_standby_with_edges_has_precedence(self) -> None:
        """It has the state of their requests; the other would start without any."""
        store = FakeCoordinationStore()
        one = Candidate(store, "a")
        await asyncio.sleep(1)
        idle, busy = Candidate(store, "b"), Candidate(store, "c")
        idle.leadership.has_edges = lambda: False
        await asyncio.sleep(1)
        one.kill()
        await asyncio.sleep(LEASE_S + 1)
        assert busy.leadership.fence is not None
        assert idle.leadership.fence is None
        idle.kill()
        busy.kill()

    async def test_standby_without_edges_leads_if_there_is_no_other(self) -> None:
        store = FakeCoordinationStore()
        one = Candidate(store, "a")
        await asyncio.sleep(1)
        idle = Candidate(store, "b")
        idle.leadership.has_edges = lambda: False
        await asyncio.sleep(1)
        one.kill()
        await asyncio.sleep(LEASE_S + 1)
        assert idle.leadership.fence is not None
        idle.kill()

    async def test_one_of_two_leads(self) -> None:
        store = FakeCoordinationStore()
        one, other = Candidate(store, "a"), Candidate(store, "b")
        await asyncio.sleep(5)
        fences = [one.leadership.fence, other.leadership.fence]
        assert sum(fence is not None for fence in fences) == 1
        one.kill()
        other.kill()

    async def test_another_takes_over_with_a_higher_fence(self) -> None:
        store = FakeCoordinationStore()
        one = Candidate(store, "a")
        await asyncio.sleep(1)
        other = Candidate(store, "b")
        await asyncio.sleep(1)
        first = one.leadership.fence
        one.kill()
        await asyncio.sleep(LEASE_S + 1)
        second = other.leadership.fence
        assert first is not None
        assert second is not None
        assert second > first
        other.kill()

    async def test_restarted_holder_does_not_wait_for_its_own_lease(self) -> None:
        store = FakeCoordinationStore()
        one = Candidate(store, "a")
        await asyncio.sleep(1)
        first = one.leadership.fence
        one.kill()
        again = Candidate(store, "a", incarnation=2)
        await asyncio.sleep(1)
        second = again.leadership.fence
        assert first is not None
        assert second is not None
        assert second > first
        await asyncio.sleep(LEASE_S)
        assert again.leadership.fence == second
        again.kill()

    async def test_host_of_the_same_name_at_another_address_waits(self) -> None:
        """The holder may still run; only a new process at its address shows its end."""
        store = FakeCoordinationStore()
        one = Candidate(store, "a")
        await asyncio.sleep(1)
        first = one.leadership.fence
        other = Candidate(store, "a", incarnation=2, address="127.0.0.2:1")
        await asyncio.sleep(1)
        assert one.leadership.fence == first
        assert other.leadership.fence is None
        one.kill()
        other.kill()

    async def test_candidate_leads_after_a_lost_response_to_its_write(self) -> None:
        store = FakeCoordinationStore()
        one = Candidate(store, "a")
        await asyncio.sleep(0.1)
        store.lose_answers = 1
        await asyncio.sleep(2)
        assert one.leadership.fence is not None
        one.kill()

    async def test_orders_are_delayed_after_a_change_of_holder(self) -> None:
        store = FakeCoordinationStore()
        one = Candidate(store, "a")
        await asyncio.sleep(1.0)
        assert one.leadership.fence is not None
        assert not one.leadership.may_order
        await asyncio.sleep(ORDER_DELAY_S)
        assert one.leadership.may_order
        one.kill()


class TestLoss:
    """Loss of the key."""

    async def test_suspended_holder_sends_no_orders_once_resumed(self) -> None:
        store = FakeCoordinationStore()
        one = Candidate(store, "a", checks_fences=True)
        await asyncio.sleep(5)
        assert one.leadership.may_order
        one.clock_offset += LEASE_S + 1
        assert not one.leadership.may_order
        one.kill()

    async def test_outage_ends_orders_where_fences_are_not_checked(self) -> None:
        store = FakeCoordinationStore()
        one = Candidate(store, "a")
        await asyncio.sleep(5)
        store.down = True
        await asyncio.sleep(LEASE_S + 2)
        assert not one.leadership.may_order
        assert one.leadership.is_granting
        one.kill()

    async def test_outage_does_not_end_orders_where_fences_are_checked(self) -> None:
        store = FakeCoordinationStore()
        one = Candidate(store, "a", checks_fences=True)
        await asyncio.sleep(5)
        store.down = True
        await asyncio.sleep(3 * LEASE_S)
        assert one.leadership.may_order
        one.kill()

    async def test_holder_stops_once_another_is_seen(self) -> None:
        store = FakeCoordinationStore()
        one = Candidate(store, "a", checks_fences=True)
        await asyncio.sleep(5)
        other = Candidate(store, "b", checks_fences=True)
        await asyncio.sleep(1)
        store.end_lease(one.presence.lease_id)
        await asyncio.sleep(2)
        fences = [one.leadership.fence, other.leadership.fence]
        assert sum(fence is not None for fence in fences) == 1
        one.kill()
        other.kill()

    async def test_rejected_fence_is_never_used_again(self) -> None:
        store = FakeCoordinationStore()
        one = Candidate(store, "a", checks_fences=True)
        await asyncio.sleep(5)
        fence = one.leadership.fence
        assert fence is not None
        one.leadership.handle_fence_rejected(fence)
        assert not one.leadership.may_order
        store.down = True
        await asyncio.sleep(LEASE_S + 2)
        assert not one.leadership.may_order
        one.kill()

    async def test_stopped_holder_does_not_lead(self) -> None:
        store = FakeCoordinationStore()
        one = Candidate(store, "a")
        await asyncio.sleep(2)
        one.leadership.stop()
        assert one.leadership.fence is None
        assert not one.leadership.is_granting
        one.kill()


class TestPresence:
    """Announcement of a process."""

    async def test_expired_lease_is_replaced(self) -> None:
        store = FakeCoordinationStore()
        one = Candidate(store, "a")
        await asyncio.sleep(2)
        store.end_lease(one.presence.lease_id)
        await asyncio.sleep(2)
        assert PREFIX + one.presence.member.key in store.items
        one.kill()

    async def test_leaving_removes_the_key(self) -> None:
        store = FakeCoordinationStore()
        one = Candidate(store, "a")
        await asyncio.sleep(2)
        await one.presence.async_leave()
        assert PREFIX + one.presence.member.key not in store.items
        await asyncio.sleep(3)
        assert PREFIX + one.presence.member.key not in store.items
        one.kill()
