"""Which configuration version a process puts in force, and how it learns of it."""

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
    OTHER_READ_S,
    PULL_DELAY_S,
    PUSH_FANOUT,
    RELAY_READ_S,
    START_PATIENCE_S,
    START_PEERS,
    START_READ_S,
    START_WAIT_S,
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
    """Follows the configuration in one process; never puts an older one in force.

    A relay watches the head key and reads it every few seconds. Whoever puts a new
    version in force pushes it to a few peers; a process that hears of a newer
    version and gets no push asks a peer that has it, or the service.
    """

    host: HostId
    _random: Random
    _configuration: Configuration | None = None
    _best: Configuration | None = None
    """Newest document received; it waits here while the process starts."""

    _head: ConfigVersion = NO_VERSION
    _advertised: dict[HostId, ConfigVersion] = field(factory=dict)
    _peers: tuple[HostId, ...] = ()
    _near: tuple[HostId, ...] = ()
    _sources: SourceTable = field(factory=SourceTable)
    _is_relay: bool = False
    _next_read_at: float = -inf
    _pull_at: float | None = None
    _outage_at: float | None = None
    """Time at which a starting process turned to its peers."""

    _answered: set[HostId] = field(factory=set)
    """Peers that answered a starting process."""

    _asked: set[HostId] = field(factory=set)
    _wake_at: float | None = None

    @property
    def version(self) -> ConfigVersion:
        """Return the version in force; 0 if there is none."""
        return (
            NO_VERSION if self._configuration is None else self._configuration.version
        )

    @property
    def is_ready(self) -> bool:
        """Return whether a configuration is in force."""
        return self._configuration is not None

    @property
    def is_relay(self) -> bool:
        """Return whether this process follows the service for its data centre."""
        return self._is_relay

    def handle(
        self, event: ConfigurationEvent, now: float
    ) -> list[ConfigurationAction]:
        """Take one event at time `now` (seconds, never decreasing)."""
        actions: list[ConfigurationAction] = []
        self._note(event, now)
        self._sources.expire(now)
        actions += self._update_role(now)
        actions += self._apply_best(now)
        actions += self._read_head(now)
        actions += self._fetch(now) if self.is_ready else self._start(now)
        actions += self._plan_wake(now)
        return actions

    def _note(self, event: ConfigurationEvent, now: float) -> None:
        match event:
            case HeadVersionReceived():
                self._sources.succeed(None)
                self._head = max(self._head, event.version)
            case PeerAdvertised():
                self._note_advertised(event.peer, event.version)
            case DocumentReceived():
                self._note_document(event.configuration, event.source)
            case FetchFailed():
                self._sources.fail(event.source, now)
            case PeersChanged():
                self._note_peers(event)
            case Ticked():
                pass

    def _note_advertised(self, peer: HostId, version: ConfigVersion) -> None:
        if peer in self._peers:
            self._advertised[peer] = version

    def _note_document(self, configuration: Configuration, source: Source) -> None:
        self._sources.succeed(source)
        if source is None:
            self._head = max(self._head, configuration.version)
        else:
            self._answered.add(source)
            self._note_advertised(source, configuration.version)
        if self._best is None or configuration.version > self._best.version:
            self._best = configuration

    def _note_peers(self, event: PeersChanged) -> None:
        self._peers = event.peers
        self._near = event.near
        self._sources.forget_others(event.peers)
        self._advertised = {
            peer: version
            for peer, version in self._advertised.items()
            if peer in event.peers
        }

    def _update_role(self, now: float) -> list[ConfigurationAction]:
        is_relay = self.host in choose_relays((self.host, *self._near))
        if is_relay == self._is_relay:
            return []
        self._is_relay = is_relay
        if is_relay:
            self._next_read_at = now
        return [WatchHead(enabled=is_relay)]

    def _apply_best(self, now: float) -> list[ConfigurationAction]:
        best = self._best
        if best is None or best.version <= self.version:
            return []
        if not self.is_ready and not self._may_start(best.version, now):
            return []
        self._configuration = best
        self._pull_at = None
        return [ApplyConfiguration(configuration=best), *self._push(best)]

    def _push(self, configuration: Configuration) -> list[ConfigurationAction]:
        behind = [
            peer
            for peer in self._peers
            if self._advertised.get(peer, NO_VERSION) < configuration.version
        ]
        chosen = self._random.sample(behind, min(PUSH_FANOUT, len(behind)))
        return [PushToPeer(peer=peer, configuration=configuration) for peer in chosen]

    def _read_head(self, now: float) -> list[ConfigurationAction]:
        if now < self._next_read_at or not self._sources.is_free(None, now):
            return []
        # The spread keeps processes that started together from reading together.
        self._next_read_at = now + self._find_period_s() * self._random.uniform(0.8, 1)
        self._sources.start(None, now)
        return [ReadHead()]

    def _find_period_s(self) -> float:
        if not self.is_ready:
            return START_READ_S
        return RELAY_READ_S if self._is_relay else OTHER_READ_S

    def _fetch(self, now: float) -> list[ConfigurationAction]:
        ahead = [
            peer for peer, version in self._advertised.items() if version > self.version
        ]
        if self._head > self.version and self._sources.is_free(None, now):
            return self._fetch_from_service(now)
        if not ahead:
            self._pull_at = None
            return []
        if self._pull_at is None:
            self._pull_at = now + PULL_DELAY_S * self._random.random()
        if now < self._pull_at or any(map(self._sources.is_busy, ahead)):
            return []
        return self._pull(ahead, now)

    def _pull(self, ahead: list[HostId], now: float) -> list[ConfigurationAction]:
        free = [peer for peer in ahead if self._sources.is_free(peer, now)]
        if not free:
            is_free = self._sources.is_free(None, now)
            return self._fetch_from_service(now) if is_free else []
        newest = max(self._advertised[peer] for peer in free)
        chosen = [peer for peer in free if self._advertised[peer] == newest]
        return [self._fetch_from_peer(self._random.choice(chosen), now)]

    def _fetch_from_service(self, now: float) -> list[ConfigurationAction]:
        self._sources.start(None, now)
        return [FetchFromService(version=self._find_known_version())]

    def _fetch_from_peer(self, peer: HostId, now: float) -> FetchFromPeer:
        self._sources.start(peer, now)
        return FetchFromPeer(peer=peer)

    def _find_known_version(self) -> ConfigVersion:
        return max(self._head, *self._advertised.values(), NO_VERSION)

    def _start(self, now: float) -> list[ConfigurationAction]:
        """Ask the service, and several peers once the service failed to answer."""
        actions: list[ConfigurationAction] = []
        if self._head and self._sources.is_free(None, now):
            actions += self._fetch_from_service(now)
        if not self._sources.has_failed(None):
            return actions
        if self._outage_at is None:
            self._outage_at = now
        waiting = sum(map(self._sources.is_busy, self._peers))
        ranked = sorted(
            (peer for peer in self._peers if self._may_ask(peer, now)),
            key=lambda peer: (
                peer in self._asked,
                -self._advertised.get(peer, NO_VERSION),
                self._random.random(),
            ),
        )
        for peer in ranked[: START_PEERS - waiting]:
            self._asked.add(peer)
            actions.append(self._fetch_from_peer(peer, now))
        return actions

    def _may_ask(self, peer: HostId, now: float) -> bool:
        if not self._sources.is_free(peer, now):
            return False
        known = NO_VERSION if self._best is None else self._best.version
        is_ahead = self._advertised.get(peer, NO_VERSION) > known
        return is_ahead or peer not in self._answered

    def _may_start(self, version: ConfigVersion, now: float) -> bool:
        """Return whether a starting process may put `version` in force.

        A version of the service may. One of a peer may in an outage, once several
        peers had time to answer and none is known to have a newer one.
        """
        if self._head and version >= self._head:
            return True
        if self._outage_at is None or not self._sources.has_failed(None):
            return False
        waited_s = now - self._outage_at
        if version < self._find_known_version() and waited_s < START_PATIENCE_S:
            return False
        return len(self._answered) >= START_PEERS or waited_s >= START_WAIT_S

    def _plan_wake(self, now: float) -> list[ConfigurationAction]:
        times = [self._next_read_at, self._sources.find_next_time(now)]
        if self._pull_at is not None:
            times.append(self._pull_at)
        if not self.is_ready and self._outage_at is not None:
            times += [
                self._outage_at + START_WAIT_S,
                self._outage_at + START_PATIENCE_S,
            ]
        wake_at = min(
            (time for time in times if time > now), default=now + START_READ_S
        )
        if wake_at == self._wake_at:
            return []
        self._wake_at = wake_at
        return [WakeAt(time=wake_at)]
