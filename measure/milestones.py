"""How long each step takes from the first sign of a surge to a ready copy."""

from enum import Enum

from attrs import define, field

from mangoway.models.artifact import Artifact

from .clock import Clock


class Step(Enum):
    """One step of the reaction to a surge, in their order."""

    ARRIVED = "first request"
    DEMAND_REPORTED = "demand reached the controller"
    LEDGER_WRITTEN = "ledger written"
    ORDER_SENT = "first order sent"
    ORDER_ACCEPTED = "order accepted"
    READY = "copy ready"
    ROUTED = "gateways know it"


@define
class _Watch:
    """A surge that is watched from its beginning."""

    name: str
    artifacts: tuple[Artifact, ...]
    start: float
    steps: dict[Step, float] = field(factory=dict)


@define
class Milestones:
    """Note the first time of each step after each surge's beginning."""

    _clock: Clock
    _watches: list[_Watch] = field(factory=list)

    def watch(self, name: str, artifact: Artifact, start: float) -> None:
        """Watch the first artifact of a surge, or its base if it is an adapter."""
        artifacts = tuple({artifact, artifact.base})
        self._watches.append(_Watch(name, artifacts, start))

    def note(self, step: Step, artifact: Artifact) -> None:
        """Note that a step happened now for an artifact."""
        for watch in self._watches:
            if self._clock.now >= watch.start and artifact in watch.artifacts:
                watch.steps.setdefault(step, self._clock.now - watch.start)

    def list_steps(self, name: str) -> dict[Step, float]:
        """Return seconds since the beginning of a surge for each step seen."""
        found = [watch.steps for watch in self._watches if watch.name == name]
        return dict(found[0]) if found else {}
