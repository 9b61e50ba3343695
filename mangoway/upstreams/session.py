"""HTTP requests to upstreams with exact verdicts and no implicit retries."""

import asyncio
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from types import TracebackType
from typing import Self

import aiohttp
from attrs import frozen

from ..models.errors import ErrorCode, MangowayError
from ..models.verdict import Verdict
from ..util.address import parse_address
from ..util.statuses import is_final, is_success
from .const import (
    BUSY_STATUSES,
    CONNECT_TIMEOUT_S,
    HEAD_TIMEOUT_S,
    HEADER_RETRY_AFTER,
    HEADER_VERDICT,
    IDLE_CONNECTION_S,
    MAX_RESPONSE_BYTES,
    READ_BUFFER_BYTES,
    VERDICT_NOT_RUN,
)
from .silence import SilenceWatch


@frozen(kw_only=True)
class UpstreamCall:
    """One HTTP request to an upstream."""

    method: str
    address: str
    path: str
    body: bytes | None = None
    headers: Mapping[str, str] = {}
    timeout_s: float
    """Seconds for the whole exchange."""

    silence_s: float
    """Seconds without a received byte after which the connection is closed."""

    streamed: bool = False
    """Whether the response body is received in many small parts over a long time."""

    fresh: bool = False
    """Whether to open a new connection for this call alone.

    A pooled connection may be lost without notice, so that it is unknown whether a
    request that was written to it ran. With a new connection, an unreachable upstream
    is detected while connecting, when the request certainly did not run.
    """


class UpstreamSession:
    """A pool of connections to upstreams; must be closed on the loop that opened it."""

    def __init__(
        self,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        head_timeout_s: float = HEAD_TIMEOUT_S,
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._head_timeout_s = head_timeout_s
        self._pooled = _open_session(
            aiohttp.TCPConnector(limit=0, keepalive_timeout=IDLE_CONNECTION_S)
        )
        self._fresh = _open_session(aiohttp.TCPConnector(limit=0, force_close=True))
        self._unpooled_until: dict[str, float] = {}
        """Time until which an address gets new connections only."""

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.async_close()

    async def async_close(self) -> None:
        """Close every connection."""
        await self._pooled.close()
        await self._fresh.close()

    @asynccontextmanager
    async def async_open(
        self, call: UpstreamCall
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a call and yield its response once the headers are received.

        An error inside the block, before the end of the body, closes the connection.
        No request is retried.

        Raises:
            MangowayError: UPSTREAM_SILENT, UPSTREAM_FAILED or DEADLINE_EXCEEDED;
                the verdict is NOT_RUN only if no byte was sent.
        """
        try:
            parse_address(call.address)
        except ValueError as error:
            raise MangowayError(
                ErrorCode.UPSTREAM_FAILED,
                f"{call.address!r} is not an address: {error}",
                Verdict.NOT_RUN,
            ) from error
        session = self._choose_session(call)
        watch: SilenceWatch | None = None
        try:
            async with session.request(
                call.method,
                f"http://{call.address}{call.path}",
                data=call.body,
                headers=call.headers,
                timeout=self._make_timeout(call, session),
                allow_redirects=False,
                read_bufsize=READ_BUFFER_BYTES,
            ) as response:
                _check_status(response, call.address)
                if call.streamed:
                    watch = SilenceWatch(response, call.silence_s)
                yield response
        except (aiohttp.ClientError, OSError) as error:
            silent = watch is not None and watch.silent
            failed = (
                _make_silence_error(call)
                if silent
                else _convert_error(error, call.address)
            )
            if failed.code is ErrorCode.UPSTREAM_SILENT:
                self._avoid_pool(call.address)
            raise failed from error
        finally:
            if watch is not None:
                watch.stop()

    async def async_fetch(self, call: UpstreamCall) -> bytes:
        """Return the body of a successful response.

        Raises:
            MangowayError: As `async_open`, or if the status is not successful.
        """
        async with self.async_open(call) as response:
            if not is_success(response.status):
                raise make_status_error(response)
            return await async_read_body(response)

    def _choose_session(self, call: UpstreamCall) -> aiohttp.ClientSession:
        unpooled_until = self._unpooled_until.get(call.address)
        if unpooled_until is None:
            return self._fresh if call.fresh else self._pooled
        if _now() >= unpooled_until:
            del self._unpooled_until[call.address]
        return self._fresh

    def _avoid_pool(self, address: str) -> None:
        """Use no pooled connection to an address until those idle now are closed.

        The cause that made one of them silent most likely affects the others as well,
        and each of them would fail a request.
        """
        self._unpooled_until[address] = _now() + IDLE_CONNECTION_S

    def _make_timeout(
        self, call: UpstreamCall, session: aiohttp.ClientSession
    ) -> aiohttp.ClientTimeout:
        silence_s = call.silence_s
        if call.streamed and session is self._pooled:
            # An upstream sends the headers of a streamed response long before the
            # first token. If it doesn't, this limit fails one attempt only, since the
            # next one to the address uses a new connection.
            silence_s = min(silence_s, self._head_timeout_s)
        return aiohttp.ClientTimeout(
            total=call.timeout_s,
            sock_connect=self._connect_timeout_s,
            sock_read=silence_s,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()


def _open_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept-Encoding"),
    )


async def async_read_body(response: aiohttp.ClientResponse) -> bytes:
    """Return the whole body of a response.

    Raises:
        MangowayError: UPSTREAM_FAILED if it is larger than `MAX_RESPONSE_BYTES`.
    """
    body = bytearray()
    async for part in response.content.iter_any():
        body.extend(part)
        if len(body) > MAX_RESPONSE_BYTES:
            raise MangowayError(
                ErrorCode.UPSTREAM_FAILED,
                f"the response is larger than {MAX_RESPONSE_BYTES} bytes",
                Verdict.MAY_HAVE_RUN,
            )
    return bytes(body)


def make_status_error(response: aiohttp.ClientResponse) -> MangowayError:
    """Return the error for an unsuccessful status, with the verdict in its headers."""
    not_run = response.headers.get(HEADER_VERDICT) == VERDICT_NOT_RUN
    busy = response.status in BUSY_STATUSES
    return MangowayError(
        ErrorCode.UPSTREAM_BUSY if busy else ErrorCode.UPSTREAM_FAILED,
        f"the upstream responded with status {response.status}",
        Verdict.NOT_RUN if not_run else Verdict.MAY_HAVE_RUN,
        parse_seconds(response.headers.get(HEADER_RETRY_AFTER)),
    )


def parse_seconds(text: str | None) -> float | None:
    """Return the seconds in a header; None if it is absent or not a number."""
    try:
        return float(text) if text is not None else None
    except ValueError:
        return None


def _check_status(response: aiohttp.ClientResponse, address: str) -> None:
    """Check what the parser accepts beyond HTTP.

    Raises:
        MangowayError: UPSTREAM_FAILED if the status is invalid.
    """
    if not is_final(response.status):
        raise MangowayError(
            ErrorCode.UPSTREAM_FAILED,
            f"{address}: responded with the invalid status {response.status}",
            Verdict.MAY_HAVE_RUN,
        )


def _make_silence_error(call: UpstreamCall) -> MangowayError:
    return MangowayError(
        ErrorCode.UPSTREAM_SILENT,
        f"{call.address}: no byte received for {call.silence_s:g} seconds",
        Verdict.MAY_HAVE_RUN,
    )


def _convert_error(error: Exception, address: str) -> MangowayError:
    # The order matters, since aiohttp's timeout errors are also TimeoutErrors.
    match error:
        case aiohttp.ConnectionTimeoutError():
            code, verdict = ErrorCode.UPSTREAM_SILENT, Verdict.NOT_RUN
        case aiohttp.ClientConnectorError():
            code, verdict = ErrorCode.UPSTREAM_FAILED, Verdict.NOT_RUN
        case aiohttp.ServerTimeoutError():
            code, verdict = ErrorCode.UPSTREAM_SILENT, Verdict.MAY_HAVE_RUN
        case TimeoutError():
            code, verdict = ErrorCode.DEADLINE_EXCEEDED, Verdict.MAY_HAVE_RUN
        case _:
            code, verdict = ErrorCode.UPSTREAM_FAILED, Verdict.MAY_HAVE_RUN
    detail = str(error) or type(error).__name__
    return MangowayError(code, f"{address}: {detail}", verdict)
