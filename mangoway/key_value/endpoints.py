"""Connections to the endpoints of the key-value service."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

from attrs import define
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from h2.exceptions import H2Error

from ..models.verdict import Verdict
from ..observability.event_log import log_event
from ..observability.events import KeyValueReconnected
from ..util.address import CONNECT_ERRORS, split_address

ReplyT = TypeVar("ReplyT")

CONNECTION_ERRORS = (
    OSError,
    StreamTerminatedError,
    ProtocolError,
    H2Error,
    AttributeError,
)
"""Errors that grpclib raises if a connection breaks during a call.

AttributeError is raised if grpclib uses a connection that was just closed by its peer
and no longer has a transport.
"""

REJECTED = frozenset(
    {
        Status.INVALID_ARGUMENT,
        Status.NOT_FOUND,
        Status.PERMISSION_DENIED,
        Status.UNAUTHENTICATED,
        Status.RESOURCE_EXHAUSTED,
        Status.FAILED_PRECONDITION,
        Status.OUT_OF_RANGE,
        Status.UNIMPLEMENTED,
    }
)
"""Statuses with which the service rejects a call that it did not execute."""


class CallFailed(Exception):
    """An attempt of a call failed; its verdict says whether it may have run."""

    def __init__(
        self, reason: str, verdict: Verdict, status: Status | None = None
    ) -> None:
        super().__init__(reason)
        self.verdict = verdict
        self.status = status


@define(eq=False)
class Connection:
    """Connection that is closed once it is retired and its last call has ended."""

    address: str
    channel: Channel
    calls: int = 0
    """Number of calls in progress."""

    retired: bool = False

    def retire(self) -> None:
        """Close the connection after its last call."""
        self.retired = True
        self._close_if_idle()

    def end_call(self) -> None:
        """Count a call as ended; close the connection if it was the last."""
        self.calls -= 1
        self._close_if_idle()

    def _close_if_idle(self) -> None:
        if self.retired and not self.calls:
            self.channel.close()


class Endpoints:
    """Endpoints of the service, with a connection to one of them.

    If a call fails, the connection is replaced by one to the next endpoint, except if
    the service rejected the call. A connection may stop responding for good while new
    ones work, so it is also replaced after a timeout. Its calls in progress continue.
    """

    def __init__(
        self, addresses: tuple[str, ...], timeout_s: float, random_source: random.Random
    ) -> None:
        # Each client starts at a random endpoint, so that the load is distributed.
        self._addresses = tuple(random_source.sample(addresses, len(addresses)))
        self._timeout_s = timeout_s
        self._next = 0
        self._connection: Connection | None = None

    async def async_call(self, send: Callable[[Channel], Awaitable[ReplyT]]) -> ReplyT:
        """Make one attempt of a call.

        Raises:
            CallFailed: If no connection could be made, the service rejected the call or
                no response arrived in time.
        """
        connection = self._find_connection()
        connection.calls += 1
        try:
            await self.async_connect(connection)
            return await self._async_send(connection, send)
        except CallFailed as error:
            if error.status not in REJECTED:
                self._replace(connection, str(error))
            raise
        finally:
            connection.end_call()

    def open_connection(self) -> Connection:
        """Return a new connection to the next endpoint, for use by `async_connect`."""
        address = self._addresses[self._next % len(self._addresses)]
        self._next += 1
        return Connection(address, Channel(*split_address(address)))

    async def async_connect(self, connection: Connection) -> None:
        """Connect unless the connection is connected already.

        Raises:
            CallFailed: If connecting fails; nothing was sent.
        """
        try:
            async with asyncio.timeout(self._timeout_s):
                await connection.channel.__connect__()
        except CONNECT_ERRORS as error:
            reason = f"cannot connect to {connection.address}: {error!r}"
            raise CallFailed(reason, Verdict.NOT_RUN) from error

    def close(self) -> None:
        """Close the current connection after its last call."""
        if self._connection is not None:
            self._connection.retire()
            self._connection = None

    def _find_connection(self) -> Connection:
        if self._connection is None:
            self._connection = self.open_connection()
        return self._connection

    async def _async_send(
        self, connection: Connection, send: Callable[[Channel], Awaitable[ReplyT]]
    ) -> ReplyT:
        try:
            async with asyncio.timeout(self._timeout_s):
                return await send(connection.channel)
        except GRPCError as error:
            verdict = Verdict.MAY_HAVE_RUN
            if error.status in REJECTED:
                verdict = Verdict.NOT_RUN
            reason = f"{connection.address}: {error.status.name} {error.message or ''}"
            raise CallFailed(reason, verdict, error.status) from error
        except TimeoutError as error:
            reason = f"{connection.address}: no response within {self._timeout_s:g} s"
            raise CallFailed(reason, Verdict.MAY_HAVE_RUN) from error
        except CONNECTION_ERRORS as error:
            reason = f"{connection.address}: {error!r}"
            raise CallFailed(reason, Verdict.MAY_HAVE_RUN) from error

    def _replace(self, connection: Connection, reason: str) -> None:
        if self._connection is not connection:
            return
        log_event(KeyValueReconnected(endpoint=connection.address, reason=reason))
        self._connection = None
        connection.retire()
