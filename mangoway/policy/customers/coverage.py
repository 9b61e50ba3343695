"""How much of the recent spending a scheduler knows from the reports of edges."""

from collections.abc import Iterable

from attrs import define, field, frozen

from .const import SCHEDULER_STARTUP_S, SPENDING_RETENTION_S


@frozen
class EdgeReport:
    """What an edge stated about its report of spending."""

    counted_s: float
    """Seconds for which the edge has counted its spending."""

    edges: int
    """Most edges that it has seen at once in the retention period."""

    @property
    def is_complete(self) -> bool:
        """Return whether the edge has counted for the whole retention period."""
        return self.counted_s >= SPENDING_RETENTION_S


@define(eq=False)
class SpendingCoverage:
    """The edges that have reported their spending from before this process granted.

    What an edge spent is lost when it is killed: reports of the remaining edges don't
    include it, and one that has just started doesn't know what was spent before.
    """

    granting_since: float | None = None
    """Time from which this process counts all spending itself."""

    _reports: dict[str, EdgeReport] = field(factory=dict, init=False)
    """Latest report of each edge, by the incarnation of its process."""

    _complete: int = field(default=0, init=False)
    """Number of complete reports."""

    _edges: int = field(default=0, init=False)
    """Number of edges whose spending matters, with those that have ended."""

    def restart(self, connected: Iterable[str], now: float) -> None:
        """Start a period in which this process grants.

        Args:
            connected: Connected edges, whose reports may have arrived already.
            now: Time in seconds.
        """
        self.granting_since = now
        kept = self._reports.keys() & set(connected)
        self._reports = {each: self._reports[each] for each in kept}
        reports = self._reports.values()
        self._complete = sum(1 for each in reports if each.is_complete)
        self._edges = max(len(reports), *(each.edges for each in reports), 0)

    def record(self, edge: str, report: EdgeReport, now: float) -> bool:
        """Record the report of an edge; return whether the coverage has changed."""
        before = self.measure(now), self.is_complete(now)
        previous = self._reports.get(edge)
        self._reports[edge] = report
        self._complete += report.is_complete - (
            previous is not None and previous.is_complete
        )
        self._edges = max(self._edges, report.edges, len(self._reports))
        return (self.measure(now), self.is_complete(now)) != before

    def forget(self, edge: str, now: float) -> None:
        """Forget an edge that disconnected, if its report no longer matters."""
        if self.has_counted_all(now):
            # The counts matter again after a restart, which updates them.
            self._reports.pop(edge, None)

    def has_counted_all(self, now: float) -> bool:
        """Return whether this process has granted for the whole retention period."""
        since = self.granting_since
        return since is not None and now - SPENDING_RETENTION_S >= since

    def is_complete(self, now: float) -> bool:
        """Return whether the recent spending at all edges is known."""
        return self.has_counted_all(now) or 0 < self._edges <= self._complete

    def measure(self, now: float) -> float:
        """Return the share of the edges whose recent spending is known, 0 to 1.

        Edges connect one after the other. Until `SCHEDULER_STARTUP_S` has passed, those
        without a report count as known if any edge's spending is.
        """
        if self.is_complete(now):
            return 1.0
        if self.granting_since is None or not self._complete:
            return 0.0
        if now < self.granting_since + SCHEDULER_STARTUP_S:
            return 1 - (len(self._reports) - self._complete) / self._edges
        return self._complete / self._edges
