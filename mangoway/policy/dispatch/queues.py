"""Queues of requests that wait for an upstream with room.

Each target has one queue of urgent and one of patient requests, each with weighted
fair sharing among callers. Among targets that wait for the same upstream, the one
with the least recent work there is served first. Patient requests whose slack runs
out are critical: they are served in order of slack from a reserve, to which each
urgent start adds a share.

When a queue is full, patient requests are rejected before urgent ones. Within a class
the caller with the most waiting requests relative to its weight is chosen, and of
that caller the request with the greatest `latest_start`.
"""

import heapq
from bisect import bisect_left, insort
from math import inf

from attrs import define, field

from ...models.identifiers import CallerId
from ...models.request import Target
from ..fairness.virtual_time import Account, VirtualClock
from .const import QUEUE_MAX_PER_TARGET, QUEUE_MAX_TOTAL, RESERVE_MAX_CREDIT
from .entries import Entry
from .upstreams import Resource, Upstream, find_resource

ALL_CALLERS = CallerId("")

QueueItem = tuple[float, int, Entry]
"""Sort key, tie-breaker and entry; unique tie-breakers avoid comparing entries."""


@define(eq=False)
class Flow(Account):
    """Waiting requests of one caller, ordered by latest start."""

    items: list[QueueItem] = field(factory=list)
    in_heap: bool = False
    """Whether the flow is in the heap of its queue."""


@define(eq=False)
class ClassQueue:
    """Waiting requests of one target and class, with weighted fair sharing."""

    fair: bool
    """Whether callers share the queue by weight; otherwise all count as one."""

    length: int = 0
    _flows: dict[CallerId, Flow] = field(factory=dict)
    _heap: list[tuple[float, int, Flow]] = field(factory=list)
    _clock: VirtualClock = field(factory=VirtualClock)
    _sequence: int = 0
    _weight: float = 0.0
    """Total weight of the callers with waiting requests."""

    def push(self, entry: Entry) -> None:
        """Add an entry."""
        flow = self._get_flow(entry)
        insort(flow.items, (entry.latest_start, entry.sequence, entry))
        self.length += 1
        self._push_flow(flow)

    def pop(self) -> Entry:
        """Remove and return the next entry; the queue must not be empty."""
        while True:
            _, _, flow = heapq.heappop(self._heap)
            flow.in_heap = False
            if not flow.items:
                continue
            _, _, entry = flow.items.pop(0)
            self._record_removal(flow)
            self._clock.charge(flow, entry.cost)
            self._push_flow(flow)
            return entry

    def remove(self, entry: Entry, charge: bool = False) -> None:
        """Remove a waiting entry; with `charge`, count it as served for its caller."""
        flow = self._flows[self._get_flow_key(entry)]
        index = bisect_left(flow.items, (entry.latest_start, entry.sequence, entry))
        del flow.items[index]
        self._record_removal(flow)
        if charge:
            self._clock.charge(flow, entry.cost)

    def find_victim(self, newcomer: Entry | None) -> Entry | None:
        """Return the entry to reject; the new one counts as if it were queued."""
        key = None if newcomer is None else self._get_flow_key(newcomer)
        worst: Flow | None = None
        most = 0.0
        for caller, flow in self._flows.items():
            waiting = (len(flow.items) + (caller == key)) / flow.weight
            if flow.items and waiting > most:
                worst, most = flow, waiting
        if newcomer is not None:
            own = self._flows.get(self._get_flow_key(newcomer))
            waiting = 1 if own is None else len(own.items) + 1
            if waiting / newcomer.weight >= most:
                worst = own
                if own is None or not own.items or self._is_last(own, newcomer):
                    return newcomer
        if worst is None:
            return newcomer
        return worst.items[-1][2]

    def count_ahead(self, entry: Entry) -> float:
        """Return the estimated number of requests served before a new one."""
        if not self.fair:
            return float(self.length)
        flow = self._flows.get(self._get_flow_key(entry))
        own = 0 if flow is None else len(flow.items)
        weight = self._weight if own else self._weight + entry.weight
        return min(float(self.length), (own + 1) * weight / entry.weight - 1)

    def list_positions(self) -> list[tuple[Entry, float]]:
        """Return all entries, each with the estimated number served before it."""
        positions = []
        for flow in self._flows.values():
            share = flow.weight / self._weight if self._weight else 1.0
            for index, (_, _, entry) in enumerate(flow.items):
                ahead = min(float(self.length), (index + 1) / share - 1)
                positions.append((entry, ahead))
        return positions

    def find_earliest_start(self) -> float:
        """Return the earliest of the latest start times of all callers' requests."""
        waiting = (flow for _, _, flow in self._heap if flow.items)
        return min((flow.items[0][0] for flow in waiting), default=inf)

    @staticmethod
    def _is_last(flow: Flow, entry: Entry) -> bool:
        return flow.items[-1][0] <= entry.latest_start

    def _get_flow_key(self, entry: Entry) -> CallerId:
        return entry.caller if self.fair else ALL_CALLERS

    def _get_flow(self, entry: Entry) -> Flow:
        key = self._get_flow_key(entry)
        flow = self._flows.get(key)
        if flow is None:
            self._drop_idle_flows()
            flow = self._flows[key] = Flow()
        if not flow.items:
            self._clock.resume(flow, entry.weight)
            self._weight += flow.weight
        return flow

    def _record_removal(self, flow: Flow) -> None:
        self.length -= 1
        if not flow.items:
            self._weight -= flow.weight

    def _push_flow(self, flow: Flow) -> None:
        if flow.in_heap or not flow.items:
            return
        self._sequence += 1
        heapq.heappush(self._heap, (flow.virtual_time, self._sequence, flow))
        flow.in_heap = True

    def _drop_idle_flows(self) -> None:
        """Drop idle flows if there are many.

        A flow ahead of the queue's virtual time is kept, since a new flow of its
        caller would start at that time and be served too early.
        """
        if len(self._flows) < 64 or len(self._flows) < 2 * len(self._heap):
            return
        self._flows = {
            caller: flow
            for caller, flow in self._flows.items()
            if flow.items or flow.in_heap or self._clock.is_ahead(flow)
        }


@define(eq=False)
class TargetQueue:
    """All waiting requests of one target."""

    target: Target
    urgent: ClassQueue
    patient: ClassQueue
    critical: list[QueueItem] = field(factory=list)
    """Patient requests, ordered by the time at which they become critical."""

    backlog_since: float = 0.0

    def __len__(self) -> int:
        return self.urgent.length + self.patient.length

    def find_earliest_start(self) -> float:
        """Return the earliest of the latest start times of all waiting requests."""
        return min(
            self.urgent.find_earliest_start(), self.patient.find_earliest_start()
        )

    def list_entries(self) -> list[Entry]:
        """Return all waiting entries."""
        parts = (self.urgent, self.patient)
        return [entry for part in parts for entry, _ in part.list_positions()]

    def pop_patient(self) -> Entry:
        """Remove and return the next patient entry."""
        entry = self.patient.pop()
        self.drop_critical(entry)
        return entry

    def pop_critical(self) -> Entry:
        """Remove and return the patient entry with the least slack."""
        _, _, entry = self.critical[0]
        self.drop_critical(entry)
        self.patient.remove(entry, charge=True)
        return entry

    def drop_critical(self, entry: Entry) -> None:
        """Remove a patient entry from the list of critical times."""
        item = (entry.critical_at, entry.sequence, entry)
        del self.critical[bisect_left(self.critical, item)]


@define(eq=False)
class Queues:
    """The queues of all targets."""

    fair: bool
    """Whether callers and targets are served fairly, not by latest start alone."""

    reserve: bool
    """Whether critical patient requests are served from a reserve."""

    headroom: bool = False
    """Whether patient requests with slack leave room for urgent ones."""

    total: int = 0
    reserved_starts_per_urgent: float = 0.0
    _targets: dict[Target, TargetQueue] = field(factory=dict)
    _waiting: dict[Resource, dict[Target, TargetQueue]] = field(factory=dict)
    _sequence: int = 0

    def find(self, target: Target) -> TargetQueue | None:
        """Return the queue of a target; None if it is empty."""
        return self._targets.get(target)

    def list_lengths(self) -> dict[Target, int]:
        """Return the lengths of all non-empty queues."""
        return {target: len(queue) for target, queue in self._targets.items()}

    def list_queues(self) -> tuple[TargetQueue, ...]:
        """Return all non-empty queues."""
        return tuple(self._targets.values())

    def is_full(self, target: Target) -> bool:
        """Return whether one more request for a target would exceed a limit."""
        queue = self._targets.get(target)
        length = 0 if queue is None else len(queue)
        return length >= QUEUE_MAX_PER_TARGET or self.total >= QUEUE_MAX_TOTAL

    def find_victim(self, newcomer: Entry) -> Entry:
        """Return the entry to reject when the queue of a new one is full."""
        queue = self._targets.get(newcomer.request.target)
        if queue is None:
            return newcomer
        if not newcomer.urgent:
            return queue.patient.find_victim(newcomer) or newcomer
        if queue.patient.length:
            return queue.patient.find_victim(None) or newcomer
        return queue.urgent.find_victim(newcomer) or newcomer

    def push(self, entry: Entry, now: float) -> None:
        """Add an entry, whose latest start and critical time must be set."""
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
        """Remove a waiting entry."""
        queue = self._targets[entry.request.target]
        if entry.urgent:
            queue.urgent.remove(entry)
        else:
            queue.patient.remove(entry)
            queue.drop_critical(entry)
        self._record_removal(queue)

    def pop(self, upstream: Upstream, now: float) -> Entry | None:
        """Remove and return the entry that an upstream with room should serve next."""
        queues = self._list_queues(upstream)
        if not queues:
            return None
        found = self._pop_from(queues, upstream, now)
        if found is None:
            return None
        queue, entry = found
        if len(queues) > 1:
            upstream.charge(queue.target, entry.cost, now)
        self._record_removal(queue)
        return entry

    def _pop_from(
        self, queues: list[TargetQueue], upstream: Upstream, now: float
    ) -> tuple[TargetQueue, Entry] | None:
        urgent = [queue for queue in queues if queue.urgent.length]
        critical = self._list_critical(queues, now)
        if critical and (not urgent or upstream.reserved_starts >= 1.0):
            if urgent:
                upstream.reserved_starts -= 1.0
            queue = min(critical, key=lambda item: item.critical[0])
            return queue, queue.pop_critical()
        if urgent:
            credit = upstream.reserved_starts + self.reserved_starts_per_urgent
            upstream.reserved_starts = min(RESERVE_MAX_CREDIT, credit)
            queue = self._choose_queue(urgent, upstream, now)
            return queue, queue.urgent.pop()
        if self.headroom and not upstream.has_patient_headroom(now):
            return None
        queue = self._choose_queue(queues, upstream, now)
        return queue, queue.pop_patient()

    def _list_queues(self, upstream: Upstream) -> list[TargetQueue]:
        queues: list[TargetQueue] = []
        if not self.total:
            return queues
        for resource in upstream.ready:
            waiting = self._waiting.get(resource)
            if waiting and resource not in upstream.missing:
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

    def _choose_queue(
        self, queues: list[TargetQueue], upstream: Upstream, now: float
    ) -> TargetQueue:
        if self.fair:
            return min(
                queues, key=lambda queue: upstream.get_recent_work(queue.target, now)
            )
        return min(queues, key=lambda queue: queue.find_earliest_start())

    def _record_removal(self, queue: TargetQueue) -> None:
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
