"""Keeps a process announced in the store for as long as it runs."""

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
from .members import ANNOUNCEMENTS_PER_S, encode_member
from .mirror import Mirror
from .store import (
    NO_REVISION,
    CoordinationStore,
    LeaseEndedError,
    StoreRevision,
    StoreUnavailableError,
    Write,
)

LEASE_S: Final = 3.0
"""Time after which a silent process is no longer announced. For this long a fleet may
have no scheduler, and callers may receive the address of a host that has failed: the
leader removes the address of an edge sooner, but may have run on the same host."""

RENEW_S: Final = 1.0
"""Time between two renewals of the lease: a third of it, so that two renewals may fail.
A scheduler that loses its lease loses leadership."""

EDGE_RENEW_S: Final = 1.5
"""Time between two renewals by an edge. Only one renewal may fail, which is enough
because the key of an edge can be written again. Most renewals are sent by edges, and
each is a store call that is billed."""

ANNOUNCE_SPREAD_S: Final = 0.5
"""Time over which processes spread the rewriting of lost keys. After an outage of the
store, the keys of all processes may be gone at once."""

FIRST_RETRY_S: Final = 0.2
MAX_RETRY_S: Final = 1.0


@define(eq=False)
class Presence:
    """The member's key and its lease, which are recreated when they are lost."""

    store: CoordinationStore
    member: Member
    prefix: str
    """Prefix of the system's own keys."""

    renew_s: float = RENEW_S
    random: Random = field(factory=Random)
    clock: Callable[[], float] = read_boot_clock
    count_processes: Callable[[], int] = lambda: 1
    """Returns the number of known processes of the system, including this one."""

    lease_id: int = field(default=0, init=False)
    valid_until: float = field(default=0.0, init=False)
    """Time on the boot clock until which the lease is certainly valid."""

    announced: bool = field(default=False, init=False)
    """Whether the member's key was written with the current lease."""

    failing: bool = field(default=False, init=False)
    """Whether the last call received no response."""

    _lease_era: int = field(default=0, init=False)
    """Latest era of the store in which the lease is known to exist."""

    _announced_revision: StoreRevision = field(default=NO_REVISION, init=False)
    """Revision of the store at which the member's key was last written."""

    _leaving: bool = field(default=False, init=False)
    _key_lost: asyncio.Event = field(factory=asyncio.Event, init=False)
    """Set if the key must be written again before the next renewal of the lease."""

    _backoff: Backoff = field(
        factory=lambda: Backoff(FIRST_RETRY_S, MAX_RETRY_S), init=False
    )

    async def async_run(self) -> None:
        """Renew the lease until the process leaves or the task is cancelled."""
        while not self._leaving:
            try:
                await self._async_step()
            except LeaseEndedError:
                self.failing = False
                self.discard_lease("it has ended")
                if self._is_lease_era_over():
                    await asyncio.sleep(self._choose_spread_s())
            except StoreUnavailableError:
                # The mirror logs the outage.
                self.failing = True
                await asyncio.sleep(self._backoff.next())
            else:
                self.failing = False
                self._backoff.reset()
                await self._async_wait()

    async def async_leave(self) -> None:
        """Remove the member's key if the store can be reached."""
        self._leaving = True
        lease_id, self.lease_id = self.lease_id, 0
        self.valid_until = 0.0
        if lease_id == 0 or self._is_lease_era_over():
            return
        try:
            await self.store.async_end_lease(lease_id)
        except StoreUnavailableError as error:
            # The lease expires without further action.
            log_event(log.LeaseKept(reason=str(error)))

    def is_valid(self) -> bool:
        """Return whether the lease is certainly valid now."""
        if self.lease_id == 0 or self._is_lease_era_over():
            return False
        return self.clock() < self.valid_until

    def handle_state(self, mirror: Mirror) -> None:
        """Compare the mirrored state of the store with the announcement.

        After the store came back from a copy, the lease still exists if the copy
        contains the key with it. Otherwise its ID may belong to another process now.
        """
        revision = mirror.revision or NO_REVISION
        item = mirror.items.get(self.prefix + self.member.key)
        if item is None or item.value != encode_member(self.member):
            self.handle_key_lost(revision)
        elif revision.era > self._lease_era and self.lease_id != 0:
            if item.lease_id == self.lease_id:
                self._lease_era = revision.era
            else:
                self.handle_key_lost(revision)

    def handle_key_lost(self, revision: StoreRevision) -> None:
        """Schedule a write of the key, since it is missing in the store.

        Args:
            revision: Revision of the store at which the key was missing. Revisions
                before the last write of the key are ignored.
        """
        if self._leaving or revision < self._announced_revision:
            return
        if revision.era > self._lease_era:
            self.discard_lease("the store came back from a copy without it")
        self.announced = False
        self._key_lost.set()

    def discard_lease(self, reason: str) -> None:
        """Treat the lease as ended; `async_run` will request another one."""
        if self.lease_id:
            log_event(log.LeaseEnded(lease_id=self.lease_id, reason=reason))
        self.lease_id = 0
        self.valid_until = 0.0
        self.announced = False

    async def _async_wait(self) -> None:
        """Wait until the lease must be renewed or the key must be written."""
        try:
            async with asyncio.timeout(self.renew_s):
                await self._key_lost.wait()
        except TimeoutError:
            return
        self._key_lost.clear()
        await asyncio.sleep(self._choose_spread_s())

    def _choose_spread_s(self) -> float:
        """Return the delay before a lost key is written again.

        When the store came back from a copy, the keys of all processes may be lost.
        """
        spread_s = ANNOUNCE_SPREAD_S
        if self._is_lease_era_over():
            spread_s = max(spread_s, self.count_processes() / ANNOUNCEMENTS_PER_S)
        return self.random.uniform(0.0, spread_s)

    def _is_lease_era_over(self) -> bool:
        """Return whether the lease may have been lost and its ID given out again."""
        return self.store.era > self._lease_era

    async def _async_step(self) -> None:
        requested_at = self.clock()
        if self.lease_id == 0:
            lease_id = await self.store.async_grant_lease(LEASE_S)
            if self._leaving:
                await self.store.async_end_lease(lease_id)
                return
            self.lease_id, self._lease_era = lease_id, self.store.era
        elif self._is_lease_era_over():
            # The mirrored state will show whether the lease still exists.
            return
        elif self.announced:
            await self.store.async_renew_lease(self.lease_id)
            if self._is_lease_era_over():
                return
        if not self._leaving:
            self.valid_until = max(self.valid_until, requested_at + LEASE_S)
        if not self.announced and self.lease_id:
            await self._async_announce()

    async def _async_announce(self) -> None:
        write = Write(
            key=self.prefix + self.member.key,
            value=encode_member(self.member),
            lease_id=self.lease_id,
        )
        result = await self.store.async_commit((), (write,))
        if self._is_lease_era_over():
            # The key may be bound to the lease of another process.
            self.discard_lease("the store came back from a copy")
            self._key_lost.set()
            return
        self._announced_revision = result.revision
        self.announced = True
