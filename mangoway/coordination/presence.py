"""Keeps a process announced in the store for as long as it lives."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from attrs import define, field

from ..models.fleet import Member
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..util.backoff import Backoff
from ..util.clock import read_boot_clock
from .members import encode_member
from .store import (
    CoordinationStore,
    LeaseEndedError,
    StoreUnavailableError,
    Write,
)

LEASE_S: Final = 3.0
"""Time after which a silent process is no longer announced. So long may a fleet be
without a scheduler, and callers be told the address of a host that is gone: the leader
takes that of an edge away sooner, but the host may have been the leader's own."""

RENEW_S: Final = 1.0
"""A third of the lease, so that two renewals may fail: a scheduler that loses its lease
loses the lead."""

EDGE_RENEW_S: Final = 1.5
"""The same for an edge, of which one renewal may fail: its key can be written anew.
Most renewals are those of edges, and each is a call that is paid for."""

ANNOUNCE_SPREAD_S: Final = 0.5
"""Time over which processes whose keys are gone write them anew: a store that lapses
takes the keys of all at once."""

FIRST_RETRY_S: Final = 0.2
MOST_RETRY_S: Final = 1.0


@define(eq=False)
class Presence:
    """Holds a lease with the member's key, and makes both anew when they are lost."""

    store: CoordinationStore
    member: Member
    prefix: str
    """Prefix of the system's own keys."""

    renew_s: float = RENEW_S
    random: Random = field(factory=Random)
    clock: Callable[[], float] = read_boot_clock
    lease_id: int = field(default=0, init=False)
    valid_until: float = field(default=0.0, init=False)
    """Time on the boot clock until which the lease certainly stands."""

    announced: bool = field(default=False, init=False)
    """Whether the member's key was written with the lease."""

    failing: bool = field(default=False, init=False)
    """Whether the last call got no answer."""

    _announced_revision: int = field(default=0, init=False)
    """Revision of the store in which the member's key was written last."""

    _leaving: bool = field(default=False, init=False)
    _key_lost: asyncio.Event = field(factory=asyncio.Event, init=False)
    """Set when the key has to be written again, before the lease is to be renewed."""

    _backoff: Backoff = field(
        factory=lambda: Backoff(FIRST_RETRY_S, MOST_RETRY_S), init=False
    )

    async def async_run(self) -> None:
        """Renew the lease until cancelled or left."""
        while not self._leaving:
            try:
                await self._async_step()
            except LeaseEndedError:
                self.failing = False
                self.discard_lease("it has ended")
            except StoreUnavailableError:
                # The mirror logs that the store is lost.
                self.failing = True
                await asyncio.sleep(self._backoff.next())
            else:
                self.failing = False
                self._backoff.reset()
                await self._async_rest()

    async def async_leave(self) -> None:
        """Take the member's key away, if the store can be reached."""
        self._leaving = True
        lease_id, self.lease_id = self.lease_id, 0
        self.valid_until = 0.0
        if lease_id == 0:
            return
        try:
            await self.store.async_end_lease(lease_id)
        except StoreUnavailableError as error:
            # The lease ends by itself.
            log_event(log.LeaseKept(reason=str(error)))

    def is_valid(self) -> bool:
        """Return whether the lease certainly stands now."""
        return self.lease_id != 0 and self.clock() < self.valid_until

    def handle_key_lost(self, revision: int) -> None:
        """Write the key again, since the store shows that it is gone.

        Args:
            revision: Revision of the store at which that was seen; one before the key
                was written says nothing.
        """
        if not self._leaving and revision >= self._announced_revision:
            self.announced = False
            self._key_lost.set()

    def discard_lease(self, reason: str) -> None:
        """Take the lease as ended; another one is made."""
        if self.lease_id:
            log_event(log.LeaseEnded(lease_id=self.lease_id, reason=reason))
        self.lease_id = 0
        self.valid_until = 0.0
        self.announced = False

    async def _async_rest(self) -> None:
        """Wait until the lease is to be renewed or the key to be written."""
        try:
            async with asyncio.timeout(self.renew_s):
                await self._key_lost.wait()
        except TimeoutError:
            return
        self._key_lost.clear()
        await asyncio.sleep(self.random.uniform(0.0, ANNOUNCE_SPREAD_S))

    async def _async_step(self) -> None:
        asked_at = self.clock()
        if self.lease_id == 0:
            lease_id = await self.store.async_grant_lease(LEASE_S)
            if self._leaving:
                await self.store.async_end_lease(lease_id)
                return
            self.lease_id = lease_id
        elif self.announced:
            await self.store.async_renew_lease(self.lease_id)
        if not self._leaving:
            self.valid_until = max(self.valid_until, asked_at + LEASE_S)
        if not self.announced and self.lease_id:
            await self._async_announce()

    async def _async_announce(self) -> None:
        write = Write(
            key=self.prefix + self.member.key,
            value=encode_member(self.member),
            lease_id=self.lease_id,
        )
        result = await self.store.async_commit((), (write,))
        self._announced_revision = result.revision
        self.announced = True
