"""Tests of what a runner still has to read."""

import pytest

from mangoway.policy.scheduling.reading import GRANT_WAY_S, Reading
from mangoway.policy.scheduling.requests import Running

from ...fakes.fleet import make_asked

FIRST_EVENT_S = 0.08


def send(reading: Reading, request_id: str, now: float, unread_s: float) -> Running:
    """Send a prompt and return it."""
    running = Running(
        grant_request=make_asked(request_id),
        runner_id="r0",
        granted_at=now,
        unread_s=unread_s,
        unread_tokens=1000,
        first_event_s=FIRST_EVENT_S,
        kv_tokens=1000,
    )
    reading.add(running, now)
    return running


class TestMeasure:
    """For how long a runner still reads."""

    def test_prompt_is_read_before_its_first_event(self) -> None:
        reading = Reading()
        send(reading, "q1", now=1.0, unread_s=0.03)
        assert reading.measure(1.0) == pytest.approx(GRANT_WAY_S + 0.03)
        assert reading.measure(1.05) == 0.0

    def test_prompts_are_read_one_after_the_other(self) -> None:
        reading = Reading()
        for number in range(3):
            send(reading, f"q{number}", now=1.0, unread_s=0.03)
        assert reading.measure(1.0) == pytest.approx(GRANT_WAY_S + 0.09)

    def test_overdue_first_event_shows_a_slow_runner(self) -> None:
        reading = Reading()
        send(reading, "q1", now=1.0, unread_s=0.03)
        assert reading.measure(1.5) > 0.3

    def test_late_first_event_puts_the_others_off(self) -> None:
        reading = Reading()
        first = send(reading, "q1", now=1.0, unread_s=0.03)
        send(reading, "q2", now=1.0, unread_s=0.03)
        before = reading.measure(1.0)
        reading.note_first_event(first, first.read_at + FIRST_EVENT_S + 0.02)
        assert reading.until - 1.0 == pytest.approx(before + 0.02)

    def test_prompt_that_ended_is_not_read(self) -> None:
        reading = Reading()
        first = send(reading, "q1", now=1.0, unread_s=0.03)
        send(reading, "q2", now=1.0, unread_s=0.05)
        reading.note_ended(first, 1.0)
        assert reading.measure(1.0) == pytest.approx(GRANT_WAY_S + 0.05)


class TestBegin:
    """When a prompt began to be read, as its first event shows."""

    def test_alone_it_was_the_grant(self) -> None:
        reading = Reading()
        first = send(reading, "q1", now=1.0, unread_s=0.03)
        assert reading.find_begin(first) == 1.0

    def test_behind_another_it_was_the_end_of_that(self) -> None:
        reading = Reading()
        first = send(reading, "q1", now=1.0, unread_s=0.03)
        second = send(reading, "q2", now=1.01, unread_s=0.03)
        reading.note_first_event(first, 1.2)
        assert reading.find_begin(second) == pytest.approx(1.2 - FIRST_EVENT_S)

    def test_out_of_order_it_is_not_known(self) -> None:
        reading = Reading()
        send(reading, "q1", now=1.0, unread_s=0.03)
        second = send(reading, "q2", now=1.01, unread_s=0.03)
        assert reading.find_begin(second) is None

    def test_adopted_it_is_not_known(self) -> None:
        reading = Reading()
        first = send(reading, "q1", now=1.0, unread_s=0.03)
        first.adopted = True
        assert reading.find_begin(first) is None
