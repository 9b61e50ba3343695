"""Several membership cores over a faulty network, in virtual time."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random

from attrs import define, field

from mangoway.models.identifiers import DataCentreId, HostId, IncarnationId
from mangoway.models.member import Member, MemberState, ProcessRole
from mangoway.policy.membership.actions import (
    MembershipAction,
    ReplyHeartbeat,
    SendHeartbeat,
    WakeAt,
)
from mangoway.policy.membership.addresses import build_address_answer
from mangoway.policy.membership.core import MembershipCore
from mangoway.policy.membership.events import (
    HeartbeatReceived,
    HostListUpdated,
    LeaveRequested,
    ListedHost,
    MembershipEvent,
    SendFailed,
    Ticked,
)

DELAY_S = 0.01
LIST_PERIOD_S = 5.0


def make_member(host: str, life: int = 0, **changes: object) -> Member:
    values: dict[str, object] = {
        "host": HostId(host),
        "role": ProcessRole.GATEWAY,
        "incarnation": IncarnationId(f"{host}.{life}"),
        "started_at": float(life),
        "data_centre": DataCentreId("dc-1"),
        "peer_address": f"{host}:1",
        "caller_address": f"{host}:2",
        "ready": True,
    }
    return Member(**{**values, **changes})  # type: ignore[arg-type]


@define(eq=False)
class Process:
    """One life of a process."""

    core: MembershipCore
    frozen: bool = False
    inbox: list[MembershipEvent] = field(factory=list)


@define
class Cell:
    """The oracle: who runs, and who said when that it leaves."""

    hosts: list[str]
    random: Random
    now: float = 0.0
    loss: float = 0.0
    cut: set[str] = field(factory=set)
    list_lags: bool = False
    """The host list stays as it was."""

    processes: dict[str, Process] = field(factory=dict)
    left_at: dict[str, float] = field(factory=dict)
    lives: int = 0
    sent: int = 0
    _listed: tuple[ListedHost, ...] = ()
    _queue: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _order: "count[int]" = field(factory=count)

    def __attrs_post_init__(self) -> None:
        for host in self.hosts:
            self.start(host)
        self._read_list()

    def start(self, host: str) -> None:
        """Start a new process on a host; it knows the host list."""
        self.lives += 1
        self.left_at.pop(host, None)
        member = make_member(host, self.lives)
        self.processes[host] = Process(MembershipCore(member, Random(self.lives)))
        self.deliver(host, HostListUpdated(hosts=self._listed))

    def stop(self, host: str) -> None:
        """Kill the process of a host."""
        self.processes.pop(host, None)

    def leave(self, host: str) -> None:
        """Ask the process of a host to leave."""
        if host in self.processes and not self.processes[host].frozen:
            self.left_at.setdefault(host, self.now)
            self.deliver(host, LeaveRequested(successor=None))

    def thaw(self, host: str) -> None:
        """Let a frozen process go on with what it received meanwhile."""
        process = self.processes[host]
        process.frozen = False
        inbox, process.inbox = process.inbox, []
        for event in [*inbox, Ticked()]:
            self.deliver(host, event)

    def heal(self) -> None:
        """End all faults."""
        self.loss = 0.0
        self.cut.clear()
        self.list_lags = False
        for host, process in list(self.processes.items()):
            if process.frozen:
                self.thaw(host)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, step = heappop(self._queue)
            step()
        self.now = end

    def list_answered(self, host: str) -> set[str]:
        """Return the hosts that a host's address answer names."""
        members = self.processes[host].core.members
        answer = build_address_answer(members, DataCentreId("dc-1"), 5.0)
        return {gateway.host for gateway in answer.gateways}

    def list_live(self, host: str) -> set[str]:
        """Return the hosts that a host takes for live."""
        members = self.processes[host].core.members
        return {m.host for m in members if m.state is MemberState.LIVE}

    def deliver(self, host: str, event: MembershipEvent) -> None:
        """Give an event to the process of a host."""
        process = self.processes.get(host)
        if process is None:
            return
        if process.frozen:
            process.inbox.append(event)
            return
        for action in process.core.handle(event, self.now):
            self._act(host, process, event, action)

    def _act(
        self,
        host: str,
        process: Process,
        event: MembershipEvent,
        action: MembershipAction,
    ) -> None:
        match action:
            case WakeAt():
                self._at(action.time, lambda: self._wake(host, process))
            case SendHeartbeat():
                self.sent += 1
                to = action.peer_address.removesuffix(":1")
                self._send(host, to, action.members, wants_reply=True)
            case ReplyHeartbeat():
                assert isinstance(event, HeartbeatReceived)
                self._send(host, event.sender, action.members, wants_reply=False)

    def _wake(self, host: str, process: Process) -> None:
        if self.processes.get(host) is process:
            self.deliver(host, Ticked())

    def _send(
        self, sender: str, to: str, members: tuple[Member, ...], wants_reply: bool
    ) -> None:
        is_lost = {sender, to} & self.cut or self.random.random() < self.loss
        if is_lost or to not in self.processes:
            failed = SendFailed(peer=HostId(to))
            self._at(self.now + 1.0, lambda: self.deliver(sender, failed))
            return
        heartbeat = HeartbeatReceived(
            sender=HostId(sender), members=members, wants_reply=wants_reply
        )
        delay = DELAY_S * (1 + self.random.random())
        self._at(self.now + delay, lambda: self.deliver(to, heartbeat))

    def _read_list(self) -> None:
        if not self.list_lags:
            self._listed = tuple(
                ListedHost(peer_address=f"{host}:1", leaving=host in self.left_at)
                for host in self.hosts
            )
        for host in list(self.processes):
            self.deliver(host, HostListUpdated(hosts=self._listed))
        self._at(self.now + LIST_PERIOD_S, self._read_list)

    def _at(self, time: float, step: Callable[[], None]) -> None:
        heappush(self._queue, (time, next(self._order), step))
