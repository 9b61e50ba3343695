"""Decides which requests a stopping host takes, so that it cuts off none."""

from typing import Final

from attrs import frozen

from ...models.routing import RouteKind

TAKE_ALL_S: Final = 2.8
"""Time from the signal in which requests of any length are taken: their callers could
not know of the stop. Those that come after 3 s must not be cut off, and a busy host
notices the signal late."""

ANSWER_S: Final = 0.2
"""Time before the end in which requests that are still in progress are answered."""


@frozen(kw_only=True)
class StopSchedule:
    """Times of a planned stop in seconds, on the clock of the event loop."""

    began_at: float
    finish_by: float
    """Time at which all requests have ended or are cut off."""

    @property
    def answer_at(self) -> float:
        """Return the time at which unanswered requests get a final answer."""
        return self.finish_by - ANSWER_S

    def accepts(self, kind: RouteKind, time_limit_s: float, now: float) -> bool:
        """Return whether to take a request.

        Args:
            kind: Kind of its route.
            time_limit_s: Seconds that it may take, by its route and its caller.
            now: Time in seconds.
        """
        if now < self.began_at + TAKE_ALL_S:
            return True
        return kind is not RouteKind.STREAMING and now + time_limit_s <= self.answer_at
