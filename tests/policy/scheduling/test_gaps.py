"""Tests of how the share of reading follows the gaps that are seen."""

from mangoway.policy.scheduling.const import CALM_COPY_WORK_S, LOADED_COPY_WORK_S
from mangoway.policy.scheduling.gaps import Gaps


def play(paused_each: int, seconds: int = 10) -> Gaps:
    """Return the gaps after ten streams a second, of which every nth paused."""
    gaps = Gaps()
    for number in range(10 * seconds):
        paused = bool(paused_each) and number % paused_each == 0
        gaps.note(number / 10, paused=paused)
    return gaps


class TestCopyWork:
    """How much one copy of a model is to take."""

    def test_streams_without_pauses_allow_much(self) -> None:
        assert play(0).choose_copy_work(10.0) == CALM_COPY_WORK_S

    def test_many_pauses_allow_little(self) -> None:
        assert play(5).choose_copy_work(10.0) == LOADED_COPY_WORK_S

    def test_some_pauses_allow_less(self) -> None:
        some = play(16).choose_copy_work(10.0)
        assert LOADED_COPY_WORK_S < some < CALM_COPY_WORK_S

    def test_pauses_are_forgotten(self) -> None:
        gaps = play(5)
        for number in range(300):
            gaps.note(10 + number / 10, paused=False)
        assert gaps.choose_copy_work(40.0) == CALM_COPY_WORK_S

    def test_nothing_seen_lies_between(self) -> None:
        some = Gaps().choose_copy_work(0.0)
        assert LOADED_COPY_WORK_S < some < CALM_COPY_WORK_S
