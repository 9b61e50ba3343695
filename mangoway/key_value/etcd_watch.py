"""Watches on the etcd API that detect stalls and resume."""

import asyncio
from collections.abc import AsyncIterator, Iterable

from attrs import define
from grpclib.client import Channel, Stream
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from ..models.errors import MangowayError
from ..models.identifiers import Revision
from ..observability.event_log import log_event
from ..observability.events import WatchResumed
from . import rpc_grpc, rpc_pb2
from .const import WATCH_PROGRESS_S, WATCH_SILENCE_S
from .endpoints import CONNECTION_ERRORS, CallFailed
from .etcd_client import EtcdClient
from .etcd_write import make_stored_value
from .prefix import find_prefix_end
from .store import CallRank, StoredValue

WatchStream = Stream[rpc_pb2.WatchRequest, rpc_pb2.WatchResponse]


class WatchFailed(Exception):
    """A watch ended or stalled."""


class WatchCompacted(WatchFailed):
    """The service no longer has the changes after the watch's position."""


class WatchAhead(WatchFailed):
    """The watch's position is beyond the newest revision of the service's member.

    Either the member lags behind, or the service was restored from a backup and assigns
    the later revisions to other changes.
    """


@define(eq=False)
class WatchedKeys:
    """Keys under a prefix with the values that the reader of a watch knows."""

    _values: dict[str, StoredValue]

    def apply(self, changes: Iterable[StoredValue]) -> None:
        """Apply changes that are reported to the reader."""
        for change in changes:
            if change.value is None:
                self._values.pop(change.key, None)
            else:
                self._values[change.key] = change

    def find_changes(self, values: Iterable[StoredValue]) -> list[StoredValue]:
        """Return the differences of a complete list, in key order."""
        listed = {each.key: each for each in values}
        changed = [
            each for each in listed.values() if self._values.get(each.key) != each
        ]
        missing = [
            StoredValue(key=key, value=None, revision=Revision(0))
            for key in self._values.keys() - listed.keys()
        ]
        return sorted([*changed, *missing], key=lambda each: each.key)


async def watch_prefix(
    client: EtcdClient, prefix: str, position: int
) -> AsyncIterator[StoredValue]:
    """Yield changes under a prefix after a revision; failed watches are replaced.

    A replacement begins with a list of all keys, which is compared with what was
    reported. So nothing is missed if the service was restored from a backup and has
    given the revisions after the position to other changes, or has compacted changes.
    """
    lister = PrefixLister(client, prefix)
    known: WatchedKeys | None = None
    failures = 0
    while True:
        is_replacement = failures > 0 or known is not None
        session = WatchSession(client, prefix, 0 if is_replacement else position)
        try:
            await session.async_open()
            await session.async_receive_created()
            if known is None:
                known = WatchedKeys(await lister.async_list_at(position))
            changes: list[StoredValue] = []
            if is_replacement:
                values, revision = await lister.async_list()
                session.skip_until(revision)
                changes = known.find_changes(values)
            while True:
                known.apply(changes)
                for change in changes:
                    yield change
                changes = await session.async_receive()
                failures = 0
        except (WatchFailed, CallFailed, MangowayError) as error:
            reason = str(error)
        finally:
            await session.async_close()
        revision = session.position
        log_event(WatchResumed(prefix=prefix, revision=revision, reason=reason))
        failures += 1
        await client.async_back_off(failures)


class WatchSession:
    """One watch on its own connection.

    If no response arrives for a while, the session requests a progress report, which
    contains the revision up to which the service has sent all changes. If that is older
    than the newest revision that any call had received before the request, the watch
    has stalled.
    """

    def __init__(self, client: EtcdClient, prefix: str, position: int) -> None:
        self.position = position
        """Revision up to which every change was received; 0 if unknown."""

        self._client = client
        self._prefix = prefix.encode()
        self._connection = client.endpoints.open_connection()
        self._stream: WatchStream | None = None
        self._receiving: asyncio.Task[rpc_pb2.WatchResponse | None] | None = None
        self._expected_revision: int | None = None
        self._skipped_until = 0
        self._known_restores = client.restores
        self._last_received_at = 0.0

    async def async_open(self) -> None:
        """Connect and start the watch, which counts as one call.

        Raises:
            CallFailed, MangowayError, WatchFailed: If the watch cannot be started.
        """
        await self._client.async_consume_budget("watch", CallRank.CONFIGURATION)
        await self._client.endpoints.async_connect(self._connection)
        self._count("watch", "ok")
        channel: Channel = self._connection.channel
        stream = rpc_grpc.WatchStub(channel).Watch.open()
        await stream.__aenter__()
        self._stream = stream
        self._last_received_at = asyncio.get_running_loop().time()
        await self._async_send(
            rpc_pb2.WatchRequest(
                create_request=rpc_pb2.WatchCreateRequest(
                    key=self._prefix,
                    range_end=find_prefix_end(self._prefix),
                    start_revision=self.position + 1 if self.position else 0,
                    progress_notify=True,
                )
            )
        )

    async def async_receive_created(self) -> None:
        """Wait until the watch is created: from here on it misses no change.

        Raises:
            WatchFailed: If it is not.
        """
        await self.async_receive()

    def skip_until(self, revision: int) -> None:
        """Skip the changes up to a revision, since a list contained them."""
        self.position = max(self.position, revision)
        self._skipped_until = revision

    async def async_receive(self) -> list[StoredValue]:
        """Wait for changes; the list is empty if only progress was reported.

        Raises:
            WatchFailed: If the watch ended or stalled.
        """
        response = await self._async_wait()
        self._client.update_revision(response)
        if response.compact_revision:
            raise WatchCompacted(
                f"the changes before revision {response.compact_revision} are compacted"
            )
        if response.canceled:
            raise WatchFailed(f"canceled: {response.cancel_reason}")
        if response.events:
            return self._apply_events(response)
        revision = response.header.revision
        if not response.created:
            self._apply_progress(revision)
        elif not self.position:
            self.position = revision
        elif revision < self.position:
            raise WatchAhead(
                f"the newest revision is {revision}, before {self.position}"
            )
        return []

    async def async_close(self) -> None:
        """End the watch and its connection."""
        if self._receiving is not None:
            self._receiving.cancel()
            await asyncio.wait({self._receiving})
        self._connection.channel.close()
        if self._stream is not None:
            try:
                await self._stream.__aexit__(None, None, None)
            except (GRPCError, *CONNECTION_ERRORS):
                # The watch has ended in any case.
                pass

    def _apply_events(self, response: rpc_pb2.WatchResponse) -> list[StoredValue]:
        last = response.events[-1].kv.mod_revision
        self.position = max(self.position, last)
        return [
            _make_change(event)
            for event in response.events
            if event.kv.mod_revision > self._skipped_until
        ]

    def _apply_progress(self, revision: int) -> None:
        expected_revision, self._expected_revision = self._expected_revision, None
        if self._client.restores != self._known_restores:
            raise WatchFailed("the service was restored from a backup")
        self.position = max(self.position, revision)
        if expected_revision is not None and revision < expected_revision:
            raise WatchFailed(
                f"stalled at revision {revision}, newest is {expected_revision}"
            )

    async def _async_wait(self) -> rpc_pb2.WatchResponse:
        loop = asyncio.get_running_loop()
        while True:
            if self._receiving is None:
                self._receiving = asyncio.ensure_future(self._async_read())
            # The read continues in a task beyond the timeout, since cancelling it in
            # the middle of a message would corrupt the stream.
            await asyncio.wait({self._receiving}, timeout=WATCH_PROGRESS_S)
            if self._receiving.done():
                response = self._receiving.result()
                self._receiving = None
                if response is None:
                    raise WatchFailed("the service ended the watch")
                self._last_received_at = loop.time()
                return response
            if loop.time() - self._last_received_at > WATCH_SILENCE_S:
                raise WatchFailed("silent")
            await self._async_request_progress()

    async def _async_request_progress(self) -> None:
        self._client.budget.charge(asyncio.get_running_loop().time())
        self._count("watch_progress", "ok")
        self._expected_revision = self._client.revision
        await self._async_send(
            rpc_pb2.WatchRequest(progress_request=rpc_pb2.WatchProgressRequest())
        )

    async def _async_read(self) -> rpc_pb2.WatchResponse | None:
        assert self._stream is not None
        try:
            return await self._stream.recv_message()
        except (GRPCError, *CONNECTION_ERRORS) as error:
            raise WatchFailed(repr(error)) from error

    async def _async_send(self, request: rpc_pb2.WatchRequest) -> None:
        assert self._stream is not None
        try:
            async with asyncio.timeout(WATCH_SILENCE_S):
                await self._stream.send_message(request)
        except (GRPCError, *CONNECTION_ERRORS, TimeoutError) as error:
            raise WatchFailed(repr(error)) from error

    def _count(self, call: str, result: str) -> None:
        rank = CallRank.CONFIGURATION.name.lower()
        self._client.metrics.key_value_calls.add(call, rank, result)


@define(eq=False)
class PrefixLister:
    """Lists the keys under a prefix."""

    _client: EtcdClient
    _prefix: str

    async def async_list(self) -> tuple[list[StoredValue], int]:
        """Return all keys and the newest revision of the service.

        Raises:
            CallFailed, MangowayError: If the call fails.
        """
        return await self._async_read(0)

    async def async_list_at(self, revision: int) -> dict[str, StoredValue]:
        """Return all keys at a revision, 0 for the newest one.

        It is empty if the service doesn't know the revision: what was read at it may
        have been lost.

        Raises:
            CallFailed, MangowayError: If the call fails.
        """
        try:
            values, _ = await self._async_read(revision)
        except CallFailed as error:
            if error.status is Status.OUT_OF_RANGE:
                return {}
            raise
        return {each.key: each for each in values}

    async def _async_read(self, revision: int) -> tuple[list[StoredValue], int]:
        start = self._prefix.encode()
        request = rpc_pb2.RangeRequest(
            key=start, range_end=find_prefix_end(start), revision=revision
        )

        async def send(channel: Channel) -> rpc_pb2.RangeResponse:
            reply: rpc_pb2.RangeResponse = await rpc_grpc.KVStub(channel).Range(request)
            return reply

        # If it fails, the watch is opened again as well, after a backoff.
        reply = await self._client.async_call_once(
            "range", CallRank.CONFIGURATION, send
        )
        values = [make_stored_value(kv.key.decode(), kv) for kv in reply.kvs]
        return values, reply.header.revision


def _make_change(event: rpc_pb2.Event) -> StoredValue:
    key = event.kv.key.decode()
    if event.type == rpc_pb2.Event.DELETE:
        return StoredValue(key=key, value=None, revision=Revision(0))
    return make_stored_value(key, event.kv)
