"""Tests of what a scheduler does by itself."""

from mangoway.daemons.scheduler import (
    QUIET_REPORT_S,
    REPORT_S,
    URGENT_REPORT_S,
    choose_report_period,
)
from mangoway.policy.scheduling.prefixes import PrefixMemory
from mangoway.policy.scheduling.runners import RunnerState

from ..fakes.fleet import make_runner


def make_state(**fields: object) -> RunnerState:
    state = RunnerState(make_runner("r1"), None, PrefixMemory(0))
    for name, value in fields.items():
        setattr(state, name, value)
    return state


class TestReports:
    """How often a runner's report is read."""

    def test_unknown_state_is_urgent(self) -> None:
        assert choose_report_period(make_state(), 10.0) == URGENT_REPORT_S

    def test_long_load_is_not_urgent_before_its_end(self) -> None:
        state = make_state(ordered_at=10.0, changing_until=16.0)
        assert choose_report_period(state, 12.0) == REPORT_S
        assert choose_report_period(state, 15.5) == URGENT_REPORT_S

    def test_runner_without_orders_is_quiet(self) -> None:
        state = make_state(state_known=True, ordered_at=10.0)
        assert choose_report_period(state, 10.5) == REPORT_S
        assert choose_report_period(state, 12.0) == QUIET_REPORT_S
