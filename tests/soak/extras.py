"""Responses that a faulty runner sends beside the due ones."""

import asyncio
from http import HTTPStatus
from random import Random
from weakref import WeakKeyDictionary

from aiohttp import web
from aiohttp.typedefs import Handler
from attrs import define, field

CONTROL_PREFIX = "/v1/"
"""Beginning of the paths of calls without a request ID."""

LATE_REJECTION = b"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
"""A rejection that belongs to no request."""


@define(eq=False)
class ExtraResponses:
    """Sends extra responses on kept connections, where the next one is due."""

    random: Random
    share: float = field(default=0.0, init=False)
    """Share of the responses on kept connections that an extra one precedes."""

    copy_share: float = field(default=0.5, init=False)
    """Share of the extra responses to requests that are copies; others name none."""

    count: int = field(default=0, init=False)
    """Extra responses sent since `take_count`."""

    _last: "WeakKeyDictionary[asyncio.BaseTransport, bytes]" = field(
        factory=WeakKeyDictionary, init=False
    )
    """The extra response that may be sent on each connection."""

    def take_count(self) -> int:
        """Return the number of extra responses since the last call."""
        count, self.count = self.count, 0
        return count

    @web.middleware
    async def async_precede(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Answer a request, perhaps after an extra response."""
        if not self.share:
            return await handler(request)
        transport = request.transport
        extra = None if transport is None else self._last.pop(transport, None)
        if extra is not None and self.random.random() < self.share:
            assert transport is not None
            self.count += 1
            transport.write(extra)
        response = await handler(request)
        if transport is not None:
            self._last[transport] = self._choose_extra(request, response)
        return response

    def _choose_extra(
        self, request: web.Request, response: web.StreamResponse
    ) -> bytes:
        """Return a copy of a response, or a rejection that names no request."""
        is_control = request.path.startswith(CONTROL_PREFIX)
        if not isinstance(response, web.Response):
            return LATE_REJECTION
        if is_control or self.random.random() < self.copy_share:
            return encode(response)
        return LATE_REJECTION


def encode(response: web.Response) -> bytes:
    """Return the bytes of a response."""
    body = response.body if isinstance(response.body, bytes) else b""
    lines = [f"HTTP/1.1 {response.status} {HTTPStatus(response.status).phrase}"]
    lines += [
        f"{name}: {value}"
        for name, value in response.headers.items()
        if name.lower() not in ("content-length", "date", "server")
    ]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body
