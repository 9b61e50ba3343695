"""Which models the runners hold, where more are offered than have room.

Answers the load of a long tail: few models get most requests, many get few, and which
do so changes within seconds. A model that nobody holds is loaded when a request waits
for it, in place of the copy that is missed least. Popular models get further copies, by
the time that reading their prompts takes.
"""

import math

from attrs import define, field, frozen

from ...models.routing import EngineProfile, ModelProfile
from .const import (
    AHEAD_LOSS,
    BUSY_SITE_S,
    HOLD_S,
    IDLE_VALUE,
    LAST_PAIR_LOSS,
    LEAST_REQUESTS,
    MIN_RESIDENCE_S,
    POPULAR_REQUESTS,
    RARE_LOAD_SHARE,
    SWAP_GAIN,
    TREND_AHEAD_S,
    UNLOAD_S,
)
from .events import GiveOrder
from .loads import estimate_load, measure_free, measure_wait, reserve_for_adapters
from .orders import can_order, open_order
from .runners import RunnerState
from .state import SchedulingState


@frozen
class Site:
    """A runner that could take a model, and what has to go for it."""

    runner: RunnerState
    victims: tuple[str, ...]
    wait_s: float
    """Time until it can be ordered."""

    cost_s: float
    """Time until the model is there, and the loss of the victims in the same unit."""


@frozen
class Need:
    """A model that lacks a copy."""

    model: str
    waiting: int
    """Requests that wait for it, if nobody holds it."""

    gain: float
    """Requests a second that are served in time with one more copy."""

    urgency: float
    """The gain for each second that the load takes a runner."""

    rare: bool
    """Whether few requests come for it."""

    reason: str


@define(eq=False)
class Planner:
    """Plans the models of one service at one moment."""

    state: SchedulingState
    service: str
    engine: EngineProfile
    now: float
    _runners: list[RunnerState] = field(init=False)
    _adapter_mb: float = field(default=0.0, init=False)
    """Memory that is kept free for adapters on each runner."""

    _copy_work_s: float = field(default=0.0, init=False)
    """Seconds of reading a second that one copy of a model is to take."""

    _waiting: dict[str, int] = field(factory=dict, init=False)
    """Requests that wait for each model."""

    _copies: dict[str, int] = field(factory=dict, init=False)
    """Runners that hold each model, counted once: a plan changes them with an order."""

    def __attrs_post_init__(self) -> None:
        self._runners = self.state.list_usable(self.service, self.now)
        self._waiting = self._count_all_waiting()
        gaps = self.state.get_gaps(self.service)
        self._copy_work_s = gaps.choose_copy_work(self.now)
        self._adapter_mb = reserve_for_adapters(self.engine)
        self._count()

    def _count(self) -> None:
        self._copies = {}
        for runner in self._runners:
            for name in runner.held:
                self._copies[name] = self._copies.get(name, 0) + 1

    def plan(self) -> list[GiveOrder]:
        """Return the orders to give now."""
        orders = self._go_on()
        orders += self._begin_loads()
        if not orders:
            orders += self._fill()
        return orders

    def describe_models(self, most: int) -> list[str]:
        """Return a line for each of the models that are asked for most."""
        work = {name: self._get_work(name) for name in self.engine.models}
        names = sorted(work, key=lambda name: -work[name])[:most]
        return [
            f"{name}: {self._count_copies(name)}/{self._count_wanted(name)}, "
            f"{self._get_requests(name):.1f}/s, {work[name]:.2f}, "
            f"{self._count_waiting(name)}"
            for name in names
        ]

    def _go_on(self) -> list[GiveOrder]:
        """Go on where room was being made for a model."""
        ready = [
            runner
            for runner in self._list_runners()
            if runner.goal and can_order(runner, self.now)
        ]
        # The weight store may allow only some of them.
        ready.sort(key=lambda each: -self._rate_goal(each.goal))
        orders = []
        for runner in ready:
            order = self._step(runner, runner.goal, "room was made for it")
            if order is not None:
                orders.append(order)
        return orders

    def _rate_goal(self, model: str) -> float:
        """Return the requests a second that one more copy of a model serves."""
        copies = self._count_copies(model)
        gain = self._rate_served(model, copies + 1) - self._rate_served(model, copies)
        return gain + self._count_waiting(model) / HOLD_S

    def _begin_loads(self) -> list[GiveOrder]:
        """Begin the loads that bring most for the time that they take a runner."""
        orders = []
        for need in self._list_needs():
            site = self._find_site(self.engine.models[need.model], need.waiting)
            if site is None or site.wait_s > 0:
                # Waiting for a runner that has a copy beats a load from the store.
                continue
            if not self._may_fetch(need.model, site.runner):
                continue
            if need.rare and not self._take_rare_load(need.model, site.runner):
                continue
            loss = sum(self._rate_loss(each, site.runner) for each in site.victims)
            if not need.waiting and SWAP_GAIN * loss > need.gain:
                continue
            site.runner.goal = need.model
            order = self._step(site.runner, need.model, need.reason)
            if order is not None:
                orders.append(order)
        return orders

    def _list_needs(self) -> list[Need]:
        """Return the models that lack a copy, those that lose most first."""
        needs = []
        for model in self.engine.models:
            copies = self._count_copies(model) + self._count_goals(model)
            waits = self._count_waiting(model) if copies == 0 else 0
            if copies >= self._count_wanted(model) and not waits:
                continue
            gain = self._rate_served(model, copies + 1)
            gain += waits / HOLD_S - self._rate_served(model, copies)
            urgency = gain / self._find_load_time(model)
            reason = "it has too few copies" if copies else "nobody holds it"
            rare = self._get_requests(model) < POPULAR_REQUESTS
            needs.append(Need(model, waits, gain, urgency, rare, reason))
        needs.sort(key=lambda each: -each.urgency)
        return needs

    def _may_fetch(self, model: str, runner: RunnerState) -> bool:
        """Return whether a load can follow at once, so that room is to be made for it.

        Where the weight store allows no more loads, a place that was emptied serves
        nobody until it does.
        """
        profile = self.engine.models[model]
        if estimate_load(runner, profile) < profile.load_s:
            return True
        return self.state.get_store_loads(self.service).may_begin(self.engine, self.now)

    def _take_rare_load(self, model: str, runner: RunnerState) -> bool:
        """Return whether a runner may be kept by the load of a rare model.

        A runner takes one order at a time: if rare models kept all of them, a popular
        one would have to wait for the end of a load.
        """
        profile = self.engine.models[model]
        if estimate_load(runner, profile) < profile.load_s:
            return True
        loads = self.state.get_store_loads(self.service)
        limit = max(1, int(RARE_LOAD_SHARE * len(self._list_runners())))
        if loads.count_rare(self.now) >= limit:
            return False
        loads.note_rare(runner.runner_id, self.now + UNLOAD_S + profile.load_s)
        return True

    def _rate_served(self, model: str, copies: int) -> float:
        """Return the requests a second that so many copies serve in time."""
        requests = self._get_requests(model)
        if copies == 0:
            return 0.0
        return requests * min(1.0, copies / max(1.0, self._measure_load(model)))

    def _measure_load(self, model: str) -> float:
        """Return how many copies the reading of a model's prompts takes."""
        return self._get_work(model) / self._copy_work_s

    def _count_wanted(self, model: str) -> int:
        """Return the copies that a model should have by what is asked of it."""
        requests = self._get_requests(model)
        if requests < LEAST_REQUESTS:
            return 0
        wanted = math.ceil(self._measure_load(model))
        if requests > POPULAR_REQUESTS:
            wanted = max(2, wanted)
        if requests * self._find_load_time(model) > AHEAD_LOSS:
            wanted = max(1, wanted)
        elif requests <= POPULAR_REQUESTS:
            # It is loaded when a request waits for it.
            wanted = 0
        return min(wanted, len(self._list_runners()))

    def _find_load_time(self, model: str) -> float:
        profile = self.engine.models[model]
        times = [estimate_load(each, profile) for each in self._list_runners()]
        return min(times, default=profile.load_s)

    def _get_requests(self, model: str) -> float:
        """Return the requests a second that are expected once a load would be over."""
        demand, ahead_s = self.state.demand, self._look_ahead(model)
        return demand.get_requests(self.service, model, self.now, ahead_s)

    def _get_work(self, model: str) -> float:
        """Return the seconds of reading a second that are expected then."""
        demand, ahead_s = self.state.demand, self._look_ahead(model)
        return demand.get_work(self.service, model, self.now, ahead_s)

    def _look_ahead(self, model: str) -> float:
        """Return how far a trend counts; rare models have none."""
        now_rate = self.state.demand.get_requests(self.service, model, self.now)
        profile = self.engine.models.get(model)
        if profile is None or now_rate < POPULAR_REQUESTS:
            return 0.0
        return min(TREND_AHEAD_S, profile.load_s)

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
            copies = self._count_copies(name) + self._count_goals(name)
            if copies and copies >= self._count_wanted(name):
                continue
            value = self._rate_served(name, copies + 1)
            value -= self._rate_served(name, copies)
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
        order = open_order(
            runner,
            load=False,
            model=victims[0],
            reason=f"makes way for {model}",
            waiting=waiting,
            now=self.now,
        )
        self._count()
        return order

    def _load(
        self, runner: RunnerState, profile: ModelProfile, reason: str, waiting: int
    ) -> GiveOrder | None:
        load_s = estimate_load(runner, profile)
        if load_s >= profile.load_s:
            loads = self.state.get_store_loads(self.service)
            if not loads.may_begin(self.engine, self.now):
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
            wait_s = measure_wait(runner, self.engine, self.now)
            if wait_s is None or profile.name in runner.held:
                continue
            victims: tuple[str, ...] = ()
            if not self._fits(runner, profile):
                victims = self._choose_victims(runner, profile)
                if not victims:
                    continue
            loss = sum(self._rate_loss(each, runner) for each in victims)
            ready_s = wait_s + estimate_load(runner, profile)
            cost_s = ready_s * max(1, waiting) + loss * HOLD_S
            cost_s += BUSY_SITE_S * self._measure_busy(runner)
            if best is None or cost_s < best.cost_s:
                best = Site(runner, victims, wait_s, cost_s)
        return best

    def _choose_victims(
        self, runner: RunnerState, profile: ModelProfile
    ) -> tuple[str, ...]:
        """Return the models to unload, least missed first; empty if none may go."""
        candidates = [name for name in runner.held if self._may_go(runner, name)]
        candidates.sort(key=lambda name: self._rate_loss(name, runner))
        needed = profile.weights_mb - measure_free(
            runner, self.engine, self._adapter_mb
        )
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
        """Return the requests a second that are late or lost without a copy."""
        copies = self._count_copies(name)
        if copies > 1:
            lost = self._rate_served(name, copies) - self._rate_served(name, copies - 1)
            spare = copies > self._count_wanted(name)
            return lost if spare else lost + self._get_requests(name) * LAST_PAIR_LOSS
        profile = self.engine.models.get(name)
        if profile is None:
            return 0.0
        return max(self._get_requests(name), IDLE_VALUE * (1 + profile.adapters))

    def _fits(self, runner: RunnerState, profile: ModelProfile) -> bool:
        return measure_free(runner, self.engine, self._adapter_mb) >= profile.weights_mb

    def _count_all_waiting(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for waiting in self.state.waiting.get(self.service, {}).values():
            model = waiting.asked.model
            counts[model] = counts.get(model, 0) + 1
        return counts

    def _measure_busy(self, runner: RunnerState) -> float:
        """Return the share of a runner's time that reading prompts takes."""
        return sum(
            self._get_work(name) / max(1, self._count_copies(name))
            for name in runner.held
        )

    def _count_copies(self, model: str) -> int:
        return self._copies.get(model, 0)

    def _count_goals(self, model: str) -> int:
        """Return the runners that are making room for a model."""
        return sum(1 for each in self._list_runners() if each.goal == model)

    def _count_waiting(self, model: str) -> int:
        return self._waiting.get(model, 0)

    def _list_runners(self) -> list[RunnerState]:
        """Return the runners that can be reached: the others hold nothing of use."""
        return self._runners
