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
