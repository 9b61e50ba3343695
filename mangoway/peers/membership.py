"""The loop side of the membership core: heartbeats to and from peers."""

import asyncio
from collections.abc import Callable, Iterable
from functools import singledispatchmethod

from attrs import define, field

from ..models.errors import MangowayError
from ..models.identifiers import ConfigVersion, HostId, IncarnationId
from ..models.member import Member
from ..policy.core import Core
from ..policy.membership.actions import (
    MembersChanged,
    MembershipAction,
    SendHeartbeat,
    WakeAt,
)
from ..policy.membership.events import (
    HeartbeatReceived,
    HostListed,
    HostsListed,
    LeaveRequested,
    MembershipEvent,
    SelfChanged,
    SendFailed,
    Ticked,
)
from ..util.core_driver import CoreDriver
from ..util.tasks import Tasks
from . import peers_pb2 as pb
from .client import PeerClients
from .heartbeat import HeartbeatCodec
from .messages import ReceivedHeartbeat

UNKNOWN_SESSION = 0


@define(eq=False)
class PeerRecord:
    """What is known of the process at one address."""

    session: int = UNKNOWN_SESSION
    host: HostId | None = None
    exchanging: bool = False


@define(eq=False, kw_only=True)
class MembershipDriver:
    """Exchanges heartbeats as the core decides; one at a time with each peer.

    `own` is this process's entry as it starts. `on_members` is called with all
    entries whenever the core says that they changed.
    """

    core: Core[MembershipEvent, MembershipAction]
    own: Member
    codec: HeartbeatCodec
    clients: PeerClients
    tasks: Tasks
    on_members: Callable[[tuple[Member, ...]], None]
    on_unreachable: Callable[[str, MangowayError], None] = lambda _address, _error: None
    _driver: CoreDriver[MembershipEvent, MembershipAction] = field(init=False)
    _peers: dict[str, PeerRecord] = field(factory=dict, init=False)
    _answering: str | None = field(default=None, init=False)
    """Address of the peer whose heartbeat is being answered."""

    _answer: tuple[Member, ...] | None = field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self._driver = CoreDriver(self.core, self._carry_out, Ticked)

    def async_start(self, seeds: Iterable[str]) -> None:
        """Begin with the peer addresses that the settings name."""
        self.async_list_hosts(HostListed(peer_address=seed) for seed in seeds)
        self._driver.async_handle(Ticked())

    def async_stop(self) -> None:
        """Send nothing further."""
        self._driver.async_stop()

    def async_list_hosts(self, hosts: Iterable[HostListed]) -> None:
        """Take the processes that the host list or the settings name."""
        self._driver.async_handle(HostsListed(hosts=tuple(hosts)))

    def async_set_self(self, config_version: ConfigVersion, ready: bool) -> None:
        """Tell the peers which version is in force here, and whether it serves."""
        changed = SelfChanged(config_version=config_version, ready=ready)
        self._driver.async_handle(changed)

    def async_announce(self, successor: IncarnationId | None) -> None:
        """Tell the peers that this process leaves, and who has its keys."""
        self._driver.async_handle(LeaveRequested(successor=successor))

    def async_receive_heartbeat(self, heartbeat: pb.Heartbeat) -> pb.Heartbeat:
        """Take a peer's heartbeat and return this process's own.

        What the core sends to that peer in answer travels in the reply.
        """
        received = self.codec.decode(heartbeat, _now())
        answer = self._feed(received)
        return self.codec.encode(heartbeat.session, answer or (self.own,), _now())

    @singledispatchmethod
    def _carry_out(self, action: MembershipAction) -> None:
        raise TypeError(f"unknown action {action!r}")

    @_carry_out.register
    def _(self, action: SendHeartbeat) -> None:
        self._note_own(action.members)
        if action.peer_address == self._answering:
            self._answer = action.members
            return
        record = self._peers.setdefault(action.peer_address, PeerRecord())
        if record.exchanging:
            # The one under way fails within its timeout; the next tick sends anew.
            return
        record.exchanging = True
        self.tasks.async_start(self._async_exchange(record, action))

    @_carry_out.register
    def _(self, action: MembersChanged) -> None:
        self._note_own(action.members)
        self._forget_others(action.members)
        self.on_members(action.members)

    @_carry_out.register
    def _(self, action: WakeAt) -> None:
        self._driver.async_wake_at(action.time)

    async def _async_exchange(self, record: PeerRecord, action: SendHeartbeat) -> None:
        client = self.clients.get(action.peer_address)
        try:
            heartbeat = self.codec.encode(record.session, action.members, _now())
            reply = await client.async_exchange(heartbeat)
            received = self.codec.decode(reply, _now())
        except MangowayError as error:
            self._note_failure(record, action.peer_address, error)
            return
        finally:
            record.exchanging = False
        record.session = reply.session
        record.host = received.sender or record.host
        self._feed(received)

    def _feed(self, received: ReceivedHeartbeat) -> tuple[Member, ...] | None:
        """Feed a heartbeat; return what the core sends to its sender at once."""
        if received.sender is None:
            return None
        self._answering = received.sender_address
        self._answer = None
        try:
            self._driver.async_handle(
                HeartbeatReceived(sender=received.sender, members=received.members)
            )
            return self._answer
        finally:
            self._answering = None

    def _note_failure(
        self, record: PeerRecord, address: str, error: MangowayError
    ) -> None:
        self.codec.forget(record.session)
        record.session = UNKNOWN_SESSION
        self.on_unreachable(address, error)
        if record.host is not None:
            self._driver.async_handle(SendFailed(peer=record.host))

    def _note_own(self, members: tuple[Member, ...]) -> None:
        for member in members:
            if member.incarnation == self.own.incarnation:
                self.own = member

    def _forget_others(self, members: tuple[Member, ...]) -> None:
        known = {member.peer_address for member in members}
        for address, record in tuple(self._peers.items()):
            if address not in known and not record.exchanging:
                del self._peers[address]


def _now() -> float:
    return asyncio.get_running_loop().time()
