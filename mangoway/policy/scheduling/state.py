"""All that the scheduling core knows."""

import math
from collections import deque
from random import Random

from attrs import define, evolve, field, frozen

from ...models.routing import EngineProfile, ModelProfile, RoutingTable
from ...models.runner import RunnerEntry
from ..customers.quota import QuotaTracker
from ..edge.health import HealthTracker
from ..limits.const import MAX_LIMITED_SHARE, MIN_COOLDOWN_EDGE_SHARE, MIN_LIMITED_S
from ..limits.cooldowns import CooldownTracker
from ..limits.tracker import LimitTracker
from .const import (
    STORE_FIRST_LOADS,
    STORE_FIRST_SHARE,
    STORE_LOAD_SHARE,
    STORE_WINDOW_S,
)
from .copies import CopyIndex
from .demand import DemandBook, Returns
from .events import GrantRequest
from .gaps import Gaps
from .pace import PaceBook
from .prefixes import PrefixMemory
from .queue import ServiceQueue, allows
from .requests import RequestKey
from .runners import RunnerState
from .stays import Stays
from .wakes import Wakes


@frozen
class Charge:
    """What was taken of a customer's quota."""

    customer: str
    amount: float


@define(eq=False)
class StoreLoads:
    """Loads from the weight store that were begun, to keep to its rate."""

    _begun: deque[tuple[float, float]] = field(factory=deque, init=False)
    """Time of the begin and expected end of each."""

    _first_until: float = field(default=-math.inf, init=False)
    """End of the first window in which this process orders loads."""

    _rare: dict[str, float] = field(factory=dict, init=False)
    """Runners that fetch a rare model, and when that should be over."""

    def begin(self, now: float) -> None:
        """Note that this process orders from now on, maybe after another one."""
        self._first_until = now + STORE_WINDOW_S

    def note(self, now: float, ends_at: float) -> None:
        """Count a load that begins now."""
        self._begun.append((now, ends_at))

    def note_rare(self, runner_id: str, ends_at: float) -> None:
        """Note that a runner is kept by a rare model until a time."""
        self._rare[runner_id] = ends_at

    def count_rare(self, now: float) -> int:
        """Return the runners that are kept by rare models."""
        self._rare = {key: end for key, end in self._rare.items() if end > now}
        return len(self._rare)

    def may_begin(self, engine: EngineProfile, now: float) -> bool:
        """Return whether the store allows one more load at full speed."""
        while self._begun and self._begun[0][0] <= now - STORE_WINDOW_S:
            self._begun.popleft()
        allowed = engine.loads_per_s * STORE_WINDOW_S * STORE_LOAD_SHARE
        if now < self._first_until:
            # The one before may have begun as many as are allowed.
            allowed = max(STORE_FIRST_LOADS, allowed * STORE_FIRST_SHARE)
        if len(self._begun) + 1 > max(1.0, allowed):
            return False
        at_once = max(1, int(engine.loads_per_s * engine.mean_load_s))
        under_way = sum(1 for _, ends_at in self._begun if ends_at > now)
        return under_way < at_once


@define(eq=False)
class SchedulingState:
    """Runners, waiting requests, demand and limits."""

    random: Random
    limit_scale: float = 1.0
    """Part of each runner's limits that this process may use; 1 if it sees all."""

    table: RoutingTable | None = None
    quotas: QuotaTracker = field(factory=QuotaTracker)
    runners: dict[str, RunnerState] = field(factory=dict, init=False)
    queues: dict[str, ServiceQueue] = field(factory=dict, init=False)
    """What waits for each service."""

    granted: dict[RequestKey, str] = field(factory=dict, init=False)
    """Runner of each request that was granted."""

    charges: dict[RequestKey, Charge] = field(factory=dict, init=False)
    """What was taken of quotas for requests that still wait."""

    edge_data_centres: dict[str, str] = field(factory=dict, init=False)
    """Data centre of each edge."""

    pace: PaceBook = field(factory=PaceBook, init=False)
    demand: DemandBook = field(factory=DemandBook, init=False)
    returns: Returns = field(factory=Returns, init=False)
    health: HealthTracker = field(factory=HealthTracker, init=False)
    limits: LimitTracker = field(factory=LimitTracker, init=False)
    cooldowns: CooldownTracker = field(factory=CooldownTracker, init=False)
    store_loads: dict[str, StoreLoads] = field(factory=dict, init=False)
    _gaps: dict[str, Gaps] = field(factory=dict, init=False)
    _stays: dict[str, Stays] = field(factory=dict, init=False)
    wakes: Wakes = field(factory=Wakes, init=False)
    orders_allowed: bool = field(default=False, init=False)
    ordering_since: float = field(default=-math.inf, init=False)
    _by_service: dict[str, dict[str, RunnerState]] = field(factory=dict, init=False)
    _copies: dict[str, CopyIndex] = field(factory=dict, init=False)
    _entries: dict[str, RunnerEntry] = field(factory=dict, init=False)
    """The entries that were taken last."""

    def get_gaps(self, service: str) -> Gaps:
        """Return the pauses of a service's streams."""
        return self._gaps.setdefault(service, Gaps())

    def get_stays(self, service: str) -> Stays:
        """Return how long a service's requests keep a slot."""
        return self._stays.setdefault(service, Stays())

    def get_store_loads(self, service: str) -> StoreLoads:
        """Return the loads from the weight store for a service."""
        loads = self.store_loads.get(service)
        if loads is None:
            loads = self.store_loads[service] = StoreLoads()
            loads.begin(self.ordering_since)
        return loads

    def begin_orders(self, now: float) -> None:
        """Note that this process orders from now on."""
        self.ordering_since = now
        for loads in self.store_loads.values():
            loads.begin(now)

    def get_engine(self, service: str) -> EngineProfile | None:
        """Return what the runners of a service can do; None for plain services."""
        profile = None if self.table is None else self.table.services.get(service)
        return None if profile is None else profile.engine

    def get_model(self, service: str, model: str) -> ModelProfile | None:
        """Return the profile of a model that a service offers."""
        engine = self.get_engine(service)
        return None if engine is None else engine.models.get(model)

    def get_queue(self, service: str) -> ServiceQueue:
        """Return what waits for a service."""
        queue = self.queues.get(service)
        if queue is None:
            queue = self.queues[service] = ServiceQueue()
        return queue

    def get_copies(self, service: str) -> CopyIndex:
        """Return which runners of a service hold each model."""
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

    def measure_limit_wait(self, runner: RunnerState, now: float) -> float:
        """Return the seconds until a runner's limit allows another request."""
        entry = runner.entry
        return self.limits.measure_wait(entry.runner_id, entry.started_ms, now)

    def find_in_need(self, now: float) -> frozenset[str]:
        """Return the runners that have been limited, or at rest, for a while."""
        edges = MIN_COOLDOWN_EDGE_SHARE * len(self.edge_data_centres)
        return self.limits.list_long_limited(now) | self.cooldowns.list_long_cooldowns(
            MIN_LIMITED_S, edges, now
        )

    def measure_rest(
        self, grant_request: GrantRequest, runner: RunnerState, now: float
    ) -> float:
        """Return the seconds for which a runner wants nothing of a request's edge."""
        entry = runner.entry
        return self.cooldowns.measure_wait(
            grant_request.edge, entry.runner_id, entry.started_ms, now
        )

    def allows(
        self, grant_request: GrantRequest, runner: RunnerState, now: float
    ) -> bool:
        """Return whether a request may go to a runner, as far as it is about both."""
        if not allows(grant_request, runner.runner_id):
            return False
        return self.measure_rest(grant_request, runner, now) == 0

    def list_relied(self, service: str, now: float) -> list[RunnerState]:
        """Return the usable runners that take what comes, to place models on.

        If these are too few, those that are limited or rest are among them: somebody
        has to hold the models.
        """
        usable = self.list_usable(service, now)
        in_need = self.find_in_need(now)
        relied = [each for each in usable if each.runner_id not in in_need]
        enough = len(relied) >= (1 - MAX_LIMITED_SHARE) * len(usable)
        return relied if enough and relied else usable

    def count_runners(self, service: str) -> int:
        """Return how many runners a service has."""
        return len(self._by_service.get(service, {}))

    def list_holders(
        self, service: str, model: str, avoided: frozenset[str]
    ) -> list[RunnerState]:
        """Return the runners with a model, ready or on its way, that aren't avoided."""
        holders = self.get_copies(service).held.get(model)
        return [self.runners[each] for each in holders if each not in avoided]

    def take_fleet(
        self, table: RoutingTable, entries: tuple[RunnerEntry, ...], now: float
    ) -> None:
        """Take configuration and runners as they are now."""
        self.table = table
        self.quotas.registry = table.customers
        present = {entry.runner_id for entry in entries}
        for runner_id in [each for each in self.runners if each not in present]:
            self._remove(runner_id)
        self.health.keep_only(present)
        self.limits.keep_only(present, now)
        self.cooldowns.keep_only(present)
        for entry in entries:
            # Entries of other runners change many times a second.
            if self._entries.get(entry.runner_id) is not entry:
                self._take_entry(entry, now)
                self._entries[entry.runner_id] = entry

    def _remove(self, runner_id: str) -> None:
        runner = self.runners.pop(runner_id)
        runner.leave()
        self._by_service[runner.entry.service].pop(runner_id, None)
        self._entries.pop(runner_id, None)

    def find_life(self, runner_id: str, started_ms: int) -> RunnerState | None:
        """Return the life of a runner that began at a time; None for an earlier one.

        Args:
            runner_id: The runner.
            started_ms: When the life began, in Unix ms; 0 stands for the present one.
        """
        known = self.runners.get(runner_id)
        if known is None or not started_ms:
            return known
        if started_ms < known.entry.started_ms:
            return None
        if not known.entry.started_ms:
            # It had not said when it began.
            known.entry = evolve(known.entry, started_ms=started_ms)
        if started_ms > known.entry.started_ms:
            entry = evolve(known.entry, started_ms=started_ms, models=())
            return self._begin_life(entry)
        return known

    def _take_entry(self, entry: RunnerEntry, now: float) -> None:
        known = self.find_life(entry.runner_id, entry.started_ms)
        if known is None and entry.runner_id in self.runners:
            return
        if known is None:
            known = self._begin_life(entry)
        known.take_entry(entry, now)

    def _begin_life(self, entry: RunnerEntry) -> RunnerState:
        """Begin with a runner that holds and runs nothing, as far as is known."""
        earlier = self.runners.get(entry.runner_id)
        if earlier is not None:
            for key in earlier.running:
                self.granted.pop(key, None)
            self._remove(entry.runner_id)
        self.health.forget(entry.runner_id)
        engine = self.get_engine(entry.service)
        capacity = 0 if engine is None else engine.kv_capacity_tokens
        copies = self.get_copies(entry.service)
        runner = RunnerState(entry, engine, PrefixMemory(capacity), copies)
        self.runners[entry.runner_id] = runner
        self._by_service.setdefault(entry.service, {})[entry.runner_id] = runner
        return runner
