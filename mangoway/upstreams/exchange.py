"""One short HTTP exchange on a new connection, with few imports.

The full HTTP client needs several megabytes of memory, too much for a controller.
"""

import asyncio
from collections.abc import Mapping
from math import inf

import h11
from attrs import define, field, frozen

from ..models.errors import ErrorCode, MangowayError
from ..models.verdict import Verdict
from ..util.address import CONNECT_ERRORS, split_address
from .const import (
    BUSY_STATUSES,
    CONNECT_TIMEOUT_S,
    HEADER_VERDICT,
    MAX_RESPONSE_BYTES,
    READ_BUFFER_BYTES,
    STATUS_OK,
    VERDICT_NOT_RUN,
)


@frozen(kw_only=True)
class ExchangeRequest:
    """A request whose response is read as a whole."""

    method: str
    address: str
    """IP address and port, `a.b.c.d:port`."""

    path: str
    body: bytes = b""
    headers: Mapping[str, str] = {}
    timeout_s: float
    """Seconds for the whole exchange."""

    limit_bytes: int = MAX_RESPONSE_BYTES
    """Largest response body that is read."""

    send_before: float = inf
    """Loop time after which the request must not be sent."""


async def async_exchange(request: ExchangeRequest) -> bytes:
    """Send a request on a new connection and return the response body.

    Raises:
        MangowayError: UPSTREAM_SILENT, UPSTREAM_FAILED, UPSTREAM_BUSY, or
            DEADLINE_EXCEEDED after `send_before`; the verdict is NOT_RUN only if
            nothing was sent or the upstream reports so.
    """
    exchange = _Exchange(request)
    try:
        async with asyncio.timeout(request.timeout_s):
            return await exchange.async_run()
    except TimeoutError as error:
        raise exchange.make_error(
            ErrorCode.UPSTREAM_SILENT,
            "timeout while connecting or receiving the response",
        ) from error
    except (OSError, h11.RemoteProtocolError) as error:
        raise exchange.make_error(ErrorCode.UPSTREAM_FAILED, str(error)) from error
    finally:
        exchange.close()


@define(eq=False)
class _Exchange:
    request: ExchangeRequest
    _http: h11.Connection = field(init=False)
    _may_have_run: bool = field(default=False, init=False)
    _writer: asyncio.StreamWriter | None = field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self._http = h11.Connection(h11.CLIENT)

    async def async_run(self) -> bytes:
        reader, writer = await self._async_connect()
        data = self._encode()
        if asyncio.get_running_loop().time() > self.request.send_before:
            raise self.make_error(
                ErrorCode.DEADLINE_EXCEEDED,
                "the latest time to send the request has passed",
            )
        self._may_have_run = True
        writer.write(data)
        await writer.drain()
        return await self._async_read(reader)

    async def _async_connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        try:
            host, port = split_address(self.request.address)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, port)
        except TimeoutError:
            raise
        except CONNECT_ERRORS as error:
            raise self.make_error(ErrorCode.UPSTREAM_FAILED, repr(error)) from error
        self._writer = writer
        return reader, writer

    def make_error(self, code: ErrorCode, detail: str) -> MangowayError:
        """Return an error with the current verdict on the request."""
        verdict = Verdict.MAY_HAVE_RUN if self._may_have_run else Verdict.NOT_RUN
        return MangowayError(code, f"{self.request.address}: {detail}", verdict)

    def close(self) -> None:
        """Abort the connection."""
        if self._writer is not None:
            self._writer.transport.abort()

    def _encode(self) -> bytes:
        request = self.request
        headers = [
            ("Host", request.address),
            ("Connection", "close"),
            ("Content-Length", str(len(request.body))),
            *request.headers.items(),
        ]
        events = (
            h11.Request(method=request.method, target=request.path, headers=headers),
            h11.Data(data=request.body),
            h11.EndOfMessage(),
        )
        return b"".join(self._http.send(event) or b"" for event in events)

    async def _async_read(self, reader: asyncio.StreamReader) -> bytes:
        body = bytearray()
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await reader.read(READ_BUFFER_BYTES))
            elif isinstance(event, h11.Response):
                self._check_status(event)
            elif isinstance(event, h11.Data):
                body.extend(event.data)
                if len(body) > self.request.limit_bytes:
                    raise self.make_error(
                        ErrorCode.UPSTREAM_FAILED, "the response body exceeds the limit"
                    )
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)

    def _check_status(self, response: h11.Response) -> None:
        status = response.status_code
        if status == STATUS_OK:
            return
        busy = status in BUSY_STATUSES
        code = ErrorCode.UPSTREAM_BUSY if busy else ErrorCode.UPSTREAM_FAILED
        if (HEADER_VERDICT.lower().encode(), VERDICT_NOT_RUN.encode()) in [
            (name, value) for name, value in response.headers
        ]:
            self._may_have_run = False
        raise self.make_error(code, f"responded with status {status}")
