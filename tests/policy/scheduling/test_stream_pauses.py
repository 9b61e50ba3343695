"""Tests of how the share of reading follows the gaps that are seen."""

from mangoway.policy.scheduling.const import (
    CALM_COPY_PREFILL_SHARE,
    PAUSED_COPY_PREFILL_SHARE,
)
from mangoway.policy.scheduling.stream_pauses import StreamPauses


def simulate(paused_each: int, seconds: int = 10) -> StreamPauses:
    """Return the gaps after ten streams a second, of which every nth paused."""
    pauses = StreamPauses()
    for number in range(10 * seconds):
        paused = bool(paused_each) and number % paused_each == 0
        pauses.record_stream(number / 10, paused=paused)
    return pauses


class TestCopyWork:
    """How much one copy of a model is to take."""

    def test_streams_without_pauses_allow_much(self) -> None:
        assert simulate(0).choose_copy_prefill_share(10.0) == CALM_COPY_PREFILL_SHARE

    def test_many_pauses_allow_little(self) -> None:
        assert simulate(5).choose_copy_prefill_share(10.0) == PAUSED_COPY_PREFILL_SHARE

    def test_some_pauses_allow_less(self) -> None:
        some = simulate(16).choose_copy_prefill_share(10.0)
        assert PAUSED_COPY_PREFILL_SHARE < some < CALM_COPY_PREFILL_SHARE

    def test_pauses_are_forgotten(self) -> None:
        pauses = simulate(5)
        for number in range(300):
            pauses.record_stream(10 + number / 10, paused=False)
        assert pauses.choose_copy_prefill_share(40.0) == CALM_COPY_PREFILL_SHARE

    def test_nothing_seen_lies_between(self) -> None:
        some = StreamPauses().choose_copy_prefill_share(0.0)
        assert PAUSED_COPY_PREFILL_SHARE < some < CALM_COPY_PREFILL_SHARE
