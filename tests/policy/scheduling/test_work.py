"""Tests that the cost of an event doesn't grow with the size of the fleet.

The cost is counted in calls of functions of the scheduling package, which don't depend
on the host.
"""

import sys
from types import FrameType
from typing import Any

import pytest

from mangoway.policy.scheduling import core as core_module
from measure.scheduling.fleet import Fleet, Size

PACKAGE = core_module.__file__.removesuffix("core.py")

SMALL = Size(runners=6, models=13)
MIDDLE = Size(runners=70, models=171)
LARGE = Size(runners=200, models=500)

LOW_UTILIZATION = 0.25
OVERLOAD_UTILIZATION = 1.1
WARM_UP_S = 0.8
SIMULATION_S = 0.2


def count_calls(size: Size, utilization: float) -> float:
    """Return the number of calls per request."""
    fleet = Fleet(size, utilization)
    calls = 0

    def count(frame: FrameType, event: str, argument: Any) -> None:
        nonlocal calls
        if event == "call" and frame.f_code.co_filename.startswith(PACKAGE):
            calls += 1

    sys.setprofile(count)
    try:
        spent = fleet.simulate(SIMULATION_S, warm_up_s=WARM_UP_S)
    finally:
        sys.setprofile(None)
    return calls / spent.total_requests


class TestWork:
    """Calls per request.

    If each event evaluated all runners and all waiting requests, the first four cases
    below would take 492, 544, 3413 and 2104 calls. The six cases take 357, 386, 688,
    507, 1056 and 1042.
    """

    @pytest.mark.parametrize(
        ("size", "utilization", "max_calls"),
        [
            (SMALL, LOW_UTILIZATION, 420),
            (SMALL, OVERLOAD_UTILIZATION, 460),
            (MIDDLE, LOW_UTILIZATION, 800),
            (MIDDLE, OVERLOAD_UTILIZATION, 650),
            (LARGE, LOW_UTILIZATION, 1200),
            (LARGE, OVERLOAD_UTILIZATION, 1400),
        ],
    )
    def test_request_takes_bounded_work(
        self, size: Size, utilization: float, max_calls: float
    ) -> None:
        assert count_calls(size, utilization) <= max_calls
