"""Pace of each runner: the time that it takes for the same work as the others.

The pace is a factor on the estimate of the service: 1.2 is a runner that takes a fifth
longer. It is learned from the first events of prompts and from the times between the
events of ended streams. The logarithm of the pace is filtered with a normal prior about
0, so that an estimate from few samples stays near 1.
"""

import math
from typing import Final

from attrs import define, field

from ...models.routing import RoutingTable
from .slot_times import DecayingMean

PRIOR_DEVIATION: Final = 0.3
"""Standard deviation of the logarithm of the pace before any sample. The paces of a
fleet lie between 0.7 and 1.7."""

DRIFT_VARIANCE: Final = 2e-4
"""Variance that the logarithm gains with each sample, so that a lasting change of pace
is followed within some dozens of samples."""

FIRST_EVENT_NOISE_S: Final = 0.012
"""Error of the time to a first event: a step that was under way, and the network."""

FIRST_EVENT_DEVIATION: Final = 0.25
"""Relative error of a prefill time that doesn't depend on the length of the prompt."""

EVENT_DEVIATION: Final = 0.12
"""Relative error of the median time between events. Streams and prompts beside a stream
lengthen its steps."""

MAX_INNOVATION_DEVIATIONS: Final = 2.0
"""Bound of a sample's distance from the estimate, in standard deviations. Samples of
a slow moment, or of an edge whose host was suspended, tell nothing about the pace."""

MIN_EVENTS: Final = 4
"""Events of a stream from which their median time counts."""

MAX_EVENT_S: Final = 2.0
"""Time between events above which a sample is ignored; callers leave after it."""

SLOW_RATIO: Final = 1.7
"""Factor to the expected time, and the least delay, from which a first event shows a
slow moment."""

MIN_SLOW_DELAY_S: Final = 0.03

MAX_SLOW_FACTOR: Final = 3.0
"""Bound of the factor of a slow moment."""

SLOW_S: Final = 0.3
"""Time for which a late first event counts as a sign of a slow moment: half the time
that these moments last. A first event in time ends it at once."""

PRIOR_STEP_S: Final = 0.005
"""Time of a step before any stream has ended."""

PRIOR_TOKENS_PER_EVENT: Final = 8
"""Tokens of an event where the engine's profile doesn't state them."""


@define(eq=False)
class RunnerPace:
    """Pace of one incarnation of a runner."""

    factor: float = 1.0
    """The lasting pace, as a factor on the service's estimate."""

    _log: float = 0.0
    _variance: float = PRIOR_DEVIATION**2
    _slow_factor: float = 1.0
    _slow_until: float = -math.inf
    samples: int = 0

    @property
    def error(self) -> float:
        """Return the relative standard error of the pace."""
        return math.sqrt(self._variance)

    def measure(self, now: float) -> float:
        """Return the pace at a time, with that of a slow moment."""
        if now < self._slow_until:
            return self.factor * self._slow_factor
        return self.factor

    def measure_slow_factor(self, now: float) -> float:
        """Return the factor of a slow moment; 1 if there is none."""
        return self._slow_factor if now < self._slow_until else 1.0

    def add_first_event(
        self, expected_s: float, overhead_s: float, seconds: float, now: float
    ) -> bool:
        """Add the time to a first event; return whether a slow moment begins.

        Args:
            expected_s: Prefill time of the prompt by the service's estimate.
            overhead_s: Expected time from the end of the prefill to the first event.
            seconds: Time from the start of the prefill to the first event.
            now: Time of the first event.
        """
        begins = self._record_slow(expected_s, overhead_s, seconds, now)
        if expected_s <= 0 or now < self._slow_until:
            return begins
        noise = FIRST_EVENT_NOISE_S / expected_s
        ratio = max(0.1, (seconds - overhead_s) / expected_s)
        self._update(ratio, noise**2 + FIRST_EVENT_DEVIATION**2)
        return begins

    def add_event_time(self, ratio: float) -> None:
        """Add the ratio of a stream's median time between events to the service's."""
        if ratio > 0:
            self._update(ratio, EVENT_DEVIATION**2)

    def _record_slow(
        self, expected_s: float, overhead_s: float, seconds: float, now: float
    ) -> bool:
        """Begin or end a slow moment; return whether one begins."""
        usual_s = self.factor * expected_s + overhead_s
        was_slow = now < self._slow_until
        ratio = seconds / max(usual_s, 1e-6)
        if ratio < SLOW_RATIO or seconds - usual_s < MIN_SLOW_DELAY_S:
            self._slow_until = -math.inf
            return False
        self._slow_factor = min(MAX_SLOW_FACTOR, ratio)
        self._slow_until = now + SLOW_S
        return not was_slow

    def _update(self, ratio: float, sample_variance: float) -> None:
        """Move the estimate towards a sample, by their variances."""
        if not math.isfinite(ratio):
            return
        self.samples += 1
        self._variance = min(PRIOR_DEVIATION**2, self._variance + DRIFT_VARIANCE)
        total = self._variance + sample_variance
        bound = MAX_INNOVATION_DEVIATIONS * math.sqrt(total)
        innovation = min(bound, max(-bound, math.log(ratio) - self._log))
        self._log += innovation * self._variance / total
        self.factor = math.exp(self._log)
        self._variance *= sample_variance / total


@define(eq=False)
class ServicePaces:
    """What the paces of a service's runners have in common."""

    pause_objective_s: float = 0.0
    """Longest pause between two events of a stream that is not late."""

    tokens_per_event: int = 0
    _event_s: DecayingMean = field(factory=DecayingMean, init=False)
    slow_moments: int = field(default=0, init=False)
    held_prompts: int = field(default=0, init=False)
    """Prompts that waited so as not to delay running streams."""

    @property
    def event_s(self) -> float:
        """Return the seconds between two events at a runner of pace 1."""
        if self._event_s.count:
            return self._event_s.value
        return PRIOR_STEP_S * (self.tokens_per_event or PRIOR_TOKENS_PER_EVENT)

    def add_event_time(self, pace: RunnerPace, events: int, event_s: float) -> None:
        """Add the median time between the events of a stream that has ended."""
        if events < MIN_EVENTS or not 0 < event_s <= MAX_EVENT_S:
            return
        known = self._event_s.count > 0
        if known:
            event_s = min(4 * self.event_s, max(0.25 * self.event_s, event_s))
            pace.add_event_time(event_s / self.event_s)
        self._event_s.add(event_s)


def find_paced_services(
    table: RoutingTable, known: dict[str, ServicePaces]
) -> dict[str, ServicePaces]:
    """Return the paces of the services whose streams are protected.

    Args:
        table: The configuration.
        known: Paces by service, as they were under the previous configuration.
    """
    paces = {}
    for name, profile in table.services.items():
        if profile.engine is None or not table.protects_streams(name):
            continue
        paces[name] = known.get(name) or ServicePaces()
        paces[name].pause_objective_s = table.get_pause_objective_s(name)
        paces[name].tokens_per_event = profile.engine.tokens_per_event
    return paces
