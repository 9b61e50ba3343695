"""What copies of a service's models are worth, and how many each should have.

Everything is worked out once for a moment, when it is first asked for: a plan asks the
same of a model for each runner that might hold it.
"""

import math

from attrs import define, field

from ...models.routing import EngineProfile
from .const import (
    AHEAD_LOSS,
    COPY_SLOTS_USED,
    IDLE_VALUE,
    LAST_PAIR_LOSS,
    LEAST_COPY_REQUESTS,
    LEAST_REQUESTS,
    POPULAR_REQUESTS,
    TREND_AHEAD_S,
)
from .copies import CopyIndex
from .queue import ServiceQueue
from .runners import RunnerState
from .state import SchedulingState
from .stays import Stays


@define(eq=False)
class Appraisal:
    """The models of one service at one moment."""

    state: SchedulingState
    service: str
    engine: EngineProfile
    runners: list[RunnerState]
    """The runners that can be reached: the others hold nothing of use."""

    now: float
    _reachable: frozenset[str] = field(init=False)
    _queue: ServiceQueue = field(init=False)
    _index: CopyIndex = field(init=False)
    _stays: Stays = field(init=False)
    _copy_work_s: float = field(init=False)
    """Seconds of reading a second that one copy of a model is to take."""

    _requests: dict[str, float] = field(factory=dict, init=False)
    _work: dict[str, float] = field(factory=dict, init=False)
    _copies: dict[str, int] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        state, service = self.state, self.service
        self._reachable = frozenset(each.runner_id for each in self.runners)
        self._queue = state.get_queue(service)
        self._index = state.get_copies(service)
        self._stays = state.get_stays(service)
        self._copy_work_s = state.get_gaps(service).choose_copy_work(self.now)

    def note_ordered(self, model: str) -> None:
        """Count the copies of a model anew, since one of them is to go."""
        self._copies.pop(model, None)

    def list_candidates(self) -> list[str]:
        """Return the models that may lack a copy: what waits and what is asked for."""
        names = dict.fromkeys(self._queue.list_models())
        asked_for = self.state.demand.list_models(
            self.service, LEAST_COPY_REQUESTS, self.now
        )
        names.update(dict.fromkeys(asked_for))
        return [name for name in names if name in self.engine.models]

    def rate_served(self, model: str, copies: int) -> float:
        """Return the requests a second that so many copies serve in time."""
        requests = self.get_requests(model)
        if copies == 0:
            return 0.0
        return requests * min(1.0, copies / max(1.0, self.measure_load(model)))

    def rate_gain(self, model: str, copies: int) -> float:
        """Return the requests a second that one more copy serves in time."""
        return self.rate_served(model, copies + 1) - self.rate_served(model, copies)

    def measure_load(self, model: str) -> float:
        """Return how many copies a model's prompts and streams take."""
        reading = self.get_work(model) / self._copy_work_s
        slots_s = self.get_requests(model) * self._stays.estimate(model)
        return max(reading, slots_s / (COPY_SLOTS_USED * self.engine.slots))

    def count_wanted(self, model: str) -> int:
        """Return the copies that a model should have by what is asked of it."""
        requests = self.get_requests(model)
        if requests < LEAST_REQUESTS:
            return 0
        wanted = math.ceil(self.measure_load(model))
        if requests > POPULAR_REQUESTS:
            wanted = max(2, wanted)
        if requests * self.find_load_time(model) > AHEAD_LOSS:
            wanted = max(1, wanted)
        elif requests <= POPULAR_REQUESTS:
            # It is loaded when a request waits for it.
            wanted = 0
        return min(wanted, len(self.runners))

    def find_load_time(self, model: str) -> float:
        """Return the time of a load from the nearest copy that any runner has."""
        profile = self.engine.models[model]
        if self._index.in_host_memory.get(model):
            return profile.memory_load_s
        if self._index.on_disk.get(model):
            return profile.disk_load_s
        return profile.load_s

    def get_requests(self, model: str) -> float:
        """Return the requests a second that are expected once a load would be over."""
        known = self._requests.get(model)
        if known is None:
            demand, ahead_s = self.state.demand, self._look_ahead(model)
            known = demand.get_requests(self.service, model, self.now, ahead_s)
            self._requests[model] = known
        return known

    def get_work(self, model: str) -> float:
        """Return the seconds of reading a second that are expected then."""
        known = self._work.get(model)
        if known is None:
            demand, ahead_s = self.state.demand, self._look_ahead(model)
            known = demand.get_work(self.service, model, self.now, ahead_s)
            self._work[model] = known
        return known

    def rate_loss(self, name: str) -> float:
        """Return the requests a second that are late or lost without a copy."""
        copies = self.count_copies(name)
        if copies > 1:
            lost = self.rate_served(name, copies) - self.rate_served(name, copies - 1)
            spare = copies > self.count_wanted(name)
            return lost if spare else lost + self.get_requests(name) * LAST_PAIR_LOSS
        profile = self.engine.models.get(name)
        if profile is None:
            return 0.0
        return max(self.get_requests(name), IDLE_VALUE * (1 + profile.adapters))

    def count_copies(self, model: str) -> int:
        """Return the runners that hold a model or are loading it."""
        known = self._copies.get(model)
        if known is None:
            holders = self._index.held.get(model)
            known = sum(1 for each in holders if each in self._reachable)
            self._copies[model] = known
        return known

    def count_waiting(self, model: str) -> int:
        """Return the requests that wait for a model."""
        return self._queue.count_model(model)

    def _look_ahead(self, model: str) -> float:
        """Return how far a trend counts; rare models have none."""
        now_rate = self.state.demand.get_requests(self.service, model, self.now)
        profile = self.engine.models.get(model)
        if profile is None or now_rate < POPULAR_REQUESTS:
            return 0.0
        return min(TREND_AHEAD_S, profile.load_s)
