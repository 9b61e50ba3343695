"""Where a model could be loaded: what each runner offers, and what has to go."""

from attrs import define, field, frozen

from ...models.routing import EngineProfile, ModelProfile
from .appraisal import Appraisal
from .const import BUSY_SITE_S, HOLD_S, MIN_RESIDENCE_S
from .loads import estimate_load, measure_free, measure_wait, reserve_for_adapters
from .runners import RunnerState


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


@define(eq=False)
class SiteBook:
    """The offers of a service's runners at one moment, made when first asked for."""

    engine: EngineProfile
    appraisal: Appraisal
    now: float
    _adapter_mb: float = field(init=False)
    """Memory that is kept free for adapters on each runner."""

    _offers: dict[str, Offer] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self._adapter_mb = reserve_for_adapters(self.engine)

    def note_changed(self, runner: RunnerState) -> None:
        """Make a runner's offer anew, since it was ordered or is to be."""
        self._offers.pop(runner.runner_id, None)

    def note_unloaded(self) -> None:
        """Make all offers anew, since a copy goes: the others are worth more."""
        self._offers.clear()

    def find(self, profile: ModelProfile, waiting: int) -> Site | None:
        """Return the runner where a load costs least; None if there is none."""
        best: Site | None = None
        for runner in self.appraisal.runners:
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

    def fits(self, runner: RunnerState, profile: ModelProfile) -> bool:
        """Return whether a model has room on a runner as it is."""
        return self.measure_free(runner) >= profile.weights_mb

    def list_victims(
        self, runner: RunnerState, profile: ModelProfile
    ) -> tuple[Victim, ...] | None:
        """Return the models to unload for another; None if there would not be room."""
        return _choose_victims(self._get_offer(runner), profile)

    def measure_free(self, runner: RunnerState) -> float:
        """Return the memory of a runner that is free for models, in MB."""
        return measure_free(runner, self.engine, self._adapter_mb)

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
            Victim(self.appraisal.rate_loss(name), name, self._get_weights(name))
            for name in runner.held
            if self._may_go(runner, name)
        ]
        victims.sort(key=lambda each: each.loss)
        return Offer(
            wait_s=wait_s,
            free_mb=self.measure_free(runner),
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
        if self.appraisal.count_copies(name) > 1:
            return True
        return self.appraisal.count_waiting(name) == 0

    def _measure_busy(self, runner: RunnerState) -> float:
        """Return the share of a runner's time that reading prompts takes."""
        return sum(
            self.appraisal.get_work(name) / max(1, self.appraisal.count_copies(name))
            for name in runner.held
        )


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
