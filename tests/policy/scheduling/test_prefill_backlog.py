"""Tests of the estimated prefill backlog of a runner."""

import pytest

from mangoway.policy.scheduling.prefill_backlog import GRANT_DELAY_S, PrefillBacklog
from mangoway.policy.scheduling.requests import RunningRequest

from ...fakes.fleet import make_grant_request

FIRST_EVENT_S = 0.08


def add_prompt(
    backlog: PrefillBacklog, request_id: str, now: float, prefill_s: float
) -> RunningRequest:
    """Add a prompt and return its request."""
    running = RunningRequest(
        grant_request=make_grant_request(request_id),
        runner_id="r0",
        granted_at=now,
        prefill_s=prefill_s,
        prefill_tokens=1000,
        first_event_overhead_s=FIRST_EVENT_S,
        kv_tokens=1000,
    )
    backlog.add(running, now)
    return running


class TestRemainingTime:
    """Remaining prefill time of a runner."""

    def test_prompt_is_prefilled_before_its_first_event(self) -> None:
        backlog = PrefillBacklog()
        add_prompt(backlog, "q1", now=1.0, prefill_s=0.03)
        assert backlog.estimate_remaining_s(1.0) == pytest.approx(GRANT_DELAY_S + 0.03)
        assert backlog.estimate_remaining_s(1.05) == 0.0

    def test_prompts_are_prefilled_one_after_the_other(self) -> None:
        backlog = PrefillBacklog()
        for number in range(3):
            add_prompt(backlog, f"q{number}", now=1.0, prefill_s=0.03)
        assert backlog.estimate_remaining_s(1.0) == pytest.approx(GRANT_DELAY_S + 0.09)

    def test_overdue_first_event_shows_a_slow_runner(self) -> None:
        backlog = PrefillBacklog()
        add_prompt(backlog, "q1", now=1.0, prefill_s=0.03)
        assert backlog.estimate_remaining_s(1.5) > 0.3

    def test_late_first_event_delays_the_others(self) -> None:
        backlog = PrefillBacklog()
        first = add_prompt(backlog, "q1", now=1.0, prefill_s=0.03)
        add_prompt(backlog, "q2", now=1.0, prefill_s=0.03)
        before = backlog.estimate_remaining_s(1.0)
        backlog.record_first_event(first, first.prefilled_at + FIRST_EVENT_S + 0.02)
        assert backlog.ends_at - 1.0 == pytest.approx(before + 0.02)

    def test_ended_prompt_is_removed(self) -> None:
        backlog = PrefillBacklog()
        first = add_prompt(backlog, "q1", now=1.0, prefill_s=0.03)
        add_prompt(backlog, "q2", now=1.0, prefill_s=0.05)
        backlog.remove(first, 1.0)
        assert backlog.estimate_remaining_s(1.0) == pytest.approx(GRANT_DELAY_S + 0.05)


class TestStart:
    """Start of a prompt's prefill, as its first event shows."""

    def test_single_prompt_starts_at_its_grant(self) -> None:
        backlog = PrefillBacklog()
        first = add_prompt(backlog, "q1", now=1.0, prefill_s=0.03)
        assert backlog.estimate_start(first) == 1.0

    def test_second_prompt_starts_after_the_first(self) -> None:
        backlog = PrefillBacklog()
        first = add_prompt(backlog, "q1", now=1.0, prefill_s=0.03)
        second = add_prompt(backlog, "q2", now=1.01, prefill_s=0.03)
        backlog.record_first_event(first, 1.2)
        assert backlog.estimate_start(second) == pytest.approx(1.2 - FIRST_EVENT_S)

    def test_start_is_unknown_out_of_order(self) -> None:
        backlog = PrefillBacklog()
        add_prompt(backlog, "q1", now=1.0, prefill_s=0.03)
        second = add_prompt(backlog, "q2", now=1.01, prefill_s=0.03)
        assert backlog.estimate_start(second) is None

    def test_start_is_unknown_if_adopted(self) -> None:
        backlog = PrefillBacklog()
        first = add_prompt(backlog, "q1", now=1.0, prefill_s=0.03)
        first.adopted = True
        assert backlog.estimate_start(first) is None
