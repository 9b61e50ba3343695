"""Decodes what runners say of themselves in the fields of their answers."""

import re
from typing import Final

from ..http1.messages import Headers
from ..models.signals import NO_SIGNALS, DroppedField, RunnerSignals
from . import headers as names

DECIMAL: Final = re.compile(r"\d{1,300}(\.\d{1,300})?", re.ASCII)
"""Digits with at most one point: no sign, no exponent, no words such as `inf`."""

LEAVES: Final = b"1"
"""The one value by which a runner says that it leaves."""

STATUS_REFUSED: Final = 503
MAX_REST_S: Final = 86_400.0
"""Longest rest, a day: by then the runner has another life."""

FIELDS: Final = frozenset({names.REQUEST_LIMIT, names.LEAVING})

MAX_LOGGED_CHARACTERS: Final = 64
"""Part of a value that can't be read which is kept for the log."""


def decode_signals(headers: Headers, status: int) -> RunnerSignals:
    """Return what an answer says of its runner.

    A field that comes several times counts by its strictest value. What can't be read
    counts as not said, and is returned as dropped. Rest is asked for in refusals only.
    """
    fields = FIELDS if status != STATUS_REFUSED else FIELDS | {names.RETRY_AFTER}
    values = [(key.lower(), raw) for key, raw in headers if key.lower() in fields]
    if not values:
        return NO_SIGNALS
    limits = [read_decimal(raw) for key, raw in values if key == names.REQUEST_LIMIT]
    rests = [read_decimal(raw) or 0.0 for key, raw in values if _is_rest(key)]
    named = [each for each in limits if each is not None]
    return RunnerSignals(
        limit=min(named, default=None),
        is_limit_known=bool(named) or not limits,
        leaving=(names.LEAVING, LEAVES) in values,
        rest_s=min(MAX_REST_S, max(rests, default=0.0)),
        dropped=tuple(_drop(*each) for each in values if not _is_readable(*each)),
    )


def read_decimal(raw: bytes) -> float | None:
    """Return a decimal number; None if the bytes are none, such as a date."""
    text = raw.decode("latin-1").strip()
    return float(text) if DECIMAL.fullmatch(text) else None


def _is_rest(name: bytes) -> bool:
    return name == names.RETRY_AFTER


def _is_readable(name: bytes, raw: bytes) -> bool:
    if name == names.LEAVING:
        return raw == LEAVES
    return read_decimal(raw) is not None


def _drop(name: bytes, raw: bytes) -> DroppedField:
    value = raw.decode("latin-1")[:MAX_LOGGED_CHARACTERS]
    return DroppedField(name=name.decode(), value=value)
