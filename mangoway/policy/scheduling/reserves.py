"""Room that customers above their shares leave for the others.

The order of the queue alone doesn't protect the others: a customer that asks for far
more than its share takes all slots within moments, and the next requests of the others
wait until streams end. Its prompts also delay the streams beside them.
"""

from typing import Final

from .const import HIGH_PAUSE_SHARE, USABLE_SLOT_SHARE
from .runners import RunnerState
from .state import SchedulingState

SLOT_RESERVE_SHARE: Final = 0.1
"""Share of a runner's slots that customers above their shares leave free. It covers the
others' arrivals until a stream ends; a larger share idles while they send little."""


def leaves_reserve(
    state: SchedulingState, customer: str, runner: RunnerState, now: float
) -> bool:
    """Return whether a customer's next request leaves enough room for the others.

    While many streams of the service pause for too long, a request of a customer above
    its share also waits for a runner that has no recent prompts.
    """
    service = runner.entry.service
    shares = state.get_shares(service)
    if shares is None or runner.engine is None:
        return True
    room = state.count_runners(service) * state.limit_scale
    if not shares.is_above(customer, room, now):
        return True
    slots = runner.engine.slots * USABLE_SLOT_SHARE * state.limit_scale
    taken = len(runner.running) + runner.reservations.count
    if taken + 1 > max(1.0, slots * (1 - SLOT_RESERVE_SHARE)):
        return False
    pauses = state.get_stream_pauses(service)
    if pauses.get_paused_share(now) < HIGH_PAUSE_SHARE:
        return True
    return not runner.has_recent_prompts(now)
