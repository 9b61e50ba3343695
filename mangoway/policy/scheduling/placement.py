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
    FILLS_A_PLAN,
    HOLD_S,
    IDLE_VALUE,
    LAST_PAIR_LOSS,
    LEAST_COPY_REQUESTS,
    LEAST_REQUESTS,
    MIN_RESIDENCE_S,
    NEEDS_A_PLAN,
    POPULAR_REQUESTS,
    RARE_LOAD_SHARE,
    SWAP_GAIN,
    TREND_AHEAD_S,
    UNLOAD_S,
)
from .copies import CopyIndex
from .events import GiveOrder
from .loads import estimate_load, measure_free, measure_wait, reserve_for_adapters
from .orders import can_order, open_order
from .queue import ServiceQueue
from .runners import RunnerState
from .state import SchedulingState


@frozen
class Site:
    """A runner that could take a model, and what has to go for it."""

    runner: RunnerState
    loss: float
    """Requests a second that are late or lost without what has to go."""

    wait_s: float
    """Time until it can be ordered."""

    cost_s: float
    """Time until the model is there, and the loss of the victims in the same unit."""


@frozen
class Victim:
    """A model that may go from a runner."""

    loss: float
    """Requests a second that are late or lost without this copy."""

    model: str
    weights_mb: float


@frozen
class Offer:
    """What a runner can give to a model, as long as it isn't ordered."""

    wait_s: float | None
    """Time until it can be ordered; None if that is not known."""

    free_mb: float
    victims: tuple[Victim, ...]
    """Models that may go, least missed first."""

    busy_s: float
    """What its load adds to the cost of a site there, in seconds."""


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
    """The runners that can be reached: the others hold nothing of use."""

    _reachable: dict[str, RunnerState] = field(init=False)
    _queue: ServiceQueue = field(init=False)
    _index: CopyIndex = field(init=False)
    _adapter_mb: float = field(init=False)
    """Memory that is kept free for adapters on each runner."""

    _copy_work_s: float = field(init=False)
    """Seconds of reading a second that one copy of a model is to take."""

    _goals: dict[str, int] = field(factory=dict, init=False)
    """Runners that are making room for each model."""

    _requests: dict[str, float] = field(factory=dict, init=False)
    _work: dict[str, float] = field(factory=dict, init=False)
    """Demand of each model that was looked at."""

    _copies: dict[str, int] = field(factory=dict, init=False)
    """Copies of each model that was looked at; an order changes them."""

    _offers: dict[str, Offer] = field(factory=dict, init=False)
    """Offers of the runners that were looked at; an order changes them."""

    def __attrs_post_init__(self) -> None:
        state, service = self.state, self.service
        self._runners = state.list_usable(service, self.now)
        self._reachable = {each.runner_id: each for each in self._runners}
        self._queue = state.get_queue(service)
        self._index = state.get_copies(service)
        self._copy_work_s = state.get_gaps(service).choose_copy_work(self.now)
        self._adapter_mb = reserve_for_adapters(self.engine)
        for runner in self._runners:
            if runner.goal:
                self._goals[runner.goal] = self._goals.get(runner.goal, 0) + 1

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
            for runner in self._runners
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
        orders: list[GiveOrder] = []
        if not any(can_order(each, self.now) for each in self._runners):
            return orders
        for need in self._list_needs()[:NEEDS_A_PLAN]:
            site = self._find_site(self.engine.models[need.model], need.waiting)
            if site is None or site.wait_s > 0:
                # Waiting for a runner that has a copy beats a load from the store.
                continue
            if not self._may_fetch(need.model, site.runner):
                continue
            if need.rare and not self._take_rare_load(need.model, site.runner):
                continue
            if not need.waiting and SWAP_GAIN * site.loss > need.gain:
                continue
            self._set_goal(site.runner, need.model)
            order = self._step(site.runner, need.model, need.reason)
            if order is not None:
                orders.append(order)
        return orders

    def _list_needs(self) -> list[Need]:
        """Return the models that lack a copy, those that lose most first."""
        needs = []
        for model in self._list_candidates():
            copies = self._count_copies(model) + self._goals.get(model, 0)
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

    def _list_candidates(self) -> list[str]:
        """Return the models that may lack a copy: what waits and what is asked for."""
        models = self.engine.models
        candidates = {
            name: None for name in self._queue.list_models() if name in models
        }
        for name in self.state.demand.list_models(
            self.service, LEAST_COPY_REQUESTS, self.now
        ):
            if name in models:
                candidates[name] = None
        return list(candidates)

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
        limit = max(1, int(RARE_LOAD_SHARE * len(self._runners)))
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
        return min(wanted, len(self._runners))

    def _find_load_time(self, model: str) -> float:
        """Return the time of a load from the nearest copy that any runner has."""
        profile = self.engine.models[model]
        if self._index.in_host_memory.get(model):
            return profile.memory_load_s
        if self._index.on_disk.get(model):
            return profile.disk_load_s
        return profile.load_s

    def _get_requests(self, model: str) -> float:
        """Return the requests a second that are expected once a load would be over."""
        known = self._requests.get(model)
        if known is None:
            demand, ahead_s = self.state.demand, self._look_ahead(model)
            known = demand.get_requests(self.service, model, self.now, ahead_s)
            self._requests[model] = known
        return known

    def _get_work(self, model: str) -> float:
        """Return the seconds of reading a second that are expected then."""
        known = self._work.get(model)
        if known is None:
            demand, ahead_s = self.state.demand, self._look_ahead(model)
            known = demand.get_work(self.service, model, self.now, ahead_s)
            self._work[model] = known
        return known

    def _look_ahead(self, model: str) -> float:
        """Return how far a trend counts; rare models have none."""
        now_rate = self.state.demand.get_requests(self.service, model, self.now)
        profile = self.engine.models.get(model)
        if profile is None or now_rate < POPULAR_REQUESTS:
            return 0.0
        return min(TREND_AHEAD_S, profile.load_s)

    def _fill(self) -> list[GiveOrder]:
        """Use room that is free, as after a runner's restart, for what is missing."""
        orders: list[GiveOrder] = []
        smallest_mb = min(
            (each.weights_mb for each in self.engine.models.values()), default=0.0
        )
        looks = 0
        for runner in self._runners:
            if runner.goal or not can_order(runner, self.now):
                continue
            if self._measure_free(runner) < smallest_mb:
                continue
            looks += 1
            model = self._choose_filler(runner)
            if model is not None:
                self._set_goal(runner, model)
                order = self._step(runner, model, "there is room")
                orders += [] if order is None else [order]
            if looks == FILLS_A_PLAN:
                break
        return orders

    def _choose_filler(self, runner: RunnerState) -> str | None:
        best: tuple[float, str] | None = None
        for name, profile in self.engine.models.items():
            if name in runner.held or not self._fits(runner, profile):
                continue
            copies = self._count_copies(name) + self._goals.get(name, 0)
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
            self._set_goal(runner, "")
            return None
        waiting = self._count_waiting(model)
        if self._fits(runner, profile):
            return self._load(runner, profile, reason, waiting)
        victims = _choose_victims(self._get_offer(runner), profile)
        if not victims:
            self._set_goal(runner, "")
            return None
        order = open_order(
            runner,
            load=False,
            model=victims[0].model,
            reason=f"makes way for {model}",
            waiting=waiting,
            now=self.now,
        )
        self._copies.pop(victims[0].model, None)
        self._offers.clear()
        return order

    def _set_goal(self, runner: RunnerState, model: str) -> None:
        if runner.goal:
            self._goals[runner.goal] -= 1
        if model:
            self._goals[model] = self._goals.get(model, 0) + 1
        runner.goal = model

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
        for runner in self._runners:
            offer = self._get_offer(runner)
            if offer.wait_s is None or profile.name in runner.held:
                continue
            victims = _choose_victims(offer, profile)
            if victims is None:
                continue
            loss = sum(each.loss for each in victims)
            ready_s = offer.wait_s + estimate_load(runner, profile)
            cost_s = ready_s * max(1, waiting) + loss * HOLD_S + offer.busy_s
            if best is None or cost_s < best.cost_s:
                best = Site(runner, loss, offer.wait_s, cost_s)
        return best

    def _get_offer(self, runner: RunnerState) -> Offer:
        offer = self._offers.get(runner.runner_id)
        if offer is None:
            offer = self._offers[runner.runner_id] = self._make_offer(runner)
        return offer

    def _make_offer(self, runner: RunnerState) -> Offer:
        wait_s = measure_wait(runner, self.engine, self.now)
        if wait_s is None:
            return Offer(None, 0.0, (), 0.0)
        victims = [
            Victim(self._rate_loss(name), name, self._get_weights(name))
            for name in runner.held
            if self._may_go(runner, name)
        ]
        victims.sort(key=lambda each: each.loss)
        return Offer(
            wait_s=wait_s,
            free_mb=self._measure_free(runner),
            victims=tuple(victims),
            busy_s=BUSY_SITE_S * self._measure_busy(runner),
        )

    def _get_weights(self, name: str) -> float:
        model = self.engine.models.get(name)
        return 0.0 if model is None else model.weights_mb

    def _may_go(self, runner: RunnerState, name: str) -> bool:
        held = runner.held[name]
        if held.loaded_at + MIN_RESIDENCE_S > self.now and held.loaded_at > 0:
            return False
        if runner.is_used(name):
            return False
        return self._count_waiting(name) == 0 or self._count_copies(name) > 1

    def _rate_loss(self, name: str) -> float:
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
        return self._measure_free(runner) >= profile.weights_mb

    def _measure_free(self, runner: RunnerState) -> float:
        return measure_free(runner, self.engine, self._adapter_mb)

    def _measure_busy(self, runner: RunnerState) -> float:
        """Return the share of a runner's time that reading prompts takes."""
        return sum(
            self._get_work(name) / max(1, self._count_copies(name))
            for name in runner.held
        )

    def _count_copies(self, model: str) -> int:
        known = self._copies.get(model)
        if known is None:
            holders = self._index.held.get(model)
            known = sum(1 for each in holders if each in self._reachable)
            self._copies[model] = known
        return known

    def _count_waiting(self, model: str) -> int:
        return self._queue.count_model(model)


def _choose_victims(offer: Offer, profile: ModelProfile) -> tuple[Victim, ...] | None:
    """Return the models to unload for another; None if there would not be room."""
    needed_mb = profile.weights_mb - offer.free_mb
    count = 0
    while needed_mb > 0:
        if count == len(offer.victims):
            return None
        needed_mb -= offer.victims[count].weights_mb
        count += 1
    return offer.victims[:count]
