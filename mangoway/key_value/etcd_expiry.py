"""Leases for keys that expire; each lease is shared by many keys."""

import asyncio
import math

from attrs import frozen

from .etcd_client import EtcdClient
from .store import CallRank


@frozen
class SharedLease:
    """Lease that keys can be attached to."""

    id: int
    usable_until: float
    """Loop time until which the lease still lasts long enough for a new key."""


class ExpiryLeases:
    """Provider of leases for keys with a time to live.

    A lease lasts for twice the time to live of its keys, and new keys are attached to
    it in the first half. This costs one call per time to live, independent of the
    number of keys.
    """

    def __init__(self, client: EtcdClient) -> None:
        self._client = client
        self._leases: dict[int, SharedLease] = {}
        self._lock = asyncio.Lock()

    async def async_find(self, ttl_s: float, rank: CallRank) -> int:
        """Return the id of a lease that lasts for at least `ttl_s` from now.

        Raises:
            MangowayError: If no lease could be granted; nothing was written.
        """
        seconds = math.ceil(ttl_s)
        async with self._lock:
            requested_at = asyncio.get_running_loop().time()
            lease = self._leases.get(seconds)
            if lease is None or lease.usable_until <= requested_at:
                lease_id = await self._client.async_grant(2 * seconds, rank)
                lease = SharedLease(lease_id, requested_at + seconds)
                self._leases[seconds] = lease
            return lease.id

    def clear(self) -> None:
        """Stop using all leases, since the service has lost one of them."""
        self._leases.clear()
