"""Tests of heartbeats between drivers, in virtual time."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import count
from random import Random

import pytest
from attrs import define, field

from mangoway.models.errors import ErrorCode, MangowayError
from mangoway.models.identifiers import (
    ConfigVersion,
    DataCentreId,
    HostId,
    IncarnationId,
    UpstreamId,
)
from mangoway.models.member import Member, MemberState, ProcessRole
from mangoway.models.upstream import EngineReport
from mangoway.models.verdict import Verdict
from mangoway.peers import peers_pb2 as pb
from mangoway.peers.heartbeat import HeartbeatCodec
from mangoway.peers.membership import MembershipDriver
from mangoway.peers.reports import ReportTracker
from mangoway.policy.membership.actions import (
    MembersChanged,
    MembershipAction,
    SendHeartbeat,
)
from mangoway.policy.membership.core import MembershipCore
from mangoway.policy.membership.events import (
    HostListUpdated,
    MembershipEvent,
    SendFailed,
    Ticked,
)
from mangoway.util.tasks import Tasks

pytestmark = pytest.mark.looptime

SETTLE_S = 15


@define
class Net:
    """Processes that exchange heartbeats directly; some can't be reached."""

    nodes: dict[str, "Node"] = field(factory=dict)
    cut: set[str] = field(factory=set)
    errors: list[BaseException] = field(factory=list)
    sessions: "count[int]" = field(factory=lambda: count(1))
    lost_replies: int = 0

    def get(self, address: str) -> "Link":
        return Link(self, address)

    def start(self, name: str, life: int = 1) -> "Node":
        node = Node(self, name, life)
        self.nodes[name] = node
        node.driver.async_start(["n0"])
        return node

    def list_states(self, of: str) -> list[str]:
        """Return the state of one process as each other one sees it."""
        return [
            node.states.get(of, "unknown")
            for name, node in self.nodes.items()
            if name != of and name not in self.cut
        ]


@define
class Link:
    """Stands in for `PeerClient`; every message goes over the wire form."""

    net: Net
    address: str

    async def async_exchange(self, heartbeat: pb.Heartbeat) -> pb.Heartbeat:
        await asyncio.sleep(0.001)
        if self.address in self.net.cut or self.address not in self.net.nodes:
            await asyncio.sleep(1.0)
            raise MangowayError(ErrorCode.PEER_SILENT, "cut", Verdict.MAY_HAVE_RUN)
        node = self.net.nodes[self.address]
        sent = pb.Heartbeat.FromString(heartbeat.SerializeToString())
        reply = node.driver.async_receive_heartbeat(sent)
        if self.net.lost_replies:
            self.net.lost_replies -= 1
            raise MangowayError(ErrorCode.PEER_SILENT, "lost", Verdict.MAY_HAVE_RUN)
        return pb.Heartbeat.FromString(reply.SerializeToString())


class ScriptedCore:
    """Sends one heartbeat to `n1` at each tick, and keeps what it was told."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self.told: list[MembershipEvent] = []

    def handle(self, event: MembershipEvent, now: float) -> list[MembershipAction]:
        self.told.append(event)
        if isinstance(event, Ticked):
            return [SendHeartbeat(peer_address="n1", members=(self.own,))]
        if isinstance(event, HostListUpdated):
            other = make_member("n1")
            return [MembersChanged(members=(self.own, other))]
        return []

    @property
    def lost(self) -> list[MembershipEvent]:
        return [event for event in self.told if isinstance(event, SendFailed)]


def make_member(name: str, life: int = 1) -> Member:
    return Member(
        host=HostId(name),
        role=ProcessRole.GATEWAY,
        incarnation=IncarnationId(f"{name}.{life}"),
        started_at=float(life),
        data_centre=DataCentreId("dc1"),
        peer_address=name,
        caller_address=None,
    )


class Node:
    """One process of the test."""

    def __init__(self, net: Net, name: str, life: int) -> None:
        self.members: tuple[Member, ...] = ()
        self.report_tracker = ReportTracker()
        self.tasks = Tasks(net.errors.append)
        own = make_member(name, life)
        self.driver = MembershipDriver(
            core=MembershipCore(own, Random(name)),
            own=own,
            codec=HeartbeatCodec(
                own.incarnation, self.report_tracker, lambda: next(net.sessions)
            ),
            clients=net,  # type: ignore[arg-type]
            tasks=self.tasks,
            on_members=self._take_members,
        )

    @property
    def states(self) -> dict[str, str]:
        return {member.host: member.state.value for member in self.members}

    async def async_stop(self) -> None:
        self.driver.async_stop()
        await self.tasks.async_cancel()

    def _take_members(self, members: tuple[Member, ...]) -> None:
        self.members = members


@asynccontextmanager
async def run_net(size: int = 4) -> AsyncIterator[Net]:
    """Run processes that know only the first of them, until they settled."""
    net = Net()
    for number in range(size):
        net.start(f"n{number}")
    await asyncio.sleep(SETTLE_S)
    yield net
    for node in net.nodes.values():
        await node.async_stop()
    assert net.errors == []


class TestMembership:
    """What the processes know of each other."""

    async def test_all_meet_through_one_seed(self) -> None:
        async with run_net(6) as net:
            for name in net.nodes:
                assert net.list_states(name) == ["live"] * 5

    async def test_leaving_is_known_within_two_seconds(self) -> None:
        async with run_net() as net:
            net.nodes["n2"].driver.async_announce(IncarnationId("n1.1"))
            await asyncio.sleep(2)
            assert net.list_states("n2") == ["leaving"] * 3
            (seen,) = (m for m in net.nodes["n3"].members if m.host == "n2")
            assert seen.successor == "n1.1"

    async def test_silent_process_is_gone_and_comes_back(self) -> None:
        async with run_net() as net:
            net.cut.add("n3")
            net.nodes["n3"].driver.async_stop()
            await asyncio.sleep(SETTLE_S)
            assert net.list_states("n3") == ["gone"] * 3
            net.cut.clear()
            net.start("n3", life=2)
            await asyncio.sleep(SETTLE_S)
            assert net.list_states("n3") == ["live"] * 3

    async def test_version_and_readiness_spread_also_when_replies_are_lost(
        self,
    ) -> None:
        async with run_net() as net:
            net.lost_replies = 6
            net.nodes["n1"].driver.async_set_self(ConfigVersion(7), ready=True)
            await asyncio.sleep(SETTLE_S)
            for node in net.nodes.values():
                (seen,) = (m for m in node.members if m.host == "n1")
                assert (seen.config_version, seen.ready) == (7, True)
                assert seen.state is MemberState.LIVE

    async def test_reports_reach_everyone_in_seconds(self) -> None:
        async with run_net(6) as net:
            now = asyncio.get_running_loop().time()
            report = EngineReport(
                upstream=UpstreamId("r1"),
                incarnation=IncarnationId("e.1"),
                reported_at=now,
                running=3,
                waiting=0,
            )
            net.nodes["n5"].report_tracker.add_if_newer(report)
            await asyncio.sleep(5)
            for node in net.nodes.values():
                entry = node.report_tracker.get(UpstreamId("r1"))
                assert entry is not None
                assert entry.report.running == 3
                assert entry.report.reported_at == pytest.approx(now, abs=0.1)


class TestLostHeartbeats:
    """The core is told of entries that a peer did not get."""

    async def test_failed_exchange(self) -> None:
        net = Net(cut={"n1"})
        core, driver = _make_scripted(net)
        driver.async_start([])
        await asyncio.sleep(3)
        assert core.lost == [SendFailed(peer=HostId("n1"))]

    async def test_heartbeat_that_is_skipped_while_one_is_under_way(self) -> None:
        net = Net()
        net.nodes["n1"] = Node(net, "n1", 1)
        core, driver = _make_scripted(net)
        driver.async_start([])
        driver._driver.async_handle(Ticked())
        assert core.lost == [SendFailed(peer=HostId("n1"))]
        await asyncio.sleep(1)
        assert len(core.lost) == 1
        await net.nodes["n1"].async_stop()

    async def test_peer_that_does_not_know_a_slot(self) -> None:
        net = Net()
        core, driver = _make_scripted(net)
        driver.async_start([])
        heartbeat = pb.Heartbeat(session=77, unknown_members=[3])
        identity = heartbeat.identities.add(host="n1", incarnation="n1.1")
        identity.peer_address = "n1"
        driver.async_receive_heartbeat(heartbeat)
        assert core.lost == [SendFailed(peer=HostId("n1"))]


def _make_scripted(net: Net) -> tuple[ScriptedCore, MembershipDriver]:
    own = make_member("n0")
    core = ScriptedCore(own)
    driver = MembershipDriver(
        core=core,
        own=own,
        codec=HeartbeatCodec(
            own.incarnation, ReportTracker(), lambda: next(net.sessions)
        ),
        clients=net,  # type: ignore[arg-type]
        tasks=Tasks(net.errors.append),
        on_members=lambda _: None,
    )
    return core, driver
