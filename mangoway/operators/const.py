"""Constants of the operators' documents."""

from typing import Final

BASE_FILE: Final = "base"
"""Name of the base document in errors if no file name is known."""

OVERLAY_FILE: Final = "overlay"
"""Name of an overlay in errors if no file name is known."""

NAME_PATTERN: Final = r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}"
"""Pattern of names of models, versions, adapters, services, calls, callers, sites."""

MAX_DOCUMENT_BYTES: Final = 900_000
"""Maximum size of a document; the key-value service limits values to a megabyte."""

CONFIG_PREFIX: Final = "/mangoway/config/"
HEAD_KEY: Final = f"{CONFIG_PREFIX}head"
HISTORY_PREFIX: Final = f"{CONFIG_PREFIX}history/"

BASE_PART: Final = "base"
"""Name of the part that all sites share; also the suffix of its key."""

OVERLAY_PART_PREFIX: Final = "overlay/"
"""Prefix of the names of the sites' overlays; also of the suffixes of their keys."""

MAX_HISTORY_ENTRIES: Final = 200
"""Edits kept in the history; each new edit deletes older entries."""

MAX_DELTA_BYTES: Final = 4096
"""Maximum size of a history record. The delta of a larger record is not stored, and
processes read whole documents instead."""

MAX_DIFF_LINES: Final = 2000
"""Longest changed region whose lines are matched individually.

A longer region is split at lines that are unique in both texts, or replaced as a whole
if there are none.
"""

MAX_SETTLE_ATTEMPTS: Final = 5
"""Maximum attempts to commit an edit until it is known whether it was accepted.

Also the maximum attempts to read the documents of a site at one version.
"""

SETTLE_FIRST_PAUSE_S: Final = 0.1
"""Pause before the second commit attempt; it doubles with each further attempt."""

MAX_DELTAS_KEPT: Final = 64
"""Deltas that a process keeps for peers with an older version."""

MAX_DELTAS_READ: Final = 8
"""Maximum number of newer versions that a process reads edit by edit; if there are
more, it reads whole documents."""

COMPRESSION_THRESHOLD_BYTES: Final = 400
"""Minimum size of an update that is compressed."""
