"""State for planning: runners, copies, offered artifacts and demand."""

from attrs import define, field

from ...models.artifact import Artifact
from ...models.identifiers import DataCentreId, UpstreamId
from ...models.offer import Configuration
from .copies import CopyIndex
from .demand import DemandEstimator
from .load_queue import LoadQueue
from .options import PlacementOptions
from .runners import Runner


@define
class MemoryClaim:
    """Claim of an artifact on the memory being freed on a runner."""

    artifact: Artifact
    victims: list[Artifact]
    """Copies that are still to be evicted."""

    until: float


@define
class PlacementState:
    """State shared by the components of the placement core."""

    options: PlacementOptions
    configuration: Configuration | None = None
    offered: dict[Artifact, int] = field(factory=dict)
    """Floor of each offered artifact: the number of ready copies to keep."""

    runners: dict[UpstreamId, Runner] = field(factory=dict)
    copies: CopyIndex = field(factory=CopyIndex)
    demand: DemandEstimator = field(factory=DemandEstimator)
    queue: LoadQueue = field(factory=LoadQueue)
    claims: dict[UpstreamId, MemoryClaim] = field(factory=dict)

    def find_memory_mb(self, artifact: Artifact) -> int:
        """Return the memory of an offered artifact; 0 if it is not offered."""
        if self.configuration is None:
            return 0
        return self.configuration.find_memory_mb(artifact)

    def find_spread(self, artifact: Artifact) -> int:
        """Return the number of data centres that the floor copies must span."""
        if self.configuration is None:
            return 1
        offer = self.configuration.models.get(artifact.model)
        floor = self.offered.get(artifact, 0)
        if offer is None or artifact.version != offer.default_version:
            return min(floor, 1)
        return min(floor, offer.floor_data_centres)

    def list_data_centres(self, upstream_ids: list[UpstreamId]) -> set[DataCentreId]:
        """Return the data centres of some runners."""
        return {self.runners[upstream_id].data_centre for upstream_id in upstream_ids}

    def is_surplus(self, artifact: Artifact, upstream_id: UpstreamId) -> bool:
        """Return whether the floor is met without the copy on a runner."""
        ready = self.copies.list_ready(artifact)
        others = [each for each in ready if each != upstream_id]
        if len(others) < max(1, self.offered.get(artifact, 0)):
            return False
        spread = min(self.find_spread(artifact), len(self.list_data_centres(ready)))
        return len(self.list_data_centres(others)) >= spread

    def may_withdraw(self, artifact: Artifact) -> bool:
        """Return whether an artifact that is no longer offered may be unloaded.

        While its model is offered, the old version serves callers until the default
        version, or the same adapter on it, is ready.
        """
        if artifact in self.offered or self.configuration is None:
            return False
        offer = self.configuration.models.get(artifact.model)
        if offer is None:
            return True
        successor = Artifact(artifact.model, offer.default_version, artifact.adapter)
        if successor not in self.offered:
            successor = successor.base
        floor = max(1, self.offered.get(successor, 0))
        return len(self.copies.list_ready(successor)) >= floor
