"""Tests of the upper bound of attainment."""

import pytest

from mangoway.models.artifact import Artifact
from mangoway.models.identifiers import CallerId
from mangoway.models.request import WorkClass
from measure.bound import Capacity, Loss, find_bound
from measure.demand import Arrival


def build_arrival(number: int, time: float, deadline: float, tokens: int) -> Arrival:
    return Arrival(
        number=number,
        time=time,
        caller=CallerId("a"),
        work_class=WorkClass.URGENT,
        target=Artifact.parse("chat@1"),
        deadline=deadline,
        output_tokens=tokens,
    )


class TestBound:
    """Earliest deadline first in one pool."""

    def test_all_requests_that_fit_are_served(self) -> None:
        arrivals = tuple(build_arrival(n, 0.0, n + 1.0, 100) for n in range(5))
        assert find_bound(arrivals, Capacity(100.0)) == 1.0

    def test_longest_request_is_dropped(self) -> None:
        tokens = (50, 300, 50)
        arrivals = tuple(build_arrival(n, 0.0, 1.0, t) for n, t in enumerate(tokens))
        assert find_bound(arrivals, Capacity(100.0)) == pytest.approx(2 / 3)

    def test_capacity_loss_counts_only_during_its_time(self) -> None:
        loss = Loss(start=0.0, end=1.0, tokens_per_second=100.0)
        early, late = build_arrival(0, 0.0, 1.0, 50), build_arrival(1, 0.0, 2.0, 50)
        assert find_bound((early, late), Capacity(100.0, (loss,))) == 0.5
