"""Leases that let keys expire, each shared by many keys."""

import asyncio
import math

from attrs import frozen

from .etcd_client import EtcdClient
from .store import CallRank


@frozen
class SharedLease:
    """A lease that keys may still be bound to."""

    id: int
    usable_until: float
    """Loop time up to which it lasts for at least the time that its keys need."""


class ExpiryLeases:
    """Gives each key with a limited life a lease that lasts long enough.

    A lease lasts twice the time that its keys need and takes keys for the first half,
    so it costs one call for each such time, however many keys there are.
    """

    def __init__(self, client: EtcdClient) -> None:
        self._client = client
        self._leases: dict[int, SharedLease] = {}
        self._lock = asyncio.Lock()

    async def async_find(self, ttl_s: float, rank: CallRank) -> int:
        """Return a lease that lasts for `ttl_s` from now at least.

        Raises:
            MangowayError: If none could be granted; nothing was written.
        """
        seconds = math.ceil(ttl_s)
        async with self._lock:
            asked_at = asyncio.get_running_loop().time()
            lease = self._leases.get(seconds)
            if lease is None or lease.usable_until <= asked_at:
                number = await self._client.async_grant(2 * seconds, rank)
                lease = SharedLease(number, asked_at + seconds)
                self._leases[seconds] = lease
            return lease.id

    def forget(self) -> None:
        """Forget all leases, since the service no longer knows one of them."""
        self._leases.clear()
