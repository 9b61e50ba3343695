"""State of one runner in the scheduling core."""

from collections import deque
from typing import Final

from attrs import define, evolve, field, frozen

from ...models.routing import EngineProfile
from ...models.runner import ResidentModel, RunnerEntry, RunnerReport
from .const import (
    ADAPTER_LOAD_S,
    MAX_REJECTION_BACKOFF_S,
    MIN_REJECTION_BACKOFF_S,
    STALL_DECAY_S,
    STALL_LIMIT_S,
    STALL_WINDOW_S,
    USABLE_KV_SHARE,
    USABLE_SLOT_SHARE,
)
from .copies import CopyIndex
from .demand import DecayingRate
from .events import SendOrder
from .output_lengths import ExpectedMemory, MemoryPlan
from .pace import RunnerPace
from .prefill_backlog import PrefillBacklog
from .prefill_spans import RecentPrefills
from .prefixes import PrefixCache
from .requests import RequestKey, RunningRequest
from .reservations import Reservations
from .stream_pauses import StreamPauses
from .unfinished_runs import UnfinishedRuns

MAX_REPORT_LAG_S: Final = 0.3
"""Maximum age of a report's content. Engines specify a lag of some hundred
milliseconds; in practice it is 0.2 s."""

REPORT_OVERRIDE_S: Final = 1.0
"""Time after the last order from which a report is applied even if its order count is
lower than the recorded one."""

ADOPTION_S: Final = 3.0
"""Time after the first report of a runner within which runs that it lists may be of an
earlier scheduler, and unknown here until their edges connect."""


@define
class RejectionBackoff:
    """Time for which a runner receives no requests for an artifact that it rejected."""

    seconds: float = 0.0
    until: float = 0.0


@define(eq=False)
class LoadedModel:
    """A model that a runner holds or is loading."""

    ready_at: float
    """Time from which requests for it may be sent."""

    loaded_at: float
    confirmed: bool = False
    """Whether a report or a response has shown it; before that, one request at a time
    is sent."""

    adapters: dict[str, float] = field(factory=dict)
    """Adapters with the time from which they can be used."""

    used_at: dict[str, float] = field(factory=dict)
    """Adapters with the time of their last use."""

    unloading: dict[str, float] = field(factory=dict)
    """Adapters whose unload waits for runs, with the time at which the runner accepted
    it. They can't be used, and keep their slots until a report shows that they are
    gone."""


@frozen
class FinishedUnload:
    """An unload of an adapter that waited for runs."""

    model: str
    adapter: str
    waited_s: float


@define(eq=False)
class RunnerState:
    """One incarnation of a runner, with its requests and orders."""

    entry: RunnerEntry
    engine: EngineProfile | None
    prefixes: PrefixCache
    copies: CopyIndex = field(factory=CopyIndex)
    """Index of the service's copies, of which this runner updates its own entries."""

    running: dict[RequestKey, RunningRequest] = field(factory=dict)
    models: dict[str, LoadedModel] = field(factory=dict)
    """Models in its memory or being loaded; changed by `add_model` and `remove_model`
    only."""

    unreachable_from: set[str] = field(factory=set)
    """Edges that failed to connect to it, by incarnation, until it serves one."""

    order_count: int | None = None
    """Orders that the runner has accepted; None until a report arrives."""

    prefill_backlog: PrefillBacklog = field(factory=PrefillBacklog)
    """The prompts that it still has to prefill."""

    kv_tokens: int = 0
    reservations: Reservations = field(factory=Reservations)
    """Slots and memory of streams that are being transferred to this runner."""

    backups: Reservations = field(factory=Reservations)
    """Memory of the backups that this runner keeps of other runners' streams."""

    memory_plan: MemoryPlan = field(factory=MemoryPlan)
    """Sums of the KV memory that its requests are expected to use."""

    reported_kv_tokens: int = 0
    """KV memory in use by the last report."""

    ordered_at: float = -1e9
    """Time at which the last order was sent or answered."""

    unfinished: UnfinishedRuns = field(factory=UnfinishedRuns)
    """Runs that may go on here without a request among `running`."""

    first_report_at: float | None = None
    open_order: SendOrder | None = None
    """The order whose response is outstanding."""

    pending_unload: LoadedModel | None = None
    """The model that the open order unloads, restored if the order is rejected."""

    target_model: str = ""
    """Model for which memory is being freed; empty if there is none."""

    is_state_known: bool = False
    """Whether a report showed its models with no change in progress, and the execution
    of all later orders is known."""

    changing_until: float = 0.0
    """Expected end of a load or unload in progress."""

    in_host_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    backoffs: dict[str, RejectionBackoff] = field(factory=dict)
    """Backoffs for the artifacts whose requests the runner rejected."""

    _recent_prefills: deque[tuple[float, float]] = field(factory=deque)
    """Recent prompts: time of the grant and prefill time."""

    _recent_prefill_s: float = 0.0
    """Sum of these prefill times."""

    _unstalled: int = 0
    """Number of running streams that have not been stalled."""

    stalls: DecayingRate = field(factory=lambda: DecayingRate(STALL_DECAY_S))
    """Rate of recent stalls of its streams."""

    pace: RunnerPace | None = None
    """Its learned pace; None where paces aren't used."""

    prefills: RecentPrefills | None = None
    """Its recent prefills; None where paces aren't used."""

    pauses: StreamPauses | None = None
    """Its recent streams and their pauses; None where paces aren't used."""

    _uses: dict[tuple[str, str], int] = field(factory=dict)
    """Number of running requests by model and adapter."""

    _model_uses: dict[str, int] = field(factory=dict)
    """Number of running requests by model."""

    @property
    def runner_id(self) -> str:
        """Return the id of the runner."""
        return self.entry.runner_id

    @property
    def awaits_ends(self) -> bool:
        """Return whether a report may show that a run or an unload has ended.

        An earlier report that arrives again, as the response to this request, must not
        show that: it may be older than the run, or than the load of the adapter.
        """
        is_unloading = any(each.unloading for each in self.models.values())
        return is_unloading or bool(self.unfinished.runs)

    def use_engine(self, engine: EngineProfile | None) -> None:
        """Use the engine profile of a new configuration; None for plain services."""
        self.engine = engine
        self.prefixes.capacity_tokens = (
            0 if engine is None else engine.kv_capacity_tokens
        )

    def use_pace(self, *, enabled: bool) -> None:
        """Start to learn the pace of this incarnation, or forget it."""
        self.pace = RunnerPace() if enabled else None
        self.prefills = RecentPrefills() if enabled else None
        self.pauses = StreamPauses() if enabled else None

    def list_local_models(self) -> frozenset[str]:
        """Return the models that it holds, frees memory for, or can load locally."""
        target_model = {self.target_model} if self.target_model else set()
        return self.in_host_memory | self.on_disk | self.models.keys() | target_model

    def update_entry(self, entry: RunnerEntry, now: float) -> None:
        """Update the entry.

        Its models are used only until a report arrives, which shows more.
        """
        known_ms = self.entry.started_ms
        self.entry = entry
        if not entry.started_ms and known_ms:
            self.entry = evolve(entry, started_ms=known_ms)
        if self.order_count is None:
            self.update_models(entry.models, now)

    def apply_report(
        self, report: RunnerReport, requested_at: float, now: float
    ) -> list[FinishedUnload]:
        """Apply a report, unless an order may have changed the state since.

        Returns:
            The unloads of adapters that it shows to be finished.
        """
        self._update_local_copies(report.in_host_memory, report.on_disk)
        self.reported_kv_tokens = report.kv_used_tokens
        finished = self._finish_unloads(report, requested_at, now)
        self._update_unfinished(report, requested_at, now)
        if self.open_order or requested_at - MAX_REPORT_LAG_S < self.ordered_at:
            return finished
        fresh = requested_at - REPORT_OVERRIDE_S >= self.ordered_at
        known = self.order_count
        if known is not None and report.order_count < known and not fresh:
            return finished
        self.order_count = report.order_count
        if report.busy:
            # A model being loaded takes memory, but the report does not list it.
            self.is_state_known = False
            return finished
        self.is_state_known = True
        self.changing_until = min(self.changing_until, now)
        self.update_models(report.models, now, report.pending_adapters)
        return finished

    def _update_unfinished(
        self, report: RunnerReport, requested_at: float, now: float
    ) -> None:
        if self.first_report_at is None:
            self.first_report_at = now
        if now - self.first_report_at <= ADOPTION_S and report.run_ids:
            known = {
                each.grant_request.caller_request_id for each in self.running.values()
            }
            self.unfinished.add_unknown(report.run_ids - known, now)
        if self.unfinished.runs:
            self.unfinished.update(report, requested_at - MAX_REPORT_LAG_S)

    def _finish_unloads(
        self, report: RunnerReport, requested_at: float, now: float
    ) -> list[FinishedUnload]:
        """Free the slots of adapters that a later report no longer lists.

        Such an adapter isn't ordered again before that, so later orders don't matter.
        """
        held = {model.name: model.adapters for model in report.models}
        finished = []
        for name, loaded in self.models.items():
            for adapter, accepted_at in list(loaded.unloading.items()):
                if requested_at - MAX_REPORT_LAG_S < accepted_at:
                    continue
                if adapter not in held.get(name, ()):
                    del loaded.unloading[adapter]
                    finished.append(FinishedUnload(name, adapter, now - accepted_at))
        return finished

    def update_models(
        self,
        models: tuple[ResidentModel, ...],
        now: float,
        pending: frozenset[str] = frozenset(),
    ) -> None:
        """Update the held models and adapters from the runner's own list."""
        names = {model.name for model in models}
        for name in set(self.models) - names:
            self.drop_model(name)
        for model in models:
            loaded = self.models.get(model.name)
            if loaded is None:
                loaded = LoadedModel(ready_at=now, loaded_at=now)
                self.add_model(model.name, loaded)
            loaded.ready_at = min(loaded.ready_at, now)
            loaded.confirmed = True
            in_transit = {
                name.partition("/")[2]
                for name in pending
                if name.partition("/")[0] == model.name
            }
            for adapter in set(loaded.adapters) - model.adapters - in_transit:
                del loaded.adapters[adapter]
            for adapter in model.adapters - loaded.unloading.keys():
                loaded.adapters[adapter] = min(loaded.adapters.get(adapter, now), now)
            for adapter in in_transit - loaded.unloading.keys():
                # An earlier scheduler may have ordered it.
                loaded.adapters.setdefault(adapter, now + ADAPTER_LOAD_S)

    def drop_model(self, name: str) -> None:
        """Remove a model that the runner no longer holds, with its cached prefixes."""
        self.remove_model(name)
        self.prefixes.remove_model(name)

    def add_model(self, name: str, loaded: LoadedModel) -> None:
        """Record that the runner holds or loads a model."""
        self.models[name] = loaded
        self.copies.loaded.add(name, self.runner_id)

    def remove_model(self, name: str) -> LoadedModel | None:
        """Remove and return a model; its cached prefixes stay recorded.

        An unload that the runner rejects restores the model.
        """
        self.copies.loaded.remove(name, self.runner_id)
        return self.models.pop(name, None)

    def remove_from_index(self) -> None:
        """Remove this incarnation from the index of copies."""
        for name in self.models:
            self.copies.loaded.remove(name, self.runner_id)
        self._update_local_copies(frozenset(), frozenset())

    def _update_local_copies(
        self, in_memory: frozenset[str], on_disk: frozenset[str]
    ) -> None:
        index, runner_id = self.copies, self.runner_id
        if in_memory != self.in_host_memory:
            index.in_host_memory.replace(self.in_host_memory, in_memory, runner_id)
            self.in_host_memory = in_memory
        if on_disk != self.on_disk:
            index.on_disk.replace(self.on_disk, on_disk, runner_id)
            self.on_disk = on_disk

    def add(self, key: RequestKey, running: RunningRequest, now: float) -> None:
        """Record a request that was granted to this runner."""
        if self.prefills is None:
            self._record_window_prefill(running.prefill_s, now)
        self.prefill_backlog.add(running, now)
        if self.prefills is not None:
            ends_at = running.prefilled_at
            running.span = self.prefills.add(ends_at - running.prefill_s, ends_at)
        self.add_moved(key, running)

    def add_moved(self, key: RequestKey, running: RunningRequest) -> None:
        """Record a stream that goes on here, with its memory and without a prefill."""
        running.runner_id = self.runner_id
        self.running[key] = running
        if self.unfinished.runs:
            self.unfinished.discard(running.grant_request.caller_request_id)
        self.kv_tokens += running.kv_tokens
        self.memory_plan.add(running.memory or ExpectedMemory(running.kv_tokens))
        self._unstalled += not running.stalled
        self._count_use(running, 1)

    def _record_window_prefill(self, prefill_s: float, now: float) -> None:
        if self.measure_window_prefill_s(prefill_s, now) > STALL_LIMIT_S:
            self._record_stall(now)
        self._recent_prefills.append((now, prefill_s))
        self._recent_prefill_s += prefill_s

    def measure_window_prefill_s(self, prefill_s: float, now: float) -> float:
        """Return the prefill time of a new prompt and of those in the last window.

        Args:
            prefill_s: Prefill time of the new prompt.
            now: Time in seconds.
        """
        while (
            self._recent_prefills and self._recent_prefills[0][0] < now - STALL_WINDOW_S
        ):
            self._recent_prefill_s -= self._recent_prefills.popleft()[1]
        if not self._recent_prefills:
            # Clears the rounding error.
            self._recent_prefill_s = 0.0
        return prefill_s + self._recent_prefill_s

    def has_recent_prompts(self, now: float) -> bool:
        """Return whether prompts were prefilled here within the last window."""
        if self.prefills is not None:
            return self.prefill_backlog.ends_at > now - STALL_WINDOW_S
        return self.measure_window_prefill_s(0.0, now) > 0.0

    def count_unstalled(self) -> int:
        """Return the number of running streams that have not been stalled."""
        return self._unstalled

    def mark_stalled(self, streams: list[RunningRequest], now: float) -> None:
        """Record that a prompt makes some of the streams late."""
        if not streams:
            return
        self.stalls.add(1, now)
        for each in streams:
            self._unstalled -= not each.stalled
            each.stalled = True

    def _record_stall(self, now: float) -> None:
        self.stalls.add(1, now)
        if self._unstalled:
            for each in self.running.values():
                each.stalled = True
        self._unstalled = 0

    def _count_use(self, running: RunningRequest, change: int) -> None:
        grant_request = running.grant_request
        artifact = (grant_request.model, grant_request.adapter)
        self._uses[artifact] = self._uses.get(artifact, 0) + change
        if not self._uses[artifact]:
            del self._uses[artifact]
        count = self._model_uses.get(grant_request.model, 0)
        self._model_uses[grant_request.model] = count + change

    def remove(self, key: RequestKey, now: float) -> RunningRequest | None:
        """Remove a request that has ended."""
        running = self.running.pop(key, None)
        if running is None:
            return None
        self.prefill_backlog.remove(running, now)
        self.kv_tokens -= running.kv_tokens
        self.memory_plan.remove(running.memory or ExpectedMemory(running.kv_tokens))
        self._unstalled -= not running.stalled
        self._count_use(running, -1)
        return running

    def record_unfinished(self, running: RunningRequest, now: float) -> None:
        """Record that a run may go on here although its request has ended."""
        grant_request = running.grant_request
        self.unfinished.add(
            grant_request.caller_request_id,
            grant_request.model,
            grant_request.adapter,
            now,
        )

    def may_be_in_use(self, model: str, adapter: str = "") -> bool:
        """Return whether a run, known or not, may use a model or an adapter of it."""
        return self.is_in_use(model, adapter) or self.unfinished.may_use(model, adapter)

    def has_room(self, limit_scale: float, backlog_limit_s: float, now: float) -> bool:
        """Return whether another prompt may be sent now.

        Args:
            limit_scale: Share of the runner's limits that this process may use.
            backlog_limit_s: Prefill backlog up to which a prompt may be sent.
            now: Time in seconds.
        """
        slots = self.entry.slots if self.engine is None else self.engine.slots
        taken = len(self.running) + self.reservations.count
        if taken >= max(1.0, slots * USABLE_SLOT_SHARE * limit_scale):
            return False
        limit_s = backlog_limit_s * limit_scale
        if self.prefill_backlog.ends_at - now > limit_s:
            return False
        return self.prefill_backlog.estimate_remaining_s(now) <= limit_s

    def count_free_slots(self, limit_scale: float) -> float:
        """Return the number of slots that are neither used nor reserved.

        Args:
            limit_scale: Share of the runner's limits that this process may use.
        """
        slots = self.entry.slots if self.engine is None else self.engine.slots
        usable = max(1.0, slots * USABLE_SLOT_SHARE * limit_scale)
        return usable - len(self.running) - self.reservations.count

    def has_memory(self, tokens: int, expected: ExpectedMemory | None = None) -> bool:
        """Return whether a request fits the KV memory.

        Args:
            tokens: KV memory that the request is expected to use.
            expected: The same by learned output lengths; None if they are not used.
        """
        if self.engine is None:
            return True
        if not (self.running or self.reservations.count or self.backups.count):
            return True
        capacity_tokens = self.engine.kv_capacity_tokens
        promised_tokens = self.reservations.tokens + self.backups.tokens
        if expected is not None:
            return self.memory_plan.fits(expected, capacity_tokens, promised_tokens)
        taken_tokens = self.kv_tokens + promised_tokens
        return taken_tokens + tokens <= USABLE_KV_SHARE * capacity_tokens

    def count_kv_tokens(self) -> int:
        """Return the KV memory of its requests, reservations and backups in tokens."""
        return self.kv_tokens + self.reservations.tokens + self.backups.tokens

    def is_ready(self, model: str, adapter: str, now: float) -> bool:
        """Return whether a model, and its adapter if one is named, can be used."""
        loaded = self.models.get(model)
        if loaded is None or now < loaded.ready_at:
            return False
        if not loaded.confirmed and self.is_in_use(model):
            return False
        backoff = self.backoffs.get(f"{model}/{adapter}")
        if backoff is not None and now < backoff.until:
            return False
        return not adapter or loaded.adapters.get(adapter, now + 1) <= now

    def record_rejection(self, model: str, adapter: str, now: float) -> None:
        """Back off from an artifact, for twice as long after each further rejection."""
        backoff = self.backoffs.setdefault(f"{model}/{adapter}", RejectionBackoff())
        backoff.seconds = min(
            MAX_REJECTION_BACKOFF_S, max(MIN_REJECTION_BACKOFF_S, 2 * backoff.seconds)
        )
        backoff.until = now + backoff.seconds

    def record_served(self, model: str, adapter: str) -> None:
        """Clear the backoff of an artifact that was served."""
        self.backoffs.pop(f"{model}/{adapter}", None)
        loaded = self.models.get(model)
        if loaded is not None:
            loaded.confirmed = True

    def describe(self, now: float) -> str:
        """Return a line with the running requests, prefill backlog and models."""
        models = " ".join(self.models)
        return (
            f"{self.runner_id}: {len(self.running)}, "
            f"{self.prefill_backlog.estimate_remaining_s(now):.3f}, "
            f"{models} {self.target_model and 'for ' + self.target_model}"
        )

    def count_adapters(self) -> int:
        """Return the number of adapters that take slots."""
        return sum(
            len(loaded.adapters) + len(loaded.unloading)
            for loaded in self.models.values()
        )

    def is_in_use(self, model: str, adapter: str = "") -> bool:
        """Return whether requests use a model here, or one adapter of it if named.

        Streams that are being transferred to this runner count as well.
        """
        if self.reservations.count and self.reservations.needs(model, adapter):
            return True
        if not adapter:
            return self._model_uses.get(model, 0) > 0
        return (model, adapter) in self._uses


def measure_mean_pace(runners: list[RunnerState]) -> float:
    """Return the pace at which runners together serve as much as they do."""
    speeds = [1 / each.pace.factor for each in runners if each.pace is not None]
    return len(speeds) / sum(speeds) if speeds else 1.0
