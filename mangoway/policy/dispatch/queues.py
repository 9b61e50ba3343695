"""Queues of requests that wait for an upstream with room.

Per target there is one queue of urgent and one of patient work, each shared
among callers by weight. Among targets that wait for the same upstream the one
that was served least goes first. Patient work whose slack runs out is critical:
it is served in order of slack from a reserve that urgent work earns for it.

Who is refused first when a queue is full: patient work before urgent, in it
the caller with the most waiting for its weight, of that caller the request with
the latest deadline.
"""

import heapq
from bisect import bisect_left, insort
from math import inf

from attrs import define, field

from ...models.identifiers import CallerId
from ...models.request import Target
from .const import QUEUE_MAX_PER_TARGET, QUEUE_MAX_TOTAL, RESERVE_MAX_CREDIT
from .entries import Entry
from .upstreams import Resource, Upstream, find_resource

ALL_CALLERS = CallerId("")

QueueItem = tuple[float, int, Entry]
"""Order, tie-break and entry; the tie-break is unique, so entries aren't compared."""


@define(eq=False)
class Flow:
    """Waiting requests of one caller, by latest start."""

    weight: float = 1.0
    served: float = 0.0
    """Work served so far per weight, on the scale of the queue."""

    items: list[QueueItem] = field(factory=list)
    listed: bool = False
    """Whether the queue's heap holds it."""


@define(eq=False)
class ClassQueue:
    """Requests of one target and class; the caller served least goes first."""

    fair: bool
    length: int = 0
    _flows: dict[CallerId, Flow] = field(factory=dict)
    _heap: list[tuple[float, int, Flow]] = field(factory=list)
    _served: float = 0.0
    _sequence: int = 0
    _weight: float = 0.0
    """Weights of the callers that wait."""

    def push(self, entry: Entry) -> None:
        """Add an entry."""
        flow = self._find_flow(entry)
        insort(flow.items, (entry.latest_start, entry.sequence, entry))
        self.length += 1
        self._list(flow)

    def pop(self) -> Entry:
        """Take the next entry; the queue must not be empty."""
        while True:
            _, _, flow = heapq.heappop(self._heap)
            flow.listed = False
            if not flow.items:
                continue
            _, _, entry = flow.items.pop(0)
            self._note_removed(flow)
            self._charge(flow, entry)
            self._list(flow)
            return entry

    def remove(self, entry: Entry, charge: bool = False) -> None:
        """Remove an entry that waits here; charge its caller if it is served."""
        flow = self._flows[self._find_key(entry)]
        place = bisect_left(flow.items, (entry.latest_start, entry.sequence, entry))
        del flow.items[place]
        self._note_removed(flow)
        if charge:
            self._charge(flow, entry)

    def find_victim(self, newcomer: Entry | None) -> Entry | None:
        """Return who is refused first; the newcomer counts as if it waited here."""
        key = None if newcomer is None else self._find_key(newcomer)
        worst: Flow | None = None
        most = 0.0
        for caller, flow in self._flows.items():
            waiting = (len(flow.items) + (caller == key)) / flow.weight
            if flow.items and waiting > most:
                worst, most = flow, waiting
        if newcomer is not None:
            own = self._flows.get(self._find_key(newcomer))
            waiting = 1 if own is None else len(own.items) + 1
            if waiting / newcomer.weight >= most:
                worst = own
                if own is None or not own.items or self._is_last(own, newcomer):
                    return newcomer
        if worst is None:
            return newcomer
        return worst.items[-1][2]

    def count_ahead(self, entry: Entry) -> float:
        """Return about how many requests are served before a newcomer."""
        if not self.fair:
            return float(self.length)
        flow = self._flows.get(self._find_key(entry))
        own = 0 if flow is None else len(flow.items)
        weight = self._weight if own else self._weight + entry.weight
        return min(float(self.length), (own + 1) * weight / entry.weight - 1)

    def list_positions(self) -> list[tuple[Entry, float]]:
        """Return all entries, each with about how many go before it."""
        positions = []
        for flow in self._flows.values():
            share = flow.weight / self._weight if self._weight else 1.0
            for place, (_, _, entry) in enumerate(flow.items):
                ahead = min(float(self.length), (place + 1) / share - 1)
                positions.append((entry, ahead))
        return positions

    def find_first_start(self) -> float:
        """Return the earliest latest start of the next request of any caller."""
        waiting = (flow for _, _, flow in self._heap if flow.items)
        return min((flow.items[0][0] for flow in waiting), default=inf)

    @staticmethod
    def _is_last(flow: Flow, entry: Entry) -> bool:
        return flow.items[-1][0] <= entry.latest_start

    def _find_key(self, entry: Entry) -> CallerId:
        return entry.caller if self.fair else ALL_CALLERS

    def _find_flow(self, entry: Entry) -> Flow:
        key = self._find_key(entry)
        flow = self._flows.get(key)
        if flow is None:
            self._drop_idle()
            flow = self._flows[key] = Flow()
        if not flow.items:
            flow.served = max(flow.served, self._served)
            flow.weight = entry.weight
            self._weight += flow.weight
        return flow

    def _note_removed(self, flow: Flow) -> None:
        self.length -= 1
        if not flow.items:
            self._weight -= flow.weight

    def _list(self, flow: Flow) -> None:
        if flow.listed or not flow.items:
            return
        self._sequence += 1
        heapq.heappush(self._heap, (flow.served, self._sequence, flow))
        flow.listed = True

    def _charge(self, flow: Flow, entry: Entry) -> None:
        self._served = max(self._served, flow.served)
        flow.served += entry.cost / flow.weight

    def _drop_idle(self) -> None:
        """Forget callers with nothing waiting and no debt, now and then."""
        if len(self._flows) < 64 or len(self._flows) < 2 * len(self._heap):
            return
        self._flows = {
            caller: flow
            for caller, flow in self._flows.items()
            if flow.items or flow.listed or flow.served > self._served
        }


@define(eq=False)
class TargetQueue:
    """All waiting requests of one target."""

    target: Target
    urgent: ClassQueue
    patient: ClassQueue
    critical: list[QueueItem] = field(factory=list)
    """Patient requests by the time when they become critical."""

    backlog_since: float = 0.0

    def __len__(self) -> int:
        return self.urgent.length + self.patient.length

    def find_first_start(self) -> float:
        """Return the earliest latest start of all that wait."""
        return min(self.urgent.find_first_start(), self.patient.find_first_start())

    def list_entries(self) -> list[Entry]:
        """Return all entries."""
        parts = (self.urgent, self.patient)
        return [entry for part in parts for entry, _ in part.list_positions()]

    def pop_patient(self) -> Entry:
        """Take the next patient entry."""
        entry = self.patient.pop()
        self.drop_critical(entry)
        return entry

    def pop_critical(self) -> Entry:
        """Take the patient entry with the least slack."""
        _, _, entry = self.critical[0]
        self.drop_critical(entry)
        self.patient.remove(entry, charge=True)
        return entry

    def drop_critical(self, entry: Entry) -> None:
        """Remove a patient entry from the order of slack."""
        item = (entry.critical_at, entry.sequence, entry)
        del self.critical[bisect_left(self.critical, item)]


@define(eq=False)
class Queues:
    """The queues of all targets."""

    fair: bool
    reserve: bool
    headroom: bool = False
    total: int = 0
    credit_per_urgent: float = 0.0
    _targets: dict[Target, TargetQueue] = field(factory=dict)
    _waiting: dict[Resource, dict[Target, TargetQueue]] = field(factory=dict)
    _sequence: int = 0

    def find(self, target: Target) -> TargetQueue | None:
        """Return the queue of a target; None if nothing waits there."""
        return self._targets.get(target)

    def list_lengths(self) -> dict[Target, int]:
        """Return the lengths of all queues where something waits."""
        return {target: len(queue) for target, queue in self._targets.items()}

    def list_queues(self) -> tuple[TargetQueue, ...]:
        """Return all queues where something waits."""
        return tuple(self._targets.values())

    def is_full(self, target: Target) -> bool:
        """Return whether one more request for a target exceeds a bound."""
        queue = self._targets.get(target)
        length = 0 if queue is None else len(queue)
        return length >= QUEUE_MAX_PER_TARGET or self.total >= QUEUE_MAX_TOTAL

    def find_victim(self, newcomer: Entry) -> Entry:
        """Return who is refused when a newcomer finds its queue full."""
        queue = self._targets.get(newcomer.request.target)
        if queue is None:
            return newcomer
        if not newcomer.urgent:
            return queue.patient.find_victim(newcomer) or newcomer
        if queue.patient.length:
            return queue.patient.find_victim(None) or newcomer
        return queue.urgent.find_victim(newcomer) or newcomer

    def push(self, entry: Entry, now: float) -> None:
        """Add an entry; its latest start and critical time are set."""
        queue = self._find_or_add(entry.request.target, now)
        self._sequence += 1
        entry.sequence = self._sequence
        if entry.urgent:
            queue.urgent.push(entry)
        else:
            queue.patient.push(entry)
            insort(queue.critical, (entry.critical_at, entry.sequence, entry))
        self.total += 1

    def remove(self, entry: Entry) -> None:
        """Remove an entry that waits."""
        queue = self._targets[entry.request.target]
        if entry.urgent:
            queue.urgent.remove(entry)
        else:
            queue.patient.remove(entry)
            queue.drop_critical(entry)
        self._note_removed(queue)

    def pop(self, upstream: Upstream, now: float) -> Entry | None:
        """Take the entry that an upstream with room should serve next."""
        queues = self._list_queues(upstream)
        if not queues:
            return None
        found = self._pop_from(queues, upstream, now)
        if found is None:
            return None
        queue, entry = found
        if len(queues) > 1:
            upstream.charge(queue.target, entry.cost, now)
        self._note_removed(queue)
        return entry

    def _pop_from(
        self, queues: list[TargetQueue], upstream: Upstream, now: float
    ) -> tuple[TargetQueue, Entry] | None:
        urgent = [queue for queue in queues if queue.urgent.length]
        critical = self._list_critical(queues, now)
        if critical and (not urgent or upstream.reserve_credit >= 1.0):
            if urgent:
                upstream.reserve_credit -= 1.0
            queue = min(critical, key=lambda item: item.critical[0])
            return queue, queue.pop_critical()
        if urgent:
            credit = upstream.reserve_credit + self.credit_per_urgent
            upstream.reserve_credit = min(RESERVE_MAX_CREDIT, credit)
            queue = self._find_next(urgent, upstream, now)
            return queue, queue.urgent.pop()
        if self.headroom and not upstream.takes_patient(now):
            return None
        queue = self._find_next(queues, upstream, now)
        return queue, queue.pop_patient()

    def _list_queues(self, upstream: Upstream) -> list[TargetQueue]:
        queues: list[TargetQueue] = []
        if not self.total:
            return queues
        for resource in upstream.ready:
            waiting = self._waiting.get(resource)
            if waiting and resource not in upstream.denied:
                queues.extend(waiting.values())
        return queues

    def _list_critical(
        self, queues: list[TargetQueue], now: float
    ) -> list[TargetQueue]:
        if not self.reserve:
            return []
        return [
            queue for queue in queues if queue.critical and queue.critical[0][0] <= now
        ]

    def _find_next(
        self, queues: list[TargetQueue], upstream: Upstream, now: float
    ) -> TargetQueue:
        if self.fair:
            return min(queues, key=lambda queue: upstream.find_use(queue.target, now))
        return min(queues, key=lambda queue: queue.find_first_start())

    def _note_removed(self, queue: TargetQueue) -> None:
        self.total -= 1
        if len(queue):
            return
        resource = find_resource(queue.target)
        waiting = self._waiting[resource]
        del waiting[queue.target]
        if not waiting:
            del self._waiting[resource]
        del self._targets[queue.target]

    def _find_or_add(self, target: Target, now: float) -> TargetQueue:
        queue = self._targets.get(target)
        if queue is None:
            queue = TargetQueue(target, ClassQueue(self.fair), ClassQueue(self.fair))
            queue.backlog_since = now
            self._targets[target] = queue
            self._waiting.setdefault(find_resource(target), {})[target] = queue
        return queue
