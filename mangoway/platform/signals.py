"""Decodes the signals of runners in the header fields of their responses."""

import re
from typing import Final

from ..http1.messages import Headers
from ..models.signals import NO_SIGNALS, DroppedField, RunnerSignals
from . import headers as names

DECIMAL: Final = re.compile(r"\d{1,300}(\.\d{1,300})?", re.ASCII)
"""Digits with at most one decimal point: no sign, exponent, `inf` or `nan`."""

LEAVING_VALUE: Final = b"1"
"""The only valid value of the field by which a runner signals that it is leaving."""

STATUS_UNAVAILABLE: Final = 503
MAX_COOLDOWN_S: Final = 86_400.0
"""Longest cooldown, a day; by then the runner has been restarted."""

SIGNAL_FIELDS: Final = frozenset({names.REQUEST_LIMIT, names.BRITTLE, names.LEAVING})

MAX_LOGGED_CHARACTERS: Final = 64
"""Length to which an invalid value is truncated for the log."""


def decode_signals(headers: Headers, status: int) -> RunnerSignals:
    """Return the signals in the header fields of a runner's response.

    If a field occurs several times, its strictest value counts. Invalid values are
    ignored and returned as dropped fields. Only a 503 response starts a cooldown.

    Args:
        headers: Header fields of the response.
        status: Status code of the response.
    """
    fields = (
        SIGNAL_FIELDS
        if status != STATUS_UNAVAILABLE
        else SIGNAL_FIELDS | {names.RETRY_AFTER}
    )
    values = [(key.lower(), raw) for key, raw in headers if key.lower() in fields]
    if not values:
        return NO_SIGNALS
    limits = [parse_decimal(raw) for key, raw in values if key == names.REQUEST_LIMIT]
    cooldowns = [
        parse_decimal(raw) or 0.0 for key, raw in values if _is_retry_after(key)
    ]
    brittle = [parse_decimal(raw) for key, raw in values if key == names.BRITTLE]
    valid_limits = [each for each in limits if each is not None]
    return RunnerSignals(
        limit=min(valid_limits, default=None),
        is_limit_known=bool(valid_limits) or not limits,
        brittle=min((each for each in brittle if each is not None), default=None),
        leaving=(names.LEAVING, LEAVING_VALUE) in values,
        rest_s=min(MAX_COOLDOWN_S, max(cooldowns, default=0.0)),
        dropped=tuple(
            _make_dropped_field(*each) for each in values if not _is_valid(*each)
        ),
    )


def parse_decimal(raw: bytes) -> float | None:
    """Return a decimal number; None if the bytes are not one, such as a date."""
    text = raw.decode("latin-1").strip()
    return float(text) if DECIMAL.fullmatch(text) else None


def _is_retry_after(name: bytes) -> bool:
    return name == names.RETRY_AFTER


def _is_valid(name: bytes, raw: bytes) -> bool:
    if name == names.LEAVING:
        return raw == LEAVING_VALUE
    return parse_decimal(raw) is not None


def _make_dropped_field(name: bytes, raw: bytes) -> DroppedField:
    value = raw.decode("latin-1")[:MAX_LOGGED_CHARACTERS]
    return DroppedField(name=name.decode(), value=value)
