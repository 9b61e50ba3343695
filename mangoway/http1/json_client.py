"""Calls with JSON bodies on kept-alive connections."""

import asyncio
from collections.abc import Mapping
from typing import Any, Final
from urllib.parse import urlencode

import orjson
from attrs import define, field, frozen

from .client import (
    BodyLimits,
    ConnectFailedError,
    Connection,
    ExchangeFailedError,
    async_connect,
)
from .connection_pool import ConnectionPool
from .const import MAX_REPLY_BYTES
from .messages import Headers, Request, ResponseHead

IDLE_CONNECTIONS: Final = 2
"""Idle connections kept per address; calls of one process rarely overlap."""


class CallFailedError(Exception):
    """A call failed, or received no response in time or a malformed one.

    `sent` is whether the request may have been sent, and so may have been executed.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


@frozen(kw_only=True)
class JsonReply:
    """Status, fields and decoded body of a response."""

    status: int
    headers: Headers
    body: Any


@define(eq=False)
class JsonClient:
    """Client for calls to any address."""

    pool: ConnectionPool = field(factory=lambda: ConnectionPool(IDLE_CONNECTIONS))
    expects_extras: bool = True
    """Whether a server may send an extra response to a call where the response to the
    next one is due. Responses name no call, so that only the first response on a
    connection is surely that to its call. A call that may change something then uses
    a new connection."""

    async def async_call(
        self,
        address: str,
        method: str,
        path: str,
        *,
        timeout_s: float,
        query: Mapping[str, str | int] | None = None,
        body: Any = None,
        headers: Headers = (),
        fresh: bool = False,
        max_bytes: int = MAX_REPLY_BYTES,
    ) -> JsonReply:
        """Make one call.

        Args:
            address: `ip:port` of the server.
            method: Method of the request.
            path: Path, without the query.
            timeout_s: Timeout for connection, call and response together.
            query: Fields of the query.
            body: Value that is sent as JSON; None for no body.
            headers: Additional fields of the request.
            fresh: Whether to use a new connection also for a call that changes nothing.
            max_bytes: Largest body of the response.

        Raises:
            CallFailedError: If no valid response is received.
        """
        try:
            request = _make_request(address, method, path, query, body, headers)
        except UnicodeError as error:
            raise CallFailedError(str(error), sent=False) from error
        is_single_use = self.expects_extras and method != "GET"
        connection: Connection | None = None
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._async_acquire_connection(
                    address, fresh or is_single_use
                )
                reply = await _async_exchange(connection, request, max_bytes)
        except ConnectFailedError as error:
            raise CallFailedError(str(error), sent=False) from error
        except ExchangeFailedError as error:
            _close(connection)
            raise CallFailedError(str(error), sent=True) from error
        except TimeoutError as error:
            _close(connection)
            reason = f"no response from {address} within {timeout_s} s"
            raise CallFailedError(reason, sent=connection is not None) from error
        except asyncio.CancelledError:
            _close(connection)
            raise
        if is_single_use:
            connection.close()
        else:
            now = asyncio.get_running_loop().time()
            self.pool.release(address, connection, now)
        return _read_reply(*reply)

    async def _async_acquire_connection(self, address: str, fresh: bool) -> Connection:
        now = asyncio.get_running_loop().time()
        idle = None if fresh else self.pool.acquire(address, now)
        return idle or await async_connect(address, now)


async def _async_exchange(
    connection: Connection, request: Request, max_bytes: int
) -> tuple[ResponseHead, bytes]:
    """Send a request; return the head and the body of its response."""
    await connection.async_send(request)
    head = await connection.async_read_head()
    limits = BodyLimits(max_bytes=max_bytes)
    parts = [part async for part in connection.async_iterate_body(limits)]
    return head, b"".join(parts)


def _make_request(
    address: str,
    method: str,
    path: str,
    query: Mapping[str, str | int] | None,
    body: Any,
    headers: Headers,
) -> Request:
    target = f"{path}?{urlencode(query)}" if query else path
    payload = b"" if body is None else orjson.dumps(body)
    fields = [(b"Host", address.encode()), *headers]
    if body is not None:
        fields.append((b"Content-Type", b"application/json"))
    if body is not None or method not in ("GET", "DELETE"):
        fields.append((b"Content-Length", b"%d" % len(payload)))
    return Request(
        method=method.encode(),
        target=target.encode(),
        headers=tuple(fields),
        body=payload,
    )


def _read_reply(head: ResponseHead, payload: bytes) -> JsonReply:
    body: Any = None
    if payload:
        try:
            body = orjson.loads(payload)
        except orjson.JSONDecodeError as error:
            raise CallFailedError(
                f"response is not JSON: {error}", sent=True
            ) from error
    return JsonReply(status=head.status, headers=head.headers, body=body)


def _close(connection: Connection | None) -> None:
    if connection is not None:
        connection.close()
