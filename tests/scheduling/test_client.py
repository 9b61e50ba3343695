"""Tests of an edge and a scheduler that are connected over loopback."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

from attrs import evolve

from mangoway.coordination.mirror import Mirror
from mangoway.coordination.store import Change, Changes, Item, Snapshot
from mangoway.coordination.view import FleetView, Leader
from mangoway.models.fleet import Member, Role
from mangoway.models.signals import LeavingReport
from mangoway.policy.limits.const import MAX_LIMIT_RETRY_AFTER_S
from mangoway.policy.limits.tracker import LimitReport
from mangoway.policy.scheduling.core import SchedulingCore
from mangoway.policy.scheduling.events import (
    EndKind,
    FleetUpdated,
    Grant,
    Reject,
    SendOrder,
)
from mangoway.policy.scheduling.state import SchedulingState
from mangoway.scheduling.client import RETRY_AFTER_PERMIT_S, SchedulerClient
from mangoway.scheduling.grant_provider import GrantResponse
from mangoway.scheduling.leader_link import CHECK_S, SILENCE_S, LeaderLink
from mangoway.scheduling.local_grant_provider import LocalGrantProvider
from mangoway.scheduling.messages import Hello, RelayedStatement
from mangoway.scheduling.server import SchedulerServer
from mangoway.util.listener import open_listener

from ..fakes.addresses import UNUSABLE_ADDRESSES
from ..fakes.coordination_store import FakeCoordinationStore
from ..fakes.fleet import make_grant_request, make_runner, make_table
from ..fakes.polling import async_wait_until
from ..fakes.receiver import InertReceiver
from ..fakes.revisions import at

RUNNER = make_runner("r1", ("a",))
FLEET = FleetUpdated(table=make_table(), runners=(make_runner("r1", ("a",)),))


class Recorder(InertReceiver):
    """A mirror's receiver that records the values of the keys."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        self.values = {item.key: item.value for item in snapshot.items}

    def apply_changes(self, changes: Changes) -> None:
        for change in changes.changes:
            if change.item is not None:
                self.values[change.key] = change.item.value

    def has_effect(self, change: Change) -> bool:
        return True


def make_core() -> SchedulingCore:
    core = SchedulingCore(SchedulingState(random=Random(1)))
    core.handle(FLEET, 0.0)
    return core


class Scheduler:
    """A scheduler that records its orders and the statements that it receives."""

    def __init__(self) -> None:
        self.leading = True
        self.statements: list[RelayedStatement] = []
        self.orders: list[SendOrder] = []
        clock = asyncio.get_running_loop().time
        self.mirror = Mirror(FakeCoordinationStore(), Recorder(), clock)
        self.mirror.apply_snapshot(
            Snapshot(items=(Item(key="k", value=b"1", revision=at(5)),), revision=at(5))
        )
        self.mirror.responded_at = clock()
        self.server = SchedulerServer(
            core=make_core(),
            clock=clock,
            is_leading=lambda: self.leading,
            send_order=self.orders.append,
            mirror=self.mirror,
            get_retention_s=lambda: 0.0,
        )
        self.mirror.follower = self.server.feed
        self.server.on_statement = self.statements.append

    async def async_start(self) -> str:
        listener = open_listener("127.0.0.1", 0)
        host, port = listener.getsockname()
        await self.server.async_start(listener)
        self.task = asyncio.create_task(self.server.async_run())
        return f"{host}:{port}"

    def stop(self) -> None:
        self.task.cancel()
        self.server.stop()


class Edge:
    """An edge with a client and a local grant provider."""

    def __init__(self, name: str = "e1") -> None:
        clock = asyncio.get_running_loop().time
        self.view = FleetView()
        self.statements: list[RelayedStatement] = []
        self.recorder = Recorder()
        mirror = Mirror(FakeCoordinationStore(), self.recorder, clock)
        hello = Hello(
            edge=name,
            host="h1",
            data_centre="dc1",
            requests_grants=True,
            revision=at(0),
        )
        self.link = LeaderLink(hello=hello, view=self.view, clock=clock, mirror=mirror)
        self.link.on_statement = self.statements.append
        self.local = LocalGrantProvider(make_core(), name, clock)
        self.client = SchedulerClient(self.link, self.local, name)
        self.task = asyncio.create_task(self.link.async_run())

    def follow(self, address: str, fence: int = 1) -> None:
        """Announce the scheduler at an address as the leader to this edge."""
        member = Member(
            host="s",
            role=Role.SCHEDULER,
            data_centre="dc1",
            incarnation=f"inc{fence}",
            peer_address=address,
            caller_address="",
        )
        self.view.update_leader(Leader(member=member, revision=at(fence), lease_id=1))

    async def async_wait_leading(self) -> None:
        """Wait until the edge is connected to a scheduler that leads."""
        await async_wait_until(lambda: self.link.leading)


@asynccontextmanager
async def connect() -> AsyncIterator[tuple[Scheduler, Edge]]:
    """Start a leading scheduler and an edge that is connected to it."""
    scheduler, edge = Scheduler(), Edge()
    try:
        edge.follow(await scheduler.async_start())
        await edge.async_wait_leading()
        yield scheduler, edge
    finally:
        edge.task.cancel()
        edge.link.close()
        scheduler.stop()


async def receive(future: "asyncio.Future[GrantResponse]") -> GrantResponse:
    """Wait for the response to a grant request."""
    async with asyncio.timeout(3):
        return await future


class TestGrants:
    """Requests granted by a scheduler."""

    async def test_grant_comes_from_the_scheduler(self) -> None:
        async with connect() as (scheduler, edge):
            response = await receive(
                edge.client.request_grant(make_grant_request("q1"))
            )
            assert isinstance(response, Grant)
            assert ("e1", "q1") in scheduler.server.core.state.granted

    async def test_end_releases_the_grant(self) -> None:
        async with connect() as (scheduler, edge):
            await receive(edge.client.request_grant(make_grant_request("q1")))
            waiting = edge.client.request_grant(make_grant_request("q2"))
            edge.client.end_request("q1", EndKind.SERVED)
            assert isinstance(await receive(waiting), Grant)
            assert ("e1", "q1") not in scheduler.server.core.state.granted

    async def test_first_event_admits_the_next_prompt(self) -> None:
        async with connect() as (_, edge):
            await receive(edge.client.request_grant(make_grant_request("q1")))
            waiting = edge.client.request_grant(make_grant_request("q2"))
            edge.client.report_first_event("q1")
            assert isinstance(await receive(waiting), Grant)

    async def test_waiting_request_is_rejected_at_a_stop(self) -> None:
        async with connect() as (_, edge):
            await receive(edge.client.request_grant(make_grant_request("q1")))
            waiting = edge.client.request_grant(make_grant_request("q2"))
            edge.client.reject_waiting("this host stops", 0.1)
            assert isinstance(await receive(waiting), Reject)


class TestUnusableAddress:
    """The leader's key names an address at which nothing can listen."""

    async def test_edge_follows_the_next_leader(self) -> None:
        """The error ended the task that keeps the link, so that the edge had none."""
        scheduler, edge = Scheduler(), Edge()
        try:
            for fence, address in enumerate(UNUSABLE_ADDRESSES, 1):
                edge.follow(address, fence)
                await asyncio.sleep(2 * CHECK_S)
            edge.follow(await scheduler.async_start(), len(UNUSABLE_ADDRESSES) + 1)
            await edge.async_wait_leading()
        finally:
            edge.task.cancel()
            edge.link.close()
            scheduler.stop()


LIMIT_REPORT = LimitReport(
    runner_id="r1", started_ms=0, limit=0.5, request_age_s=0.02, response_age_s=0.0
)


class TestLimits:
    """Exchange of reports of runners' limits between edges and a scheduler."""

    async def test_scheduler_applies_a_reported_limit(self) -> None:
        async with connect() as (_, edge):
            edge.client.report_signal(LIMIT_REPORT)
            waiting = edge.client.request_grant(make_grant_request("q1"))
            await asyncio.sleep(0.2)
            assert not waiting.done()

    async def test_limit_is_relayed_to_other_edges_once(self) -> None:
        async with connect() as (_, edge):
            other, received = Edge("e2"), list[LimitReport]()
            other.client.on_limit = received.append
            other.link.view.update_leader(edge.view.leader)
            await other.async_wait_leading()
            for _ in range(3):
                edge.client.report_signal(LIMIT_REPORT)
            await async_wait_until(lambda: bool(received))
            await asyncio.sleep(0.1)
            other.task.cancel()
            other.link.close()
        assert [(each.runner_id, each.limit) for each in received] == [("r1", 0.5)]

    async def test_new_edge_receives_known_limits(self) -> None:
        async with connect() as (scheduler, edge):
            edge.client.report_signal(LIMIT_REPORT)
            await async_wait_until(
                lambda: scheduler.server.core.state.limits.get_limit("r1") == 0.5
            )
            other, received = Edge("e2"), list[LimitReport]()
            other.client.on_limit = received.append
            other.link.view.update_leader(edge.view.leader)
            await async_wait_until(lambda: bool(received))
            other.task.cancel()
            other.link.close()
        assert received[0].limit == 0.5

    async def test_new_leader_receives_reports_first(self) -> None:
        async with connect() as (scheduler, edge):
            edge.client.list_limits = lambda: [LIMIT_REPORT]
            next_scheduler = Scheduler()
            edge.follow(await next_scheduler.async_start(), fence=2)
            scheduler.stop()
            waiting = edge.client.request_grant(make_grant_request("q1"))
            limits = next_scheduler.server.core.state.limits
            await async_wait_until(lambda: limits.get_limit("r1") == 0.5)
            assert not waiting.done()
            next_scheduler.stop()

    async def test_disconnected_edge_applies_its_share(self) -> None:
        edge = Edge()
        limits = edge.local.core.state.limits
        limits.get_share = lambda runner_id: 0.0
        limits.update(LIMIT_REPORT, edge.link.clock())
        response = await receive(edge.client.request_grant(make_grant_request("q1")))
        edge.task.cancel()
        assert isinstance(response, Reject)

    async def test_permit_comes_from_the_scheduler(self) -> None:
        async with connect() as (_, edge):
            assert await edge.client.async_request_permit(RUNNER) == 0.0
            edge.client.report_signal(LIMIT_REPORT)
            assert await edge.client.async_request_permit(RUNNER) > 0.0

    async def test_disconnected_edge_takes_permits_from_its_share(self) -> None:
        edge = Edge()
        limits = edge.local.core.state.limits
        limits.get_share = lambda runner_id: 0.0
        limits.update(LIMIT_REPORT, edge.link.clock())
        wait_s = await edge.client.async_request_permit(RUNNER)
        edge.task.cancel()
        assert wait_s == MAX_LIMIT_RETRY_AFTER_S

    async def test_permit_request_without_a_response_times_out(self) -> None:
        async with connect() as (_, edge):
            assert edge.link.link is not None
            edge.link.link.send = lambda message: None  # type: ignore[method-assign]
            wait_s = await edge.client.async_request_permit(RUNNER)
        assert wait_s == RETRY_AFTER_PERMIT_S


class TestLeaving:
    """Exchange of reports of leaving runners between edges and a scheduler."""

    LEAVING_REPORT = LeavingReport(runner_id="r1", started_ms=0)

    async def test_leaving_runner_is_relayed_to_other_and_new_edges(self) -> None:
        async with connect() as (scheduler, edge):
            known_leaving: list[LeavingReport] = []
            scheduler.server.on_leaving = lambda report: (
                not known_leaving and not known_leaving.append(report)
            )
            scheduler.server.list_leaving = lambda: known_leaving
            received = [list[LeavingReport](), list[LeavingReport]()]
            others = [Edge("e2"), Edge("e3")]
            for other, received_reports in zip(others, received, strict=True):
                other.client.on_leaving = received_reports.append
            others[0].link.view.update_leader(edge.view.leader)
            await others[0].async_wait_leading()
            for _ in range(3):
                edge.client.report_signal(self.LEAVING_REPORT)
            await async_wait_until(lambda: bool(received[0]))
            others[1].link.view.update_leader(edge.view.leader)
            await async_wait_until(lambda: bool(received[1]))
            for other in others:
                other.task.cancel()
                other.link.close()
        assert received == [[self.LEAVING_REPORT], [self.LEAVING_REPORT]]

    async def test_new_leader_receives_reports_first(self) -> None:
        async with connect() as (scheduler, edge):
            edge.client.list_leaving = lambda: [self.LEAVING_REPORT]
            next_scheduler = Scheduler()
            reports: list[LeavingReport] = []
            next_scheduler.server.on_leaving = lambda report: not reports.append(report)
            edge.follow(await next_scheduler.async_start(), fence=2)
            scheduler.stop()
            await async_wait_until(lambda: bool(reports))
            next_scheduler.stop()
        assert reports == [self.LEAVING_REPORT]


class TestLoss:
    """A scheduler that is lost, silent or replaced, and an edge that is lost."""

    async def test_edge_grants_locally_after_losing_the_scheduler(self) -> None:
        async with connect() as (scheduler, edge):
            scheduler.server.core.state.runners.clear()
            waiting = edge.client.request_grant(make_grant_request("q1"))
            await asyncio.sleep(0.02)
            scheduler.stop()
            assert isinstance(await receive(waiting), Grant)

    async def test_silent_scheduler_is_detected(self) -> None:
        async with connect() as (scheduler, edge):
            no_runners = FleetUpdated(table=make_table(), runners=())
            scheduler.server.handle(no_runners)
            scheduler.task.cancel()
            waiting = edge.client.request_grant(make_grant_request("q1"))
            started_at = asyncio.get_running_loop().time()
            assert isinstance(await receive(waiting), Grant)
            assert asyncio.get_running_loop().time() - started_at < 4 * SILENCE_S

    async def test_edge_grants_locally_without_a_scheduler(self) -> None:
        edge = Edge()
        try:
            response = await receive(
                edge.client.request_grant(make_grant_request("q1"))
            )
            assert isinstance(response, Grant)
        finally:
            edge.task.cancel()

    async def test_new_scheduler_receives_running_requests(self) -> None:
        async with connect() as (_, edge):
            await receive(edge.client.request_grant(make_grant_request("q1")))
            other = Scheduler()
            try:
                edge.follow(await other.async_start(), fence=2)
                await async_wait_until(lambda: bool(other.server.core.state.granted))
                assert ("e1", "q1") in other.server.core.state.granted
            finally:
                other.stop()

    async def test_lost_edge_releases_its_grants(self) -> None:
        async with connect() as (scheduler, edge):
            await receive(edge.client.request_grant(make_grant_request("q1")))
            edge.task.cancel()
            edge.link.close()
            await async_wait_until(lambda: not scheduler.server.core.state.granted)


class TestFleet:
    """The fleet that a local grant provider uses."""

    async def test_fleet_is_updated_before_a_local_grant(self) -> None:
        clock = asyncio.get_running_loop().time
        fleets = [
            FleetUpdated(table=make_table(), runners=(make_runner("r2", ("a",)),))
        ]
        local = LocalGrantProvider(
            make_core(), "e1", clock, lambda: fleets.pop() if fleets else None
        )
        response = await receive(local.request_grant(make_grant_request("q1")))
        assert isinstance(response, Grant)
        assert response.runner_id == "r2"


class TestState:
    """State of the store that a scheduler relays to an edge, and its freshness."""

    async def test_keys_and_changes_are_relayed(self) -> None:
        async with connect() as (scheduler, edge):
            assert edge.recorder.values == {"k": b"1"}
            item = Item(key="l", value=b"2", revision=at(6))
            scheduler.mirror.apply_partial_snapshot(("k", "l"), (item,), at(6))
            await async_wait_until(lambda: len(edge.recorder.values) == 2)
            assert edge.recorder.values == {"k": b"1", "l": b"2"}

    async def test_simultaneous_changes_are_relayed_together(self) -> None:
        async with connect() as (scheduler, edge):
            received_changes: list[Changes] = []
            edge.recorder.apply_changes = received_changes.append  # type: ignore[method-assign]
            for revision in (6, 7, 8):
                key = "k" if revision < 8 else "l"
                item = Item(key=key, value=b"%d" % revision, revision=at(revision))
                change = Change(key=key, revision=at(revision), item=item)
                scheduler.mirror.apply_changes(
                    Changes(changes=(change,), revision=at(revision))
                )
            await async_wait_until(lambda: bool(received_changes))
            (changes,) = received_changes
            assert [(each.key, each.revision.number) for each in changes.changes] == [
                ("k", 7),
                ("l", 8),
            ]
            assert changes.revision == at(8)

    async def test_state_of_a_scheduler_without_the_store_is_not_fresh(self) -> None:
        async with connect() as (scheduler, edge):
            assert edge.link.is_fresh()
            scheduler.mirror.responded_at -= 5.0
            await async_wait_until(lambda: not edge.link.is_fresh())

    async def test_state_of_a_scheduler_that_does_not_lead_is_not_fresh(self) -> None:
        """It may follow this edge or another one; then none would read the store."""
        async with connect() as (scheduler, edge):
            scheduler.leading = False
            await async_wait_until(lambda: not edge.link.is_fresh())

    async def test_scheduler_does_not_follow_its_earlier_incarnation(self) -> None:
        async with connect() as (_, edge):
            edge.link.hello = evolve(edge.link.hello, host="s", requests_grants=False)
            edge.link.close()
            await asyncio.sleep(3 * CHECK_S)
            assert edge.link.link is None


class TestStatements:
    """Crash statements that a scheduler relays to all edges."""

    async def test_statement_is_relayed_to_all_others(self) -> None:
        scheduler = Scheduler()
        address = await scheduler.async_start()
        edges = [Edge(name) for name in ("e1", "e2", "e3")]
        message = RelayedStatement(key="crashes/i-1@0/e1", value=b"{}")
        try:
            for edge in edges:
                edge.follow(address)
                await edge.async_wait_leading()
            edges[0].link.send_statement(message)
            await async_wait_until(
                lambda: [len(each.statements) for each in edges] == [0, 1, 1]
            )
            assert scheduler.statements == [message]
        finally:
            for edge in edges:
                edge.task.cancel()
                edge.link.close()
            scheduler.stop()

    async def test_statement_is_not_sent_without_a_scheduler(self) -> None:
        edge = Edge()
        edge.link.send_statement(RelayedStatement(key="crashes/i-1@0/e1", value=b"{}"))
        edge.task.cancel()
        assert edge.statements == []
