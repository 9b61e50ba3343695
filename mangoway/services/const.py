"""Constants of the plain service protocol."""

from typing import Final

HEADER_CONTENT_TYPE: Final = "Content-Type"
CONTENT_TYPE_JSON: Final = "application/json"
