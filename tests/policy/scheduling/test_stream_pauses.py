"""Tests of how the planned prefill share follows the observed pauses."""

from mangoway.policy.scheduling.const import (
    CALM_COPY_PREFILL_SHARE,
    PAUSED_COPY_PREFILL_SHARE,
)
from mangoway.policy.scheduling.stream_pauses import StreamPauses


def simulate(paused_each: int, seconds: int = 10) -> StreamPauses:
    """Return the pauses of ten streams per second, some of which paused.

    Args:
        paused_each: One stream in this many paused; 0 if none did.
        seconds: Time for which the streams are recorded.
    """
    pauses = StreamPauses()
    for number in range(10 * seconds):
        paused = bool(paused_each) and number % paused_each == 0
        pauses.record_stream(number / 10, paused=paused)
    return pauses


class TestCopyPrefillShare:
    """Prefill share that one copy of a model is planned for."""

    def test_no_pauses_allow_a_high_share(self) -> None:
        assert simulate(0).choose_copy_prefill_share(10.0) == CALM_COPY_PREFILL_SHARE

    def test_many_pauses_allow_a_low_share(self) -> None:
        assert simulate(5).choose_copy_prefill_share(10.0) == PAUSED_COPY_PREFILL_SHARE

    def test_some_pauses_allow_a_medium_share(self) -> None:
        some = simulate(16).choose_copy_prefill_share(10.0)
        assert PAUSED_COPY_PREFILL_SHARE < some < CALM_COPY_PREFILL_SHARE

    def test_pauses_decay(self) -> None:
        pauses = simulate(5)
        for number in range(300):
            pauses.record_stream(10 + number / 10, paused=False)
        assert pauses.choose_copy_prefill_share(40.0) == CALM_COPY_PREFILL_SHARE

    def test_prior_lies_between(self) -> None:
        some = StreamPauses().choose_copy_prefill_share(0.0)
        assert PAUSED_COPY_PREFILL_SHARE < some < CALM_COPY_PREFILL_SHARE
