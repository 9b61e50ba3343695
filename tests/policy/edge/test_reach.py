"""Tests of the judgement whether a host has lost its connections to all runners."""

import pytest

from mangoway.policy.edge.const import (
    DOWN_S,
    MAX_KEPT_OPEN_S,
    MIN_KEPT_OPEN_S,
    RESET_MEMORY_S,
)
from mangoway.policy.edge.reach import RunnerReach


class TestRunnerReach:
    """Failures and successes of new connections."""

    def test_failures_of_one_runner_are_not_a_loss(self) -> None:
        reach = RunnerReach()
        assert not any(reach.record_failure("r1", now, now, 9) for now in range(9))
        assert (reach.is_lost, reach.unreachable) == (False, 1)

    def test_several_runners_without_a_success_are_a_loss(self) -> None:
        reach = RunnerReach()
        results = [
            reach.record_failure(each, 0.9, 1.0, 9) for each in ("r1", "r2", "r3")
        ]
        assert (results, reach.is_lost) == ([False, False, True], True)

    def test_success_in_between_shows_that_the_runners_are_at_fault(self) -> None:
        reach = RunnerReach()
        for number in range(20):
            reach.record_failure(f"r{number}", number, number, 40)
            reach.record_failure(f"s{number}", number, number, 40)
            reach.record_reached("t", number)
        assert not reach.is_lost

    def test_failure_of_a_connection_begun_before_a_success_is_the_runners(
        self,
    ) -> None:
        reach = RunnerReach()
        reach.record_reached("t", 1.5)
        assert not any(
            reach.record_failure(each, 1.0, 1.6, 9) for each in ("r1", "r2", "r3")
        )
        assert reach.unreachable == 0

    def test_fewer_runners_than_needed_may_all_fail(self) -> None:
        reach = RunnerReach()
        assert not reach.record_failure("r1", 0.9, 1.0, 2)
        assert reach.record_failure("r2", 0.9, 1.0, 2)

    def test_first_success_ends_the_loss_and_tells_how_long_it_was(self) -> None:
        reach = RunnerReach()
        for each in ("r1", "r2", "r3"):
            reach.record_failure(each, 0.9, 1.0, 9)
        assert reach.record_reached("t", 3.5) == 2.5
        assert reach.record_reached("t", 3.6) is None
        assert (reach.is_lost, reach.unreachable) == (False, 0)

    def test_busy_host_needs_no_check(self) -> None:
        reach = RunnerReach()
        reach.record_reached("t", 1.0)
        assert not reach.needs_check(started_at=1.1, now=1.1)
        assert reach.needs_check(started_at=1.1, now=1.4)
        assert not reach.needs_check(started_at=0.9, now=1.6)

    def test_runner_that_is_down_says_nothing_until_it_is_reached(self) -> None:
        reach = RunnerReach()
        reach.record_failure("r1", 0.9, 1.0, 9)
        reach.record_reached("r2", 1.1)
        assert not reach.is_witness("r1", 1.2)
        for each in ("r1", "r2", "r3"):
            assert not reach.record_failure(each, 1.2, 1.2, 9)
        assert reach.unreachable == 2
        reach.record_reached("r1", 1.3)
        assert reach.is_witness("r1", 1.3)

    def test_runners_are_not_down_because_the_host_was_cut_off(self) -> None:
        reach = RunnerReach()
        for each in ("r1", "r2", "r3"):
            reach.record_failure(each, 0.9, 1.0, 9)
        reach.record_reached("r3", 4.0)
        assert all(reach.is_witness(each, 4.0) for each in ("r1", "r2", "r3"))

    def test_runner_counts_as_down_for_a_limited_time(self) -> None:
        reach = RunnerReach()
        reach.record_failure("r1", 0.9, 1.0, 9)
        reach.record_reached("r2", 1.1)
        assert reach.is_witness("r1", 1.1 + DOWN_S)


class TestKeptOpen:
    """How long a connection must stay open to show that a runner is reached."""

    @pytest.mark.parametrize(
        ("open_s", "expected"),
        [(0.0, MIN_KEPT_OPEN_S), (0.1, 0.2), (0.8, MAX_KEPT_OPEN_S)],
    )
    def test_it_is_longer_than_a_reset_took(
        self, open_s: float, expected: float
    ) -> None:
        reach = RunnerReach()
        reach.record_reset(open_s, 1.0)
        assert reach.get_kept_open_s(1.1) == expected

    def test_slowest_reset_counts_until_none_follows(self) -> None:
        reach = RunnerReach()
        reach.record_reset(0.2, 1.0)
        reach.record_reset(0.1, 2.0)
        assert reach.get_kept_open_s(1.9 + RESET_MEMORY_S) == 0.4
        assert reach.get_kept_open_s(2.0 + RESET_MEMORY_S) == MIN_KEPT_OPEN_S
        reach.record_reset(0.1, 2.0 + RESET_MEMORY_S)
        assert reach.get_kept_open_s(2.1 + RESET_MEMORY_S) == 0.2

    def test_late_end_is_not_one_of_the_way(self) -> None:
        reach = RunnerReach()
        reach.record_reset(MAX_KEPT_OPEN_S, 1.0)
        assert reach.get_kept_open_s(1.1) == MIN_KEPT_OPEN_S

    def test_data_shows_that_resets_were_the_runners(self) -> None:
        reach = RunnerReach()
        reach.record_reset(0.2, 1.0)
        reach.record_data()
        assert reach.get_kept_open_s(1.1) == MIN_KEPT_OPEN_S
