"""Tests of what a runner still has to read."""

import pytest

from mangoway.policy.scheduling.prefill_backlog import GRANT_DELAY_S, PrefillBacklog
from mangoway.policy.scheduling.requests import RunningRequest

from ...fakes.fleet import make_asked

FIRST_EVENT_S = 0.08


def send(
    backlog: PrefillBacklog, request_id: str, now: float, prefill_s: float
) -> RunningRequest:
    """Send a prompt and return it."""
    running = RunningRequest(
        grant_request=make_asked(request_id),
        runner_id="r0",
        granted_at=now,
        prefill_s=prefill_s,
        prefill_tokens=1000,
        first_event_overhead_s=FIRST_EVENT_S,
        kv_tokens=1000,
    )
    backlog.add(running, now)
    return running


class TestMeasure:
    """For how long a runner still reads."""

    def test_prompt_is_read_before_its_first_event(self) -> None:
        backlog = PrefillBacklog()
        send(backlog, "q1", now=1.0, prefill_s=0.03)
        assert backlog.estimate_remaining_s(1.0) == pytest.approx(GRANT_DELAY_S + 0.03)
        assert backlog.estimate_remaining_s(1.05) == 0.0

    def test_prompts_are_read_one_after_the_other(self) -> None:
        backlog = PrefillBacklog()
        for number in range(3):
            send(backlog, f"q{number}", now=1.0, prefill_s=0.03)
        assert backlog.estimate_remaining_s(1.0) == pytest.approx(GRANT_DELAY_S + 0.09)

    def test_overdue_first_event_shows_a_slow_runner(self) -> None:
        backlog = PrefillBacklog()
        send(backlog, "q1", now=1.0, prefill_s=0.03)
        assert backlog.estimate_remaining_s(1.5) > 0.3

    def test_late_first_event_puts_the_others_off(self) -> None:
        backlog = PrefillBacklog()
        first = send(backlog, "q1", now=1.0, prefill_s=0.03)
        send(backlog, "q2", now=1.0, prefill_s=0.03)
        before = backlog.estimate_remaining_s(1.0)
        backlog.record_first_event(first, first.prefilled_at + FIRST_EVENT_S + 0.02)
        assert backlog.ends_at - 1.0 == pytest.approx(before + 0.02)

    def test_prompt_that_ended_is_not_read(self) -> None:
        backlog = PrefillBacklog()
        first = send(backlog, "q1", now=1.0, prefill_s=0.03)
        send(backlog, "q2", now=1.0, prefill_s=0.05)
        backlog.remove(first, 1.0)
        assert backlog.estimate_remaining_s(1.0) == pytest.approx(GRANT_DELAY_S + 0.05)


class TestBegin:
    """When a prompt began to be read, as its first event shows."""

    def test_alone_it_was_the_grant(self) -> None:
        backlog = PrefillBacklog()
        first = send(backlog, "q1", now=1.0, prefill_s=0.03)
        assert backlog.estimate_start(first) == 1.0

    def test_behind_another_it_was_the_end_of_that(self) -> None:
        backlog = PrefillBacklog()
        first = send(backlog, "q1", now=1.0, prefill_s=0.03)
        second = send(backlog, "q2", now=1.01, prefill_s=0.03)
        backlog.record_first_event(first, 1.2)
        assert backlog.estimate_start(second) == pytest.approx(1.2 - FIRST_EVENT_S)

    def test_out_of_order_it_is_not_known(self) -> None:
        backlog = PrefillBacklog()
        send(backlog, "q1", now=1.0, prefill_s=0.03)
        second = send(backlog, "q2", now=1.01, prefill_s=0.03)
        assert backlog.estimate_start(second) is None

    def test_adopted_it_is_not_known(self) -> None:
        backlog = PrefillBacklog()
        first = send(backlog, "q1", now=1.0, prefill_s=0.03)
        first.adopted = True
        assert backlog.estimate_start(first) is None
