"""Stand-in for the key-value service: a part of the published etcd v3 interface."""

import argparse
import asyncio
import weakref
from collections import Counter
from typing import Any

from aiohttp import web
from attrs import define
from grpclib import GRPCError, Status
from grpclib.protocol import H2Protocol
from grpclib.server import Server, Stream

from mangoway.key_value import rpc_grpc, rpc_pb2

from .etcd_storage import EtcdStorage
from .serving import StandIn, run_stand_in

WATCH_POLL_S = 0.01


@define
class KeyValueSwitches:
    """Failures of the key-value service; counters refer to future calls."""

    down: bool = False
    slow_s: float = 0.0
    """Time before each call is handled."""

    lose_answers: int = 0
    """Number of writes that take effect and get no response."""

    lose_writes: int = 0
    """Number of writes that have no effect and get no response."""

    watch_stalled: bool = False
    """Whether watches stay open without events and progress."""

    blind_watches: int = 0
    """Number of watches, from the first one on, that get progress but no events.

    Their progress is the position at which they started.
    """


class CuttingServer(Server):
    """A gRPC server that can close its connections, as if its process had died."""

    def __init__(self, services: list[Any]) -> None:
        super().__init__(services)
        self._protocols: weakref.WeakSet[H2Protocol] = weakref.WeakSet()

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        self._protocols.add(protocol)
        return protocol

    def cut(self) -> None:
        """Close every connection."""
        for protocol in self._protocols:
            if getattr(protocol, "connection", None):
                protocol.connection.close()


class KeyValueStandIn(StandIn):
    """The gRPC server, with switches and the ground truth on a separate HTTP port."""

    switches: KeyValueSwitches

    def __init__(self, storage: EtcdStorage | None = None) -> None:
        super().__init__(KeyValueSwitches())
        self.storage = storage or EtcdStorage()
        self.calls: Counter[str] = Counter()
        self.admin = ""
        self._peers: set[Any] = set()
        self._silent_peers: set[Any] = set()
        self._server = CuttingServer(
            [KeyValueCalls(self), LeaseCalls(self), WatchCalls(self)]
        )
        self.app.router.add_post("/admin/lapse", self._async_lapse)

    def truth(self) -> dict[str, Any]:
        """Return the calls by kind, the revision, and the keys with theirs."""
        kvs = self.storage.range(b"\0", b"\xff")
        return {
            "calls": dict(self.calls),
            "revision": self.storage.revision,
            "keys": {kv.key.decode(): kv.mod_revision for kv in kvs},
        }

    def addresses(self) -> dict[str, str]:
        """Return the addresses of the service and of its switches."""
        return {"address": self.address, "admin": self.admin}

    async def async_start(self, listen: str = "127.0.0.1:0") -> str:
        """Listen, and return the address of the service."""
        self.admin = await super().async_start()
        host, _, port = listen.rpartition(":")
        await self._server.start(host, int(port))
        server: Any = self._server
        name = server._server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"
        return self.address

    async def async_stop(self) -> None:
        """Stop both servers."""
        self._server.close()
        self._server.cut()
        await self._server.wait_closed()
        await super().async_stop()

    def silence(self) -> None:
        """Stop responding on every connection used so far."""
        self._silent_peers |= self._peers

    def lapse(self) -> None:
        """Expire every lease now."""
        for number in tuple(self.storage.leases):
            self.storage.revoke(number)

    async def async_begin_call(self, stream: Stream[Any, Any], kind: str) -> None:
        """Count a call; then hang, wait or fail according to the switches."""
        peer = stream.peer.addr()
        self._peers.add(peer)
        await self.async_hang_if_silent(stream)
        self.calls[kind] += 1
        await asyncio.sleep(self.switches.slow_s)
        if self.switches.down:
            raise GRPCError(Status.UNAVAILABLE, "down")

    async def async_hang_if_silent(self, stream: Stream[Any, Any]) -> None:
        """Hang for good if the connection of a call is silent."""
        if stream.peer.addr() in self._silent_peers:
            await asyncio.Event().wait()

    def header(self) -> rpc_pb2.ResponseHeader:
        """Return the header of a response."""
        return rpc_pb2.ResponseHeader(revision=self.storage.revision)

    async def _async_silence(self, request: web.Request) -> web.Response:
        self.silence()
        return web.json_response({"silent": len(self._silent_peers)})

    async def _async_lapse(self, request: web.Request) -> web.Response:
        self.lapse()
        return web.json_response({})


class KeyValueCalls(rpc_grpc.KVBase):
    """Reads and transactions."""

    def __init__(self, owner: KeyValueStandIn) -> None:
        self._owner = owner

    async def Range(self, stream: Stream[Any, Any]) -> None:
        request = await stream.recv_message()
        await self._owner.async_begin_call(stream, "range")
        storage = self._owner.storage
        if request.revision > storage.revision:
            raise GRPCError(
                Status.OUT_OF_RANGE, "etcdserver: mvcc: required revision is in future"
            )
        if 0 < request.revision < storage.compacted:
            raise GRPCError(
                Status.OUT_OF_RANGE,
                "etcdserver: mvcc: required revision has been compacted",
            )
        await stream.send_message(self._read(request))

    async def Txn(self, stream: Stream[Any, Any]) -> None:
        request = await stream.recv_message()
        owner, switches = self._owner, self._owner.switches
        await owner.async_begin_call(stream, "txn")
        if switches.lose_writes:
            switches.lose_writes -= 1
            await asyncio.Event().wait()
        if not owner.storage.has_leases(request):
            raise GRPCError(Status.NOT_FOUND, "requested lease not found")
        succeeded = owner.storage.compare(request.compare)
        if succeeded:
            owner.storage.write(request)
            if switches.lose_answers:
                switches.lose_answers -= 1
                await asyncio.Event().wait()
        reads = (
            ()
            if succeeded
            else (self._read(op.request_range) for op in request.failure)
        )
        await stream.send_message(
            rpc_pb2.TxnResponse(
                header=owner.header(),
                succeeded=succeeded,
                responses=[rpc_pb2.ResponseOp(response_range=read) for read in reads],
            )
        )

    def _read(self, request: rpc_pb2.RangeRequest) -> rpc_pb2.RangeResponse:
        kvs = self._owner.storage.range(
            request.key, request.range_end, request.revision
        )
        return rpc_pb2.RangeResponse(
            header=self._owner.header(), kvs=kvs, count=len(kvs)
        )


class LeaseCalls(rpc_grpc.LeaseBase):
    """Leases."""

    def __init__(self, owner: KeyValueStandIn) -> None:
        self._owner = owner

    async def LeaseGrant(self, stream: Stream[Any, Any]) -> None:
        request = await stream.recv_message()
        await self._owner.async_begin_call(stream, "lease_grant")
        self._owner.storage.grant(request.ID, request.TTL)
        await stream.send_message(
            rpc_pb2.LeaseGrantResponse(
                header=self._owner.header(), ID=request.ID, TTL=request.TTL
            )
        )

    async def LeaseRevoke(self, stream: Stream[Any, Any]) -> None:
        request = await stream.recv_message()
        await self._owner.async_begin_call(stream, "lease_revoke")
        self._owner.storage.revoke(request.ID)
        await stream.send_message(
            rpc_pb2.LeaseRevokeResponse(header=self._owner.header())
        )

    async def LeaseKeepAlive(self, stream: Stream[Any, Any]) -> None:
        async for request in stream:
            await self._owner.async_begin_call(stream, "lease_keep_alive")
            ttl_s = self._owner.storage.keep_alive(request.ID)
            await stream.send_message(
                rpc_pb2.LeaseKeepAliveResponse(
                    header=self._owner.header(), ID=request.ID, TTL=ttl_s
                )
            )


class WatchCalls(rpc_grpc.WatchBase):
    """Watches of one range each."""

    def __init__(self, owner: KeyValueStandIn) -> None:
        self._owner = owner

    async def Watch(self, stream: Stream[Any, Any]) -> None:
        watch_request = await stream.recv_message()
        await self._owner.async_begin_call(stream, "watch")
        number = self._owner.calls["watch"]
        create = watch_request.create_request
        storage = self._owner.storage
        start = create.start_revision or storage.revision + 1
        position = sum(each.kv.mod_revision < start for each in storage.events)
        await self._async_send(stream, created=True)
        if start <= storage.compacted:
            await self._async_send(
                stream, canceled=True, compact_revision=storage.compacted
            )
            return
        progress_request = asyncio.ensure_future(stream.recv_message())
        try:
            while not self._owner.switches.down:
                if self._owner.switches.watch_stalled:
                    await asyncio.sleep(WATCH_POLL_S)
                    continue
                if number > self._owner.switches.blind_watches:
                    position = await self._async_send_events(stream, create, position)
                if progress_request.done():
                    if progress_request.result() is None:
                        return
                    self._owner.calls["watch_progress"] += 1
                    await self._async_send(stream, at=self._find_revision(position))
                    progress_request = asyncio.ensure_future(stream.recv_message())
                await asyncio.wait({progress_request}, timeout=WATCH_POLL_S)
        finally:
            progress_request.cancel()
        raise GRPCError(Status.UNAVAILABLE, "down")

    def _find_revision(self, position: int) -> int:
        """Return the revision up to which the events before a position are complete."""
        storage = self._owner.storage
        if position == len(storage.events):
            return storage.revision
        return storage.events[position].kv.mod_revision - 1

    async def _async_send_events(
        self,
        stream: Stream[Any, Any],
        create: rpc_pb2.WatchCreateRequest,
        position: int,
    ) -> int:
        """Send the events of the watch from a position on; return the new position."""
        events = self._owner.storage.events
        end = len(events)
        matching = [
            each
            for each in events[position:end]
            if create.key <= each.kv.key < create.range_end
        ]
        if matching:
            await self._async_send(stream, events=matching)
        return end

    async def _async_send(
        self, stream: Stream[Any, Any], at: int | None = None, **fields: Any
    ) -> None:
        await self._owner.async_hang_if_silent(stream)
        header = self._owner.header()
        if at is not None:
            header.revision = at
        await stream.send_message(rpc_pb2.WatchResponse(header=header, **fields))


if __name__ == "__main__":
    run_stand_in(lambda options: KeyValueStandIn(), argparse.ArgumentParser())
