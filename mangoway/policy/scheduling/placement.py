"""Which models the runners hold, where more are offered than have room.

Answers the load of a long tail: few models get most requests, many get few, and which
do so changes within seconds. A model that nobody holds is loaded when a request waits
for it, in place of the copy that is missed least. Popular models get further copies, by
the time that reading their prompts takes.
"""

from attrs import define, field, frozen

from ...models.routing import EngineProfile, ModelProfile
from .appraisal import Appraisal
from .const import (
    FILLS_A_PLAN,
    HOLD_S,
    NEEDS_A_PLAN,
    POPULAR_REQUESTS,
    RARE_LOAD_SHARE,
    SWAP_GAIN,
    UNLOAD_S,
)
from .events import SendOrder
from .loads import estimate_load
from .orders import can_order, open_order
from .runners import RunnerState
from .sites import SiteBook
from .state import SchedulingState


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
    """The runners that can be relied on: what the others hold is no copy to count."""

    _appraisal: Appraisal = field(init=False)
    _sites: SiteBook = field(init=False)
    _goals: dict[str, int] = field(factory=dict, init=False)
    """Runners that are making room for each model."""

    def __attrs_post_init__(self) -> None:
        self._runners = self.state.list_relied(self.service, self.now)
        self._appraisal = Appraisal(
            self.state, self.service, self.engine, self._runners, self.now
        )
        self._sites = SiteBook(self.engine, self._appraisal, self.now)
        for runner in self._runners:
            if runner.goal:
                self._goals[runner.goal] = self._goals.get(runner.goal, 0) + 1

    def plan(self) -> list[SendOrder]:
        """Return the orders to give now."""
        orders = self._go_on()
        orders += self._begin_loads()
        if not orders:
            orders += self._fill()
        return orders

    def describe_models(self, most: int) -> list[str]:
        """Return a line for each of the models that are asked for most."""
        known = self._appraisal
        work = {name: known.get_work(name) for name in self.engine.models}
        names = sorted(work, key=lambda name: -work[name])[:most]
        return [
            f"{name}: {known.count_copies(name)}/{known.count_wanted(name)}, "
            f"{known.get_requests(name):.1f}/s, {work[name]:.2f}, "
            f"{known.count_waiting(name)}"
            for name in names
        ]

    def _go_on(self) -> list[SendOrder]:
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
        copies = self._appraisal.count_copies(model)
        gain = self._appraisal.rate_gain(model, copies)
        return gain + self._appraisal.count_waiting(model) / HOLD_S

    def _begin_loads(self) -> list[SendOrder]:
        """Begin the loads that bring most for the time that they take a runner."""
        orders: list[SendOrder] = []
        if not any(can_order(each, self.now) for each in self._runners):
            return orders
        for need in self._list_needs()[:NEEDS_A_PLAN]:
            site = self._sites.find(self.engine.models[need.model], need.waiting)
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
        for model in self._appraisal.list_candidates():
            copies = self._appraisal.count_copies(model) + self._goals.get(model, 0)
            waits = self._appraisal.count_waiting(model) if copies == 0 else 0
            if copies >= self._appraisal.count_wanted(model) and not waits:
                continue
            gain = self._appraisal.rate_gain(model, copies) + waits / HOLD_S
            urgency = gain / self._appraisal.find_load_time(model)
            reason = "it has too few copies" if copies else "nobody holds it"
            rare = self._appraisal.get_requests(model) < POPULAR_REQUESTS
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
        limit = max(1, int(RARE_LOAD_SHARE * len(self._runners)))
        if loads.count_rare(self.now) >= limit:
            return False
        loads.note_rare(runner.runner_id, self.now + UNLOAD_S + profile.load_s)
        return True

    def _fill(self) -> list[SendOrder]:
        """Use room that is free, as after a runner's restart, for what is missing."""
        orders: list[SendOrder] = []
        smallest_mb = min(
            (each.weights_mb for each in self.engine.models.values()), default=0.0
        )
        looks = 0
        for runner in self._runners:
            if runner.goal or not can_order(runner, self.now):
                continue
            if self._sites.measure_free(runner) < smallest_mb:
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
            if name in runner.held or not self._sites.fits(runner, profile):
                continue
            copies = self._appraisal.count_copies(name) + self._goals.get(name, 0)
            if copies and copies >= self._appraisal.count_wanted(name):
                continue
            value = self._appraisal.rate_gain(name, copies)
            if best is None or value > best[0]:
                best = (value, name)
        return None if best is None else best[1]

    def _step(self, runner: RunnerState, model: str, reason: str) -> SendOrder | None:
        """Return the next order on the way to a model on a runner."""
        profile = self.engine.models.get(model)
        if profile is None or model in runner.held:
            self._set_goal(runner, "")
            return None
        waiting = self._appraisal.count_waiting(model)
        if self._sites.fits(runner, profile):
            return self._load(runner, profile, reason, waiting)
        victims = self._sites.list_victims(runner, profile)
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
        self._appraisal.note_ordered(victims[0].model)
        self._sites.note_unloaded()
        return order

    def _set_goal(self, runner: RunnerState, model: str) -> None:
        if runner.goal:
            self._goals[runner.goal] -= 1
        if model:
            self._goals[model] = self._goals.get(model, 0) + 1
        runner.goal = model
        self._sites.note_changed(runner)

    def _load(
        self, runner: RunnerState, profile: ModelProfile, reason: str, waiting: int
    ) -> SendOrder | None:
        load_s = estimate_load(runner, profile)
        if load_s >= profile.load_s:
            loads = self.state.get_store_loads(self.service)
            if not loads.may_begin(self.engine, self.now):
                return None
            loads.note(self.now, self.now + load_s)
        self._sites.note_changed(runner)
        return open_order(
            runner,
            load=True,
            model=profile.name,
            reason=reason,
            waiting=waiting,
            now=self.now,
        )
