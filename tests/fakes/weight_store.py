"""Weight store with limits on loads per second and on loads at full speed."""

import math

from attrs import define, field, frozen

_DONE_MB = 1e-5
"""Remainder up to which a load is done; it covers rounding errors."""


@frozen(kw_only=True)
class WeightStoreSettings:
    """Limits of a weight store."""

    loads_per_second: float = 2.0
    loads_at_full_speed: int = 2
    mb_per_second: float = 4000.0
    """Speed of one load while at most `loads_at_full_speed` are running."""


@define
class _Transfer:
    """One load in progress."""

    starts_at: float
    left_mb: float


@define
class WeightStoreModel:
    """Shares the store's bandwidth among the loads of all engines.

    Loads start within the rate limit. If more loads run than `loads_at_full_speed`,
    they share the bandwidth of that many.
    """

    settings: WeightStoreSettings = field(factory=WeightStoreSettings)
    loads_started: int = 0
    _now: float = 0.0
    _next_start: float = 0.0
    _transfers: dict[str, _Transfer] = field(factory=dict)

    def begin(self, now: float, key: str, size_mb: float) -> None:
        """Start a load under a key chosen by the caller."""
        self.advance(now)
        starts_at = max(now, self._next_start)
        self._next_start = starts_at + 1.0 / self.settings.loads_per_second
        self._transfers[key] = _Transfer(starts_at, size_mb)
        self.loads_started += 1

    def abandon(self, now: float, key: str) -> None:
        """Remove a load that its engine no longer needs."""
        self.advance(now)
        self._transfers.pop(key, None)

    def is_done(self, key: str) -> bool:
        """Return whether a load has ended; True also if it was never started."""
        return key not in self._transfers

    def advance(self, now: float) -> None:
        """Advance the time to `now`."""
        while self._now < now:
            step_end = min(now, self.next_event_time())
            self._transfer_until(max(step_end, self._now))
            if step_end >= now:
                break
        self._now = max(self._now, now)

    def next_event_time(self) -> float:
        """Return when the next load starts or ends without further input."""
        running = self._list_running()
        times = [t.starts_at for t in self._transfers.values()]
        times = [time for time in times if time > self._now]
        if running:
            shortest = min(transfer.left_mb for transfer in running)
            times.append(self._now + shortest / self._speed(len(running)))
        return min(times, default=math.inf)

    def _list_running(self) -> list[_Transfer]:
        return [
            transfer
            for transfer in self._transfers.values()
            if transfer.starts_at <= self._now
        ]

    def _speed(self, running: int) -> float:
        """Return the speed of each of the running loads, in MB per second."""
        share = min(1.0, self.settings.loads_at_full_speed / running)
        return self.settings.mb_per_second * share

    def _transfer_until(self, time: float) -> None:
        running = self._list_running()
        if running:
            transferred_mb = (time - self._now) * self._speed(len(running))
            for transfer in running:
                transfer.left_mb -= transferred_mb
            self._remove_done()
        self._now = time

    def _remove_done(self) -> None:
        self._transfers = {
            key: transfer
            for key, transfer in self._transfers.items()
            if transfer.left_mb > _DONE_MB
        }
