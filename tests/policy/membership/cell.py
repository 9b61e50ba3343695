"""Several membership cores over a faulty network, in virtual time."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count, pairwise
from random import Random

from attrs import define, field

from mangoway.models.identifiers import DataCentreId, HostId, IncarnationId
from mangoway.models.member import Member, MemberState, ProcessRole
from mangoway.policy.membership.actions import (
    MembershipAction,
    ReplyHeartbeat,
    SendHeartbeat,
    SendProbe,
    WakeAt,
)
from mangoway.policy.membership.addresses import build_address_answer
from mangoway.policy.membership.core import MembershipCore
from mangoway.policy.membership.events import (
    ConnectionRefused,
    HeartbeatReceived,
    HostListUpdated,
    LeaveRequested,
    ListedHost,
    MembershipEvent,
    PeerAnswered,
    SendFailed,
    Ticked,
)

DELAY_S = 0.01
LIST_PERIOD_S = 5.0


def make_member(host: str, start_number: int = 0, **changes: object) -> Member:
    values: dict[str, object] = {
        "host": HostId(host),
        "role": ProcessRole.GATEWAY,
        "incarnation": IncarnationId(f"{host}.{start_number}"),
        "started_at": float(start_number),
        "data_centre": DataCentreId("dc-1"),
        "peer_address": f"{host}:1",
        "caller_address": f"{host}:2",
        "ready": True,
    }
    return Member(**{**values, **changes})  # type: ignore[arg-type]


@define(eq=False)
class Process:
    """One incarnation of a process."""

    core: MembershipCore
    is_frozen: bool = False
    inbox: list[MembershipEvent] = field(factory=list)


@define
class Cell:
    """A simulated cell: hosts, their running processes and the host list."""

    hosts: list[str]
    random: Random
    now: float = 0.0
    loss_rate: float = 0.0
    disconnected: set[str] = field(factory=set)
    list_is_outdated: bool = False
    """Whether the host list stays as it is when hosts leave."""

    refuses_connections: bool = True
    """Whether a host without a process refuses connections; a host that has lost its
    power or its network is silent instead."""

    processes: dict[str, Process] = field(factory=dict)
    left_at: dict[str, float] = field(factory=dict)
    """When each host was asked to leave; dropped when it is started again."""

    start_count: int = 0
    sent_heartbeats: int = 0
    sent_probes: int = 0
    _listed: tuple[ListedHost, ...] = ()
    _queue: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _order: "count[int]" = field(factory=count)

    def __attrs_post_init__(self) -> None:
        for host in self.hosts:
            self.start(host)
        self._update_list()

    def start(self, host: str) -> None:
        """Start a new process on a host, with the current host list."""
        self.start_count += 1
        self.left_at.pop(host, None)
        member = make_member(host, self.start_count)
        self.processes[host] = Process(MembershipCore(member, Random(self.start_count)))
        self.deliver(host, HostListUpdated(hosts=self._listed))

    def stop(self, host: str) -> None:
        """Kill the process of a host."""
        self.processes.pop(host, None)

    def leave(self, host: str) -> None:
        """Ask the process of a host to leave."""
        if host in self.processes and not self.processes[host].is_frozen:
            self.left_at.setdefault(host, self.now)
            self.deliver(host, LeaveRequested(successor=None))

    def resume(self, host: str) -> None:
        """Resume a frozen process, and deliver the events received meanwhile."""
        process = self.processes[host]
        process.is_frozen = False
        inbox, process.inbox = process.inbox, []
        for event in [*inbox, Ticked()]:
            self.deliver(host, event)

    def end_faults(self) -> None:
        """End all faults."""
        self.loss_rate = 0.0
        self.disconnected.clear()
        self.list_is_outdated = False
        for host, process in list(self.processes.items()):
            if process.is_frozen:
                self.resume(host)

    def run(self, seconds: float) -> None:
        """Advance the time."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, callback = heappop(self._queue)
            callback()
        self.now = end

    def list_address_answer(self, host: str) -> set[str]:
        """Return the hosts in the address answer of a host."""
        members = self.processes[host].core.members
        answer = build_address_answer(members, DataCentreId("dc-1"), 5.0)
        return {gateway.host for gateway in answer.gateways}

    def list_live(self, host: str) -> set[str]:
        """Return the hosts that a host considers live."""
        members = self.processes[host].core.members
        return {m.host for m in members if m.state is MemberState.LIVE}

    def deliver(self, host: str, event: MembershipEvent) -> None:
        """Deliver an event to the process of a host."""
        process = self.processes.get(host)
        if process is None:
            return
        if process.is_frozen:
            process.inbox.append(event)
            return
        for action in process.core.handle(event, self.now):
            self._perform(host, process, event, action)

    def _perform(
        self,
        host: str,
        process: Process,
        event: MembershipEvent,
        action: MembershipAction,
    ) -> None:
        match action:
            case WakeAt():
                self._call_at(action.time, lambda: self._wake_up(host, process))
            case SendHeartbeat():
                self.sent_heartbeats += 1
                receiver = action.peer_address.removesuffix(":1")
                self._send(host, receiver, action.members, wants_reply=True)
            case ReplyHeartbeat():
                assert isinstance(event, HeartbeatReceived)
                self._send(host, event.sender, action.members, wants_reply=False)
            case SendProbe():
                self.sent_probes += 1
                self._probe(host, action)

    def _wake_up(self, host: str, process: Process) -> None:
        if self.processes.get(host) is process:
            self.deliver(host, Ticked())

    def _send(
        self, sender: str, receiver: str, members: tuple[Member, ...], wants_reply: bool
    ) -> None:
        failed = SendFailed(peer=HostId(receiver))
        if self._is_lost(sender, receiver):
            self._call_at(self.now + 1.0, lambda: self.deliver(sender, failed))
            return
        if receiver not in self.processes:
            if not self.refuses_connections:
                self._call_at(self.now + 1.0, lambda: self.deliver(sender, failed))
                return
            self._deliver_later(sender, ConnectionRefused(address=f"{receiver}:1"))
            self._deliver_later(sender, failed)
            return
        heartbeat = HeartbeatReceived(
            sender=HostId(sender), members=members, wants_reply=wants_reply
        )
        self._deliver_later(receiver, heartbeat, DELAY_S)

    def _probe(self, host: str, action: SendProbe) -> None:
        """Deliver the result of a probe; every message of it may be lost."""
        target = action.target_address.removesuffix(":1")
        if action.relay_address is None:
            path = [host, target]
        else:
            path = [host, action.relay_address.removesuffix(":1"), target]
        hops = list(pairwise(path))
        if any(self._is_lost(*hop) or self._is_lost(*hop) for hop in hops):
            return
        if any(not self._is_responsive(relay) for relay in path[1:-1]):
            return
        if self._is_responsive(target):
            self._deliver_later(host, PeerAnswered(address=action.target_address))
        elif target not in self.processes and self.refuses_connections:
            self._deliver_later(host, ConnectionRefused(address=action.target_address))

    def _is_responsive(self, host: str) -> bool:
        process = self.processes.get(host)
        return process is not None and not process.is_frozen

    def _is_lost(self, sender: str, receiver: str) -> bool:
        if {sender, receiver} & self.disconnected:
            return True
        return self.random.random() < self.loss_rate

    def _deliver_later(
        self, host: str, event: MembershipEvent, delay_s: float = 2 * DELAY_S
    ) -> None:
        delay = delay_s * (1 + self.random.random())
        self._call_at(self.now + delay, lambda: self.deliver(host, event))

    def _update_list(self) -> None:
        if not self.list_is_outdated:
            self._listed = tuple(
                ListedHost(peer_address=f"{host}:1", leaving=host in self.left_at)
                for host in self.hosts
            )
        for host in list(self.processes):
            self.deliver(host, HostListUpdated(hosts=self._listed))
        self._call_at(self.now + LIST_PERIOD_S, self._update_list)

    def _call_at(self, time: float, callback: Callable[[], None]) -> None:
        heappush(self._queue, (time, next(self._order), callback))
