"""Tests of the demand estimate from the gateways' reports."""

from random import Random

from mangoway.models.artifact import Artifact
from mangoway.models.identifiers import HostId, IncarnationId
from mangoway.policy.placement.demand import DemandEstimator
from mangoway.policy.placement.events import ArtifactRate, DemandReported

CHAT = Artifact.parse("chat@1")
TOKENS_PER_REQUEST = 100


def report(estimator: DemandEstimator, arrived: int, at: float) -> None:
    """Report the arrivals of one second to the estimator."""
    rate = ArtifactRate(
        artifact=CHAT,
        arrived=arrived,
        queued=0,
        tokens=arrived * TOKENS_PER_REQUEST,
        refused=0,
    )
    event = DemandReported(
        gateway=HostId("a"),
        incarnation=IncarnationId("a-1"),
        period_s=1.0,
        rates=(rate,) if arrived else (),
    )
    estimator.apply_report(event, at)
    estimator.update(at)


class TestEstimate:
    """The estimate of low demand and of surges."""

    def test_random_peaks_of_low_demand_do_not_add_up(self) -> None:
        estimator = DemandEstimator()
        random = Random(1)
        for second in range(1, 601):
            report(estimator, int(random.random() < 0.05), float(second))
        assert estimator.find(CHAT).requests_per_second < 0.15

    def test_surge_raises_the_estimate_within_seconds(self) -> None:
        estimator = DemandEstimator()
        for second in range(1, 6):
            report(estimator, 20, float(second))
        assert estimator.find(CHAT).requests_per_second > 10.0

    def test_estimate_decays_slowly_after_a_peak(self) -> None:
        estimator = DemandEstimator()
        for second in range(1, 31):
            report(estimator, 20, float(second))
        for second in range(31, 46):
            report(estimator, 0, float(second))
        assert estimator.find(CHAT).requests_per_second > 10.0
