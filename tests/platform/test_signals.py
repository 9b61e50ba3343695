"""Tests of the signals of runners in the header fields of their responses."""

import pytest

from mangoway.http1.messages import Headers
from mangoway.models.signals import NO_SIGNALS, DroppedField
from mangoway.platform.signals import MAX_COOLDOWN_S, decode_signals


def make_headers(*fields: tuple[bytes, bytes]) -> Headers:
    """Return the header fields of a response."""
    return ((b"Content-Length", b"0"), *fields)


class TestLimit:
    """The rate limit of a runner, in requests per second."""

    @pytest.mark.parametrize("status", [200, 421, 429, 500, 503, 504])
    def test_limit_is_decoded_for_any_status(self, status: int) -> None:
        signals = decode_signals(make_headers((b"Server-Limit", b"2.1")), status)
        assert (signals.limit, signals.is_limit_known) == (2.1, True)

    def test_response_without_field_has_no_limit(self) -> None:
        signals = decode_signals(make_headers((b"Content-Length", b"2")), 200)
        assert signals == NO_SIGNALS
        assert (signals.limit, signals.is_limit_known) == (None, True)

    @pytest.mark.parametrize(
        ("value", "limit"),
        [(b"0", 0.0), (b" 3 ", 3.0), (b"0.25", 0.25), (b"9" * 300, 1e300)],
        ids=["zero", "spaces", "fraction", "huge"],
    )
    def test_decimal_number_is_decoded(self, value: bytes, limit: float) -> None:
        signals = decode_signals(make_headers((b"server-limit", value)), 200)
        assert signals.limit == pytest.approx(limit)

    @pytest.mark.parametrize(
        "value",
        [
            *(b"", b"many", b"-1", b"+1", b"1e3", b"1_0", b"nan", b"inf", b".5"),
            *(b"1.5, 2", b"9" * 400, b"\xb2", b"Thu, 03 Dec 2026 10:00:00 GMT"),
        ],
    )
    def test_value_that_is_not_a_decimal_number_is_dropped(self, value: bytes) -> None:
        signals = decode_signals(make_headers((b"Server-Limit", value)), 200)
        assert (signals.limit, signals.is_limit_known) == (None, False)
        logged = value.decode("latin-1")[:64]
        assert signals.dropped == (DroppedField(name="server-limit", value=logged),)

    def test_lowest_of_several_limits_is_used(self) -> None:
        fields = [(b"Server-Limit", value) for value in (b"3", b"1.5", b"x")]
        signals = decode_signals(make_headers(*fields), 200)
        assert (signals.limit, signals.is_limit_known) == (1.5, True)
        assert len(signals.dropped) == 1


class TestLeaving:
    """The signal that a runner is leaving."""

    @pytest.mark.parametrize("status", [200, 421, 429, 500, 503, 504])
    def test_leaving_is_decoded_for_any_status(self, status: int) -> None:
        signals = decode_signals(make_headers((b"Server-Leaving", b"1")), status)
        assert (signals.leaving, signals.is_limit_known) == (True, True)

    @pytest.mark.parametrize("value", [b"", b"0", b"2", b"true", b"1, 1", b"-1"])
    def test_values_other_than_1_are_dropped(self, value: bytes) -> None:
        signals = decode_signals(make_headers((b"Server-Leaving", value)), 200)
        assert not signals.leaving
        assert [each.name for each in signals.dropped] == ["server-leaving"]

    def test_one_valid_value_of_several_is_enough(self) -> None:
        fields = [(b"Server-Leaving", value) for value in (b"0", b"1")]
        assert decode_signals(make_headers(*fields), 200).leaving


class TestCooldown:
    """The time for which a runner accepts no more requests of this host."""

    @pytest.mark.parametrize(
        ("value", "rest_s"),
        [(b"3", 3.0), (b"0.5", 0.5), (b"0", 0.0), (b"9" * 300, MAX_COOLDOWN_S)],
        ids=["whole", "fraction", "zero", "huge"],
    )
    def test_cooldown_of_503_response_is_decoded(
        self, value: bytes, rest_s: float
    ) -> None:
        signals = decode_signals(make_headers((b"Retry-After", value)), 503)
        assert (signals.rest_s, signals.dropped) == (rest_s, ())

    @pytest.mark.parametrize("status", [200, 421, 429, 500])
    def test_other_responses_have_no_cooldown(self, status: int) -> None:
        signals = decode_signals(make_headers((b"Retry-After", b"3")), status)
        assert signals == NO_SIGNALS

    @pytest.mark.parametrize(
        "value",
        [b"", b"-3", b"nan", b"inf", b"1e9", b"soon", b"Thu, 03 Dec 2026 10:00:00 GMT"],
    )
    def test_value_that_is_not_a_decimal_number_is_dropped(self, value: bytes) -> None:
        signals = decode_signals(make_headers((b"Retry-After", value)), 503)
        assert signals.rest_s == 0.0
        assert [each.name for each in signals.dropped] == ["retry-after"]

    def test_longest_of_several_cooldowns_is_used(self) -> None:
        fields = [(b"Retry-After", value) for value in (b"1", b"3", b"x")]
        assert decode_signals(make_headers(*fields), 503).rest_s == 3.0
