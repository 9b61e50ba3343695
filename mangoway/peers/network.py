"""Membership and configuration exchange of a process with its peers."""

import asyncio
from collections.abc import Callable, Iterable
from random import Random, SystemRandom

from attrs import define, field

from ..key_value.store import KeyValueStore
from ..models.identifiers import IncarnationId
from ..models.member import Member
from ..models.offer import Configuration
from ..observability.journal import Journal
from ..operators.follower import ConfigurationFollower
from ..policy.configuration.core import ConfigurationCore
from ..policy.core import Core
from ..policy.membership.actions import MembershipAction
from ..policy.membership.events import ListedHost, MembershipEvent
from ..util.tasks import Tasks
from .client import PeerClients
from .configuration import ConfigurationDriver
from .configuration_log import ConfigurationLog
from .const import CLOSE_IDLE_PERIOD_S, SESSION_BITS
from .directory import Directory, name_process
from .heartbeat import HeartbeatCodec
from .member_log import MemberLog
from .membership import MembershipDriver
from .reports import ReportTracker
from .server import PeerReceivers


@define(eq=False, kw_only=True)
class PeerNetwork:
    """Exchanges heartbeats with peers, and follows the newest configuration.

    `on_members` and `on_configuration` are called with each change, in order.
    """

    own: Member
    site: str
    membership_core: Core[MembershipEvent, MembershipAction]
    store: KeyValueStore
    clients: PeerClients
    directory: Directory
    report_tracker: ReportTracker
    journal: Journal
    tasks: Tasks
    rng: Random
    on_members: Callable[[tuple[Member, ...]], None]
    on_configuration: Callable[[Configuration], None]
    membership: MembershipDriver = field(init=False)
    configuration: ConfigurationDriver = field(init=False)
    _log: MemberLog = field(factory=MemberLog, init=False)

    def __attrs_post_init__(self) -> None:
        self.membership = MembershipDriver(
            core=self.membership_core,
            own=self.own,
            codec=HeartbeatCodec(
                self.own.incarnation, self.report_tracker, make_session
            ),
            clients=self.clients,
            tasks=self.tasks,
            on_members=self._handle_members,
        )
        self.configuration = ConfigurationDriver(
            core=ConfigurationCore(name_process(self.own), self.rng),
            store=self.store,
            follower=ConfigurationFollower(self.site),
            clients=self.clients,
            directory=self.directory,
            data_centre=self.own.data_centre,
            tasks=self.tasks,
            log=ConfigurationLog(self.journal),
            on_applied=self._apply,
        )

    def add_to(self, receivers: PeerReceivers) -> None:
        """Register the receivers of heartbeats, probes and configuration calls."""
        receivers.heartbeats = self.membership
        receivers.probes = self.membership
        receivers.configuration = self.configuration

    def async_start(self, seeds: Iterable[str]) -> None:
        """Start with the peer addresses in the settings."""
        self.directory.set_members((self.own,))
        self.membership.async_start(seeds)
        self.configuration.async_start()
        self.tasks.async_start(self._async_close_idle())

    def async_stop(self) -> None:
        """Stop all exchanges with peers."""
        self.membership.async_stop()
        self.configuration.async_stop()

    def async_update_hosts(self, hosts: Iterable[ListedHost]) -> None:
        """Report the processes in the host list to the membership core."""
        self.membership.async_update_hosts(hosts)

    def async_announce(self, successor: IncarnationId | None) -> None:
        """Announce that this process is leaving, with the successor for its keys."""
        self.membership.async_announce(successor)

    def _handle_members(self, members: tuple[Member, ...]) -> None:
        self._log.log_changes(members)
        self.directory.set_members(members)
        self.configuration.async_update_members()
        self.on_members(members)

    def _apply(self, configuration: Configuration) -> None:
        self.on_configuration(configuration)
        self.membership.async_update_own_member(configuration.version, ready=True)

    async def _async_close_idle(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CLOSE_IDLE_PERIOD_S)
            self.clients.close_idle(loop.time())


def make_session() -> int:
    """Return a random session number that is not 0 and almost certainly unique."""
    return SystemRandom().getrandbits(SESSION_BITS) or 1
