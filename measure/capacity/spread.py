"""How a configuration change spreads in one data centre, in virtual time."""

import heapq
from collections import Counter
from collections.abc import Callable, Sequence
from enum import Enum
from functools import partial
from itertools import count
from random import Random

from attrs import frozen

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
    HeadSeen,
    PeerAdvertised,
    PeersChanged,
    Ticked,
)

from .fit import Point
from .registry import Series, register_measure

NODE_SIZES = (3, 10, 20, 40, 62)
MESSAGE_S = 0.002
WATCH_DELAY_S = 0.01
EDIT_PERIOD_S = 86_400.0 / 36_000
EDITS = 40
SETTLE_S = 10.0


class Call(Enum):
    """What a process sends."""

    READ_HEAD = "read of the head"
    READ_EDIT = "read of an edit"
    PUSH = "push to a peer"
    FETCH = "fetch from a peer"


@frozen(kw_only=True)
class SpreadCost:
    """What edits cost one data centre."""

    watches: int
    head_reads_per_s: float
    edit_reads: float
    """Reads of the service for one edit."""

    pushes: float
    """Messages between processes for one edit and process."""

    slowest_s: float
    """Longest time from an edit until all processes had it in force."""


class DataCentre:
    """Configuration cores of one data centre and the service that they follow."""

    def __init__(self, nodes: int, seed: int = 1) -> None:
        self._hosts = [HostId(f"host-{number}") for number in range(nodes)]
        random = Random(seed)
        self._cores = {
            host: ConfigurationCore(host, Random(random.random()))
            for host in self._hosts
        }
        self._now = 0.0
        self._order = count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._head = ConfigVersion(1)
        self._watchers: set[HostId] = set()
        self._edited_at: dict[int, float] = {}
        self._in_force: Counter[int] = Counter()
        self._slowest_s = 0.0
        self._calls: Counter[Call] = Counter()

    def run(self) -> SpreadCost:
        """Start all processes, make the edits, and return what they cost."""
        for host in self._hosts:
            others = tuple(each for each in self._hosts if each != host)
            self._give(host, PeersChanged(peers=others, near=others))
        self._pass(SETTLE_S)
        self._calls.clear()
        for edit in range(EDITS):
            self._at(self._now + edit * EDIT_PERIOD_S, self._edit)
        seconds = EDITS * EDIT_PERIOD_S + SETTLE_S
        self._pass(seconds)
        pushes = self._calls[Call.PUSH] + self._calls[Call.FETCH]
        return SpreadCost(
            watches=len(self._watchers),
            head_reads_per_s=self._calls[Call.READ_HEAD] / seconds,
            edit_reads=self._calls[Call.READ_EDIT] / EDITS,
            pushes=pushes / EDITS / len(self._hosts),
            slowest_s=self._slowest_s,
        )

    def _edit(self) -> None:
        self._head = ConfigVersion(self._head + 1)
        self._edited_at[self._head] = self._now
        seen = HeadSeen(version=self._head)
        for host in self._watchers:
            self._at(self._now + WATCH_DELAY_S, partial(self._give, host, seen))

    def _pass(self, seconds: float) -> None:
        end = self._now + seconds
        while self._queue and self._queue[0][0] < end:
            self._now, _, step = heapq.heappop(self._queue)
            step()
        self._now = end

    def _at(self, time: float, step: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (time, next(self._order), step))

    def _answer(self, host: HostId, event: ConfigurationEvent) -> None:
        self._at(self._now + MESSAGE_S, lambda: self._give(host, event))

    def _give(self, host: HostId, event: ConfigurationEvent) -> None:
        for action in self._cores[host].handle(event, self._now):
            self._carry_out(host, action)

    def _carry_out(self, host: HostId, action: ConfigurationAction) -> None:
        match action:
            case ReadHead():
                self._calls[Call.READ_HEAD] += 1
                self._answer(host, HeadSeen(version=self._head))
            case WatchHead(enabled=True):
                self._watchers.add(host)
            case WatchHead():
                self._watchers.discard(host)
            case FetchFromService():
                self._calls[Call.READ_EDIT] += 1
                self._answer(host, self._make_document(self._head, None))
            case FetchFromPeer():
                self._calls[Call.FETCH] += 1
                version = self._cores[action.peer].version
                self._answer(host, self._make_document(version, action.peer))
            case PushToPeer():
                self._calls[Call.PUSH] += 1
                version = action.configuration.version
                self._answer(action.peer, self._make_document(version, host))
            case WakeAt():
                self._at(action.time, lambda: self._give(host, Ticked()))
            case ApplyConfiguration():
                self._note_in_force(host, action.configuration.version)

    def _make_document(
        self, version: ConfigVersion, source: HostId | None
    ) -> DocumentReceived:
        return DocumentReceived(
            configuration=Configuration(version=version), source=source
        )

    def _note_in_force(self, host: HostId, version: ConfigVersion) -> None:
        # The next heartbeat tells one peer; here it is the next in the list.
        place = (self._hosts.index(host) + 1) % len(self._hosts)
        told = PeerAdvertised(peer=host, version=version)
        self._at(self._now + 1.0, lambda: self._give(self._hosts[place], told))
        self._in_force[version] += 1
        if self._in_force[version] == len(self._hosts):
            taken_s = self._now - self._edited_at.get(version, self._now)
            self._slowest_s = max(self._slowest_s, taken_s)


@register_measure("spread of configuration changes")
def measure_spread() -> Sequence[Series]:
    """Measure the calls for edits by the processes of a data centre."""
    costs = [(size, DataCentre(size).run()) for size in NODE_SIZES]
    rows = (
        ("head_reads", "reads of the head in a data centre", "1/s", "head_reads_per_s"),
        ("edit_reads", "reads of the service for one edit", "calls", "edit_reads"),
        ("edit_messages", "messages for one edit and process", "messages", "pushes"),
        ("edit_slowest", "slowest of 40 edits until in force", "s", "slowest_s"),
    )
    return tuple(
        Series(
            name=name,
            title=title,
            size_name="nodes of a data centre",
            unit=unit,
            points=tuple(Point(size, getattr(cost, field)) for size, cost in costs),
        )
        for name, title, unit, field in rows
    )
