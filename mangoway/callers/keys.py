"""Idempotency keys that contain the incarnation of their home gateway."""

import re
from typing import Final

from ..models.idempotency import HomedKey
from ..models.identifiers import IncarnationId

INCARNATION_PATTERN: Final = re.compile(r"[0-9a-f]{32}")
"""Format of gateway incarnations; a plain key is unlikely to match it by chance."""


def find_home(key: str) -> IncarnationId | None:
    """Return the incarnation contained in a key; None for a plain key."""
    try:
        homed = HomedKey.parse(key)
    except ValueError:
        return None
    return homed.home if INCARNATION_PATTERN.fullmatch(homed.home) else None
