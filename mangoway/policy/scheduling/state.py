"""State of the scheduling core."""

import math
from random import Random
from typing import Final

from attrs import define, evolve, field, frozen

from ...models.routing import EngineProfile, ModelProfile, RoutingTable
from ...models.runner import RunnerEntry
from ..customers.quota import QuotaTracker
from ..edge.health import HealthTracker
from ..fairness.shares import CustomerShares
from ..limits.const import MAX_LIMITED_SHARE, MIN_COOLDOWN_EDGE_SHARE, MIN_LIMITED_S
from ..limits.cooldowns import CooldownTracker
from ..limits.tracker import LimitTracker
from .backup_table import BackupTable
from .copies import CopyIndex
from .deferral import DeferrableDemand, defers_placement
from .demand import DemandTracker, RejectedRequests
from .events import GrantRequest
from .features import Features
from .leaving import LeavingRunners
from .leaving_updates import restore_requests, update_leaving
from .output_lengths import MemoryEstimator
from .pace import ServicePaces, find_paced_services
from .prefill_estimator import PrefillEstimators
from .prefixes import PrefixCache
from .protection import find_backing_up, find_transferring
from .queue import ServiceQueue, allows
from .requests import RequestKey
from .reservations import TransferTable
from .runners import RunnerState
from .slot_times import SlotTimeEstimator
from .store_loads import StoreLoadLimiter
from .stream_pauses import StreamPauses
from .stream_times import StreamTimeEstimator
from .wakeups import WakeupSchedule

MIN_SHARING_CUSTOMERS: Final = 2
"""Customers in the configuration from which capacity is shared."""


@frozen
class QuotaCharge:
    """Amount of a customer's quota that a waiting request has consumed."""

    customer: str
    amount: float


@define(eq=False)
class SchedulingState:
    """Runners, waiting requests, demand and limits."""

    random: Random
    limit_scale: float = 1.0
    """Share of each runner's limits that this process may use; 1 if it grants for all
    edges."""

    table: RoutingTable | None = None
    quotas: QuotaTracker = field(factory=QuotaTracker)
    features: Features = field(factory=Features)
    runners: dict[str, RunnerState] = field(factory=dict, init=False)
    queues: dict[str, ServiceQueue] = field(factory=dict, init=False)
    """Queue of each service."""

    granted: dict[RequestKey, str] = field(factory=dict, init=False)
    """Runner of each granted request."""

    charges: dict[RequestKey, QuotaCharge] = field(factory=dict, init=False)
    """Quota charges of the requests that still wait."""

    edge_data_centres: dict[str, str] = field(factory=dict, init=False)
    """Data centre of each edge."""

    transferring_edges: set[str] = field(factory=set, init=False)
    """Edges that can transfer streams."""

    transferring: frozenset[str] = field(default=frozenset(), init=False)
    """Services whose streams are transferred."""

    backing_up: frozenset[str] = field(default=frozenset(), init=False)
    """Services whose streams get backups."""

    protecting: bool = field(default=False, init=False)
    """Whether this process has transferred or backed up streams of any service; it
    stays true, since what was reserved must be released."""

    leaving: LeavingRunners = field(factory=LeavingRunners, init=False)
    """Runners that leave, of the services whose streams are transferred."""

    transfers: TransferTable = field(factory=TransferTable, init=False)
    backups: BackupTable = field(factory=BackupTable, init=False)
    _stream_times: dict[str, StreamTimeEstimator] = field(factory=dict, init=False)

    prefill_estimators: PrefillEstimators = field(factory=PrefillEstimators, init=False)
    memory_estimator: MemoryEstimator = field(factory=MemoryEstimator, init=False)
    demand: DemandTracker = field(factory=DemandTracker, init=False)
    deferrable_demand: DeferrableDemand = field(factory=DeferrableDemand, init=False)
    rejected_requests: RejectedRequests = field(factory=RejectedRequests, init=False)
    health: HealthTracker = field(factory=HealthTracker, init=False)
    limits: LimitTracker = field(factory=LimitTracker, init=False)
    cooldowns: CooldownTracker = field(factory=CooldownTracker, init=False)
    shares: dict[str, CustomerShares] = field(factory=dict, init=False)
    """Shares of the customers in each service; empty if capacity isn't shared."""

    store_loads: dict[str, StoreLoadLimiter] = field(factory=dict, init=False)
    is_shared: bool = field(default=False, init=False)
    """Whether the customers share the runners of each service."""

    _stream_pauses: dict[str, StreamPauses] = field(factory=dict, init=False)
    _slot_times: dict[str, SlotTimeEstimator] = field(factory=dict, init=False)
    paces: dict[str, ServicePaces] = field(factory=dict, init=False)
    """Paces of the services whose streams are protected."""

    wakeups: WakeupSchedule = field(factory=WakeupSchedule, init=False)
    orders_allowed: bool = field(default=False, init=False)
    ordering_since: float = field(default=-math.inf, init=False)
    may_load_first: bool = field(default=True, init=False)
    """Whether loads from the weight store are allowed in the window from then on."""

    _by_service: dict[str, dict[str, RunnerState]] = field(factory=dict, init=False)
    _copies: dict[str, CopyIndex] = field(factory=dict, init=False)
    _entries: dict[str, RunnerEntry] = field(factory=dict, init=False)
    """Last applied entry of each runner."""

    def get_stream_pauses(self, service: str) -> StreamPauses:
        """Return the statistics of stream pauses of a service."""
        return self._stream_pauses.setdefault(service, StreamPauses())

    def get_slot_times(self, service: str) -> SlotTimeEstimator:
        """Return the slot times of a service's requests."""
        return self._slot_times.setdefault(service, SlotTimeEstimator())

    def get_stream_times(self, service: str) -> StreamTimeEstimator:
        """Return the lengths and paces of a service's streams."""
        return self._stream_times.setdefault(service, StreamTimeEstimator())

    def protects(self, service: str) -> bool:
        """Return whether streams of a service are transferred or backed up."""
        return service in self.transferring or service in self.backing_up

    def sample(self, runners: list[RunnerState], count: int) -> list[RunnerState]:
        """Return at most a number of runners, consecutive ones from a random start."""
        if len(runners) <= count:
            return runners
        begin = self.random.randrange(len(runners))
        return (runners[begin:] + runners[:begin])[:count]

    def find_runner(self, runner_id: str) -> RunnerState | None:
        """Return a runner that accepts requests, or else one that leaves."""
        runner = self.runners.get(runner_id)
        if runner is not None:
            return runner
        leaving = self.leaving.get(runner_id)
        return None if leaving is None else leaving.runner

    def find_granted_runner(self, key: RequestKey) -> RunnerState | None:
        """Return the runner where a granted request runs."""
        runner_id = self.granted.get(key, "")
        runner = self.runners.get(runner_id)
        if self.protecting and (runner is None or key not in runner.running):
            return self.leaving.find_runner(runner_id, key) or runner
        return runner

    def get_store_loads(self, service: str) -> StoreLoadLimiter:
        """Return the limiter of a service's loads from the weight store."""
        loads = self.store_loads.get(service)
        if loads is None:
            loads = self.store_loads[service] = StoreLoadLimiter()
            loads.start(self.ordering_since, may_load=self.may_load_first)
        return loads

    def start_ordering(self, now: float, *, may_load: bool = True) -> None:
        """Record that this process sends orders from now on.

        Args:
            now: Time in seconds.
            may_load: Whether loads from the weight store are allowed at first.
        """
        self.ordering_since, self.may_load_first = now, may_load
        for loads in self.store_loads.values():
            loads.start(now, may_load=may_load)

    def get_engine(self, service: str) -> EngineProfile | None:
        """Return the engine profile of a service; None for plain services."""
        profile = None if self.table is None else self.table.services.get(service)
        return None if profile is None else profile.engine

    def get_model(self, service: str, model: str) -> ModelProfile | None:
        """Return the profile of a model that a service offers."""
        engine = self.get_engine(service)
        return None if engine is None else engine.models.get(model)

    def offers(self, service: str, model: str) -> bool:
        """Return whether the configuration offers a service, and the model on it.

        A service without an engine offers all models.
        """
        profile = None if self.table is None else self.table.services.get(service)
        if profile is None:
            return False
        return profile.engine is None or model in profile.engine.models

    def defers_placement(self, service: str) -> bool:
        """Return whether the placement defers the patient requests of a service."""
        return defers_placement(
            self.table, service, enabled=self.features.placement_deferral
        )

    def get_queue(self, service: str) -> ServiceQueue:
        """Return the queue of a service."""
        queue = self.queues.get(service)
        if queue is None:
            queue = self.queues[service] = ServiceQueue()
            queue.set_shares(self.get_shares(service))
        return queue

    def get_shares(self, service: str) -> CustomerShares | None:
        """Return the shares of customers in a service; None if they don't share it."""
        if not self.is_shared:
            return None
        shares = self.shares.get(service)
        if shares is None:
            shares = self.shares[service] = CustomerShares()
        return shares

    def _update_shares(self, table: RoutingTable) -> None:
        customers = () if table.customers is None else table.customers.list_customers()
        several = len(customers) >= MIN_SHARING_CUSTOMERS
        self.is_shared = self.features.fair_shares and several
        if not self.is_shared:
            self.shares.clear()
        for service, queue in self.queues.items():
            queue.set_shares(self.get_shares(service))

    def get_copies(self, service: str) -> CopyIndex:
        """Return the index of a service's model copies."""
        copies = self._copies.get(service)
        if copies is None:
            copies = self._copies[service] = CopyIndex()
        return copies

    def list_runners(self, service: str) -> list[RunnerState]:
        """Return the runners of a service."""
        return list(self._by_service.get(service, {}).values())

    def list_usable(self, service: str, now: float) -> list[RunnerState]:
        """Return the runners of a service that are not avoided."""
        avoided = self.find_avoided(service, now)
        runners = self.list_runners(service)
        if not avoided:
            return runners
        return [each for each in runners if each.runner_id not in avoided]

    def find_avoided(self, service: str, now: float) -> frozenset[str]:
        """Return the runners of a service that are avoided."""
        return self.health.find_avoided(self._by_service.get(service, {}), now)

    def measure_limit_wait_s(self, runner: RunnerState, now: float) -> float:
        """Return the seconds until a runner's limit allows another request."""
        entry = runner.entry
        return self.limits.measure_wait(entry.runner_id, entry.started_ms, now)

    def find_constrained(self, now: float) -> frozenset[str]:
        """Return the runners that have been rate-limited or in cooldown for a while."""
        edges = MIN_COOLDOWN_EDGE_SHARE * len(self.edge_data_centres)
        return self.limits.list_long_limited(now) | self.cooldowns.list_long_cooldowns(
            MIN_LIMITED_S, edges, now
        )

    def measure_cooldown_s(
        self, grant_request: GrantRequest, runner: RunnerState, now: float
    ) -> float:
        """Return the seconds of a runner's cooldown for a request's edge."""
        entry = runner.entry
        return self.cooldowns.measure_wait(
            grant_request.edge, entry.runner_id, entry.started_ms, now
        )

    def allows(
        self, grant_request: GrantRequest, runner: RunnerState, now: float
    ) -> bool:
        """Return whether a request may be sent to a runner.

        It may not if its earlier attempts or its software exclude the runner, or during
        a cooldown.
        """
        if not allows(grant_request, runner.entry):
            return False
        return self.measure_cooldown_s(grant_request, runner, now) == 0

    def list_reliable(self, service: str, now: float) -> list[RunnerState]:
        """Return the usable runners that models can be placed on.

        Rate-limited runners and runners in cooldown are included if there are too few
        others, since the models must be placed somewhere.
        """
        usable = self.list_usable(service, now)
        constrained = self.find_constrained(now)
        reliable = [each for each in usable if each.runner_id not in constrained]
        enough = len(reliable) >= (1 - MAX_LIMITED_SHARE) * len(usable)
        return reliable if enough and reliable else usable

    def count_runners(self, service: str) -> int:
        """Return the number of runners of a service."""
        return len(self._by_service.get(service, {}))

    def list_holders(
        self, service: str, model: str, avoided: frozenset[str]
    ) -> list[RunnerState]:
        """Return the runners that hold or load a model and aren't avoided."""
        holders = self.get_copies(service).loaded.get(model)
        return [self.runners[each] for each in holders if each not in avoided]

    def update_fleet(
        self,
        table: RoutingTable,
        entries: tuple[RunnerEntry, ...],
        now: float,
        leaving: tuple[RunnerEntry, ...] = (),
    ) -> None:
        """Update the configuration and the list of runners.

        Args:
            table: The configuration.
            entries: Runners that accept requests.
            now: Time in seconds.
            leaving: Runners that accept no more requests but still run some.
        """
        if table is not self.table:
            self._apply_table(table)
        present = {entry.runner_id for entry in entries}
        returned = update_leaving(self, leaving, now)
        for runner_id in [each for each in self.runners if each not in present]:
            self.remove_runner(runner_id)
        self.health.keep_only(present)
        self.limits.keep_only(present, now)
        self.cooldowns.keep_only(present)
        for entry in entries:
            # Unchanged entries are skipped: the list changes many times per second.
            if self._entries.get(entry.runner_id) is not entry:
                self._update_entry(entry, now)
                self._entries[entry.runner_id] = entry
        for earlier in returned:
            restore_requests(self, earlier)

    def _apply_table(self, table: RoutingTable) -> None:
        """Apply a new configuration to what was derived from the previous one."""
        self.table = table
        self.transferring = find_transferring(table, self.features)
        self.backing_up = find_backing_up(table, self.features)
        self.protecting |= bool(self.transferring or self.backing_up)
        for runner in [*self.runners.values(), *self.leaving.list_runners()]:
            runner.use_engine(self.get_engine(runner.entry.service))
        self._update_paces(table)
        self.quotas.registry = table.customers
        self._update_shares(table)

    def _update_paces(self, table: RoutingTable) -> None:
        """Update which services use paces, from a new configuration."""
        known, self.paces = self.paces, {}
        if self.features.runner_pace:
            self.paces = find_paced_services(table, known)
        for service in known.keys() ^ self.paces.keys():
            for runner in self.list_runners(service):
                runner.use_pace(enabled=service in self.paces)

    def remove_runner(self, runner_id: str) -> None:
        """Remove a runner that accepts no more requests."""
        runner = self.runners.pop(runner_id)
        runner.remove_from_index()
        self._by_service[runner.entry.service].pop(runner_id, None)
        self._entries.pop(runner_id, None)

    def find_incarnation(self, runner_id: str, started_ms: int) -> RunnerState | None:
        """Return the incarnation of a runner that started at a time.

        Args:
            runner_id: The runner.
            started_ms: Start of the incarnation in Unix ms; 0 for the current one.

        Returns:
            The incarnation, which is new if it started after the known one; None if it
            is an earlier one or the runner is unknown.
        """
        known = self.runners.get(runner_id)
        if known is None or not started_ms:
            return known
        if started_ms < known.entry.started_ms:
            return None
        if not known.entry.started_ms:
            # The entry had no start time.
            known.entry = evolve(known.entry, started_ms=started_ms)
        if started_ms > known.entry.started_ms:
            entry = evolve(known.entry, started_ms=started_ms, models=())
            return self._start_incarnation(entry)
        return known

    def _update_entry(self, entry: RunnerEntry, now: float) -> None:
        known = self.find_incarnation(entry.runner_id, entry.started_ms)
        if known is None and entry.runner_id in self.runners:
            return
        if known is None or known.entry.service != entry.service:
            # The indexes of a service hold its runners only.
            known = self._start_incarnation(entry)
        known.update_entry(entry, now)

    def _start_incarnation(self, entry: RunnerEntry) -> RunnerState:
        """Start an incarnation of a runner with no known models or requests."""
        earlier = self.runners.get(entry.runner_id)
        if earlier is not None:
            for key in earlier.running:
                self.granted.pop(key, None)
            self.remove_runner(entry.runner_id)
        self.health.forget(entry.runner_id)
        engine = self.get_engine(entry.service)
        capacity = 0 if engine is None else engine.kv_capacity_tokens
        copies = self.get_copies(entry.service)
        runner = RunnerState(entry, engine, PrefixCache(capacity), copies)
        if entry.service in self.paces:
            runner.use_pace(enabled=True)
        self.runners[entry.runner_id] = runner
        self._by_service.setdefault(entry.service, {})[entry.runner_id] = runner
        return runner
