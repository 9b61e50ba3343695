"""Constants of the operators' documents."""

from typing import Final

BASE_FILE: Final = "base"
"""Name of the base document where no file name is known."""

OVERLAY_FILE: Final = "overlay"
"""Name of an overlay where no file name is known."""

NAME_PATTERN: Final = r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}"
"""Names of models, versions, adapters, services, calls, callers and sites."""

MAX_DOCUMENT_BYTES: Final = 900_000
"""Longest document; the key-value service holds values up to a megabyte."""

CONFIG_PREFIX: Final = "/mangoway/config/"
HEAD_KEY: Final = f"{CONFIG_PREFIX}head"
HISTORY_PREFIX: Final = f"{CONFIG_PREFIX}history/"

BASE_PART: Final = "base"
"""Part of the configuration that all sites share; also the end of its key."""

OVERLAY_PART_PREFIX: Final = "overlay/"
"""Start of the parts that hold the sites' overlays; also of the ends of their keys."""

HISTORY_LIMIT: Final = 200
"""Edits kept in the history; older entries are deleted with each new one."""

MAX_DELTA_BYTES: Final = 4096
"""Longest delta that is kept and sent; a longer one gives way to whole documents."""

MAX_DIFF_LINES: Final = 2000
"""Changed region up to which lines are matched one by one; above, it is replaced."""

SETTLE_TRIES: Final = 5
"""Tries to settle an edit whose answer was lost."""

SETTLE_FIRST_PAUSE_S: Final = 0.1
"""Pause before the second of these tries; it doubles each time."""

DELTAS_KEPT: Final = 64
"""Deltas that a process keeps for peers that are behind."""

MAX_DELTAS_READ: Final = 8
"""Versions behind up to which single edits are read instead of whole documents."""

COMPRESS_FROM_BYTES: Final = 400
"""Length from which an update is compressed."""
