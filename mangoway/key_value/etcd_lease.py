"""Lease keys on the etcd API: keys attached to a lease that must be renewed."""

import asyncio
import math

from attrs import frozen
from grpclib.client import Channel

from ..models.identifiers import Revision
from ..models.verdict import Verdict
from . import rpc_grpc, rpc_pb2
from .const import LEASE_KEY_CHECK_S
from .endpoints import CallFailed
from .envelope import Envelope
from .etcd_client import EtcdClient
from .etcd_write import TransactionWriter
from .store import CallRank, Put


@frozen
class HeldLease:
    """Lease with which an owner holds a key."""

    id: int
    owner: str
    restores: int
    """Restores of the service that had been seen when the key was known to exist."""

    checked_at: float
    """Loop time at which the key was known to exist."""


class LeaseKeeper:
    """Acquisition, renewal and release of lease keys.

    Number of calls: 1 for a renewal, 3 for one that checks the key as well, 1 for an
    attempt while another owner holds the key, 3 to acquire a free key. The time of a
    lease starts at the service, after the call was sent, so a holder that measures it
    from before the call never overestimates it.
    """

    def __init__(self, client: EtcdClient, writer: TransactionWriter) -> None:
        self._client = client
        self._writer = writer
        self._held: dict[str, HeldLease] = {}

    async def async_acquire(
        self, key: str, owner: str, ttl_s: float, rank: CallRank
    ) -> bool:
        """Acquire or renew a key; return False while another owner holds it."""
        held = self._held.get(key)
        if held is None or held.owner != owner:
            held = None
        if held and not await self._async_may_lack_key(held, rank):
            return True
        self._held.pop(key, None)
        holder = await self._async_find_holder(key, rank)
        if holder is None:
            return await self._async_create(key, owner, ttl_s, rank)
        if holder.owner != owner:
            return False
        # An earlier acquisition succeeded although its response was lost, or the key
        # was in question.
        self._held[key] = holder
        return (await self._async_renew(holder, rank)).TTL > 0

    async def async_release(self, key: str, owner: str, rank: CallRank) -> None:
        """Release a key; its lease is revoked, which deletes the key.

        If this process has no record of holding the key, the key is read, since a
        cancelled acquisition may have taken effect.
        """
        held = self._held.get(key)
        if held is None or held.owner != owner:
            held = await self._async_find_holder(key, rank)
        if held is None or held.owner != owner:
            return
        request = rpc_pb2.LeaseRevokeRequest(ID=held.id)

        async def send(channel: Channel) -> rpc_pb2.LeaseRevokeResponse:
            stub = rpc_grpc.LeaseStub(channel)
            reply: rpc_pb2.LeaseRevokeResponse = await stub.LeaseRevoke(request)
            return reply

        await self._client.async_read("lease_revoke", rank, send)
        self._held.pop(key, None)

    async def _async_may_lack_key(self, held: HeldLease, rank: CallRank) -> bool:
        """Renew a lease; return whether it has ended or may be without its key.

        A service that was restored from a backup may have the lease only. It states an
        older revision, like a member that lags behind, until it has given out as many
        again. So the key has to be read in doubt, and now and then.
        """
        known = self._client.revision
        reply = await self._async_renew(held, rank)
        if reply.TTL <= 0 or reply.header.revision < known:
            return True
        if held.restores != self._client.restores:
            return True
        return _now() >= held.checked_at + LEASE_KEY_CHECK_S

    async def _async_renew(
        self, held: HeldLease, rank: CallRank
    ) -> rpc_pb2.LeaseKeepAliveResponse:
        request = rpc_pb2.LeaseKeepAliveRequest(ID=held.id)

        async def send(channel: Channel) -> rpc_pb2.LeaseKeepAliveResponse:
            method = rpc_grpc.LeaseStub(channel).LeaseKeepAlive
            async with method.open() as stream:
                await stream.send_message(request, end=True)
                reply = await stream.recv_message()
            if reply is None:
                raise CallFailed(
                    "no response to the lease renewal", Verdict.MAY_HAVE_RUN
                )
            return reply

        return await self._client.async_read("lease_keep_alive", rank, send)

    async def _async_create(
        self, key: str, owner: str, ttl_s: float, rank: CallRank
    ) -> bool:
        lease_id = await self._client.async_grant(math.ceil(ttl_s), rank)
        put = Put(key=key, value=owner.encode(), expected=Revision(0))
        result = await self._writer.async_commit((put,), rank, lease_id)
        if result.succeeded:
            self._held[key] = self._make_held(lease_id, owner)
        # After a failed commit the lease has no key and expires.
        return result.succeeded

    async def _async_find_holder(self, key: str, rank: CallRank) -> HeldLease | None:
        request = rpc_pb2.RangeRequest(key=key.encode())
        reply = await self._client.async_range(request, rank)
        if not reply.kvs:
            return None
        owner = Envelope.decode(reply.kvs[0].value).value
        return self._make_held(reply.kvs[0].lease, owner.decode(errors="replace"))

    def _make_held(self, lease_id: int, owner: str) -> HeldLease:
        return HeldLease(lease_id, owner, self._client.restores, _now())


def _now() -> float:
    return asyncio.get_running_loop().time()
