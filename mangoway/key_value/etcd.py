"""Adapter for key-value services with the public etcd v3 API."""

from collections.abc import AsyncIterator

from ..observability.metrics import Metrics
from ..settings.process import KeyValueSettings
from . import rpc_pb2
from .etcd_client import EtcdClient
from .etcd_lease import LeaseKeeper
from .etcd_watch import watch_prefix
from .etcd_write import TransactionWriter, make_stored_value
from .prefix import find_prefix_end
from .registry import register_key_value
from .store import CallRank, Put, StoredValue, TransactionResult


class EtcdStore:
    """Implementation of `KeyValueStore` on the etcd API."""

    def __init__(self, client: EtcdClient) -> None:
        self._client = client
        self._writer = TransactionWriter(client)
        self._leases = LeaseKeeper(client, self._writer)

    async def async_get(self, key: str, rank: CallRank) -> StoredValue:
        """Read one key."""
        kvs = await self._async_range(rpc_pb2.RangeRequest(key=key.encode()), rank)
        return make_stored_value(key, kvs[0] if kvs else None)

    async def async_list(self, prefix: str, rank: CallRank) -> tuple[StoredValue, ...]:
        """Read all keys with a prefix, in key order."""
        start = prefix.encode()
        request = rpc_pb2.RangeRequest(key=start, range_end=find_prefix_end(start))
        kvs = await self._async_range(request, rank)
        return tuple(make_stored_value(kv.key.decode(), kv) for kv in kvs)

    async def async_commit(
        self, puts: tuple[Put, ...], rank: CallRank
    ) -> TransactionResult:
        """Write all keys if each of them still has its expected revision."""
        return await self._writer.async_commit(puts, rank)

    async def async_acquire_lease(
        self, key: str, owner: str, ttl_s: float, rank: CallRank
    ) -> bool:
        """Acquire or renew a lease key; return False while another owner holds it."""
        return await self._leases.async_acquire(key, owner, ttl_s, rank)

    async def async_release_lease(self, key: str, owner: str, rank: CallRank) -> None:
        """Release a lease key that this owner holds."""
        await self._leases.async_release(key, owner, rank)

    def watch(self, prefix: str) -> AsyncIterator[StoredValue]:
        """Yield changes under a prefix from this call on, or from shortly before it.

        The watch starts after the newest revision that this store has received, so a
        change made between a read and this call is yielded if no other call was made
        in between.

        A watch that ends or stalls is replaced by one that first yields how the keys
        differ from what was yielded, deletions among it. If the service was restored
        from a backup before the watch began, all existing keys are yielded.
        """
        return watch_prefix(self._client, prefix, self._client.revision)

    def close(self) -> None:
        """Close the connection after its last call; watches have their own."""
        self._client.endpoints.close()

    async def _async_range(
        self, request: rpc_pb2.RangeRequest, rank: CallRank
    ) -> list[rpc_pb2.KeyValue]:
        reply = await self._client.async_range(request, rank)
        return list(reply.kvs)


@register_key_value("etcd")
def make_etcd_store(settings: KeyValueSettings, metrics: Metrics) -> EtcdStore:
    """Return the store; an event loop must be running."""
    return EtcdStore(EtcdClient(settings, metrics))
