"""Tests of the judgement whether a host has lost its connections to all runners."""

from mangoway.policy.edge.const import DOWN_S
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
