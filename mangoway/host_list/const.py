"""Constants of the host list, such as labels and their values."""

from typing import Final

LABEL_ROLE: Final = "role"
LABEL_DATA_CENTRE: Final = "data_centre"
LABEL_HOST: Final = "host"
LABEL_STATE: Final = "state"
LABEL_SERVICE: Final = "service"

ROLE_RUNNER: Final = "runner"
ROLE_SERVICE: Final = "service"

STATE_LIVE: Final = "live"
STATE_LEAVING: Final = "leaving"

SCHEME: Final = "http"
DEFAULT_PORT: Final = 80
READ_TIMEOUT_S: Final = 2.0
MAX_LISTING_BYTES: Final = 1 << 24
PERIOD_JITTER: Final = 0.2
"""Maximum share of the period by which the time between two reads varies."""
