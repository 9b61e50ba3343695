"""The lease of a cell, held by the controller that plans the cell's placement."""

import asyncio
from collections.abc import Callable

from attrs import define, field

from ..key_value.store import CallRank, KeyValueStore
from ..models.errors import MangowayError
from ..models.identifiers import CellId, IncarnationId
from .const import CELLS_PREFIX, LEASE_NAME, RENEWALS_PER_LEASE


@define(eq=False, kw_only=True)
class LeaseHolder:
    """Acquires and renews the lease.

    The lease selects the controller that plans; it does not protect writes. Safety
    comes from the ledgers: the writes of a holder that was paused past its lease fail,
    since the revisions have changed.
    """

    store: KeyValueStore
    cell: CellId
    owner: IncarnationId
    ttl_s: float
    on_gained: Callable[[], None]
    on_lost: Callable[[], None]
    _held_until: float | None = field(default=None, init=False)
    """Loop time at which the lease expires unless it is renewed; None if not held."""

    @property
    def held(self) -> bool:
        """Return whether this process counts the lease as held.

        Another process may already hold it, since its loss is detected late.
        """
        return self._held_until is not None

    async def async_run(self) -> None:
        """Acquire and renew the lease until cancelled."""
        while True:
            await self._async_renew()
            await asyncio.sleep(self._compute_delay_s())

    async def async_release(self) -> None:
        """Release the lease, so that another controller can acquire it immediately."""
        self._mark_lost()
        # Release it even if not held: an interrupted renewal may have taken effect.
        try:
            await self.store.async_release_lease(
                self._key, self.owner, CallRank.BACKGROUND
            )
        except MangowayError:
            # The lease expires by itself.
            return

    async def _async_renew(self) -> None:
        requested_at = asyncio.get_running_loop().time()
        self._check_expired(requested_at)
        try:
            held = await self.store.async_acquire_lease(
                self._key, self.owner, self.ttl_s, CallRank.SAFETY
            )
        except MangowayError:
            # Without an answer, a lease that was held expires at its own time.
            self._check_expired(asyncio.get_running_loop().time())
            return
        if held:
            self._extend(requested_at + self.ttl_s)
        else:
            self._mark_lost()

    def _extend(self, expires_at: float) -> None:
        gained = self._held_until is None
        self._held_until = expires_at
        if gained:
            self.on_gained()

    def _check_expired(self, now: float) -> None:
        if self._held_until is not None and now >= self._held_until:
            self._mark_lost()

    def _mark_lost(self) -> None:
        if self._held_until is not None:
            self._held_until = None
            self.on_lost()

    def _compute_delay_s(self) -> float:
        period_s = self.ttl_s / RENEWALS_PER_LEASE
        if self._held_until is None:
            return period_s
        left_s = self._held_until - asyncio.get_running_loop().time()
        return max(0.0, min(period_s, left_s))

    @property
    def _key(self) -> str:
        return f"{CELLS_PREFIX}{self.cell}/{LEASE_NAME}"
