"""Transactions of the etcd API, and how those without a response are settled.

A transaction without a response is sent again with the same comparisons and the same
nonce. If the first attempt took effect, the comparisons of the second fail, and the
nonce in the value or in a previous version of the key shows that the write took effect.
"""

from collections.abc import Sequence

from attrs import frozen
from grpclib.client import Channel
from grpclib.const import Status

from ..models.errors import ErrorCode, MangowayError
from ..models.identifiers import Revision
from ..models.verdict import Verdict
from ..observability.event_log import log_event
from ..observability.events import WriteSettled, WriteUnsettled
from . import rpc_grpc, rpc_pb2
from .const import MAX_HISTORY_VERSIONS, NONCE_BYTES, WRITE_ATTEMPTS
from .endpoints import CallFailed
from .envelope import Envelope
from .etcd_client import EtcdClient, make_unavailable_error
from .etcd_expiry import ExpiryLeases
from .store import CallRank, Put, StoredValue, TransactionResult


@frozen(kw_only=True)
class Write:
    """Transaction with the nonce that identifies it."""

    puts: tuple[Put, ...]
    nonce: bytes
    lease_ids: tuple[int, ...]
    """Lease id of each put; 0 for none."""

    def make_request(self) -> rpc_pb2.TxnRequest:
        """Return the request: compare all keys, then write all or read all."""
        return rpc_pb2.TxnRequest(
            compare=[_make_compare(put) for put in self.puts],
            success=[
                self._make_op(put, lease_id)
                for put, lease_id in zip(self.puts, self.lease_ids, strict=True)
            ],
            failure=[
                rpc_pb2.RequestOp(
                    request_range=rpc_pb2.RangeRequest(key=put.key.encode())
                )
                for put in self.puts
            ],
        )

    def _make_op(self, put: Put, lease_id: int) -> rpc_pb2.RequestOp:
        key = put.key.encode()
        if put.value is None:
            return rpc_pb2.RequestOp(
                request_delete_range=rpc_pb2.DeleteRangeRequest(key=key)
            )
        value = Envelope(self.nonce, put.value).encode()
        return rpc_pb2.RequestOp(
            request_put=rpc_pb2.PutRequest(key=key, value=value, lease=lease_id)
        )


class TransactionWriter:
    """Commits transactions and settles those whose response was lost."""

    def __init__(self, client: EtcdClient) -> None:
        self._client = client
        self._expiry_leases = ExpiryLeases(client)

    async def async_commit(
        self, puts: tuple[Put, ...], rank: CallRank, lease_id: int = 0
    ) -> TransactionResult:
        """Commit one transaction; its keys are attached to a lease unless the id is 0.

        Raises:
            MangowayError: See `KeyValueStore`.
        """
        nonce = self._client.random_source.randbytes(NONCE_BYTES)
        verdict = Verdict.NOT_RUN
        for failures in range(WRITE_ATTEMPTS):
            await self._client.async_back_off(failures)
            try:
                lease_ids = await self._async_find_leases(puts, lease_id, rank)
                write = Write(puts=puts, nonce=nonce, lease_ids=lease_ids)
                reply = await self._async_send(write, rank)
            except CallFailed as error:
                verdict = verdict.merge(error.verdict)
                last = error
                continue
            except MangowayError as error:
                # No lease or no budget, but an earlier attempt may have taken effect.
                raise _change_verdict(error, verdict) from error
            return await self._async_settle(write, reply, rank, verdict)
        key = puts[0].key
        if verdict is not Verdict.NOT_RUN:
            log_event(WriteUnsettled(key=key))
        raise make_unavailable_error("txn", key, last, verdict) from last

    async def _async_find_leases(
        self, puts: tuple[Put, ...], lease_id: int, rank: CallRank
    ) -> tuple[int, ...]:
        return tuple(
            [
                await self._expiry_leases.async_find(put.ttl_s, rank)
                if put.ttl_s
                else lease_id
                for put in puts
            ]
        )

    async def _async_send(self, write: Write, rank: CallRank) -> rpc_pb2.TxnResponse:
        request = write.make_request()

        async def send(channel: Channel) -> rpc_pb2.TxnResponse:
            reply: rpc_pb2.TxnResponse = await rpc_grpc.KVStub(channel).Txn(request)
            return reply

        try:
            return await self._client.async_call_once("txn", rank, send)
        except CallFailed as error:
            if error.status is Status.NOT_FOUND:
                self._expiry_leases.clear()
            raise

    async def _async_settle(
        self,
        write: Write,
        reply: rpc_pb2.TxnResponse,
        rank: CallRank,
        verdict: Verdict,
    ) -> TransactionResult:
        key = write.puts[0].key
        if reply.succeeded:
            return _succeed(reply.header.revision)
        reads = [response.response_range for response in reply.responses]
        kvs = [read.kvs[0] if read.kvs else None for read in reads]
        if verdict is not Verdict.NOT_RUN:
            revision = await self._async_find_own_revision(write, kvs, rank)
            log_event(WriteSettled(key=key, succeeded=revision is not None))
            if revision is not None:
                return _succeed(revision)
        current = tuple(
            make_stored_value(put.key, kv)
            for put, kv in zip(write.puts, kvs, strict=True)
        )
        return TransactionResult(succeeded=False, revision=Revision(0), current=current)

    async def _async_find_own_revision(
        self, write: Write, kvs: Sequence[rpc_pb2.KeyValue | None], rank: CallRank
    ) -> int | None:
        """Return the revision at which the write took effect, or None if it did not."""
        pairs = list(zip(write.puts, kvs, strict=True))
        written = [pair for pair in pairs if pair[0].value is not None]
        if not written:
            # Deletions store no nonce; they count as done if all keys are absent.
            all_absent = all(kv is None for kv in kvs)
            return self._client.revision if all_absent else None
        for put, kv in written:
            if (kv.mod_revision if kv else 0) == put.expected:
                return None
        for put, kv in written:
            if kv is not None:
                return await self._async_search_history(put, kv, write.nonce, rank)
        raise self._make_unsettled_error(write.puts[0].key)

    async def _async_search_history(
        self, put: Put, latest: rpc_pb2.KeyValue, nonce: bytes, rank: CallRank
    ) -> int | None:
        """Search a key's versions for a nonce, from the latest to the expected one."""
        kv: rpc_pb2.KeyValue | None = latest
        for _ in range(MAX_HISTORY_VERSIONS):
            if kv is None or kv.mod_revision <= put.expected:
                return None
            if Envelope.decode(kv.value).nonce == nonce:
                return kv.mod_revision
            kv = await self._async_read_previous(kv, rank)
        raise self._make_unsettled_error(put.key)

    async def _async_read_previous(
        self, kv: rpc_pb2.KeyValue, rank: CallRank
    ) -> rpc_pb2.KeyValue | None:
        request = rpc_pb2.RangeRequest(key=kv.key, revision=kv.mod_revision - 1)

        try:
            reply = await self._client.async_range(request, rank)
        except MangowayError as error:
            raise _change_verdict(error, Verdict.MAY_HAVE_RUN) from error
        return reply.kvs[0] if reply.kvs else None

    def _make_unsettled_error(self, key: str) -> MangowayError:
        log_event(WriteUnsettled(key=key))
        return MangowayError(
            ErrorCode.PLATFORM_UNAVAILABLE,
            f"{key}: the response to the write was lost and the key has changed since",
            Verdict.MAY_HAVE_RUN,
        )


def make_stored_value(key: str, kv: rpc_pb2.KeyValue | None) -> StoredValue:
    """Convert a key of the API, or None for an absent key, to the typed value."""
    if kv is None:
        return StoredValue(key=key, value=None, revision=Revision(0))
    value = Envelope.decode(kv.value).value
    return StoredValue(key=key, value=value, revision=Revision(kv.mod_revision))


def _make_compare(put: Put) -> rpc_pb2.Compare:
    return rpc_pb2.Compare(
        target=rpc_pb2.Compare.MOD,
        result=rpc_pb2.Compare.EQUAL,
        key=put.key.encode(),
        mod_revision=put.expected,
    )


def _succeed(revision: int) -> TransactionResult:
    return TransactionResult(succeeded=True, revision=Revision(revision))


def _change_verdict(error: MangowayError, verdict: Verdict) -> MangowayError:
    failure = error.failure
    return MangowayError(
        failure.code, failure.detail, verdict, retry_after=failure.retry_after
    )
