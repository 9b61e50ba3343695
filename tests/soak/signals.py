"""Signals of runners in their responses, and checks of the requests that follow."""

import time
from bisect import bisect_left, bisect_right
from collections.abc import Sequence

from attrs import define, field

LIMIT_SETTLE_S = 3.0
"""Time from the start of a limit until it must be kept, and from the end of an edge's
disturbance until the edge must act on signals again."""

LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
"""A window may contain LIMIT_FACTOR times what the limit allows, plus LIMIT_SLACK."""

DRAIN_S = 2.0
"""Time from a response with a leaving signal until no request may be sent to the
runner."""

RECENT_S = 1.2
"""Time before the start of a limit that may lie in its first checked window."""

COOLDOWN_ARRIVALS = 2
"""Requests of an edge that may reach a runner during its cooldown."""

REACTION_S = 0.5
"""Time from a response until the edge that received it must act on its signal."""


@define(eq=False)
class LimitPeriod:
    """Period in which a runner sends a limit."""

    runner_id: str
    limit: float
    began: float
    ended: float | None = None
    received_at: dict[str, float] = field(factory=dict, init=False)
    """Time at which each edge first received a response with it."""

    @property
    def allowed(self) -> float:
        """Return the number of requests that a window may contain."""
        return LIMIT_FACTOR * self.limit * LIMIT_WINDOW_S + LIMIT_SLACK


@define(eq=False)
class Leaving:
    """Leaving signal of a runner."""

    runner_id: str
    received_at: dict[str, float] = field(factory=dict, init=False)
    """Time at which each edge first received a response with the signal."""


@define(eq=False)
class Cooldown:
    """Period for which a runner asked an edge to send it no requests."""

    runner_id: str
    edge: str
    began: float
    """Time from which the edge must keep to it."""

    ended: float
    arrivals: int = 0


@define(eq=False)
class Disturbance:
    """Period in which an edge was restarted, paused or cut off from the store."""

    edge: str
    began: float
    ended: float | None = None
    cut: bool = False
    """Whether the edge kept running, but was cut off from the store."""

    def overlaps(self, edge: str, began: float, ended: float) -> bool:
        """Return whether it affects an edge in a period.

        It does so until `LIMIT_SETTLE_S` after its end.
        """
        is_over = self.ended is not None and self.ended + LIMIT_SETTLE_S < began
        return edge == self.edge and self.began <= ended and not is_over


@define(eq=False)
class SignalRecords:
    """Signals of all runners, and the requests that reached them."""

    limits: list[LimitPeriod] = field(factory=list, init=False)
    leaving: list[Leaving] = field(factory=list, init=False)
    cooldowns: list[Cooldown] = field(factory=list, init=False)
    disturbances: list[Disturbance] = field(factory=list, init=False)
    violations: list[str] = field(factory=list, init=False)
    _arrivals: dict[str, list[tuple[float, str]]] = field(factory=dict, init=False)
    """Time and edge of each request that reached a runner, by runner."""

    def record_arrival(self, runner_id: str, edge: str, sent_at: float = 0.0) -> None:
        """Record that a request reached a runner.

        Args:
            runner_id: The runner.
            edge: The edge to which it was sent.
            sent_at: Time at which its caller sent it.
        """
        rows = self._arrivals.setdefault(runner_id, [])
        rows.append((time.monotonic(), edge))
        for each in self.leaving:
            if each.runner_id == runner_id:
                self._check_leaving(each, edge, sent_at)
        self._check_cooldowns(runner_id, edge)

    def begin_leaving(self, runner_id: str) -> Leaving:
        """Record that a runner sends the leaving signal from now on."""
        leaving = Leaving(runner_id)
        self.leaving.append(leaving)
        return leaving

    def record_rejection(self, runner_id: str, edge: str, cooldown_s: float) -> None:
        """Record that a runner rejects a request, with a cooldown unless that is 0."""
        if cooldown_s > 0:
            now = time.monotonic()
            self.cooldowns.append(
                Cooldown(runner_id, edge, now + REACTION_S, now + cooldown_s)
            )

    def _check_cooldowns(self, runner_id: str, edge: str) -> None:
        now = time.monotonic()
        for cooldown in self.cooldowns:
            if (cooldown.runner_id, cooldown.edge) != (runner_id, edge):
                continue
            if not cooldown.began < now < cooldown.ended:
                continue
            cooldown.arrivals += 1
            if cooldown.arrivals == COOLDOWN_ARRIVALS + 1:
                if not self._is_disturbed(edge, cooldown.began, now):
                    self.violations.append(
                        f"budget: {runner_id} got more than {COOLDOWN_ARRIVALS} "
                        f"requests of {edge} in the last "
                        f"{cooldown.ended - cooldown.began:.1f} s of a cooldown"
                    )

    def _check_leaving(self, leaving: Leaving, edge: str, sent_at: float) -> None:
        signalled_at = leaving.received_at.get(edge)
        if signalled_at is None or sent_at <= signalled_at + DRAIN_S:
            return
        if not self._is_disturbed(edge, signalled_at, sent_at, cut_off=False):
            self.violations.append(
                f"drain: a request reached {leaving.runner_id} "
                f"{sent_at - signalled_at:.1f} s after {edge} had received "
                "its leaving signal"
            )

    def begin_limit(self, runner_id: str, limit: float) -> LimitPeriod:
        """Record that a runner sends a limit from now on."""
        period = LimitPeriod(runner_id, limit, time.monotonic())
        self.limits.append(period)
        return period

    def record_response(self, signal: LimitPeriod | Leaving | None, edge: str) -> None:
        """Record that an edge received a response; `signal` is the one it carried."""
        if signal is not None:
            signal.received_at.setdefault(edge, time.monotonic())

    def record_forwarded(
        self, sent_signals: Sequence[LimitPeriod | Leaving], runner_id: str, edge: str
    ) -> None:
        """Record that a caller received a response with a signal of a runner.

        A response that a runner sent may be lost before the edge has read it; one that
        reached the caller was read by its edge.
        """
        signals = [each for each in sent_signals if each.runner_id == runner_id]
        self.record_response(signals[-1] if signals else None, edge)

    def disturb(self, edge: str, *, cut: bool = False) -> Disturbance:
        """Record that an edge is disturbed from now on.

        Args:
            edge: Its address for callers.
            cut: Whether it is only cut off from the store, and keeps its signals.
        """
        disturbance = Disturbance(edge, time.monotonic(), cut=cut)
        self.disturbances.append(disturbance)
        return disturbance

    def remove_edge(self, edge: str) -> None:
        """Remove the signals that an edge received; its process has ended."""
        for signal in (*self.limits, *self.leaving):
            signal.received_at.pop(edge, None)
        self.cooldowns = [each for each in self.cooldowns if each.edge != edge]

    def count_arrivals(self, runner_id: str, began: float, ended: float) -> int:
        """Return the number of requests that reached a runner in `[began, ended]`."""
        rows = self._arrivals.get(runner_id, [])
        first = bisect_left(rows, began, key=lambda row: row[0])
        return bisect_right(rows, ended, key=lambda row: row[0]) - first

    def count_recent(self, runner_id: str) -> int:
        """Return the number of requests that reached a runner within `RECENT_S`."""
        now = time.monotonic()
        return self.count_arrivals(runner_id, now - RECENT_S, now)

    def check(self) -> list[str]:
        """Return the violated guarantees."""
        violations = list(self.violations)
        for period in self.limits:
            violations += self._check_limit(period)
        return violations

    def _check_limit(self, period: LimitPeriod) -> list[str]:
        """Check each window that ends while a limit must be kept."""
        for ended, _ in self._arrivals.get(period.runner_id, []):
            ends_at = period.ended or ended
            if not period.began + LIMIT_SETTLE_S <= ended <= ends_at:
                continue
            count = self._count_from_bound_edges(period, ended)
            if count > period.allowed:
                return [
                    f"limit: {period.runner_id} sent a limit of {period.limit} a "
                    f"second and got {count} requests in {LIMIT_WINDOW_S} s; "
                    f"{period.allowed:.0f} allowed; {ended - period.began:.1f} s "
                    f"after the start of the limit"
                ]
        return []

    def _count_from_bound_edges(self, period: LimitPeriod, ended: float) -> int:
        """Return the number of requests of a window from edges bound by the limit.

        These had received it at least `REACTION_S` before the end of the window, and
        weren't disturbed.
        """
        began = ended - LIMIT_WINDOW_S
        rows = self._arrivals[period.runner_id]
        first = bisect_right(rows, began, key=lambda row: row[0])
        last = bisect_right(rows, ended, key=lambda row: row[0])
        bound_edges = {
            edge
            for edge, signalled_at in period.received_at.items()
            if signalled_at <= ended - REACTION_S
            and not self._is_disturbed(edge, began, ended)
        }
        return sum(1 for _, edge in rows[first:last] if edge in bound_edges)

    def _is_disturbed(
        self, edge: str, began: float, ended: float, *, cut_off: bool = True
    ) -> bool:
        """Return whether an edge was disturbed in a period.

        Args:
            edge: Its address for callers.
            began: Start of the period.
            ended: End of the period.
            cut_off: Whether being cut off from the store counts as well.
        """
        return any(
            each.overlaps(edge, began, ended)
            for each in self.disturbances
            if cut_off or not each.cut
        )
