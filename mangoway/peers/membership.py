"""Event loop adapter of the membership core: heartbeats to and from peers."""

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
    ReplyHeartbeat,
    SendHeartbeat,
    SendProbe,
    WakeAt,
)
from ..policy.membership.events import (
    ConnectionRefused,
    HeartbeatReceived,
    HostListUpdated,
    LeaveRequested,
    ListedHost,
    MembershipEvent,
    OwnMemberChanged,
    PeerAnswered,
    SendFailed,
    Ticked,
)
from ..util.core_driver import CoreDriver
from ..util.tasks import Tasks
from . import peers_pb2 as pb
from .client import PeerClients
from .heartbeat import HeartbeatCodec
from .messages import ReceivedHeartbeat
from .probes import Prober, is_refused

UNKNOWN_SESSION = 0


@define(eq=False)
class PeerRecord:
    """Session of the process at one address, and whether an exchange is open."""

    session: int = UNKNOWN_SESSION
    exchanging: bool = False


@define(eq=False, kw_only=True)
class MembershipDriver:
    """Exchanges heartbeats as the core decides, one at a time with each peer.

    `own` is the initial entry of this process. `on_members` is called with all entries
    whenever the core reports a change, and `on_unreachable` with the address and the
    error of each failed exchange.
    """

    core: Core[MembershipEvent, MembershipAction]
    own: Member
    codec: HeartbeatCodec
    clients: PeerClients
    tasks: Tasks
    on_members: Callable[[tuple[Member, ...]], None]
    on_unreachable: Callable[[str, MangowayError], None] = lambda _address, _error: None
    _driver: CoreDriver[MembershipEvent, MembershipAction] = field(init=False)
    _prober: Prober = field(init=False)
    _peers: dict[str, PeerRecord] = field(factory=dict, init=False)
    _hosts: dict[str, HostId] = field(factory=dict, init=False)
    """Host of each process by its peer address."""

    _reply_members: tuple[Member, ...] = field(default=(), init=False)
    """Entries for the reply to the heartbeat that is being received."""

    def __attrs_post_init__(self) -> None:
        self._driver = CoreDriver(self.core, self._execute, Ticked)
        self._prober = Prober(self.clients)

    def async_start(self, seeds: Iterable[str]) -> None:
        """Start with the peer addresses in the settings."""
        self.async_update_hosts(ListedHost(peer_address=seed) for seed in seeds)
        self._driver.async_handle(Ticked())

    def async_stop(self) -> None:
        """Stop sending heartbeats."""
        self._driver.async_stop()

    def async_update_hosts(self, hosts: Iterable[ListedHost]) -> None:
        """Report the processes in the host list or the settings to the core."""
        self._driver.async_handle(HostListUpdated(hosts=tuple(hosts)))

    def async_update_own_member(
        self, config_version: ConfigVersion, ready: bool
    ) -> None:
        """Update the version in force and the readiness in this process's own entry."""
        changed = OwnMemberChanged(config_version=config_version, ready=ready)
        self._driver.async_handle(changed)

    def async_announce(self, successor: IncarnationId | None) -> None:
        """Announce that this process is leaving, with the successor for its keys."""
        self._driver.async_handle(LeaveRequested(successor=successor))

    def async_receive_heartbeat(self, heartbeat: pb.Heartbeat) -> pb.Heartbeat:
        """Handle a peer's heartbeat and return the reply."""
        received = self.codec.decode(heartbeat, _now())
        self._reply_members = (self.own,)
        self._handle_received(received, heartbeat, wants_reply=True)
        return self.codec.encode(heartbeat.session, self._reply_members, _now())

    async def async_handle_probe(self, request: pb.ProbeRequest) -> pb.ProbeReply:
        """Respond to a probe, or probe another known process for the sender."""
        if not request.target_address:
            return pb.ProbeReply(outcome=pb.PROBE_OUTCOME_ANSWERED)
        if request.target_address not in self._hosts:
            return pb.ProbeReply(outcome=pb.PROBE_OUTCOME_SILENT)
        outcome = await self._prober.async_probe(request.target_address)
        return pb.ProbeReply(outcome=outcome)

    @singledispatchmethod
    def _execute(self, action: MembershipAction) -> None:
        raise TypeError(f"unknown action {action!r}")

    @_execute.register
    def _(self, action: SendHeartbeat) -> None:
        self._update_own(action.members)
        record = self._peers.setdefault(action.peer_address, PeerRecord())
        if record.exchanging:
            # The core counts these entries as sent, so report that they were not.
            self._handle_undelivered(action.peer_address)
            return
        record.exchanging = True
        self.tasks.async_start(self._async_exchange(record, action))

    @_execute.register
    def _(self, action: ReplyHeartbeat) -> None:
        self._update_own(action.members)
        self._reply_members = action.members

    @_execute.register
    def _(self, action: SendProbe) -> None:
        if action.relay_address is None:
            probe = self._async_probe(action.target_address)
        else:
            probe = self._async_probe_through(
                action.relay_address, action.target_address
            )
        self.tasks.async_start(probe)

    @_execute.register
    def _(self, action: MembersChanged) -> None:
        self._update_own(action.members)
        self._update_addresses(action.members)
        self.on_members(action.members)

    @_execute.register
    def _(self, action: WakeAt) -> None:
        self._driver.async_wake_at(action.time)

    async def _async_exchange(self, record: PeerRecord, action: SendHeartbeat) -> None:
        client = self.clients.get(action.peer_address)
        try:
            heartbeat = self.codec.encode(record.session, action.members, _now())
            reply = await client.async_exchange(heartbeat)
            received = self.codec.decode(reply, _now())
        except MangowayError as error:
            self._handle_failure(record, action.peer_address, error)
            return
        finally:
            record.exchanging = False
        record.session = reply.session
        self._handle_received(received, reply, wants_reply=False)

    async def _async_probe(self, target_address: str) -> None:
        outcome = await self._prober.async_probe(target_address)
        self._handle_outcome(target_address, outcome)

    async def _async_probe_through(
        self, relay_address: str, target_address: str
    ) -> None:
        outcome = await self._prober.async_probe_through(relay_address, target_address)
        if outcome is not None:
            self._driver.async_handle(PeerAnswered(address=relay_address))
            self._handle_outcome(target_address, outcome)

    def _handle_outcome(self, address: str, outcome: pb.ProbeOutcome.ValueType) -> None:
        if outcome == pb.PROBE_OUTCOME_ANSWERED:
            self._driver.async_handle(PeerAnswered(address=address))
        elif outcome == pb.PROBE_OUTCOME_REFUSED:
            self._driver.async_handle(ConnectionRefused(address=address))

    def _handle_received(
        self, received: ReceivedHeartbeat, heartbeat: pb.Heartbeat, wants_reply: bool
    ) -> None:
        if received.sender is None or received.sender_address is None:
            return
        if heartbeat.unknown_members:
            self._handle_undelivered(received.sender_address)
        event = HeartbeatReceived(
            sender=received.sender, members=received.members, wants_reply=wants_reply
        )
        self._driver.async_handle(event)

    def _handle_failure(
        self, record: PeerRecord, address: str, error: MangowayError
    ) -> None:
        self.codec.reset_peer(record.session)
        record.session = UNKNOWN_SESSION
        self.on_unreachable(address, error)
        if is_refused(error):
            self._driver.async_handle(ConnectionRefused(address=address))
        self._handle_undelivered(address)

    def _handle_undelivered(self, address: str) -> None:
        """Report to the core that a peer did not receive all entries of a heartbeat."""
        host = self._hosts.get(address)
        if host is not None:
            self._driver.async_handle(SendFailed(peer=host))

    def _update_own(self, members: tuple[Member, ...]) -> None:
        for member in members:
            if member.incarnation == self.own.incarnation:
                self.own = member

    def _update_addresses(self, members: tuple[Member, ...]) -> None:
        self._hosts = {member.peer_address: member.host for member in members}
        for address, record in tuple(self._peers.items()):
            if address not in self._hosts and not record.exchanging:
                del self._peers[address]


def _now() -> float:
    return asyncio.get_running_loop().time()
