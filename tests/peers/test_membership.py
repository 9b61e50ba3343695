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
"""Virtual time in which all processes learn of a start, a change or a loss."""


@define
class FakeNetwork:
    """Processes that exchange heartbeats directly; some can be made unreachable."""

    processes: dict[str, "Process"] = field(factory=dict)
    unreachable: set[str] = field(factory=set)
    stopped: set[str] = field(factory=set)
    """Processes whose host refuses connections."""

    previous_release: set[str] = field(factory=set)
    """Processes that don't know probes."""

    errors: list[BaseException] = field(factory=list)
    sessions: "count[int]" = field(factory=lambda: count(1))
    lost_replies: int = 0

    def get(self, address: str) -> "FakePeerClient":
        return FakePeerClient(self, address)

    def start(self, name: str, run_number: int = 1) -> "Process":
        process = Process(self, name, run_number)
        self.processes[name] = process
        process.driver.async_start(["n0"])
        return process

    def list_states(self, of: str) -> list[str]:
        """Return the state of one process at each other reachable process."""
        return [
            process.states.get(of, "unknown")
            for name, process in self.processes.items()
            if name != of and name not in self.unreachable
        ]


@define
class FakePeerClient:
    """Simulated `PeerClient`; every message is serialized and parsed."""

    network: FakeNetwork
    address: str

    async def async_exchange(self, heartbeat: pb.Heartbeat) -> pb.Heartbeat:
        await asyncio.sleep(0.001)
        if self.address in self.network.stopped:
            refused = ConnectionRefusedError()
            error = MangowayError(ErrorCode.PEER_UNREACHABLE, "stopped")
            raise error from refused
        if (
            self.address in self.network.unreachable
            or self.address not in self.network.processes
        ):
            await asyncio.sleep(1.0)
            raise MangowayError(ErrorCode.PEER_SILENT, "cut", Verdict.MAY_HAVE_RUN)
        process = self.network.processes[self.address]
        sent = pb.Heartbeat.FromString(heartbeat.SerializeToString())
        reply = process.driver.async_receive_heartbeat(sent)
        if self.network.lost_replies:
            self.network.lost_replies -= 1
            raise MangowayError(ErrorCode.PEER_SILENT, "lost", Verdict.MAY_HAVE_RUN)
        return pb.Heartbeat.FromString(reply.SerializeToString())

    async def async_probe(
        self, request: pb.ProbeRequest, timeout_s: float
    ) -> pb.ProbeReply:
        await asyncio.sleep(0.001)
        if self.address in self.network.stopped:
            refused = ConnectionRefusedError()
            error = MangowayError(ErrorCode.PEER_UNREACHABLE, "stopped")
            raise error from refused
        if (
            self.address in self.network.unreachable
            or self.address not in self.network.processes
        ):
            await asyncio.sleep(timeout_s)
            raise MangowayError(ErrorCode.PEER_SILENT, "cut", Verdict.MAY_HAVE_RUN)
        if self.address in self.network.previous_release:
            raise MangowayError(ErrorCode.PEER_FAILED, "UNIMPLEMENTED")
        process = self.network.processes[self.address]
        return await process.driver.async_handle_probe(request)


class ScriptedCore:
    """Sends one heartbeat to `n1` at each tick, and records the received events."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self.received_events: list[MembershipEvent] = []

    def handle(self, event: MembershipEvent, now: float) -> list[MembershipAction]:
        self.received_events.append(event)
        if isinstance(event, Ticked):
            return [SendHeartbeat(peer_address="n1", members=(self.own,))]
        if isinstance(event, HostListUpdated):
            other = make_member("n1")
            return [MembersChanged(members=(self.own, other))]
        return []

    @property
    def send_failures(self) -> list[MembershipEvent]:
        return [
            event for event in self.received_events if isinstance(event, SendFailed)
        ]


def make_member(name: str, run_number: int = 1) -> Member:
    return Member(
        host=HostId(name),
        role=ProcessRole.GATEWAY,
        incarnation=IncarnationId(f"{name}.{run_number}"),
        started_at=float(run_number),
        data_centre=DataCentreId("dc1"),
        peer_address=name,
        caller_address=None,
    )


class Process:
    """One process of the test."""

    def __init__(self, network: FakeNetwork, name: str, run_number: int) -> None:
        self.members: tuple[Member, ...] = ()
        self.report_tracker = ReportTracker()
        self.tasks = Tasks(network.errors.append)
        own = make_member(name, run_number)
        self.driver = MembershipDriver(
            core=MembershipCore(own, Random(name)),
            own=own,
            codec=HeartbeatCodec(
                own.incarnation, self.report_tracker, lambda: next(network.sessions)
            ),
            clients=network,  # type: ignore[arg-type]
            tasks=self.tasks,
            on_members=self._handle_members,
        )

    @property
    def states(self) -> dict[str, str]:
        return {member.host: member.state.value for member in self.members}

    @property
    def suspected(self) -> list[Member]:
        return [member for member in self.members if member.is_suspected]

    async def async_stop(self) -> None:
        self.driver.async_stop()
        await self.tasks.async_cancel()

    def _handle_members(self, members: tuple[Member, ...]) -> None:
        self.members = members


@asynccontextmanager
async def run_network(size: int = 4) -> AsyncIterator[FakeNetwork]:
    """Run processes that know only the first of them, until all have met."""
    network = FakeNetwork()
    for number in range(size):
        network.start(f"n{number}")
    await asyncio.sleep(SETTLE_S)
    yield network
    for process in network.processes.values():
        await process.async_stop()
    assert network.errors == []


class TestMembership:
    """Entries that the processes have of each other."""

    async def test_all_meet_through_one_seed(self) -> None:
        async with run_network(6) as network:
            for name in network.processes:
                assert network.list_states(name) == ["live"] * 5

    async def test_leaving_reaches_all_within_two_seconds(self) -> None:
        async with run_network() as network:
            network.processes["n2"].driver.async_announce(IncarnationId("n1.1"))
            await asyncio.sleep(2)
            assert network.list_states("n2") == ["leaving"] * 3
            (seen,) = (m for m in network.processes["n3"].members if m.host == "n2")
            assert seen.successor == "n1.1"

    async def test_silent_process_is_gone_and_can_rejoin(self) -> None:
        async with run_network() as network:
            network.unreachable.add("n3")
            network.processes["n3"].driver.async_stop()
            await asyncio.sleep(SETTLE_S)
            assert network.list_states("n3") == ["gone"] * 3
            network.unreachable.clear()
            network.start("n3", run_number=2)
            await asyncio.sleep(SETTLE_S)
            assert network.list_states("n3") == ["live"] * 3

    async def test_version_and_readiness_reach_all_despite_lost_replies(
        self,
    ) -> None:
        async with run_network() as network:
            network.lost_replies = 6
            network.processes["n1"].driver.async_update_own_member(
                ConfigVersion(7), ready=True
            )
            await asyncio.sleep(SETTLE_S)
            for process in network.processes.values():
                (seen,) = (m for m in process.members if m.host == "n1")
                assert (seen.config_version, seen.ready) == (7, True)
                assert seen.state is MemberState.LIVE

    async def test_reports_reach_all_within_seconds(self) -> None:
        async with run_network(6) as network:
            now = asyncio.get_running_loop().time()
            report = EngineReport(
                upstream=UpstreamId("r1"),
                incarnation=IncarnationId("e.1"),
                reported_at=now,
                running=3,
                waiting=0,
            )
            network.processes["n5"].report_tracker.add_if_newer(report)
            await asyncio.sleep(5)
            for process in network.processes.values():
                entry = process.report_tracker.get(UpstreamId("r1"))
                assert entry is not None
                assert entry.report.running == 3
                assert entry.report.reported_at == pytest.approx(now, abs=0.1)


class TestProbes:
    """Suspicions that reach all processes, so that no caller is sent to a gone one."""

    def list_suspecting(self, network: FakeNetwork, of: str) -> list[str]:
        return [
            name
            for name, process in network.processes.items()
            if name != of and any(m.host == of for m in process.suspected)
        ]

    @pytest.mark.parametrize("failure", ["unreachable", "stopped"])
    async def test_killed_process_is_suspected_by_all(self, failure: str) -> None:
        async with run_network(6) as network:
            network.processes["n3"].driver.async_stop()
            getattr(network, failure).add("n3")
            await asyncio.sleep(3)
            assert self.list_suspecting(network, "n3") == ["n0", "n1", "n2", "n4", "n5"]
            assert network.list_states("n3") == ["live"] * 5
            (member,) = network.processes["n0"].suspected
            assert member.is_refused is (failure == "stopped")

    async def test_reachable_process_refutes_a_suspicion(self) -> None:
        async with run_network(4) as network:
            driver = network.processes["n3"].driver
            network.unreachable.add("n3")
            driver.clients = FakeNetwork()  # type: ignore[assignment]
            await asyncio.sleep(3)
            assert len(self.list_suspecting(network, "n3")) == 3
            network.unreachable.clear()
            driver.clients = network  # type: ignore[assignment]
            await asyncio.sleep(3)
            assert self.list_suspecting(network, "n3") == []

    async def test_process_of_the_previous_release_is_not_suspected(self) -> None:
        async with run_network(4) as network:
            network.previous_release.add("n3")
            await asyncio.sleep(5)
            assert self.list_suspecting(network, "n3") == []

    async def test_unknown_address_is_not_probed_for_a_peer(self) -> None:
        async with run_network(2) as network:
            request = pb.ProbeRequest(target_address="elsewhere")
            reply = await network.processes["n0"].driver.async_handle_probe(request)
            assert reply.outcome == pb.PROBE_OUTCOME_SILENT


class TestLostHeartbeats:
    """Heartbeats that a peer did not receive are reported to the core."""

    async def test_failed_exchange(self) -> None:
        network = FakeNetwork(unreachable={"n1"})
        core, driver = _make_scripted(network)
        driver.async_start([])
        await asyncio.sleep(3)
        assert core.send_failures == [SendFailed(peer=HostId("n1"))]

    async def test_heartbeat_that_is_skipped_during_an_exchange(self) -> None:
        network = FakeNetwork()
        network.processes["n1"] = Process(network, "n1", 1)
        core, driver = _make_scripted(network)
        driver.async_start([])
        driver._driver.async_handle(Ticked())
        assert core.send_failures == [SendFailed(peer=HostId("n1"))]
        await asyncio.sleep(1)
        assert len(core.send_failures) == 1
        await network.processes["n1"].async_stop()

    async def test_peer_with_an_unknown_slot(self) -> None:
        network = FakeNetwork()
        core, driver = _make_scripted(network)
        driver.async_start([])
        heartbeat = pb.Heartbeat(session=77, unknown_members=[3])
        identity = heartbeat.identities.add(host="n1", incarnation="n1.1")
        identity.peer_address = "n1"
        driver.async_receive_heartbeat(heartbeat)
        assert core.send_failures == [SendFailed(peer=HostId("n1"))]


def _make_scripted(network: FakeNetwork) -> tuple[ScriptedCore, MembershipDriver]:
    own = make_member("n0")
    core = ScriptedCore(own)
    driver = MembershipDriver(
        core=core,
        own=own,
        codec=HeartbeatCodec(
            own.incarnation, ReportTracker(), lambda: next(network.sessions)
        ),
        clients=network,  # type: ignore[arg-type]
        tasks=Tasks(network.errors.append),
        on_members=lambda _: None,
    )
    return core, driver
