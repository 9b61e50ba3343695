"""HTTP requests to upstreams with exact verdicts and no silent repeats."""

import asyncio
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from types import TracebackType
from typing import Self

import aiohttp
from attrs import frozen

from ..models.errors import ErrorCode, MangowayError
from ..models.verdict import Verdict
from .const import (
    ANSWER_LIMIT_BYTES,
    BUSY_STATUSES,
    CONNECT_TIMEOUT_S,
    HEAD_TIMEOUT_S,
    HEADER_RETRY_AFTER,
    HEADER_VERDICT,
    IDLE_CONNECTION_S,
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
    """Seconds without a byte after which the connection is given up."""

    streamed: bool = False
    """Whether the body comes in many small parts over a long time."""

    fresh: bool = False
    """Whether to open a connection for this call alone.

    A pooled connection may have died unnoticed, and a request written to it may
    or may not have run. On a connection of its own a dead path shows while
    connecting, when it is certain that nothing ran.
    """


class UpstreamSession:
    """A pool of connections to upstreams; close it on the loop that opened it."""

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
        self._distrusted_until: dict[str, float] = {}

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
        """Send a call and yield its response once the headers are there.

        An error inside the block, before the body's end, closes the connection.
        Nothing is repeated.

        Raises:
            MangowayError: UPSTREAM_SILENT, UPSTREAM_FAILED or DEADLINE_EXCEEDED;
                the verdict is NOT_RUN only if no byte was sent.
        """
        session = self._choose(call)
        watch: SilenceWatch | None = None
        try:
            async with session.request(
                call.method,
                f"http://{call.address}{call.path}",
                data=call.body,
                headers=call.headers,
                timeout=self._limit(call, session),
                allow_redirects=False,
                read_bufsize=READ_BUFFER_BYTES,
            ) as response:
                if call.streamed:
                    watch = SilenceWatch(response, call.silence_s)
                yield response
        except (aiohttp.ClientError, OSError) as error:
            silent = watch is not None and watch.silent
            failed = _make_silent(call) if silent else _translate(error, call.address)
            if failed.code is ErrorCode.UPSTREAM_SILENT:
                self._distrust(call.address)
            raise failed from error
        finally:
            if watch is not None:
                watch.stop()

    async def async_fetch(self, call: UpstreamCall) -> bytes:
        """Return the body of a successful response.

        Raises:
            MangowayError: As `async_open`, or the upstream refused.
        """
        async with self.async_open(call) as response:
            if not response.ok:
                raise read_refusal(response)
            return await async_read_body(response)

    def _choose(self, call: UpstreamCall) -> aiohttp.ClientSession:
        distrusted_until = self._distrusted_until.get(call.address)
        if distrusted_until is None:
            return self._fresh if call.fresh else self._pooled
        if _now() >= distrusted_until:
            del self._distrusted_until[call.address]
        return self._fresh

    def _distrust(self, address: str) -> None:
        """Use no pooled connection to an address until those idle now are closed.

        What made one of them silent has most likely made the others so as well, and
        each of them would cost a request.
        """
        self._distrusted_until[address] = _now() + IDLE_CONNECTION_S

    def _limit(
        self, call: UpstreamCall, session: aiohttp.ClientSession
    ) -> aiohttp.ClientTimeout:
        silence_s = call.silence_s
        if call.streamed and session is self._pooled:
            # A streamed answer begins with its head long before its first token.
            # Where that isn't so, this costs one try: the next connection to the
            # address is not a pooled one.
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
    """Read a whole body of bounded size.

    Raises:
        MangowayError: UPSTREAM_FAILED if it is larger than the bound.
    """
    body = bytearray()
    async for part in response.content.iter_any():
        body.extend(part)
        if len(body) > ANSWER_LIMIT_BYTES:
            raise MangowayError(
                ErrorCode.UPSTREAM_FAILED,
                f"the answer is larger than {ANSWER_LIMIT_BYTES} bytes",
                Verdict.MAY_HAVE_RUN,
            )
    return bytes(body)


def read_refusal(response: aiohttp.ClientResponse) -> MangowayError:
    """Return the error that an unsuccessful response stands for."""
    not_run = response.headers.get(HEADER_VERDICT) == VERDICT_NOT_RUN
    busy = response.status in BUSY_STATUSES
    return MangowayError(
        ErrorCode.UPSTREAM_BUSY if busy else ErrorCode.UPSTREAM_FAILED,
        f"the upstream answered with status {response.status}",
        Verdict.NOT_RUN if not_run else Verdict.MAY_HAVE_RUN,
        read_seconds(response.headers.get(HEADER_RETRY_AFTER)),
    )


def read_seconds(text: str | None) -> float | None:
    """Parse a header of seconds; None if it is absent or not a number."""
    try:
        return float(text) if text is not None else None
    except ValueError:
        return None


def _make_silent(call: UpstreamCall) -> MangowayError:
    return MangowayError(
        ErrorCode.UPSTREAM_SILENT,
        f"{call.address}: no byte for {call.silence_s:g} seconds",
        Verdict.MAY_HAVE_RUN,
    )


def _translate(error: Exception, address: str) -> MangowayError:
    # The order matters: the timeouts of aiohttp are also plain TimeoutErrors.
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
