"""Whether a plain service is short of room, as edges report it."""

import math
from collections import deque

from attrs import define, field

from .const import (
    EXPIRY_MARGIN_S,
    MIN_REPORTS,
    RENEW_S,
    REPORT_S,
    REPORT_WINDOW_S,
    SHORTAGE_S,
)


@define(eq=False)
class Shortage:
    """Shortage of one service at the scheduler; it ends unless it is renewed."""

    until: float = field(default=-math.inf, init=False)
    _reports: deque[float] = field(factory=deque, init=False)
    _is_confirmed: bool = field(default=False, init=False)
    """Whether there was a sign of the shortage since it was last renewed."""

    @property
    def has_begun(self) -> bool:
        """Return whether there was a shortage, which may have ended."""
        return self.until > -math.inf

    def is_active(self, now: float) -> bool:
        """Return whether the service is short of room."""
        return now < self.until

    def measure_left(self, now: float) -> float:
        """Return the seconds for which edges request grants.

        They stop before the shortage ends here, so that none of their requests arrives
        after it.
        """
        return max(0.0, self.until - now - EXPIRY_MARGIN_S)

    def record_report(self, now: float) -> bool:
        """Count a report of an edge; return whether a shortage begins."""
        if self.is_active(now):
            self._is_confirmed = True
            return False
        self._reports.append(now)
        self._drop_old(now)
        if len(self._reports) < MIN_REPORTS:
            return False
        self._reports.clear()
        self.until, self._is_confirmed = now + SHORTAGE_S, False
        return True

    def confirm(self) -> None:
        """Record that requests wait or are rejected."""
        self._is_confirmed = True

    def renew_if_due(self, now: float) -> bool:
        """Renew a confirmed shortage that would end soon; return whether it was."""
        is_due = self._is_confirmed and self.until - now < RENEW_S
        if not is_due or not self.is_active(now):
            return False
        self.until, self._is_confirmed = now + SHORTAGE_S, False
        return True

    def is_forgotten(self, now: float) -> bool:
        """Return whether there is neither a shortage nor a recent report."""
        self._drop_old(now)
        return not self._reports and not self.is_active(now)

    def _drop_old(self, now: float) -> None:
        while self._reports and self._reports[0] <= now - REPORT_WINDOW_S:
            self._reports.popleft()


@define(eq=False)
class KnownShortages:
    """Shortages that the scheduler has relayed to an edge, and the edge's reports."""

    _until: dict[str, float] = field(factory=dict, init=False)
    _reported_at: dict[str, float] = field(factory=dict, init=False)

    def update(self, service: str, left_s: float, now: float) -> None:
        """Record a relayed shortage."""
        self._until[service] = max(self._until.get(service, 0.0), now + left_s)

    def is_short(self, service: str, now: float) -> bool:
        """Return whether a service is short of room."""
        until = self._until.get(service)
        if until is None:
            return False
        if now >= until:
            del self._until[service]
            return False
        return True

    def should_report(self, service: str, now: float) -> bool:
        """Return whether a sign of a shortage is reported, and count the report.

        A known shortage is reported only when it would end soon.
        """
        if self._until.get(service, 0.0) - now > RENEW_S:
            return False
        if now - self._reported_at.get(service, -math.inf) < REPORT_S:
            return False
        self._reported_at[service] = now
        return True

    def list_services(self, now: float) -> list[str]:
        """Return the services that are short of room."""
        return [each for each in tuple(self._until) if self.is_short(each, now)]
