"""Constants of the controller process."""

from typing import Final

CELLS_PREFIX: Final = "/mangoway/cells/"
LEASE_NAME: Final = "lease"
LEDGERS_NAME: Final = "ledgers"

INCARNATION_BYTES: Final = 16
"""Random bytes in the identifier of one life of a process."""

LEDGER_FORMAT: Final = 1
"""Format of a stored ledger; a reader refuses any other."""

LEDGER_LIST_THRESHOLD: Final = 4
"""Ledgers asked for at once from which one listing is cheaper than single reads."""

LEASE_RENEWALS: Final = 3
"""Renewals in the time for which a lease is taken."""

MAX_POLLS_PER_SECOND: Final = 30.0
"""Reports of runners at rest that a process reads in a second at most.

One costs some 0.6 ms of processor time, and a controller may spend 3% of a core.
"""

POLL_PERIOD_S: Final = 2.0
"""Time between two reports of a runner at rest."""

STANDBY_PERIOD_S: Final = 15.0
"""Time between two reports of a runner that a standby controller reads."""

POLL_BUSY_PERIOD_S: Final = 0.5
"""Time between two reports of a runner with an order under way."""

POLL_SLACK_S: Final = 0.001
"""Time by which a turn may come early, since timers are no more exact than that."""

POLL_CONCURRENCY: Final = 16
"""Engines that are asked at once."""

SILENT_AFTER_S: Final = 6.0
"""Time of unanswered questions after which an engine counts as silent."""

ORDER_WATCH_S: Final = 30.0
"""Time for which a runner is asked often after an order was sent to it."""

# The gateway process.

CLAIMS_PREFIX: Final = "/mangoway/claims/"

REPORTERS_PER_ENGINE: Final = 3
"""Gateways of a cell that ask one engine for reports; the others hear of them."""

STOP_POLL_S: Final = 0.1
"""Pause between two looks whether a stopping gateway is idle."""

ADDRESS_RETRY_S: Final = 1.0
"""Time after which a caller may ask again when no gateway is ready."""

LEAVE_SPREAD_S: Final = 2.0
"""Time that a leaving gateway stays for the news of its successor to spread."""

ADOPT_STEP_RECORDS: Final = 200
"""Records of a leaving gateway that are taken over in one turn of the loop."""

EXIT_IDLE: Final = 0
"""Exit code of a process that cut nothing off."""

EXIT_CUT_OFF: Final = 1
"""Exit code of a process whose planned stop was not waited for."""
