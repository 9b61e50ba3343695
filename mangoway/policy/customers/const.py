"""Constants of quotas, with their units and reasons."""

from typing import Final

SPENDING_RETENTION_S: Final = 10.0
"""Time for which spending is remembered, to tell the next scheduler of it. A customer
whose spending is older has its whole burst back, at a rate of a burst a second."""

SLOT_S: Final = 0.5
"""Spending of so long is remembered as one amount."""

SLACK_USED: Final = 0.25
"""Part of the fleet's slack that is granted on top of a burst. Requests come to the
scheduler in another order and a little later than callers send them, and a customer at
its quota must not be refused for that. The rest is for hosts that hear no scheduler."""

LENT_S: Final = 1.5
"""Time for which a host that has just lost its scheduler lets customers go on who had
something left: their equal part there is less than one request. What is lent is told to
the next scheduler, as debt. Six times the usual of a customer, for so long and after
usual spending, stays within a window's overshoot."""

SCHEDULER_STARTUP_S: Final = 0.75
"""Time from its begin for which a scheduler grants as if it heard all hosts: they come
to it one after the other. One that still grants elsewhere adds less than a burst."""

OVER_QUOTA: Final = "the customer's quota is spent"
"""Why a request is refused whose customer has asked for too much."""
