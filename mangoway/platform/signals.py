"""Decodes what runners say of themselves in the fields of their answers."""

import re
from typing import Final

from ..http1.messages import ResponseHead
from ..models.signals import NO_SIGNALS, DroppedField, RunnerSignals
from . import headers as names

DECIMAL: Final = re.compile(r"\d{1,300}(\.\d{1,300})?", re.ASCII)
"""Digits with at most one point: no sign, no exponent, no words such as `inf`."""

MAX_LOGGED_CHARACTERS: Final = 64
"""Part of a value that can't be read which is kept for the log."""


def decode_signals(head: ResponseHead) -> RunnerSignals:
    """Return what an answer says of its runner.

    A field that comes several times counts by its strictest value. What can't be read
    counts as not said, and is returned as dropped.
    """
    limits = []
    dropped = []
    for key, raw in head.headers:
        if key.lower() != names.REQUEST_LIMIT:
            continue
        limit = read_decimal(raw)
        if limit is None:
            dropped.append(_drop(names.REQUEST_LIMIT, raw))
        else:
            limits.append(limit)
    if not limits and not dropped:
        return NO_SIGNALS
    return RunnerSignals(
        limit=min(limits, default=None),
        limit_known=bool(limits),
        dropped=tuple(dropped),
    )


def read_decimal(raw: bytes) -> float | None:
    """Return a decimal number; None if the bytes are none, such as a date."""
    text = raw.decode("latin-1").strip()
    return float(text) if DECIMAL.fullmatch(text) else None


def _drop(name: bytes, raw: bytes) -> DroppedField:
    value = raw.decode("latin-1")[:MAX_LOGGED_CHARACTERS]
    return DroppedField(name=name.decode(), value=value)
