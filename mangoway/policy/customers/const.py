"""Constants of quota enforcement."""

from typing import Final

SPENDING_RETENTION_S: Final = 10.0
"""Time for which spending is kept, to report it to the next scheduler. A customer whose
spending is older has its whole burst back, at a rate of one burst per second."""

SLOT_S: Final = 0.5
"""Period whose spending is stored as one amount."""

SLACK_SHARE: Final = 0.25
"""Share of the fleet's slack that is granted on top of a burst. Requests reach the
scheduler in another order and slightly later than callers send them, and a customer at
its quota must not be rejected for that. The rest is for hosts without a scheduler."""

OVERDRAFT_S: Final = 1.5
"""Time after the loss of its scheduler during which a host allows an overdraft to
customers that had quota left, since their equal share on one host is less than one
request. The overdraft is reported to the next scheduler as debt. Spending at six times
a customer's usual rate for this time, after usual spending, stays within the overshoot
that is allowed in a window."""

SCHEDULER_STARTUP_S: Final = 0.75
"""Time after its start during which a scheduler grants whole quotas, as if all hosts
were connected, since they connect one after the other. The previous scheduler, if it is
still active, adds less than one burst."""

OVER_QUOTA: Final = "the customer's quota is spent"
"""Reason of the rejection of a request whose customer is over quota."""
