"""A runner as the scheduling core knows it."""

from collections import deque
from typing import Final

from attrs import define, evolve, field

from ...models.routing import EngineProfile
from ...models.runner import ResidentModel, RunnerEntry, RunnerReport
from .const import (
    KV_USED,
    MAX_PAUSE_S,
    MIN_PAUSE_S,
    SLOTS_USED,
    STALL_FALL_S,
    STALL_LIMIT_S,
    STALL_WINDOW_S,
)
from .copies import CopyIndex
from .demand import Rate
from .events import SendOrder
from .prefixes import PrefixCache
from .reading import Reading
from .requests import RequestKey, Running

REPORT_LAG_S: Final = 0.3
"""Age that the content of a report may have: the platform's engines say some hundred
milliseconds; 0.2 s at both sites."""

TRUSTED_REPORT_S: Final = 1.0
"""Time after the last order from which a report overrules what was counted here."""


@define
class Pause:
    """Time for which a runner isn't asked for something that it refused."""

    seconds: float = 0.0
    until: float = 0.0


@define(eq=False)
class HeldModel:
    """A model that a runner holds."""

    ready_at: float
    """Time from which requests may be sent for it."""

    loaded_at: float
    confirmed: bool = False
    """Whether a report or an answer has shown it; until then one request tries it."""

    adapters: dict[str, float] = field(factory=dict)
    """Adapters with the time from which they can be used."""

    used_at: dict[str, float] = field(factory=dict)
    """Adapters with the time of their last use."""


@define(eq=False)
class RunnerState:
    """One life of a runner, with what was sent to it and ordered of it."""

    entry: RunnerEntry
    engine: EngineProfile | None
    prefixes: PrefixCache
    copies: CopyIndex = field(factory=CopyIndex)
    """Where the service's models are; this runner keeps its own part of it."""

    running: dict[RequestKey, Running] = field(factory=dict)
    held: dict[str, HeldModel] = field(factory=dict)
    """Models in its memory or on their way; changed by `hold` and `release` only."""

    order_count: int | None = None
    """Orders that the runner has accepted; None until a report was read."""

    reading: Reading = field(factory=Reading)
    """The prompts that it still has to read."""

    kv_tokens: int = 0
    ordered_at: float = -1e9
    """When the last order was sent or answered."""

    open_order: SendOrder | None = None
    """The order that waits for its answer."""

    set_aside: HeldModel | None = None
    """What the open order would take away, to be put back if it is refused."""

    goal: str = ""
    """Model for which room is being made; empty without one."""

    is_state_known: bool = False
    """Whether a report showed what the runner holds, with no change under way, and
    what was ordered since is known to have been carried out."""

    changing_until: float = 0.0
    """Time at which a load or unload under way should be over."""

    in_host_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    pauses: dict[str, Pause] = field(factory=dict)
    """Artifacts that the runner refused requests for."""

    _reads: deque[tuple[float, float]] = field(factory=deque)
    """Prompts of the last moments: when each was granted, and its reading time."""

    _reads_s: float = 0.0
    """Sum of these reading times."""

    _smooth: int = 0
    """Streams here that have not been stalled."""

    stalls: Rate = field(factory=lambda: Rate(STALL_FALL_S))
    """How often its streams were stalled lately."""

    _used: dict[tuple[str, str], int] = field(factory=dict)
    """Requests that run here, by model and adapter."""

    _used_models: dict[str, int] = field(factory=dict)
    """The same by model."""

    @property
    def runner_id(self) -> str:
        """Return the id of this life."""
        return self.entry.runner_id

    def list_near(self) -> frozenset[str]:
        """Return the models that it holds, is getting, or can load without a fetch."""
        goal = {self.goal} if self.goal else set()
        return self.in_host_memory | self.on_disk | self.held.keys() | goal

    def take_entry(self, entry: RunnerEntry, now: float) -> None:
        """Take the entry as it is now; once reports are read they know more."""
        known_ms = self.entry.started_ms
        self.entry = entry
        if not entry.started_ms and known_ms:
            self.entry = evolve(entry, started_ms=known_ms)
        if self.order_count is None:
            self.take_models(entry.models, now)

    def take_report(
        self, report: RunnerReport, requested_at: float, now: float
    ) -> None:
        """Take a report, unless an order may have changed things since."""
        self._note_near(report.in_host_memory, report.on_disk)
        if self.open_order or requested_at - REPORT_LAG_S < self.ordered_at:
            return
        fresh = requested_at - TRUSTED_REPORT_S >= self.ordered_at
        known = self.order_count
        if known is not None and report.order_count < known and not fresh:
            return
        self.order_count = report.order_count
        if report.busy:
            # A model on its way takes memory, and the report does not name it.
            self.is_state_known = False
            return
        self.is_state_known = True
        self.changing_until = min(self.changing_until, now)
        self.take_models(report.models, now, report.pending_adapters)

    def take_models(
        self,
        models: tuple[ResidentModel, ...],
        now: float,
        pending: frozenset[str] = frozenset(),
    ) -> None:
        """Take the models that the runner says it holds."""
        names = {model.name for model in models}
        for name in set(self.held) - names:
            self.drop_model(name)
        for model in models:
            held = self.held.get(model.name)
            if held is None:
                held = HeldModel(ready_at=now, loaded_at=now)
                self.hold(model.name, held)
            held.ready_at = min(held.ready_at, now)
            held.confirmed = True
            for adapter in set(held.adapters) - model.adapters:
                if f"{model.name}/{adapter}" not in pending:
                    del held.adapters[adapter]
            for adapter in model.adapters:
                held.adapters[adapter] = min(held.adapters.get(adapter, now), now)

    def drop_model(self, name: str) -> None:
        """Forget a model that the runner no longer holds."""
        self.release(name)
        self.prefixes.forget_model(name)

    def hold(self, name: str, held: HeldModel) -> None:
        """Count a model as held."""
        self.held[name] = held
        self.copies.held.add(name, self.runner_id)

    def release(self, name: str) -> HeldModel | None:
        """Count a model as held no more; returns what it was."""
        self.copies.held.remove(name, self.runner_id)
        return self.held.pop(name, None)

    def leave(self) -> None:
        """Take this life out of the index of copies."""
        for name in self.held:
            self.copies.held.remove(name, self.runner_id)
        self._note_near(frozenset(), frozenset())

    def _note_near(self, in_memory: frozenset[str], on_disk: frozenset[str]) -> None:
        index, runner_id = self.copies, self.runner_id
        if in_memory != self.in_host_memory:
            index.in_host_memory.replace(self.in_host_memory, in_memory, runner_id)
            self.in_host_memory = in_memory
        if on_disk != self.on_disk:
            index.on_disk.replace(self.on_disk, on_disk, runner_id)
            self.on_disk = on_disk

    def add(self, key: RequestKey, running: Running, now: float) -> None:
        """Count a request that was granted here."""
        if self.measure_stall(running.unread_s, now) > STALL_LIMIT_S:
            self._note_stall(now)
        self._reads.append((now, running.unread_s))
        self._reads_s += running.unread_s
        self.running[key] = running
        self.reading.add(running, now)
        self.kv_tokens += running.kv_tokens
        self._smooth += not running.stalled
        self._count_use(running, 1)

    def measure_stall(self, reading_s: float, now: float) -> float:
        """Return the reading time of one window if a prompt is added to it."""
        while self._reads and self._reads[0][0] < now - STALL_WINDOW_S:
            self._reads_s -= self._reads.popleft()[1]
        if not self._reads:
            # What rounding has left.
            self._reads_s = 0.0
        return reading_s + self._reads_s

    def count_smooth(self) -> int:
        """Return the streams here that have not been stalled."""
        return self._smooth

    def _note_stall(self, now: float) -> None:
        self.stalls.add(1, now)
        if self._smooth:
            for each in self.running.values():
                each.stalled = True
        self._smooth = 0

    def _count_use(self, running: Running, change: int) -> None:
        grant_request = running.grant_request
        artifact = (grant_request.model, grant_request.adapter)
        self._used[artifact] = self._used.get(artifact, 0) + change
        if not self._used[artifact]:
            del self._used[artifact]
        count = self._used_models.get(grant_request.model, 0)
        self._used_models[grant_request.model] = count + change

    def remove(self, key: RequestKey, now: float) -> Running | None:
        """Count a request as over."""
        running = self.running.pop(key, None)
        if running is None:
            return None
        self.reading.note_ended(running, now)
        self.kv_tokens -= running.kv_tokens
        self._smooth -= not running.stalled
        self._count_use(running, -1)
        return running

    def has_room(self, limit_scale: float, unread_limit_s: float, now: float) -> bool:
        """Return whether another prompt may be sent now.

        Args:
            limit_scale: Part of the limits that this process may use.
            unread_limit_s: Reading time of unread prompts up to which it may.
            now: Time in seconds.
        """
        slots = self.entry.slots if self.engine is None else self.engine.slots
        if len(self.running) >= max(1.0, slots * SLOTS_USED * limit_scale):
            return False
        limit_s = unread_limit_s * limit_scale
        if self.reading.until - now > limit_s:
            return False
        return self.reading.measure(now) <= limit_s

    def has_memory(self, tokens: int) -> bool:
        """Return whether a request of so many tokens fits the KV memory."""
        if self.engine is None or not self.running:
            return True
        return self.kv_tokens + tokens <= KV_USED * self.engine.kv_capacity_tokens

    def is_ready(self, model: str, adapter: str, now: float) -> bool:
        """Return whether a model, and an adapter unless that is empty, can be used."""
        held = self.held.get(model)
        if held is None or now < held.ready_at:
            return False
        if not held.confirmed and self.is_used(model):
            return False
        pause = self.pauses.get(f"{model}/{adapter}")
        if pause is not None and now < pause.until:
            return False
        return not adapter or held.adapters.get(adapter, now + 1) <= now

    def note_refused(self, model: str, adapter: str, now: float) -> None:
        """Ask for an artifact again only after a pause, which doubles each time."""
        pause = self.pauses.setdefault(f"{model}/{adapter}", Pause())
        pause.seconds = min(MAX_PAUSE_S, max(MIN_PAUSE_S, 2 * pause.seconds))
        pause.until = now + pause.seconds

    def note_accepted(self, model: str, adapter: str) -> None:
        """Forget the refusals of an artifact that was served."""
        self.pauses.pop(f"{model}/{adapter}", None)
        held = self.held.get(model)
        if held is not None:
            held.confirmed = True

    def describe(self, now: float) -> str:
        """Return a line on what runs here, for how long it reads, and what is held."""
        models = " ".join(self.held)
        return (
            f"{self.runner_id}: {len(self.running)}, {self.reading.measure(now):.3f}, "
            f"{models} {self.goal and 'for ' + self.goal}"
        )

    def count_adapters(self) -> int:
        """Return the adapters that are held or on their way."""
        return sum(len(held.adapters) for held in self.held.values())

    def is_used(self, model: str, adapter: str = "") -> bool:
        """Return whether requests run here with a model, or with one adapter of it."""
        if not adapter:
            return self._used_models.get(model, 0) > 0
        return (model, adapter) in self._used
