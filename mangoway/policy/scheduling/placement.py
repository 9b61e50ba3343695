"""Which models the runners hold, where more are offered than have room.

Answers the load of a long tail: few models get most requests, many get few, and which
do so changes within seconds. A model that nobody holds is loaded when a request waits
for it, in place of the copy that is missed least. Busy models get further copies where
runners have time to spare.
"""

from attrs import define, field, frozen

from ...models.routing import EngineProfile, ModelProfile
from .const import (
    ADAPTER_RESERVE,
    BUSY_SHARE,
    IDLE_VALUE,
    MIN_RESIDENCE_S,
    RELIEF_SHARE,
    RELOAD_S,
)
from .events import GiveOrder
from .orders import can_order, open_order
from .runners import RunnerState
from .state import SchedulingState


@frozen(kw_only=True)
class Site:
    """A runner that could take a model, and what has to go for it."""

    runner: RunnerState
    victims: tuple[str, ...]
    cost_s: float
    """Load time, and the loss of the victims in the same unit."""


@define(eq=False)
class Planner:
    """Plans the models of one service at one moment."""

    state: SchedulingState
    service: str
    engine: EngineProfile
    now: float
    _runners: list[RunnerState] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._runners = self.state.list_usable(self.service, self.now)

    def plan(self) -> list[GiveOrder]:
        """Return the orders to give now."""
        orders = self._go_on()
        orders += self._load_wanted()
        if not orders:
            orders += self._relieve()
        if not orders:
            orders += self._fill()
        return orders

    def _go_on(self) -> list[GiveOrder]:
        """Go on where room was being made for a model."""
        orders = []
        for runner in self._list_runners():
            if runner.goal and can_order(runner, self.now):
                order = self._step(runner, runner.goal, "room was made for it")
                if order is not None:
                    orders.append(order)
        return orders

    def _load_wanted(self) -> list[GiveOrder]:
        """Begin to load the models that requests wait for and nobody holds."""
        orders = []
        for model, count in self._list_wanted():
            site = self._find_site(self.engine.models[model], count)
            if site is None:
                continue
            site.runner.goal = model
            order = self._step(site.runner, model, "requests wait and nobody holds it")
            if order is not None:
                orders.append(order)
        return orders

    def _relieve(self) -> list[GiveOrder]:
        """Add a copy of the model that keeps its holders busiest."""
        busy = self._measure_runners()
        for model in self._list_by_work():
            holders = [each for each in self._list_runners() if model in each.held]
            if not holders or any(each.goal == model for each in self._list_runners()):
                continue
            if any(each.held[model].ready_at > self.now for each in holders):
                continue
            least = min(busy[each.runner_id] for each in holders)
            if least < BUSY_SHARE:
                continue
            order = self._add_copy(model, len(holders), least, busy)
            if order is not None:
                return [order]
        return []

    def _add_copy(
        self, model: str, copies: int, least: float, busy: dict[str, float]
    ) -> GiveOrder | None:
        work = self.state.demand.get_work(self.service, model, self.now)
        profile = self.engine.models[model]
        moved = work / (copies + 1)
        site = self._find_site(profile, 0)
        if site is None:
            return None
        if busy[site.runner.runner_id] + moved > least - RELIEF_SHARE:
            return None
        loss = sum(self._rate_loss(each, site.runner) for each in site.victims)
        if loss > moved:
            return None
        site.runner.goal = model
        return self._step(site.runner, model, "its holders are busy")

    def _fill(self) -> list[GiveOrder]:
        """Use room that is free, as after a runner's restart, for what is missing."""
        for runner in self._list_runners():
            if runner.goal or not can_order(runner, self.now):
                continue
            model = self._choose_filler(runner)
            if model is not None:
                runner.goal = model
                order = self._step(runner, model, "there is room")
                return [] if order is None else [order]
        return []

    def _choose_filler(self, runner: RunnerState) -> str | None:
        best: tuple[float, str] | None = None
        for name, profile in self.engine.models.items():
            if name in runner.held or not self._fits(runner, profile):
                continue
            copies = self._count_copies(name)
            requests = self.state.demand.get_requests(self.service, name, self.now)
            work = self.state.demand.get_work(self.service, name, self.now)
            value = work / (copies + 1) if copies else requests * RELOAD_S + IDLE_VALUE
            if copies and value < IDLE_VALUE:
                continue
            if best is None or value > best[0]:
                best = (value, name)
        return None if best is None else best[1]

    def _step(self, runner: RunnerState, model: str, reason: str) -> GiveOrder | None:
        """Return the next order on the way to a model on a runner."""
        profile = self.engine.models.get(model)
        if profile is None or model in runner.held:
            runner.goal = ""
            return None
        waiting = self._count_waiting(model)
        if self._fits(runner, profile):
            return self._load(runner, profile, reason, waiting)
        victims = self._choose_victims(runner, profile)
        if not victims:
            runner.goal = ""
            return None
        return open_order(
            runner,
            load=False,
            model=victims[0],
            reason=f"makes way for {model}",
            waiting=waiting,
            now=self.now,
        )

    def _load(
        self, runner: RunnerState, profile: ModelProfile, reason: str, waiting: int
    ) -> GiveOrder | None:
        load_s = estimate_load(runner, profile)
        if load_s >= profile.load_s:
            loads = self.state.get_store_loads(self.service)
            if not loads.may_begin(self.engine, profile.load_s, self.now):
                return None
            loads.note(self.now, self.now + load_s)
        return open_order(
            runner,
            load=True,
            model=profile.name,
            reason=reason,
            waiting=waiting,
            now=self.now,
        )

    def _find_site(self, profile: ModelProfile, waiting: int) -> Site | None:
        best: Site | None = None
        for runner in self._list_runners():
            if runner.goal or profile.name in runner.held:
                continue
            if not can_order(runner, self.now):
                continue
            victims: tuple[str, ...] = ()
            if not self._fits(runner, profile):
                victims = self._choose_victims(runner, profile)
                if not victims:
                    continue
            loss = sum(self._rate_loss(each, runner) for each in victims)
            load_s = estimate_load(runner, profile)
            cost_s = load_s * max(1, waiting) + loss * RELOAD_S * RELOAD_S
            if best is None or cost_s < best.cost_s:
                best = Site(runner=runner, victims=victims, cost_s=cost_s)
        return best

    def _choose_victims(
        self, runner: RunnerState, profile: ModelProfile
    ) -> tuple[str, ...]:
        """Return the models to unload, least missed first; empty if none may go."""
        candidates = [name for name in runner.held if self._may_go(runner, name)]
        candidates.sort(key=lambda name: self._rate_loss(name, runner))
        needed = profile.weights_mb - self._count_free(runner)
        victims: list[str] = []
        for name in candidates:
            victims.append(name)
            model = self.engine.models.get(name)
            needed -= 0.0 if model is None else model.weights_mb
            if needed <= 0:
                return tuple(victims)
        return ()

    def _may_go(self, runner: RunnerState, name: str) -> bool:
        held = runner.held[name]
        if held.loaded_at + MIN_RESIDENCE_S > self.now and held.loaded_at > 0:
            return False
        if runner.is_used(name):
            return False
        return self._count_waiting(name) == 0 or self._count_copies(name) > 1

    def _rate_loss(self, name: str, runner: RunnerState) -> float:
        """Return what unloading a copy costs, in requests or busy time a second."""
        others = self._count_copies(name) - 1
        requests = self.state.demand.get_requests(self.service, name, self.now)
        if others <= 0:
            return requests + IDLE_VALUE
        work = self.state.demand.get_work(self.service, name, self.now)
        return work / others

    def _fits(self, runner: RunnerState, profile: ModelProfile) -> bool:
        return self._count_free(runner) >= profile.weights_mb

    def _count_free(self, runner: RunnerState) -> float:
        """Return the memory that is free, with room kept for all adapter places."""
        largest = max(
            (each.adapter_mb for each in self.engine.models.values()), default=0.0
        )
        free = self.engine.weights_mb - ADAPTER_RESERVE * (
            self.engine.adapter_slots * largest
        )
        for name in runner.held:
            model = self.engine.models.get(name)
            # A model that the configuration no longer offers has an unknown size.
            free -= self.engine.weights_mb if model is None else model.weights_mb
        return free

    def _list_wanted(self) -> list[tuple[str, int]]:
        """Return the models that requests wait for and nobody has or gets."""
        counts: dict[str, int] = {}
        coming = {each.goal for each in self._list_runners()}
        for waiting in self.state.waiting.get(self.service, {}).values():
            model = waiting.asked.model
            if model in coming or model not in self.engine.models:
                continue
            if self._count_copies(model) == 0:
                counts[model] = counts.get(model, 0) + 1
        return sorted(counts.items(), key=lambda each: -each[1])

    def _list_by_work(self) -> list[str]:
        demand = self.state.demand
        return sorted(
            self.engine.models,
            key=lambda name: -demand.get_work(self.service, name, self.now),
        )

    def _measure_runners(self) -> dict[str, float]:
        """Return the share of each runner's time that reading prompts takes."""
        busy = {}
        for runner in self._list_runners():
            busy[runner.runner_id] = sum(
                self.state.demand.get_work(self.service, name, self.now)
                / max(1, self._count_copies(name))
                for name in runner.held
            )
        return busy

    def _count_copies(self, model: str) -> int:
        return sum(1 for each in self._list_runners() if model in each.held)

    def _count_waiting(self, model: str) -> int:
        waiting = self.state.waiting.get(self.service, {}).values()
        return sum(1 for each in waiting if each.asked.model == model)

    def _list_runners(self) -> list[RunnerState]:
        """Return the runners that can be reached: the others hold nothing of use."""
        return self._runners


def estimate_load(runner: RunnerState, profile: ModelProfile) -> float:
    """Return the time of a load from the nearest copy that a runner has."""
    if profile.name in runner.in_host_memory:
        return profile.memory_load_s
    if profile.name in runner.on_disk:
        return profile.disk_load_s
    return profile.load_s


def expect_ready(state: SchedulingState, service: str, now: float) -> dict[str, float]:
    """Return when each model that nobody holds could be ready, for who waits."""
    engine = state.get_engine(service)
    if engine is None:
        return {}
    runners = state.list_usable(service, now)
    held = {name for each in runners for name in each.held}
    times = {}
    for name, profile in engine.models.items():
        if name not in held:
            load_s = min(
                (estimate_load(each, profile) for each in runners),
                default=profile.load_s,
            )
            times[name] = now + load_s
    return times
