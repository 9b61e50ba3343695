"""Tests of the selection of artifacts for a demand evaluation."""

import pytest

from mangoway.models.artifact import Artifact
from mangoway.models.identifiers import HostId, IncarnationId
from mangoway.policy.placement.const import MAX_ARTIFACTS_PER_EVALUATION
from mangoway.policy.placement.demand_rotation import DemandRotation
from mangoway.policy.placement.events import ArtifactRate, DemandReported
from mangoway.policy.placement.gains import GainModel
from mangoway.policy.placement.options import PlacementOptions
from mangoway.policy.placement.runners import CopyState
from mangoway.policy.placement.state import PlacementState

ARTIFACTS = [
    Artifact.parse(f"m{number}@1") for number in range(3 * MAX_ARTIFACTS_PER_EVALUATION)
]
LOW_DEMAND = ARTIFACTS[: 2 * MAX_ARTIFACTS_PER_EVALUATION + 100]
PERIODS = 3
"""Evaluations that cover all artifacts of `LOW_DEMAND`."""

HOT = LOW_DEMAND[7]


class Fixture:
    """Demand for many artifacts, each with a copy on one of four runners."""

    def __init__(self) -> None:
        self.state = PlacementState(PlacementOptions())
        self.gains = GainModel(self.state)
        self.rotation = DemandRotation(self.state, self.gains)
        self.now = 0.0
        for number, artifact in enumerate(ARTIFACTS):
            holders = {f"r{number % 4}": CopyState.READY}
            self.state.copies.by_artifact[artifact] = holders  # type: ignore[assignment]

    def evaluate(self, arrived: int, *artifacts: Artifact) -> list[Artifact]:
        self.now += 1.0
        rates = tuple(
            ArtifactRate(artifact=each, arrived=arrived, queued=0, tokens=9, refused=0)
            for each in artifacts
        )
        event = DemandReported(
            gateway=HostId("g"),
            incarnation=IncarnationId("g.1"),
            period_s=1.0,
            rates=rates,
        )
        self.state.demand.apply_report(event, self.now)
        return self.rotation.select_due(self.state.demand.update(self.now))


class TestDemandRotation:
    """One evaluation covers few artifacts, and each is covered in turn."""

    def test_each_artifact_is_evaluated_in_turn(self) -> None:
        fixture = Fixture()
        fixture.evaluate(1, *LOW_DEMAND)
        evaluations = [fixture.evaluate(0) for _ in range(PERIODS)]
        assert set().union(*evaluations) == set(LOW_DEMAND)
        assert max(map(len, evaluations)) <= MAX_ARTIFACTS_PER_EVALUATION

    def test_artifact_with_a_surge_is_always_due(self) -> None:
        fixture = Fixture()
        fixture.evaluate(1, *LOW_DEMAND)
        fixture.evaluate(0)
        due = [HOT in fixture.evaluate(200 * 2**each, HOT) for each in range(PERIODS)]
        assert due == [True] * PERIODS

    def test_prioritised_artifact_is_due_once(self) -> None:
        fixture = Fixture()
        fixture.evaluate(1, *LOW_DEMAND)
        due = []
        for _ in range(PERIODS):
            fixture.rotation.prioritise([HOT])
            due.append(HOT in fixture.evaluate(0))
        assert due == [True] * PERIODS
        assert sum(HOT in fixture.evaluate(0) for _ in range(PERIODS)) == 1

    def test_partial_refreshes_equal_a_complete_one(self) -> None:
        fixture = Fixture()
        fixture.evaluate(1, *LOW_DEMAND)
        fixture.evaluate(50, *ARTIFACTS[-10:])
        fixture.rotation.prioritise(ARTIFACTS)
        fixture.evaluate(50, *ARTIFACTS[-10:])
        partial_loads = dict(fixture.gains.runner_loads)
        fixture.gains.refresh_all()
        assert partial_loads == pytest.approx(fixture.gains.runner_loads)
        assert len(partial_loads) == 4
