"""Which artifacts a look at the demand takes when there are many."""

import pytest

from mangoway.models.artifact import Artifact
from mangoway.models.identifiers import HostId, IncarnationId
from mangoway.policy.placement.const import DEMAND_LOOKS
from mangoway.policy.placement.demand_rounds import DemandRounds
from mangoway.policy.placement.events import ArtifactRate, DemandReported
from mangoway.policy.placement.gains import GainModel
from mangoway.policy.placement.options import PlacementOptions
from mangoway.policy.placement.runners import CopyState
from mangoway.policy.placement.state import PlacementState

ARTIFACTS = [Artifact.parse(f"m{one}@1") for one in range(3 * DEMAND_LOOKS)]
QUIET = ARTIFACTS[: 2 * DEMAND_LOOKS + 100]
PERIODS = 3
HOT = QUIET[7]


class Fixture:
    """Demand for many artifacts, each with a copy on one of four runners."""

    def __init__(self) -> None:
        self.state = PlacementState(PlacementOptions())
        self.gains = GainModel(self.state)
        self.rounds = DemandRounds(self.state, self.gains)
        self.now = 0.0
        for number, artifact in enumerate(ARTIFACTS):
            holders = {f"r{number % 4}": CopyState.READY}
            self.state.copies.by_artifact[artifact] = holders  # type: ignore[assignment]

    def look(self, arrived: int, *artifacts: Artifact) -> list[Artifact]:
        self.now += 1.0
        rates = tuple(
            ArtifactRate(artifact=one, arrived=arrived, queued=0, tokens=9, refused=0)
            for one in artifacts
        )
        event = DemandReported(
            gateway=HostId("g"),
            incarnation=IncarnationId("g.1"),
            period_s=1.0,
            rates=rates,
        )
        self.state.demand.take(event, self.now)
        return self.rounds.start(self.state.demand.update(self.now))


class TestDemandRounds:
    """Few artifacts in one look, and none is left out for long."""

    def test_each_gets_its_turn_and_no_look_takes_all(self) -> None:
        fixture = Fixture()
        fixture.look(1, *QUIET)
        looks = [fixture.look(0) for _ in range(PERIODS)]
        assert set().union(*looks) == set(QUIET)
        assert max(map(len, looks)) <= DEMAND_LOOKS

    def test_risen_demand_does_not_wait(self) -> None:
        fixture = Fixture()
        fixture.look(1, *QUIET)
        fixture.look(0)
        dues = [HOT in fixture.look(200 * 2**one, HOT) for one in range(PERIODS)]
        assert dues == [True] * PERIODS

    def test_hurried_artifact_does_not_wait_once(self) -> None:
        fixture = Fixture()
        fixture.look(1, *QUIET)
        dues = []
        for _ in range(PERIODS):
            fixture.rounds.hurry([HOT])
            dues.append(HOT in fixture.look(0))
        assert dues == [True] * PERIODS
        assert sum(HOT in fixture.look(0) for _ in range(PERIODS)) == 1

    def test_loads_in_parts_are_those_of_a_whole_look(self) -> None:
        fixture = Fixture()
        fixture.look(1, *QUIET)
        fixture.look(50, *ARTIFACTS[-10:])
        fixture.rounds.hurry(ARTIFACTS)
        fixture.look(50, *ARTIFACTS[-10:])
        in_parts = dict(fixture.gains.loads)
        fixture.gains.refresh_all()
        assert in_parts == pytest.approx(fixture.gains.loads)
        assert len(in_parts) == 4
