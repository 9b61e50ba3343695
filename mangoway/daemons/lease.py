"""The lease of a cell, held by the controller that plans it."""

import asyncio
from collections.abc import Callable

from attrs import define, field

from ..key_value.store import CallRank, KeyValueStore
from ..models.errors import MangowayError
from ..models.identifiers import CellId, IncarnationId
from .const import CELLS_PREFIX, LEASE_NAME, LEASE_RENEWALS


@define(eq=False, kw_only=True)
class LeaseHolder:
    """Takes and renews the lease; it tells who should plan, not who may write.

    Safety is in the ledgers: a holder that was paused past its lease finds their
    revisions changed.
    """

    store: KeyValueStore
    cell: CellId
    owner: IncarnationId
    ttl_s: float
    on_gained: Callable[[], None]
    on_lost: Callable[[], None]
    _held_until: float | None = field(default=None, init=False)
    """Loop time at which the lease lapses unless it is renewed; None if not held."""

    @property
    def held(self) -> bool:
        """Tell whether this process believes that it holds the lease."""
        return self._held_until is not None

    async def async_run(self) -> None:
        """Take and renew the lease until cancelled."""
        while True:
            await self._async_renew()
            await asyncio.sleep(self._find_pause())

    async def async_release(self) -> None:
        """Give the lease up, so that another controller need not wait for its end."""
        self._lose()
        # Released even if not held: a renewal that was cut off may have taken effect.
        try:
            await self.store.async_release_lease(
                self._key, self.owner, CallRank.BACKGROUND
            )
        except MangowayError:
            # It lapses by itself.
            return

    async def _async_renew(self) -> None:
        asked_at = asyncio.get_running_loop().time()
        self._check_lapsed(asked_at)
        try:
            held = await self.store.async_acquire_lease(
                self._key, self.owner, self.ttl_s, CallRank.SAFETY
            )
        except MangowayError:
            # No answer: what was held lapses at its own time.
            self._check_lapsed(asyncio.get_running_loop().time())
            return
        if held:
            self._hold_until(asked_at + self.ttl_s)
        else:
            self._lose()

    def _hold_until(self, time: float) -> None:
        gained = self._held_until is None
        self._held_until = time
        if gained:
            self.on_gained()

    def _check_lapsed(self, now: float) -> None:
        if self._held_until is not None and now >= self._held_until:
            self._lose()

    def _lose(self) -> None:
        if self._held_until is not None:
            self._held_until = None
            self.on_lost()

    def _find_pause(self) -> float:
        period_s = self.ttl_s / LEASE_RENEWALS
        if self._held_until is None:
            return period_s
        left_s = self._held_until - asyncio.get_running_loop().time()
        return max(0.0, min(period_s, left_s))

    @property
    def _key(self) -> str:
        return f"{CELLS_PREFIX}{self.cell}/{LEASE_NAME}"
