"""Tests of removing the announcements of absent edges, in virtual time."""

import asyncio

import pytest

from mangoway.coordination.absence import ABSENT_S, CHECK_S, AbsentEdges
from mangoway.coordination.members import encode_member
from mangoway.coordination.mirror import Mirror
from mangoway.coordination.view import FleetView
from mangoway.models.fleet import Member, Role
from mangoway.platform.documents import OWN_PREFIX
from mangoway.platform.receiver import StoreReceiver

from ..fakes.coordination_store import FakeCoordinationStore, loop_clock

pytestmark = pytest.mark.looptime


class Fleet:
    """Four announced edges, and a leader that is connected to them."""

    def __init__(self) -> None:
        self.store = FakeCoordinationStore()
        for number in range(4):
            self.announce(number, f"inc{number}")
        self.view = FleetView()
        clock = loop_clock()
        mirror = Mirror(self.store, StoreReceiver(self.view, clock), clock)
        self.leads = True
        self.absent = AbsentEdges(
            self.store, mirror, self.view, clock, lambda: self.leads
        )
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(mirror.async_run()),
            loop.create_task(self.absent.async_run()),
        ]

    @staticmethod
    def make_member(number: int, incarnation: str) -> Member:
        return Member(
            host=f"h{number}",
            role=Role.EDGE,
            data_centre="dc1",
            incarnation=incarnation,
            peer_address="",
            caller_address=f"127.0.0.{number}:1",
        )

    def announce(self, number: int, incarnation: str) -> None:
        member = self.make_member(number, incarnation)
        self.store.put(OWN_PREFIX + member.key, encode_member(member))

    def list_hosts(self) -> list[str]:
        return sorted(each.host for each in self.view.members.values())

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()


WAIT_S = ABSENT_S + 2 * CHECK_S + 0.5


class TestAbsentEdges:
    """Announcements of edges whose connections break."""

    async def test_lost_edge_is_removed_long_before_its_lease_ends(self) -> None:
        fleet = Fleet()
        await asyncio.sleep(0.1)
        fleet.absent.record_disconnected("inc1")
        await asyncio.sleep(WAIT_S)
        assert fleet.list_hosts() == ["h0", "h2", "h3"]
        fleet.stop()

    async def test_edge_that_reconnects_stays(self) -> None:
        fleet = Fleet()
        await asyncio.sleep(0.1)
        fleet.absent.record_disconnected("inc1")
        await asyncio.sleep(0.5)
        fleet.absent.record_reconnected("inc1")
        await asyncio.sleep(WAIT_S)
        assert len(fleet.list_hosts()) == 4
        fleet.stop()

    async def test_new_incarnation_of_a_lost_edge_stays(self) -> None:
        fleet = Fleet()
        await asyncio.sleep(0.1)
        fleet.absent.record_disconnected("inc1")
        fleet.announce(1, "inc9")
        await asyncio.sleep(WAIT_S)
        assert len(fleet.list_hosts()) == 4
        fleet.stop()

    async def test_edge_that_is_announced_again_is_left_alone(self) -> None:
        """The edge is running, even if it does not reach the leader."""
        fleet = Fleet()
        await asyncio.sleep(0.1)
        fleet.absent.record_disconnected("inc1")
        await asyncio.sleep(WAIT_S)
        fleet.announce(1, "inc1")
        await asyncio.sleep(3 * WAIT_S)
        assert len(fleet.list_hosts()) == 4
        assert fleet.store.calls.count("commit") == 1
        fleet.stop()

    async def test_leader_that_has_lost_most_edges_removes_none(self) -> None:
        fleet = Fleet()
        await asyncio.sleep(0.1)
        for number in range(3):
            fleet.absent.record_disconnected(f"inc{number}")
        await asyncio.sleep(2 * WAIT_S)
        assert len(fleet.list_hosts()) == 4
        fleet.stop()

    async def test_only_the_leader_removes_announcements(self) -> None:
        fleet = Fleet()
        fleet.leads = False
        await asyncio.sleep(0.1)
        fleet.absent.record_disconnected("inc1")
        await asyncio.sleep(2 * WAIT_S)
        assert len(fleet.list_hosts()) == 4
        fleet.stop()


class TestStoreOutage:
    """Edges that are lost while the store can't remove their announcements.

    Callers were sent to them for as long as the store was away.
    """

    async def test_lost_edge_is_absent_until_its_announcement_ends(self) -> None:
        fleet = Fleet()
        await asyncio.sleep(0.1)
        fleet.store.down = True
        fleet.absent.record_disconnected("inc1")
        await asyncio.sleep(ABSENT_S / 2)
        assert fleet.absent.list_absent() == ()
        for _ in range(3):
            await asyncio.sleep(WAIT_S)
            assert fleet.absent.list_absent() == ("inc1",)
        fleet.store.down = False
        fleet.store.remove(OWN_PREFIX + fleet.make_member(1, "inc1").key)
        await asyncio.sleep(WAIT_S)
        assert fleet.absent.list_absent() == ()
        fleet.stop()

    async def test_edge_that_reconnects_is_not_absent(self) -> None:
        fleet = Fleet()
        await asyncio.sleep(0.1)
        fleet.store.down = True
        fleet.absent.record_disconnected("inc1")
        await asyncio.sleep(WAIT_S)
        fleet.absent.record_reconnected("inc1")
        assert fleet.absent.list_absent() == ()
        fleet.stop()

    async def test_standby_reports_absent_edges_and_removes_none(self) -> None:
        """It grants while no leader is heard, and its edges know it only."""
        fleet = Fleet()
        fleet.leads = False
        await asyncio.sleep(0.1)
        fleet.absent.record_disconnected("inc1")
        await asyncio.sleep(WAIT_S)
        assert fleet.absent.list_absent() == ("inc1",)
        assert "commit" not in fleet.store.calls
        fleet.stop()

    async def test_scheduler_that_has_lost_most_edges_reports_none(self) -> None:
        fleet = Fleet()
        await asyncio.sleep(0.1)
        fleet.store.down = True
        for number in range(3):
            fleet.absent.record_disconnected(f"inc{number}")
        await asyncio.sleep(WAIT_S)
        assert fleet.absent.list_absent() == ()
        fleet.stop()

    async def test_edge_that_runs_is_not_absent_after_its_removal(self) -> None:
        """It announces itself again, though it does not reach this scheduler."""
        fleet = Fleet()
        await asyncio.sleep(0.1)
        fleet.absent.record_disconnected("inc1")
        await asyncio.sleep(WAIT_S)
        fleet.announce(1, "inc1")
        await asyncio.sleep(WAIT_S)
        assert fleet.absent.list_absent() == ()
        fleet.stop()


class TestReachableEdges:
    """Edges that the directory of an edge names."""

    def make_view(self) -> FleetView:
        view = FleetView()
        for number in range(3):
            member = Fleet.make_member(number, f"inc{number}")
            view.update_member(member.key, member)
        return view

    def test_absent_edges_are_left_out(self) -> None:
        view = self.make_view()
        view.absent_edges = frozenset({"inc1"})
        assert [each.host for each in view.list_reachable_edges()] == ["h0", "h2"]

    def test_restarted_edge_is_named(self) -> None:
        view = self.make_view()
        view.absent_edges = frozenset({"inc1"})
        member = Fleet.make_member(1, "inc9")
        view.update_member(member.key, member)
        assert len(view.list_reachable_edges()) == 3

    def test_absent_edges_are_named_if_there_are_no_others(self) -> None:
        view = self.make_view()
        view.absent_edges = frozenset({"inc0", "inc1", "inc2"})
        assert len(view.list_reachable_edges()) == 3
