"""Demand per artifact, counted for reports to the controller."""

from attrs import define, field

from ...models.artifact import Artifact
from ...models.request import Request
from .events import ArtifactDemand


@define(eq=False)
class DemandCount:
    """Counts of one artifact since the last report."""

    arrived: int = 0
    tokens: int = 0
    refused: int = 0


@define(eq=False)
class DemandMeter:
    """Counts demand; a report costs time in proportion to the requested artifacts."""

    _counts: dict[Artifact, DemandCount] = field(factory=dict)

    def count_arrival(self, request: Request) -> None:
        """Count a request and the tokens that it may generate."""
        if isinstance(request.target, Artifact):
            count = self._counts.setdefault(request.target, DemandCount())
            count.arrived += 1
            count.tokens += request.max_tokens

    def count_rejection(self, request: Request) -> None:
        """Count a request that was rejected for lack of capacity."""
        if isinstance(request.target, Artifact):
            self._counts.setdefault(request.target, DemandCount()).refused += 1

    def pop_demands(self, queued: dict[Artifact, int]) -> tuple[ArtifactDemand, ...]:
        """Return the counts with the current queue lengths, and reset them."""
        counts = self._counts
        self._counts = {}
        for artifact in queued:
            counts.setdefault(artifact, DemandCount())
        return tuple(
            ArtifactDemand(
                artifact=artifact,
                arrived=count.arrived,
                queued=queued.get(artifact, 0),
                tokens=count.tokens,
                refused=count.refused,
            )
            for artifact, count in counts.items()
        )
