"""Plans which models the runners hold when more are offered than fit.

Demand has a long tail: few models receive most requests, many receive few, and which
ones changes within seconds. A model without a copy is loaded when a request waits for
it, in place of the copy with the smallest loss. Popular models have more copies, in
proportion to the prefill time of their prompts.
"""

from attrs import define, field, frozen

from ...models.routing import EngineProfile, ModelProfile
from .const import (
    MAX_FILLS_PER_PLAN,
    MAX_NEEDS_PER_PLAN,
    MAX_RARE_LOAD_SHARE,
    MIN_DRAIN_GAIN,
    MIN_SWAP_GAIN_FACTOR,
    PLANNING_HORIZON_S,
    POPULAR_REQUESTS_PER_S,
    UNLOAD_S,
)
from .copy_valuation import CopyValuation
from .events import SendOrder
from .load_candidates import LoadCandidate, LoadCandidates
from .loads import estimate_load_s
from .orders import can_order, create_order
from .runners import RunnerState
from .state import SchedulingState


@frozen
class Need:
    """A model that lacks a copy."""

    model: str
    waiting: int
    """Requests that wait for it; 0 if it has a copy or is about to be loaded."""

    gain: float
    """Further requests per second that are served in time with one more copy."""

    urgency: float
    """Gain per second of load time."""

    rare: bool
    """Whether it receives few requests."""

    lacks_most: bool
    """Whether it has fewer than half of the copies that it should have."""

    reason: str


@define(eq=False)
class PlacementPlanner:
    """Plans the models of one service at one moment."""

    state: SchedulingState
    service: str
    engine: EngineProfile
    now: float
    _runners: list[RunnerState] = field(init=False)
    """The reliable runners; copies on other runners aren't counted."""

    _valuation: CopyValuation = field(init=False)
    _candidates: LoadCandidates = field(init=False)
    _targets: dict[str, int] = field(factory=dict, init=False)
    """Number of runners that free memory for each model."""

    def __attrs_post_init__(self) -> None:
        self._runners = self.state.list_reliable(self.service, self.now)
        self._valuation = CopyValuation(
            self.state, self.service, self.engine, self._runners, self.now
        )
        self._candidates = LoadCandidates(self.engine, self._valuation, self.now)
        for runner in self._runners:
            if runner.target_model:
                self._targets[runner.target_model] = (
                    self._targets.get(runner.target_model, 0) + 1
                )

    def plan(self) -> list[SendOrder]:
        """Return the orders to send now."""
        orders = self._continue_targets()
        orders += self._start_loads()
        if not orders:
            orders += self._fill_free_memory()
        return orders

    def describe_models(self, max_models: int) -> list[str]:
        """Return a line for each of the models with most prefill load."""
        valuation = self._valuation
        work = {name: valuation.get_prefill_load(name) for name in self.engine.models}
        names = sorted(work, key=lambda name: -work[name])[:max_models]
        return [
            f"{name}: {valuation.count_copies(name)}/"
            f"{valuation.count_desired_copies(name)}, "
            f"{valuation.get_request_rate(name):.1f}/s, {work[name]:.2f}, "
            f"{valuation.count_waiting(name)}"
            for name in names
        ]

    def _continue_targets(self) -> list[SendOrder]:
        """Return the next orders of the runners that have a target model."""
        ready = [
            runner
            for runner in self._runners
            if runner.target_model and can_order(runner, self.now)
        ]
        # The weight store may allow only some of the loads.
        ready.sort(key=lambda each: -self._estimate_target_gain(each.target_model))
        orders = []
        for runner in ready:
            order = self._create_next_order(
                runner, runner.target_model, "memory was freed for it"
            )
            if order is not None:
                orders.append(order)
        return orders

    def _estimate_target_gain(self, model: str) -> float:
        """Return the requests per second that one more copy of a model serves."""
        copies = self._valuation.count_copies(model)
        gain = self._valuation.estimate_gain(model, copies)
        return gain + self._valuation.weigh_waiting(model) / PLANNING_HORIZON_S

    def _start_loads(self) -> list[SendOrder]:
        """Start the loads with the largest gain per load time."""
        orders: list[SendOrder] = []
        if not any(can_order(each, self.now) for each in self._runners):
            return orders
        for need in self._list_needs()[:MAX_NEEDS_PER_PLAN]:
            candidate = self._candidates.find_best(
                self.engine.models[need.model], need.waiting
            )
            drains = False
            if candidate is None or candidate.wait_s > 0:
                # Waiting for a runner with a local copy is faster than a load from the
                # store, unless every runner is in use.
                candidate, drains = self._find_drainable(need), True
            if candidate is None:
                continue
            if not self._can_fetch(need.model, candidate.runner):
                continue
            if need.rare and not self._reserve_rare_load(need.model, candidate.runner):
                continue
            if not need.waiting and MIN_SWAP_GAIN_FACTOR * candidate.loss > need.gain:
                continue
            self._set_target(candidate.runner, need.model)
            order = self._create_next_order(
                candidate.runner, need.model, need.reason, drains=drains
            )
            if order is not None:
                orders.append(order)
        return orders

    def _find_drainable(self, need: Need) -> LoadCandidate | None:
        """Return the best runner that can evict a model in use for a needed one.

        While all room is in use, no idle model remains to be evicted, and a popular
        model that has lost its copies would stay without one.
        """
        if not self._valuation.defers or not need.lacks_most:
            return None
        if need.gain < MIN_DRAIN_GAIN:
            return None
        profile = self.engine.models[need.model]
        candidate = self._candidates.find_best(profile, need.waiting, drains=True)
        if candidate is None or MIN_SWAP_GAIN_FACTOR * candidate.loss > need.gain:
            return None
        return candidate

    def _list_needs(self) -> list[Need]:
        """Return the models that lack a copy, most urgent first."""
        needs = []
        for model in self._valuation.list_candidates():
            copies = self._valuation.count_copies(model) + self._targets.get(model, 0)
            waits = self._valuation.count_waiting(model) if copies == 0 else 0
            if copies >= self._valuation.count_desired_copies(model) and not waits:
                continue
            weight = self._valuation.weigh_waiting(model) if waits else 0.0
            gain = (
                self._valuation.estimate_gain(model, copies)
                + weight / PLANNING_HORIZON_S
            )
            urgency = gain / self._valuation.get_load_s(model)
            reason = "it has too few copies" if copies else "no runner holds it"
            rare = self._valuation.get_request_rate(model) < POPULAR_REQUESTS_PER_S
            lacks_most = 2 * copies < self._valuation.count_desired_copies(model)
            needs.append(Need(model, waits, gain, urgency, rare, lacks_most, reason))
        needs.sort(key=lambda each: -each.urgency)
        return needs

    def _can_fetch(self, model: str, runner: RunnerState) -> bool:
        """Return whether a load can follow at once, so that memory may be freed for it.

        If the weight store allows no more loads, freed memory is of no use until it
        does.
        """
        profile = self.engine.models[model]
        if estimate_load_s(runner, profile) < profile.load_s:
            return True
        return self.state.get_store_loads(self.service).can_start(self.engine, self.now)

    def _reserve_rare_load(self, model: str, runner: RunnerState) -> bool:
        """Reserve a runner for the load of a rare model; return whether it is allowed.

        A runner accepts one order at a time. If loads of rare models occupied all
        runners, a popular model would have to wait for the end of a load.
        """
        profile = self.engine.models[model]
        if estimate_load_s(runner, profile) < profile.load_s:
            return True
        loads = self.state.get_store_loads(self.service)
        limit = max(1, int(MAX_RARE_LOAD_SHARE * len(self._runners)))
        if loads.count_rare_loads(self.now) >= limit:
            return False
        loads.record_rare_load(runner.runner_id, self.now + UNLOAD_S + profile.load_s)
        return True

    def _fill_free_memory(self) -> list[SendOrder]:
        """Load missing models into free memory, such as after a runner's restart."""
        orders: list[SendOrder] = []
        smallest_mb = min(
            (each.weights_mb for each in self.engine.models.values()), default=0.0
        )
        examined = 0
        for runner in self._runners:
            if runner.target_model or not can_order(runner, self.now):
                continue
            if self._candidates.measure_free_mb(runner) < smallest_mb:
                continue
            examined += 1
            model = self._choose_fill_model(runner)
            if model is not None:
                self._set_target(runner, model)
                order = self._create_next_order(runner, model, "memory is free")
                orders += [] if order is None else [order]
            if examined == MAX_FILLS_PER_PLAN:
                break
        return orders

    def _choose_fill_model(self, runner: RunnerState) -> str | None:
        best: tuple[float, str] | None = None
        for name, profile in self.engine.models.items():
            if name in runner.models or not self._candidates.fits(runner, profile):
                continue
            copies = self._valuation.count_copies(name) + self._targets.get(name, 0)
            if copies and copies >= self._valuation.count_desired_copies(name):
                continue
            value = self._valuation.estimate_gain(name, copies)
            if best is None or value > best[0]:
                best = (value, name)
        return None if best is None else best[1]

    def _create_next_order(
        self, runner: RunnerState, model: str, reason: str, *, drains: bool = False
    ) -> SendOrder | None:
        """Return the next order towards loading a model on a runner."""
        profile = self.engine.models.get(model)
        if profile is None or model in runner.models:
            self._set_target(runner, "")
            return None
        waiting = self._valuation.count_waiting(model)
        if self._candidates.fits(runner, profile):
            return self._load(runner, profile, reason, waiting)
        victims = self._candidates.list_victims(runner, profile, drains=drains)
        if not victims:
            self._set_target(runner, "")
            return None
        order = create_order(
            runner,
            load=False,
            model=victims[0].model,
            reason=f"evicted {'in use ' if victims[0].drain_s else ''}for {model}",
            waiting=waiting,
            now=self.now,
        )
        self._valuation.invalidate_copies(victims[0].model)
        self._candidates.invalidate_all()
        return order

    def _set_target(self, runner: RunnerState, model: str) -> None:
        if runner.target_model:
            self._targets[runner.target_model] -= 1
        if model:
            self._targets[model] = self._targets.get(model, 0) + 1
        runner.target_model = model
        self._candidates.invalidate(runner)

    def _load(
        self, runner: RunnerState, profile: ModelProfile, reason: str, waiting: int
    ) -> SendOrder | None:
        load_s = estimate_load_s(runner, profile)
        if load_s >= profile.load_s:
            loads = self.state.get_store_loads(self.service)
            if not loads.can_start(self.engine, self.now):
                return None
            loads.record_load(self.now, self.now + load_s)
        self._candidates.invalidate(runner)
        return create_order(
            runner,
            load=True,
            model=profile.name,
            reason=reason,
            waiting=waiting,
            now=self.now,
        )
