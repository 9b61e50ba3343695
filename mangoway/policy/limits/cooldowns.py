"""Until when runners want nothing of an edge that they have turned away.

A rest is between one runner and one edge: others may go on. Who grants places to the
requests of several edges keeps them apart.
"""

import math

from attrs import define, field, frozen

from ...models.runner import is_later_life


@frozen(kw_only=True)
class CooldownReport:
    """A runner refused a request of an edge, and asked it for rest."""

    edge: str
    """Incarnation of the edge."""

    runner_id: str
    started_ms: int
    """Life of the runner, as in its entry."""

    rest_s: float


@define
class Rest:
    """The rest that one life of a runner asked one edge for."""

    started_ms: int
    since: float
    """Begin of the first of the rests that follow each other."""

    until: float


@define(eq=False)
class CooldownTracker:
    """The rests of all runners and edges, as one process knows them."""

    _rests: dict[str, dict[str, Rest]] = field(factory=dict, init=False)
    """By runner and edge; those that are over are dropped when they are met."""

    _last_end: float = field(default=-math.inf, init=False)
    """End of the rest that lasts longest."""

    def update(self, said: CooldownReport, now: float) -> bool:
        """Take a statement; returns whether a rest lasts longer than was known.

        Each refusal binds for its own time, so that a shorter rest ends no longer one.
        """
        rests = self._rests.setdefault(said.runner_id, {})
        known = rests.get(said.edge)
        if known is not None and is_later_life(known.started_ms, said.started_ms):
            return False
        until = now + said.rest_s
        self._last_end = max(self._last_end, until)
        goes_on = known is not None and now < known.until
        if known is None or not goes_on or known.started_ms != said.started_ms:
            rests[said.edge] = Rest(said.started_ms, now, until)
            return True
        longer = until > known.until
        known.until = max(known.until, until)
        return longer

    def measure_wait(
        self, edge: str, runner_id: str, started_ms: int, now: float
    ) -> float:
        """Return the seconds for which a runner wants nothing of an edge."""
        rests = self._rests.get(runner_id)
        rest = None if rests is None else rests.get(edge)
        if rests is None or rest is None:
            return 0.0
        if now >= rest.until or is_later_life(started_ms, rest.started_ms):
            del rests[edge]
            if not rests:
                del self._rests[runner_id]
            return 0.0
        return rest.until - now

    def has_cooldowns(self, now: float) -> bool:
        """Return whether any runner may be resting."""
        return now < self._last_end

    def list_reports(self, edge: str, now: float) -> list[CooldownReport]:
        """Return what is left of an edge's rests, to tell it to another process."""
        return [
            CooldownReport(
                edge=edge,
                runner_id=runner_id,
                started_ms=rests[edge].started_ms,
                rest_s=rests[edge].until - now,
            )
            for runner_id, rests in self._rests.items()
            if edge in rests and rests[edge].until > now
        ]

    def list_long_cooldowns(
        self, least_s: float, least_edges: float, now: float
    ) -> set[str]:
        """Return the runners that most edges have left alone for a while.

        Args:
            least_s: Time for which a rest has lasted, in seconds.
            least_edges: Edges that a runner wants nothing of.
            now: Time in seconds.
        """
        return {
            runner_id
            for runner_id, rests in self._rests.items()
            if sum(1 for each in rests.values() if _is_long(each, least_s, now))
            >= max(1.0, least_edges)
        }

    def forget_edge(self, edge: str) -> None:
        """Forget the rests of an edge that is gone."""
        for rests in self._rests.values():
            rests.pop(edge, None)

    def keep_only(self, runner_ids: set[str]) -> None:
        """Forget runners that are gone."""
        for runner_id in set(self._rests) - runner_ids:
            del self._rests[runner_id]


def _is_long(rest: Rest, least_s: float, now: float) -> bool:
    return rest.since + least_s <= now < rest.until
