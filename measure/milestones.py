"""Time of each step from the start of a surge until gateways know a new copy."""

from enum import Enum

from attrs import define, field

from mangoway.models.artifact import Artifact

from .clock import Clock


class Step(Enum):
    """Step of the reaction to a surge, in chronological order."""

    ARRIVED = "first request"
    DEMAND_REPORTED = "demand reached the controller"
    LEDGER_WRITTEN = "ledger written"
    ORDER_SENT = "first order sent"
    ORDER_ACCEPTED = "order accepted"
    READY = "copy ready"
    ROUTED = "gateways know it"


@define
class _WatchedSurge:
    """A surge and the times of the steps recorded for it."""

    name: str
    artifacts: tuple[Artifact, ...]
    start: float
    steps: dict[Step, float] = field(factory=dict)


@define
class Milestones:
    """Recorder of the first time of each step after the start of each surge."""

    _clock: Clock
    _surges: list[_WatchedSurge] = field(factory=list)

    def watch(self, name: str, artifact: Artifact, start: float) -> None:
        """Record the steps for an artifact of a surge and for its base model."""
        artifacts = tuple({artifact, artifact.base})
        self._surges.append(_WatchedSurge(name, artifacts, start))

    def record(self, step: Step, artifact: Artifact) -> None:
        """Record that a step happened now for an artifact."""
        for surge in self._surges:
            if self._clock.now >= surge.start and artifact in surge.artifacts:
                surge.steps.setdefault(step, self._clock.now - surge.start)

    def list_steps(self, name: str) -> dict[Step, float]:
        """Return the seconds from the start of a surge to each recorded step."""
        found = [surge.steps for surge in self._surges if surge.name == name]
        return dict(found[0]) if found else {}
