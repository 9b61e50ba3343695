"""Requests whose placement can be deferred when models compete for room.

A patient request may wait for seconds and still be on time, a live one may not wait for
a load at all. In a shortage of room, a patient request that waits for a rare model must
therefore neither load that model before one that live requests ask for, nor keep it in
memory. It counts for a share, so that it is served as soon as room is left, and in full
when its objective allows no further delay.
"""

from typing import Final

from attrs import define, field

from ...models.routing import ModelProfile, RoutingTable
from .demand import Demand
from .events import GrantRequest

DEFERRABLE_WEIGHT: Final = 0.2
"""Weight of a deferrable request in the value of a copy. Five patient callers who wait
a few seconds longer, and are still on time, lose less than one live caller who is
rejected."""

MIN_SLACK_LOADS: Final = 1.5
"""Loads from the weight store that must fit before the objective of a deferrable
request: the load itself, and half of another one that occupies the runner first."""


def defers_placement(
    table: RoutingTable | None, service: str, *, enabled: bool
) -> bool:
    """Return whether patient requests of a service are deferred in the placement.

    It is used where live streams can't be resumed, so that a rejection loses them.

    Args:
        table: The configuration; None if it is unknown.
        service: Name of the service.
        enabled: Whether the settings allow it.
    """
    return enabled and table is not None and table.protects_streams(service)


def is_deferrable(grant_request: GrantRequest, profile: ModelProfile | None) -> bool:
    """Return whether a request can wait for other loads and still be on time."""
    if profile is None:
        return False
    return grant_request.objective_left_s > MIN_SLACK_LOADS * profile.load_s


@define(eq=False)
class DeferrableDemand:
    """Deferrable requests per second, by service and model."""

    _rates: dict[tuple[str, str], Demand] = field(factory=dict, init=False)

    def record_request(self, service: str, model: str, now: float) -> None:
        """Record a deferrable request."""
        rate = self._rates.get((service, model))
        if rate is None:
            rate = self._rates[(service, model)] = Demand()
        rate.add(1.0, now)

    def get_rate(self, service: str, model: str, now: float) -> float:
        """Return the deferrable requests per second for a model."""
        rate = self._rates.get((service, model))
        return 0.0 if rate is None else rate.get_rate(now)
