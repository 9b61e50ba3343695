"""Idempotency keys: which of them name their home."""

import re
from typing import Final

from ..models.idempotency import HomedKey
from ..models.identifiers import IncarnationId

INCARNATION_PATTERN: Final = re.compile(r"[0-9a-f]{32}")
"""Form of incarnations of gateways; a plain key hardly has it by chance."""


def find_home(key: str) -> IncarnationId | None:
    """Return the incarnation that a key names; None for a plain key."""
    try:
        homed = HomedKey.parse(key)
    except ValueError:
        return None
    return homed.home if INCARNATION_PATTERN.fullmatch(homed.home) else None
