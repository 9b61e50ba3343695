"""Distribution of the configuration: how one process finds and applies versions."""

from math import inf
from random import Random

from attrs import define, field

from ...models.identifiers import ConfigVersion, HostId
from ...models.offer import Configuration
from .actions import (
    ApplyConfiguration,
    ConfigurationAction,
    FetchFromPeer,
    FetchFromService,
    PushToPeer,
    ReadHead,
    WakeAt,
    WatchHead,
)
from .const import (
    MAX_PULL_DELAY_S,
    NON_RELAY_READ_S,
    PUSH_FANOUT,
    RELAY_READ_S,
    START_MAX_WAIT_S,
    START_PEER_WAIT_S,
    START_PEERS,
    START_READ_S,
)
from .events import (
    ConfigurationEvent,
    DocumentReceived,
    FetchFailed,
    HeadVersionReceived,
    PeerAdvertised,
    PeersChanged,
    Ticked,
)
from .relays import choose_relays
from .sources import Source, SourceTable

NO_VERSION = ConfigVersion(0)


@define
class ConfigurationCore:
    """Follows the configuration in one process, and never applies an older version.

    The head key of the key-value service holds the number of the version in force. A
    relay watches this key and reads it every few seconds. Each process that applies a
    new version pushes it to a few peers. A process that has received the number of a
    newer version but no push fetches it from a peer or from the service.
    """

    host: HostId
    _random: Random
    _configuration: Configuration | None = None
    _newest: Configuration | None = None
    """Newest received document; not yet applied while the process starts."""

    _head: ConfigVersion = NO_VERSION
    _advertised_versions: dict[HostId, ConfigVersion] = field(factory=dict)
    _peers: tuple[HostId, ...] = ()
    _local_peers: tuple[HostId, ...] = ()
    _sources: SourceTable = field(factory=SourceTable)
    _is_relay: bool = False
    _next_read_at: float = -inf
    _pull_at: float | None = None
    _outage_since: float | None = None
    """When a starting process found the service unavailable, and began to use peers."""

    _responded_peers: set[HostId] = field(factory=set)
    """Peers that sent a document."""

    _requested_peers: set[HostId] = field(factory=set)
    _wakeup_at: float | None = None

    @property
    def version(self) -> ConfigVersion:
        """Return the applied version; 0 if there is none."""
        return (
            NO_VERSION if self._configuration is None else self._configuration.version
        )

    @property
    def is_ready(self) -> bool:
        """Return whether a configuration is applied."""
        return self._configuration is not None

    @property
    def is_relay(self) -> bool:
        """Return whether this process watches the service for its data centre."""
        return self._is_relay

    def handle(
        self, event: ConfigurationEvent, now: float
    ) -> list[ConfigurationAction]:
        """Process one event at time `now` (seconds, never decreasing)."""
        actions: list[ConfigurationAction] = []
        self._handle_event(event, now)
        self._sources.expire(now)
        actions += self._update_role(now)
        actions += self._apply_newest(now)
        actions += self._read_head(now)
        actions += self._fetch(now) if self.is_ready else self._start(now)
        actions += self._schedule_wakeup(now)
        return actions

    def _handle_event(self, event: ConfigurationEvent, now: float) -> None:
        match event:
            case HeadVersionReceived():
                self._sources.succeed(None)
                self._head = max(self._head, event.version)
            case PeerAdvertised():
                self._update_advertised(event.peer, event.version)
            case DocumentReceived():
                self._handle_document(event.configuration, event.source)
            case FetchFailed():
                self._sources.fail(event.source, now)
            case PeersChanged():
                self._update_peers(event)
            case Ticked():
                pass

    def _update_advertised(self, peer: HostId, version: ConfigVersion) -> None:
        if peer in self._peers:
            self._advertised_versions[peer] = version

    def _handle_document(self, configuration: Configuration, source: Source) -> None:
        self._sources.succeed(source)
        if source is None:
            self._head = max(self._head, configuration.version)
        else:
            self._responded_peers.add(source)
            self._update_advertised(source, configuration.version)
        if self._newest is None or configuration.version > self._newest.version:
            self._newest = configuration

    def _update_peers(self, event: PeersChanged) -> None:
        self._peers = event.peers
        self._local_peers = event.near
        self._sources.keep_only(event.peers)
        self._advertised_versions = {
            peer: version
            for peer, version in self._advertised_versions.items()
            if peer in event.peers
        }

    def _update_role(self, now: float) -> list[ConfigurationAction]:
        is_relay = self.host in choose_relays((self.host, *self._local_peers))
        if is_relay == self._is_relay:
            return []
        self._is_relay = is_relay
        if is_relay:
            self._next_read_at = now
        return [WatchHead(enabled=is_relay)]

    def _apply_newest(self, now: float) -> list[ConfigurationAction]:
        newest = self._newest
        if newest is None or newest.version <= self.version:
            return []
        if not self.is_ready and not self._may_apply_at_start(newest.version, now):
            return []
        self._configuration = newest
        self._pull_at = None
        return [ApplyConfiguration(configuration=newest), *self._push(newest)]

    def _push(self, configuration: Configuration) -> list[ConfigurationAction]:
        behind = [
            peer
            for peer in self._peers
            if self._advertised_versions.get(peer, NO_VERSION) < configuration.version
        ]
        chosen = self._random.sample(behind, min(PUSH_FANOUT, len(behind)))
        return [PushToPeer(peer=peer, configuration=configuration) for peer in chosen]

    def _read_head(self, now: float) -> list[ConfigurationAction]:
        if now < self._next_read_at or not self._sources.is_free(None, now):
            return []
        # The jitter keeps processes that started together from reading together.
        self._next_read_at = now + self._get_read_period_s() * self._random.uniform(
            0.8, 1
        )
        self._sources.start(None, now)
        return [ReadHead()]

    def _get_read_period_s(self) -> float:
        if not self.is_ready:
            return START_READ_S
        return RELAY_READ_S if self._is_relay else NON_RELAY_READ_S

    def _fetch(self, now: float) -> list[ConfigurationAction]:
        ahead = [
            peer
            for peer, version in self._advertised_versions.items()
            if version > self.version
        ]
        if self._head > self.version and self._sources.is_free(None, now):
            return self._fetch_from_service(now)
        if not ahead:
            self._pull_at = None
            return []
        if self._pull_at is None:
            self._pull_at = now + MAX_PULL_DELAY_S * self._random.random()
        if now < self._pull_at or any(map(self._sources.is_busy, ahead)):
            return []
        return self._pull(ahead, now)

    def _pull(self, ahead: list[HostId], now: float) -> list[ConfigurationAction]:
        free = [peer for peer in ahead if self._sources.is_free(peer, now)]
        if not free:
            is_free = self._sources.is_free(None, now)
            return self._fetch_from_service(now) if is_free else []
        newest_version = max(self._advertised_versions[peer] for peer in free)
        chosen = [
            peer for peer in free if self._advertised_versions[peer] == newest_version
        ]
        return [self._fetch_from_peer(self._random.choice(chosen), now)]

    def _fetch_from_service(self, now: float) -> list[ConfigurationAction]:
        self._sources.start(None, now)
        return [FetchFromService(version=self._find_newest_known_version())]

    def _fetch_from_peer(self, peer: HostId, now: float) -> FetchFromPeer:
        self._sources.start(peer, now)
        return FetchFromPeer(peer=peer)

    def _find_newest_known_version(self) -> ConfigVersion:
        return max(self._head, *self._advertised_versions.values(), NO_VERSION)

    def _start(self, now: float) -> list[ConfigurationAction]:
        """Fetch from the service, and also from peers once the service has failed."""
        actions: list[ConfigurationAction] = []
        if self._head and self._sources.is_free(None, now):
            actions += self._fetch_from_service(now)
        if not self._sources.has_failed(None):
            return actions
        if self._outage_since is None:
            self._outage_since = now
        pending = sum(map(self._sources.is_busy, self._peers))
        ranked = sorted(
            (peer for peer in self._peers if self._may_fetch_from(peer, now)),
            key=lambda peer: (
                peer in self._requested_peers,
                -self._advertised_versions.get(peer, NO_VERSION),
                self._random.random(),
            ),
        )
        for peer in ranked[: START_PEERS - pending]:
            self._requested_peers.add(peer)
            actions.append(self._fetch_from_peer(peer, now))
        return actions

    def _may_fetch_from(self, peer: HostId, now: float) -> bool:
        if not self._sources.is_free(peer, now):
            return False
        received_version = NO_VERSION if self._newest is None else self._newest.version
        is_ahead = self._advertised_versions.get(peer, NO_VERSION) > received_version
        return is_ahead or peer not in self._responded_peers

    def _may_apply_at_start(self, version: ConfigVersion, now: float) -> bool:
        """Return whether a starting process may apply `version`.

        A version that is not older than the head version may be applied at once. During
        an outage, another one may be applied once several peers have responded or had
        the time to. If a newer one was reported, that one is awaited for up to
        `START_MAX_WAIT_S`.
        """
        if self._head and version >= self._head:
            return True
        if self._outage_since is None or not self._sources.has_failed(None):
            return False
        waited_s = now - self._outage_since
        if version < self._find_newest_known_version() and waited_s < START_MAX_WAIT_S:
            return False
        return (
            len(self._responded_peers) >= START_PEERS or waited_s >= START_PEER_WAIT_S
        )

    def _schedule_wakeup(self, now: float) -> list[ConfigurationAction]:
        times = [self._next_read_at, self._sources.find_next_time(now)]
        if self._pull_at is not None:
            times.append(self._pull_at)
        if not self.is_ready and self._outage_since is not None:
            times += [
                self._outage_since + START_PEER_WAIT_S,
                self._outage_since + START_MAX_WAIT_S,
            ]
        wakeup_at = min(
            (time for time in times if time > now), default=now + START_READ_S
        )
        if wakeup_at == self._wakeup_at:
            return []
        self._wakeup_at = wakeup_at
        return [WakeAt(time=wakeup_at)]
