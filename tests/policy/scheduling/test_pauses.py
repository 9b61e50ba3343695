"""Tests of how the share of reading follows the pauses that are seen."""

from mangoway.policy.scheduling.const import CALM_COPY_WORK_S, PAUSED_COPY_WORK_S
from mangoway.policy.scheduling.pauses import Pauses


def play(paused_each: int, seconds: int = 10) -> Pauses:
    """Return the pauses after ten streams a second, of which every nth paused."""
    pauses = Pauses()
    for number in range(10 * seconds):
        paused = bool(paused_each) and number % paused_each == 0
        pauses.note(number / 10, paused=paused)
    return pauses


class TestCopyWork:
    """How much one copy of a model is to take."""

    def test_streams_without_pauses_allow_much(self) -> None:
        assert play(0).choose_copy_work(10.0) == CALM_COPY_WORK_S

    def test_many_pauses_allow_little(self) -> None:
        assert play(5).choose_copy_work(10.0) == PAUSED_COPY_WORK_S

    def test_some_pauses_allow_less(self) -> None:
        some = play(16).choose_copy_work(10.0)
        assert PAUSED_COPY_WORK_S < some < CALM_COPY_WORK_S

    def test_pauses_are_forgotten(self) -> None:
        pauses = play(5)
        for number in range(300):
            pauses.note(10 + number / 10, paused=False)
        assert pauses.choose_copy_work(40.0) == CALM_COPY_WORK_S

    def test_nothing_seen_lies_between(self) -> None:
        some = Pauses().choose_copy_work(0.0)
        assert PAUSED_COPY_WORK_S < some < CALM_COPY_WORK_S
