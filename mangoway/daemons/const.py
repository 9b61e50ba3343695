"""Constants of the controller process."""

from typing import Final

CELLS_PREFIX: Final = "/mangoway/cells/"
LEASE_NAME: Final = "lease"
LEDGERS_NAME: Final = "ledgers"

LEDGER_FORMAT: Final = 1
"""Format of a stored ledger; a reader refuses any other."""

LEDGER_LIST_THRESHOLD: Final = 4
"""Ledgers asked for at once from which one listing is cheaper than single reads."""

LEASE_RENEWALS: Final = 3
"""Renewals in the time for which a lease is taken."""

MAX_POLLS_PER_SECOND: Final = 60.0
"""Reports that a controller reads in a second at most."""

POLL_PERIOD_S: Final = 2.0
"""Time between two reports of a runner at rest."""

POLL_BUSY_PERIOD_S: Final = 0.5
"""Time between two reports of a runner with an order under way."""

POLL_CONCURRENCY: Final = 16
"""Engines that are asked at once."""

SILENT_AFTER_S: Final = 6.0
"""Time without an answer after which an engine counts as silent."""

MAX_EXPLANATIONS: Final = 200
"""Entries in one answer to an operator's question."""

SESSION_BITS: Final = 63
"""Bits of a heartbeat session number."""

ORDER_WATCH_S: Final = 30.0
"""Time for which a runner is asked often after an order was sent to it."""
