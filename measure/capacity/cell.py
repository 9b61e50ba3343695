"""The heartbeats of one whole cell, in virtual time and without a network."""

import heapq
from collections.abc import Sequence
from itertools import count
from random import Random

from attrs import define, evolve, field, frozen

from mangoway.daemons.const import POLL_PERIOD_S, REPORTERS_PER_ENGINE
from mangoway.daemons.rendezvous import is_chosen
from mangoway.models.member import Member
from mangoway.models.upstream import EngineReport
from mangoway.peers import peers_pb2 as pb
from mangoway.peers.const import MAX_REPORTS_PER_HEARTBEAT
from mangoway.peers.heartbeat import HeartbeatCodec
from mangoway.peers.messages import ReceivedHeartbeat
from mangoway.peers.reports import ReportBook
from mangoway.policy.membership.actions import (
    MembershipAction,
    ReplyHeartbeat,
    SendHeartbeat,
    WakeAt,
)
from mangoway.policy.membership.core import MembershipCore
from mangoway.policy.membership.events import (
    HeartbeatReceived,
    HostListed,
    HostsListed,
    MembershipEvent,
    Ticked,
)

from .builders import make_member, make_report
from .meter import CpuMeter

MODELS = 1400


@frozen(kw_only=True)
class CellCost:
    """What one node spent in a second on heartbeats."""

    bytes_sent: float
    lasting_bytes: float
    """Bytes sent, as if no two processes met for the first time."""

    cpu_share: float
    exchanges: float
    reports_sent: float
    """Reports in heartbeats that are no first meeting, as if all were such."""

    reports_new: float
    """Reports received that were news."""

    first_bytes: float
    """Part of the bytes that only the first meetings of two processes need."""

    mean_age_s: float
    worst_age_s: float
    """Age of the reports that the nodes hold at the end: mean of all, and mean over
    the nodes of the oldest one."""


@define(eq=False)
class Node:
    """One process: its membership core, codec and book of reports."""

    member: Member
    core: MembershipCore
    codec: HeartbeatCodec
    book: ReportBook
    sessions: dict[str, int] = field(factory=dict)
    polled: list[int] = field(factory=list)


class CellSimulation:
    """Nodes that exchange heartbeats as their cores decide.

    Exchanges take no time; what is counted is messages, bytes of their bodies, and
    the processor time of codec, core and book.
    """

    def __init__(self, nodes: int, runners: int, seed: int = 1) -> None:
        self._random = Random(seed)
        self._now = 0.0
        self._order = count()
        self._turns: list[tuple[float, int, Node]] = []
        self._polls: list[tuple[float, int, Node, int]] = []
        self._reports: list[EngineReport] = [
            make_report(number, MODELS, 0.0) for number in range(runners)
        ]
        sessions = count(1)
        self._nodes = [self._make_node(number, sessions) for number in range(nodes)]
        self._by_address = {node.member.peer_address: node for node in self._nodes}
        self._share_runners()
        self._reset()

    def run(self, warm_up_s: float, seconds: float) -> CellCost:
        """Let time pass and return the cost of the seconds after the warm-up."""
        self._start()
        self._pass(warm_up_s)
        self._reset()
        self._pass(warm_up_s + seconds)
        whole = seconds * len(self._nodes)
        lasting = self._bytes - self._first_bytes
        mean_age_s, worst_age_s = self._find_ages()
        return CellCost(
            bytes_sent=self._bytes / whole,
            lasting_bytes=lasting / self._lasting * self._heartbeats / whole,
            cpu_share=self._cpu.seconds / whole,
            exchanges=self._exchanges / whole,
            reports_sent=self._reports_sent / self._lasting * self._heartbeats / whole,
            reports_new=self._reports_new / whole,
            first_bytes=self._first_bytes / whole,
            mean_age_s=mean_age_s,
            worst_age_s=worst_age_s,
        )

    def _reset(self) -> None:
        self._cpu = CpuMeter()
        self._bytes = 0
        self._first_bytes = 0
        self._heartbeats = 0
        self._lasting = 0
        self._exchanges = 0
        self._reports_sent = 0
        self._reports_new = 0

    def _make_node(self, number: int, sessions: "count[int]") -> Node:
        member = make_member(number)
        book = ReportBook()
        core = MembershipCore(member, Random(number))
        codec = HeartbeatCodec(member.incarnation, book, lambda: next(sessions))
        return Node(member, core, codec, book)

    def _share_runners(self) -> None:
        names = [node.member.incarnation for node in self._nodes]
        for node in self._nodes:
            own = node.member.incarnation
            node.polled = [
                number
                for number, report in enumerate(self._reports)
                if is_chosen(own, names, report.upstream, REPORTERS_PER_ENGINE)
            ]

    def _start(self) -> None:
        hosts = tuple(
            HostListed(peer_address=node.member.peer_address) for node in self._nodes
        )
        for node in self._nodes:
            self._handle(node, HostsListed(hosts=hosts))
            for number in node.polled:
                self._plan_poll(node, number, self._random.random() * POLL_PERIOD_S)

    def _plan_poll(self, node: Node, number: int, at: float) -> None:
        heapq.heappush(self._polls, (at, next(self._order), node, number))

    def _pass(self, until: float) -> None:
        while True:
            beat_at = self._turns[0][0]
            poll_at = self._polls[0][0] if self._polls else until
            if min(beat_at, poll_at) >= until:
                self._now = until
                return
            if poll_at < beat_at:
                self._poll()
                continue
            self._now, _, node = heapq.heappop(self._turns)
            self._handle(node, Ticked())

    def _poll(self) -> None:
        self._now, _, node, number = heapq.heappop(self._polls)
        running = self._random.randrange(64)
        report = evolve(
            self._reports[number],
            reported_at=self._now,
            running=running,
            kv_cache_used_mb=3000 + 40 * running,
        )
        with self._cpu.measure():
            node.book.offer(report)
        self._plan_poll(node, number, self._now + POLL_PERIOD_S)

    def _handle(self, node: Node, event: MembershipEvent) -> Sequence[MembershipAction]:
        with self._cpu.measure():
            actions = node.core.handle(event, self._now)
        for action in actions:
            match action:
                case SendHeartbeat():
                    self._exchange(node, action)
                case WakeAt():
                    turn = (action.time, next(self._order), node)
                    heapq.heappush(self._turns, turn)
                case _:
                    pass
        return actions

    def _exchange(self, node: Node, action: SendHeartbeat) -> None:
        peer = self._by_address[action.peer_address]
        address = action.peer_address
        self._exchanges += 1
        known = node.sessions.get(address, 0)
        sent = self._encode(node, known, action.members)
        received = self._decode(peer, sent)
        if received.sender is None:
            return
        answer = self._answer(peer, received)
        reply = self._encode(peer, sent.session, answer)
        node.sessions[address] = reply.session
        received = self._decode(node, reply)
        if received.sender is not None:
            event = HeartbeatReceived(
                sender=received.sender, members=received.members, wants_reply=False
            )
            self._handle(node, event)

    def _answer(self, peer: Node, received: ReceivedHeartbeat) -> Sequence[Member]:
        assert received.sender is not None
        event = HeartbeatReceived(
            sender=received.sender, members=received.members, wants_reply=True
        )
        for action in self._handle(peer, event):
            if isinstance(action, ReplyHeartbeat):
                return action.members
        return (peer.member,)

    def _count(self, heartbeat: pb.Heartbeat, size: int) -> None:
        self._bytes += size
        self._heartbeats += 1
        if len(heartbeat.loads.runners) > MAX_REPORTS_PER_HEARTBEAT:
            self._first_bytes += size
            return
        self._first_bytes += size - find_lasting_bytes(heartbeat)
        self._reports_sent += len(heartbeat.loads.runners)
        self._lasting += 1

    def _encode(
        self, node: Node, session: int, members: Sequence[Member]
    ) -> pb.Heartbeat:
        with self._cpu.measure():
            heartbeat = node.codec.encode(session, members, self._now)
            size = len(heartbeat.SerializeToString())
        self._count(heartbeat, size)
        return heartbeat

    def _decode(self, node: Node, heartbeat: pb.Heartbeat) -> ReceivedHeartbeat:
        wire = heartbeat.SerializeToString()
        with self._cpu.measure():
            read = pb.Heartbeat.FromString(wire)
            received = node.codec.decode(read, self._now)
        self._reports_new += len(received.reports)
        return received

    def _find_ages(self) -> tuple[float, float]:
        ages: list[float] = []
        oldest: list[float] = []
        for node in self._nodes:
            entries = [node.book.get(report.upstream) for report in self._reports]
            held = [self._now - e.report.reported_at for e in entries if e is not None]
            ages += held
            oldest.append(max(held, default=0.0))
        return sum(ages) / max(1, len(ages)), sum(oldest) / len(oldest)


def find_lasting_bytes(heartbeat: pb.Heartbeat) -> int:
    """Return the bytes of a heartbeat without what a peer is told only once."""
    lasting = pb.Heartbeat()
    lasting.CopyFrom(heartbeat)
    for name in ("identities", "names", "residencies"):
        lasting.ClearField(name)
    return lasting.ByteSize()
