"""Limits the loads from the weight store to the store's rate."""

import math
from collections import deque

from attrs import define, field

from ...models.routing import EngineProfile
from .const import (
    STORE_FIRST_LOADS,
    STORE_FIRST_SHARE,
    STORE_LOAD_SHARE,
    STORE_WINDOW_S,
)


@define(eq=False)
class StoreLoadLimiter:
    """Keeps loads from the weight store within the store's rate."""

    _started: deque[tuple[float, float]] = field(factory=deque, init=False)
    """Start and expected end of each load."""

    _first_until: float = field(default=-math.inf, init=False)
    """End of the first window in which this process sends orders."""

    _may_load_first: bool = field(default=True, init=False)
    """Whether loads are allowed in that window."""

    _rare: dict[str, float] = field(factory=dict, init=False)
    """Runners that fetch a rare model, with the expected end."""

    def start(self, now: float, *, may_load: bool = True) -> None:
        """Record that this process sends orders from now on.

        Another process may have sent some before.

        Args:
            now: Time in seconds.
            may_load: Whether loads are allowed in the first window; they are not if
                several processes have sent orders shortly before.
        """
        self._first_until = now + STORE_WINDOW_S
        self._may_load_first = may_load

    def record_load(self, now: float, ends_at: float) -> None:
        """Record a load that starts now."""
        self._started.append((now, ends_at))

    def record_rare_load(self, runner_id: str, ends_at: float) -> None:
        """Record that the load of a rare model occupies a runner."""
        self._rare[runner_id] = ends_at

    def count_rare_loads(self, now: float) -> int:
        """Return the number of runners that loads of rare models occupy."""
        self._rare = {key: end for key, end in self._rare.items() if end > now}
        return len(self._rare)

    def can_start(self, engine: EngineProfile, now: float) -> bool:
        """Return whether the store allows one more load at full speed."""
        while self._started and self._started[0][0] <= now - STORE_WINDOW_S:
            self._started.popleft()
        allowed = engine.loads_per_s * STORE_WINDOW_S * STORE_LOAD_SHARE
        if now < self._first_until:
            if not self._may_load_first:
                return False
            # The previous scheduler may have started as many as are allowed.
            allowed = max(STORE_FIRST_LOADS, allowed * STORE_FIRST_SHARE)
        if len(self._started) + 1 > max(1.0, allowed):
            return False
        at_once = max(1, int(engine.loads_per_s * engine.mean_load_s))
        under_way = sum(1 for _, ends_at in self._started if ends_at > now)
        return under_way < at_once
