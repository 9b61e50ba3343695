"""Several configuration cores over a faulty network, in virtual time."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random

from attrs import define, field

from mangoway.models.identifiers import ConfigVersion, HostId
from mangoway.models.offer import Configuration
from mangoway.policy.configuration.actions import (
    ApplyConfiguration,
    ConfigurationAction,
    FetchFromPeer,
    FetchFromService,
    PushToPeer,
    ReadHead,
    WakeAt,
    WatchHead,
)
from mangoway.policy.configuration.core import ConfigurationCore
from mangoway.policy.configuration.events import (
    ConfigurationEvent,
    DocumentReceived,
    FetchFailed,
    HeadVersionReceived,
    PeerAdvertised,
    PeersChanged,
    Ticked,
)

HEARTBEAT_S = 1.0
DELAY_S = 0.01


@define(eq=False)
class Process:
    """One incarnation of a process."""

    core: ConfigurationCore
    alive: bool = True
    frozen: bool = False
    is_watching: bool = False
    wakeup_at: float = 0.0
    inbox: list[ConfigurationEvent] = field(factory=list)
    applied: list[ConfigVersion] = field(factory=list)


@define
class Fleet:
    """A simulated fleet with a service whose version increases one by one."""

    data_centres: dict[HostId, int]
    random: Random
    now: float = 0.0
    head: int = 1
    """Newest version at the service."""

    service_down: bool = False
    watch_stalled: bool = False
    """Whether watches report no new versions."""

    loss: float = 0.0
    """Share of the messages that are lost."""

    lateness_s: float = 0.0
    """Maximum additional delay of a message, so that messages are reordered."""

    disconnected: set[HostId] = field(factory=set)
    """Hosts without a connection to peers and the service."""

    processes: dict[HostId, Process] = field(factory=dict)
    pushes: int = 0
    service_calls: int = 0
    _queue: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _order: "count[int]" = field(factory=count)

    def __attrs_post_init__(self) -> None:
        for host in self.data_centres:
            self.start(host)
        self._send_heartbeats()

    def start(self, host: HostId) -> None:
        """Start a new process on a host."""
        core = ConfigurationCore(host, Random(self.random.random()))
        self.processes[host] = Process(core)
        self.announce_peers()
        self.deliver(host, Ticked())

    def stop(self, host: HostId) -> None:
        """Kill the process of a host."""
        self.processes[host].alive = False
        self.announce_peers()

    def resume(self, host: HostId) -> None:
        """Resume a frozen process, and deliver the events received meanwhile."""
        process = self.processes[host]
        process.frozen = False
        inbox, process.inbox = process.inbox, []
        for event in [*inbox, Ticked()]:
            self.deliver(host, event)

    def announce_peers(self) -> None:
        """Notify every process of the live peers."""
        live = [host for host, process in self.processes.items() if process.alive]
        for host in live:
            peers = tuple(peer for peer in live if peer != host)
            data_centre = self.data_centres[host]
            near = tuple(p for p in peers if self.data_centres[p] == data_centre)
            self.deliver(host, PeersChanged(peers=peers, near=near))

    def edit(self) -> None:
        """Create a new version at the service."""
        self.head += 1
        if self.watch_stalled or self.service_down:
            return
        for host, process in self.processes.items():
            if process.is_watching and host not in self.disconnected:
                self._deliver_later(
                    host, HeadVersionReceived(version=ConfigVersion(self.head))
                )

    def end_faults(self) -> None:
        """End all faults."""
        self.service_down = self.watch_stalled = False
        self.loss = self.lateness_s = 0.0
        self.disconnected.clear()
        for host, process in list(self.processes.items()):
            if not process.alive:
                self.start(host)
            elif process.frozen:
                self.resume(host)

    def run(self, seconds: float) -> None:
        """Advance the time."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, callback = heappop(self._queue)
            callback()
        self.now = end

    def deliver(self, host: HostId, event: ConfigurationEvent) -> None:
        """Deliver an event to the process of a host."""
        process = self.processes[host]
        if not process.alive:
            return
        if process.frozen:
            process.inbox.append(event)
            return
        for action in process.core.handle(event, self.now):
            self._perform(host, process, action)

    def _perform(
        self, host: HostId, process: Process, action: ConfigurationAction
    ) -> None:
        match action:
            case ApplyConfiguration():
                process.applied.append(action.configuration.version)
            case WakeAt():
                process.wakeup_at = action.time
                self._call_at(
                    action.time, lambda: self._wake_up(host, process, action.time)
                )
            case WatchHead():
                process.is_watching = action.enabled
            case ReadHead():
                self._call_service(
                    host, HeadVersionReceived(version=ConfigVersion(self.head))
                )
            case FetchFromService():
                assert action.version <= self.head
                document = Configuration(version=ConfigVersion(self.head))
                self._call_service(
                    host, DocumentReceived(configuration=document, source=None)
                )
            case FetchFromPeer():
                self._call_at(
                    self.now + DELAY_S, lambda: self._serve_peer(host, action.peer)
                )
            case PushToPeer():
                self.pushes += 1
                document = action.configuration
                self._send(
                    host,
                    action.peer,
                    DocumentReceived(configuration=document, source=host),
                )

    def _wake_up(self, host: HostId, process: Process, time: float) -> None:
        if self.processes[host] is process and process.wakeup_at == time:
            self.deliver(host, Ticked())

    def _call_service(self, host: HostId, answer: ConfigurationEvent) -> None:
        self.service_calls += 1
        if self.service_down:
            if self.random.random() < 0.5:
                self._deliver_later(host, FetchFailed(source=None))
            return
        if host not in self.disconnected and self.random.random() >= self.loss:
            self._deliver_later(host, answer)

    def _serve_peer(self, host: HostId, peer: HostId) -> None:
        process = self.processes[peer]
        applied_configuration = process.core._configuration
        if not process.alive:
            self._deliver_later(host, FetchFailed(source=peer))
        elif applied_configuration is not None and not process.frozen:
            self._send(
                peer,
                host,
                DocumentReceived(configuration=applied_configuration, source=peer),
            )

    def _send(
        self, sender: HostId, receiver: HostId, event: ConfigurationEvent
    ) -> None:
        if {sender, receiver} & self.disconnected or self.random.random() < self.loss:
            return
        self._deliver_later(receiver, event)

    def _deliver_later(self, host: HostId, event: ConfigurationEvent) -> None:
        process = self.processes[host]
        delay = DELAY_S + self.lateness_s * self.random.random()
        self._call_at(
            self.now + delay,
            lambda: (
                self.deliver(host, event) if self.processes[host] is process else None
            ),
        )

    def _send_heartbeats(self) -> None:
        for host, process in self.processes.items():
            if not process.alive or process.frozen:
                continue
            heartbeat = PeerAdvertised(peer=host, version=process.core.version)
            for peer in self.processes:
                if peer != host:
                    self._send(host, peer, heartbeat)
        self._call_at(self.now + HEARTBEAT_S, self._send_heartbeats)

    def _call_at(self, time: float, callback: Callable[[], None]) -> None:
        heappush(self._queue, (time, next(self._order), callback))
