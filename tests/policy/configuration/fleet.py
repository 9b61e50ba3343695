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

BEAT_S = 1.0
DELAY_S = 0.01


@define(eq=False)
class Process:
    """One life of a process."""

    core: ConfigurationCore
    alive: bool = True
    frozen: bool = False
    watching: bool = False
    wake_at: float = 0.0
    inbox: list[ConfigurationEvent] = field(factory=list)
    applied: list[ConfigVersion] = field(factory=list)


@define
class Fleet:
    """The oracle: versions grow one by one, and no process ever goes back."""

    data_centres: dict[HostId, int]
    random: Random
    now: float = 0.0
    head: int = 1
    service_down: bool = False
    watch_stalled: bool = False
    loss: float = 0.0
    lateness_s: float = 0.0
    """Longest extra delay of a message; messages overtake each other."""

    cut: set[HostId] = field(factory=set)
    """Hosts that reach neither peers nor the service."""

    processes: dict[HostId, Process] = field(factory=dict)
    pushes: int = 0
    service_calls: int = 0
    _queue: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _order: "count[int]" = field(factory=count)

    def __attrs_post_init__(self) -> None:
        for host in self.data_centres:
            self.start(host)
        self._beat()

    def start(self, host: HostId) -> None:
        """Start a new process on a host."""
        core = ConfigurationCore(host, Random(self.random.random()))
        self.processes[host] = Process(core)
        self.announce()
        self.deliver(host, Ticked())

    def stop(self, host: HostId) -> None:
        """Kill the process of a host."""
        self.processes[host].alive = False
        self.announce()

    def resume(self, host: HostId) -> None:
        """Let a frozen process go on with what it received meanwhile."""
        process = self.processes[host]
        process.frozen = False
        inbox, process.inbox = process.inbox, []
        for event in [*inbox, Ticked()]:
            self.deliver(host, event)

    def announce(self) -> None:
        """Tell every process which others are live."""
        live = [host for host, process in self.processes.items() if process.alive]
        for host in live:
            peers = tuple(peer for peer in live if peer != host)
            centre = self.data_centres[host]
            near = tuple(p for p in peers if self.data_centres[p] == centre)
            self.deliver(host, PeersChanged(peers=peers, near=near))

    def edit(self) -> None:
        """Accept a new version at the service."""
        self.head += 1
        if self.watch_stalled or self.service_down:
            return
        for host, process in self.processes.items():
            if process.watching and host not in self.cut:
                self._later(host, HeadVersionReceived(version=ConfigVersion(self.head)))

    def end_faults(self) -> None:
        """End all faults."""
        self.service_down = self.watch_stalled = False
        self.loss = self.lateness_s = 0.0
        self.cut.clear()
        for host, process in list(self.processes.items()):
            if not process.alive:
                self.start(host)
            elif process.frozen:
                self.resume(host)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, step = heappop(self._queue)
            step()
        self.now = end

    def deliver(self, host: HostId, event: ConfigurationEvent) -> None:
        """Give an event to the process of a host."""
        process = self.processes[host]
        if not process.alive:
            return
        if process.frozen:
            process.inbox.append(event)
            return
        for action in process.core.handle(event, self.now):
            self._act(host, process, action)

    def _act(self, host: HostId, process: Process, action: ConfigurationAction) -> None:
        match action:
            case ApplyConfiguration():
                process.applied.append(action.configuration.version)
            case WakeAt():
                process.wake_at = action.time
                self._at(action.time, lambda: self._wake(host, process, action.time))
            case WatchHead():
                process.watching = action.enabled
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
                self._at(self.now + DELAY_S, lambda: self._answer(host, action.peer))
            case PushToPeer():
                self.pushes += 1
                document = action.configuration
                self._send(
                    host,
                    action.peer,
                    DocumentReceived(configuration=document, source=host),
                )

    def _wake(self, host: HostId, process: Process, time: float) -> None:
        if self.processes[host] is process and process.wake_at == time:
            self.deliver(host, Ticked())

    def _call_service(self, host: HostId, answer: ConfigurationEvent) -> None:
        self.service_calls += 1
        if self.service_down:
            if self.random.random() < 0.5:
                self._later(host, FetchFailed(source=None))
            return
        if host not in self.cut and self.random.random() >= self.loss:
            self._later(host, answer)

    def _answer(self, host: HostId, peer: HostId) -> None:
        process = self.processes[peer]
        held = process.core._configuration
        if not process.alive:
            self._later(host, FetchFailed(source=peer))
        elif held is not None and not process.frozen:
            self._send(peer, host, DocumentReceived(configuration=held, source=peer))

    def _send(self, sender: HostId, to: HostId, event: ConfigurationEvent) -> None:
        if {sender, to} & self.cut or self.random.random() < self.loss:
            return
        self._later(to, event)

    def _later(self, host: HostId, event: ConfigurationEvent) -> None:
        process = self.processes[host]
        delay = DELAY_S + self.lateness_s * self.random.random()
        self._at(
            self.now + delay,
            lambda: (
                self.deliver(host, event) if self.processes[host] is process else None
            ),
        )

    def _beat(self) -> None:
        for host, process in self.processes.items():
            if not process.alive or process.frozen:
                continue
            news = PeerAdvertised(peer=host, version=process.core.version)
            for peer in self.processes:
                if peer != host:
                    self._send(host, peer, news)
        self._at(self.now + BEAT_S, self._beat)

    def _at(self, time: float, step: Callable[[], None]) -> None:
        heappush(self._queue, (time, next(self._order), step))
