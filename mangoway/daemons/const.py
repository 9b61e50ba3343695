"""Constants of the controller and gateway processes."""

from typing import Final

CELLS_PREFIX: Final = "/mangoway/cells/"
LEASE_NAME: Final = "lease"
LEDGERS_NAME: Final = "ledgers"

INCARNATION_BYTES: Final = 16
"""Random bytes in the identifier of one incarnation of a process."""

LEDGER_FORMAT: Final = 1
"""Format of a stored ledger; readers reject any other."""

LEDGER_LIST_THRESHOLD: Final = 4
"""Number of ledgers from which one listing is cheaper than single reads."""

RENEWALS_PER_LEASE: Final = 3
"""Renewals within the duration of a lease."""

MAX_POLLS_PER_SECOND: Final = 30.0
"""Maximum reports of runners without orders that a process reads per second.

A report costs about 0.6 ms of processor time, and a controller may spend 3% of a core.
"""

POLL_PERIOD_S: Final = 2.0
"""Interval between two reports of a runner without orders."""

STANDBY_POLL_PERIOD_S: Final = 15.0
"""Interval between two reports of a runner that a standby controller reads."""

BUSY_POLL_PERIOD_S: Final = 0.5
"""Interval between two reports of a runner with an order in progress."""

POLL_EARLY_TOLERANCE_S: Final = 0.001
"""Time by which a poll may start early, since timers are not more precise."""

POLL_CONCURRENCY: Final = 16
"""Engines that are polled concurrently."""

SILENT_AFTER_S: Final = 6.0
"""Duration of failed polls after which an engine counts as silent."""

FREQUENT_POLL_S: Final = 30.0
"""Time for which a runner is polled often after an order was sent to it."""

# The gateway process.

CLAIMS_PREFIX: Final = "/mangoway/claims/"

POLLERS_PER_ENGINE: Final = 3
"""Gateways that poll one engine; the others receive its reports from these."""

STOP_CHECK_PERIOD_S: Final = 0.1
"""Interval between two checks of whether a stopping process is idle."""

ADDRESS_RETRY_S: Final = 1.0
"""Time after which a caller may retry when no gateway is ready."""

LEAVE_PROPAGATION_S: Final = 2.0
"""Time for which a leaving process stays so that its last announcement reaches all."""

HAND_OVER_BATCH_RECORDS: Final = 200
"""Records of a leaving gateway that are added in one iteration of the event loop."""

EXIT_IDLE: Final = 0
"""Exit code of a process that interrupted nothing."""

EXIT_CUT_OFF: Final = 1
"""Exit code of a process that ended before its planned stop was complete."""
