"""Cooldowns: times for which an edge must send no requests to a runner.

A cooldown applies to one runner and one edge; other edges may continue to send. A
scheduler that grants the requests of several edges keeps the cooldowns of each edge
apart.
"""

import math

from attrs import define, field, frozen

from ...models.runner import is_later_incarnation
from .const import MAX_BRITTLE_REST_S


@frozen(kw_only=True)
class CooldownReport:
    """A cooldown that a runner requested when it rejected a request of an edge."""

    edge: str
    """Incarnation of the edge."""

    runner_id: str
    started_ms: int
    """Start time of the runner in Unix ms, as in its entry; identifies the
    incarnation."""

    rest_s: float
    """Duration of the cooldown."""


@define
class Cooldown:
    """The cooldown that one incarnation of a runner requested from one edge."""

    started_ms: int
    since: float
    """Start of the first cooldown in an uninterrupted series."""

    until: float


@define(eq=False)
class CooldownTracker:
    """Cooldowns of all runners and edges, as received by one process."""

    _cooldowns: dict[str, dict[str, Cooldown]] = field(factory=dict, init=False)
    """By runner and edge; an expired one is dropped when it is looked up."""

    _last_end: float = field(default=-math.inf, init=False)
    """End of the cooldown that lasts longest."""

    def update(self, report: CooldownReport, now: float) -> bool:
        """Process a report; return whether it starts or extends a cooldown.

        Each rejection applies for its own duration, so a shorter cooldown doesn't end a
        longer one.
        """
        cooldowns = self._cooldowns.setdefault(report.runner_id, {})
        current = cooldowns.get(report.edge)
        if current is not None and is_later_incarnation(
            current.started_ms, report.started_ms
        ):
            return False
        until = now + report.rest_s
        self._last_end = max(self._last_end, until)
        is_active = current is not None and now < current.until
        if current is None or not is_active or current.started_ms != report.started_ms:
            cooldowns[report.edge] = Cooldown(report.started_ms, now, until)
            return True
        is_extended = until > current.until
        current.until = max(current.until, until)
        return is_extended

    def measure_wait(
        self, edge: str, runner_id: str, started_ms: int, now: float
    ) -> float:
        """Return the seconds for which an edge must send no requests to a runner."""
        cooldowns = self._cooldowns.get(runner_id)
        cooldown = None if cooldowns is None else cooldowns.get(edge)
        if cooldowns is None or cooldown is None:
            return 0.0
        if now >= cooldown.until or is_later_incarnation(
            started_ms, cooldown.started_ms
        ):
            del cooldowns[edge]
            if not cooldowns:
                del self._cooldowns[runner_id]
            return 0.0
        return cooldown.until - now

    def has_cooldowns(self, now: float) -> bool:
        """Return whether any cooldown may be active."""
        return now < self._last_end

    def list_reports(self, edge: str, now: float) -> list[CooldownReport]:
        """Return reports of an edge's active cooldowns, to send to another process."""
        return [
            CooldownReport(
                edge=edge,
                runner_id=runner_id,
                started_ms=cooldowns[edge].started_ms,
                rest_s=cooldowns[edge].until - now,
            )
            for runner_id, cooldowns in self._cooldowns.items()
            if edge in cooldowns and cooldowns[edge].until > now
        ]

    def list_long_cooldowns(
        self, min_duration_s: float, min_edges: float, now: float
    ) -> set[str]:
        """Return the runners that have long cooldowns at enough edges.

        Args:
            min_duration_s: Seconds for which a cooldown, or an uninterrupted series of
                them, must have lasted.
            min_edges: Minimum number of edges with such a cooldown; below 1, one edge
                is enough.
            now: Time in seconds.
        """
        return {
            runner_id
            for runner_id, cooldowns in self._cooldowns.items()
            if sum(
                1 for each in cooldowns.values() if _is_long(each, min_duration_s, now)
            )
            >= max(1.0, min_edges)
        }

    def remove_edge(self, edge: str) -> None:
        """Drop the cooldowns of an edge that has disconnected."""
        for cooldowns in self._cooldowns.values():
            cooldowns.pop(edge, None)

    def keep_only(self, runner_ids: set[str]) -> None:
        """Drop the cooldowns of all runners but these."""
        for runner_id in set(self._cooldowns) - runner_ids:
            del self._cooldowns[runner_id]


def compute_brittle_rest_s(max_rejections: float, edges: int) -> float:
    """Return the cooldown of an edge after a rejection by a brittle runner.

    If each edge keeps it, they cause no more rejections together than the runner bears.

    Args:
        max_rejections: Rejections within a second that the runner bears.
        edges: Number of edges.
    """
    if max_rejections <= 0:
        return MAX_BRITTLE_REST_S
    return min(MAX_BRITTLE_REST_S, max(1, edges) / max_rejections)


def _is_long(cooldown: Cooldown, min_duration_s: float, now: float) -> bool:
    return cooldown.since + min_duration_s <= now < cooldown.until
