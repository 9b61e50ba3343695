"""Tests of how the prefill speed of runners is estimated."""

from random import Random

import pytest

from mangoway.policy.scheduling.const import FIRST_EVENT_OVERHEAD_S, PREFILL_S_PER_TOKEN
from mangoway.policy.scheduling.prefill_estimator import (
    PrefillEstimator,
    PrefillEstimators,
)


def add_samples(
    estimator: PrefillEstimator,
    model: str,
    *,
    first_event_s: float,
    per_token: float,
    samples: int = 30,
    seed: int = 1,
) -> None:
    """Add samples of several prompt lengths, with some noise above the true time."""
    random = Random(seed)
    for _ in range(samples):
        tokens = random.randint(200, 3000)
        noise_s = random.expovariate(1 / 0.004)
        estimator.add_sample(
            model, tokens, first_event_s + per_token * tokens + noise_s
        )


class TestPrior:
    """Estimates without or with few samples."""

    def test_prior_is_used_without_samples(self) -> None:
        estimator = PrefillEstimator()
        assert estimator.first_event_overhead_s == FIRST_EVENT_OVERHEAD_S
        assert estimator.estimate("a", 1000) == 1000 * PREFILL_S_PER_TOKEN

    def test_one_sample_does_not_overturn_it(self) -> None:
        estimator = PrefillEstimator()
        estimator.add_sample("a", 800, 0.5)
        assert estimator.estimate("a", 800) < 0.4


class TestFit:
    """Offset and slopes from samples."""

    @pytest.mark.parametrize(
        ("first_event_s", "per_token"),
        [
            (0.0, 1 / 38_000),
            (0.012, 1 / 29_000),
            (0.08, 1 / 68_000),
            (0.15, 1 / 10_000),
        ],
    )
    def test_both_are_found(self, first_event_s: float, per_token: float) -> None:
        estimator = PrefillEstimator()
        add_samples(estimator, "a", first_event_s=first_event_s, per_token=per_token)
        assert estimator.first_event_overhead_s == pytest.approx(
            first_event_s + 0.004, abs=0.012
        )
        assert estimator.estimate("a", 2000) == pytest.approx(
            2000 * per_token, rel=0.15, abs=0.007
        )

    def test_models_share_the_offset_and_keep_their_slopes(self) -> None:
        estimator = PrefillEstimator()
        add_samples(estimator, "small", first_event_s=0.08, per_token=1 / 68_000)
        add_samples(
            estimator, "large", first_event_s=0.08, per_token=1 / 19_000, seed=2
        )
        small, large = (
            estimator.estimate("small", 1000),
            estimator.estimate("large", 1000),
        )
        assert large / small == pytest.approx(68 / 19, rel=0.2)

    def test_outlier_is_capped(self) -> None:
        estimator = PrefillEstimator()
        add_samples(estimator, "a", first_event_s=0.012, per_token=1 / 29_000)
        before = estimator.estimate("a", 1000)
        estimator.add_sample("a", 1000, 6.8)
        assert estimator.estimate("a", 1000) < 1.2 * before

    def test_change_of_speed_is_followed(self) -> None:
        estimator = PrefillEstimator()
        add_samples(estimator, "a", first_event_s=0.012, per_token=1 / 29_000)
        add_samples(
            estimator, "a", first_event_s=0.012, per_token=1 / 15_000, samples=120
        )
        assert estimator.estimate("a", 1000) == pytest.approx(1000 / 15_000, rel=0.2)


class TestServices:
    """Separate estimators of services."""

    def test_services_do_not_mix(self) -> None:
        estimators = PrefillEstimators()
        add_samples(estimators.get("x"), "a", first_event_s=0.15, per_token=1 / 10_000)
        assert estimators.get("y").first_event_overhead_s == FIRST_EVENT_OVERHEAD_S
