"""Share of the answers of a plain service that took longer than their objective."""

import math

from attrs import define, field

from .const import ANSWER_WEIGHT, MAX_LATE_SHARE, SLOWNESS_MEMORY_S


@define
class LateShare:
    """Share of late answers among the recent ones of one service at one edge."""

    share: float = 0.0
    updated_at: float = 0.0


@define(eq=False)
class SlownessTracker:
    """Shares of late answers of all services; on-time services have no state."""

    _shares: dict[str, LateShare] = field(factory=dict, init=False)

    def record_answer(self, service: str, *, late: bool, now: float) -> bool:
        """Count an answer; return whether it is late as one of too many."""
        record = self._shares.get(service)
        if record is None:
            if late:
                self._shares[service] = LateShare(ANSWER_WEIGHT, now)
            return False
        age_s = now - record.updated_at
        share = record.share * math.exp(-age_s / SLOWNESS_MEMORY_S)
        record.share = share + ANSWER_WEIGHT * (late - share)
        record.updated_at = now
        if record.share < ANSWER_WEIGHT * ANSWER_WEIGHT:
            del self._shares[service]
        return late and record.share > MAX_LATE_SHARE
