"""One attempt of a request at one runner, or through a peer."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from attrs import define, field

from ..http1.client import (
    BodyLimits,
    ConnectFailedError,
    Connection,
    ConnectionLostError,
    ExchangeFailedError,
    UpstreamSilentError,
)
from ..http1.connection_pool import ConnectionPool
from ..http1.const import BODY_GRACE_S
from ..http1.messages import Request, ResponseHead
from ..http1.response_memory import MemoryShortError
from ..models.routing import RouteKind
from ..models.verdict import Verdict
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..platform import headers as names
from ..platform.requests import list_response_headers
from ..policy.edge.const import MAX_UNHELD_BYTES
from ..policy.edge.response_end import ResponseEnd
from ..util.statuses import is_success
from .attempt_result import AttemptResult, BufferedResponse
from .const import MAX_BUFFERED_BODY_BYTES, MAX_STREAM_BYTES
from .delivery import Delivery, StreamBrokenError
from .event_reader import EventReader, StreamReading
from .responses import PROMISES

STATUS_BAD_REQUEST = 400
STATUS_MISDIRECTED = 421
STATUS_ERROR = 500
BODYLESS_STATUSES = (204, 304)
"""Statuses of responses that end with their head."""

BUFFERED_LIMITS: Final = BodyLimits(
    max_bytes=MAX_BUFFERED_BODY_BYTES, grace_s=BODY_GRACE_S
)
STREAM_LIMITS: Final = BodyLimits(max_bytes=MAX_STREAM_BYTES)


def is_not_run(head: ResponseHead) -> bool:
    """Return whether a runner states that it rejected a request without running it."""
    return head.find(names.NOT_EXECUTED) is not None


def is_runner_rejection(head: ResponseHead) -> bool:
    """Return whether a runner has not run a request that it may get again.

    A status alone proves nothing. A malformed request fails anywhere, so that its
    response is delivered.
    """
    return is_not_run(head) and head.status != STATUS_BAD_REQUEST


@define(eq=False)
class Attempt:
    """Sends a request to a runner or a peer and forwards its response."""

    request: Request
    request_id: str
    address: str
    upstream_id: str
    """ID of the runner, or host of the peer."""

    kind: RouteKind
    async_open: Callable[[], Awaitable[Connection]]
    """Opens a connection, or returns an idle one of the pool; raises
    `ConnectFailedError`."""

    silence_s: float
    """Silence of the runner after which `on_silence` is called."""

    on_silence: Callable[[], Awaitable[bool]]
    """Returns whether another runner can continue the request; raises
    `ConnectionLostError` if the runner is gone."""

    pool: ConnectionPool
    delivery: Delivery
    on_first_event: Callable[[], None]
    on_head: Callable[[ResponseHead], None]
    """Called with the head of the runner's response, whatever its status."""

    is_rejection: Callable[[ResponseHead], bool] = is_runner_rejection
    """Returns whether a response proves that the upstream has not run the request."""

    is_id_echoed: bool = True
    """Whether the upstream names the request's ID in each response to it."""

    was_stopped: Callable[[], Awaitable[bool]] | None = None
    """Returns whether the runner may have been told to stop the stream. Without a
    length, a stopped stream looks like a complete one."""

    may_suspend: Callable[[], bool] | None = None
    """Returns whether to keep the connection when another runner is found while a
    stream is silent; None if it is always closed."""

    judge_end: Callable[[float | None], Awaitable[ResponseEnd]] | None = None
    """Judges a response that ended with its connection; None if the upstream has no
    such responses, so that the connection was lost. The argument is the time in seconds
    since then, None if it is unknown."""

    _connection: Connection | None = field(default=None, init=False)
    _stream: StreamReading | None = field(default=None, init=False)
    """The stream of the response once its head was read."""

    async def async_run(self) -> AttemptResult:
        """Run the attempt.

        Raises:
            CallerGoneError: If the caller disconnects.
        """
        try:
            connection = await self.async_open()
        except ConnectFailedError as error:
            self._log_not_run(str(error))
            return AttemptResult(
                verdict=Verdict.NOT_RUN, was_sent=False, reason=str(error)
            )
        self._connection = connection
        self.delivery.history.record_sent()
        return await self._async_use(connection, self._async_exchange(connection))

    async def async_resume(self) -> AttemptResult:
        """Read on after the attempt was suspended.

        Raises:
            CallerGoneError: If the caller disconnects.
        """
        connection, stream = self._connection, self._stream
        assert connection is not None
        assert stream is not None
        self.delivery.exchange.holding.count_unread = connection.count_unread
        exchange = self._async_read_stream(connection, stream)
        return await self._async_use(connection, exchange)

    def discard(self) -> None:
        """Close the connection of a suspended attempt, which won't be resumed."""
        self.close()
        self._record(Verdict.MAY_HAVE_RUN)

    async def _async_use(
        self, connection: Connection, exchange: Awaitable[AttemptResult]
    ) -> AttemptResult:
        complete = is_suspended = False
        try:
            result = await exchange
            complete = True
        except (ExchangeFailedError, StreamBrokenError, MemoryShortError) as error:
            is_suspended = self._is_suspended_by(error)
            result = AttemptResult(
                verdict=Verdict.MAY_HAVE_RUN,
                reason=str(error),
                connection_lost=isinstance(error, ConnectionLostError),
                is_suspended=is_suspended,
            )
        finally:
            self._release(connection, complete, is_kept=is_suspended)
        if not is_suspended:
            self._record(result.verdict)
        return result

    def _is_suspended_by(self, error: Exception) -> bool:
        """Return whether the attempt can be resumed after an error."""
        if not isinstance(error, UpstreamSilentError) or self._stream is None:
            return False
        return self.may_suspend is not None and self.may_suspend()

    def _record(self, verdict: Verdict) -> None:
        self.delivery.history.record_verdict(verdict, self.upstream_id)

    def close(self) -> None:
        """Close the connection, which ends the attempt as a lost connection."""
        if self._connection is not None:
            self._connection.close()

    async def _async_exchange(self, connection: Connection) -> AttemptResult:
        self.delivery.exchange.holding.count_unread = connection.count_unread
        connection.silence_s = self.silence_s
        connection.on_silence = self.on_silence
        head = await self._async_send(connection)
        self.on_head(head)
        self._check_head(head)
        if self.kind is RouteKind.STREAMING and is_success(head.status):
            self._stream = stream = StreamReading(head, EventReader(connection))
            self.delivery.order.begin_attempt()
            return await self._async_read_stream(connection, stream)
        body = await self._async_read_body(connection)
        end = ResponseEnd.FRAMED
        if not self.is_rejection(head):
            # A rejection has no content that could be cut off.
            end = await self._async_judge_end(connection, head, len(body))
        return self._evaluate_response(head, body, end)

    async def _async_send(self, connection: Connection) -> ResponseHead:
        """Send the request and read the head of its response."""
        try:
            await connection.async_send(self.request, self.request_id)
            return await self._async_read_own_head(connection)
        except ExchangeFailedError:
            if connection.idle_s is not None:
                now = asyncio.get_running_loop().time()
                self.pool.idle_limit.record_break(connection.idle_s, now)
            raise

    async def _async_read_own_head(self, connection: Connection) -> ResponseHead:
        """Read the head of the response to the request; skip other responses."""
        while True:
            head = await connection.async_read_head()
            echoed = head.find(names.REQUEST_ID)
            if self._is_own(echoed, connection):
                return head
            log_event(
                log.ForeignResponseSkipped(
                    request_id=self.request_id,
                    runner_id=self.upstream_id,
                    foreign_id=echoed or "",
                )
            )
            await connection.async_skip_response(self.request)

    def _is_own(self, echoed: str | None, connection: Connection) -> bool:
        """Return whether a response is the one to this request.

        Args:
            echoed: ID of the request that the response names; None without one.
            connection: The connection on which it arrived.
        """
        if echoed is not None and self.request_id:
            return echoed == self.request_id
        return connection.is_first_response or not self.is_id_echoed

    def _check_head(self, head: ResponseHead) -> None:
        if not is_success(head.status):
            return
        if head.find(names.SIGNATURE) is None:
            raise ExchangeFailedError("successful response without a signature")
        if head.find(b"content-encoding") is not None:
            raise ExchangeFailedError("successful response with a content encoding")

    async def _async_read_stream(
        self, connection: Connection, stream: StreamReading
    ) -> AttemptResult:
        now = asyncio.get_running_loop().time
        head, reader = stream.head, stream.reader
        headers = list_response_headers(head.headers)
        async for data in connection.async_iterate_body(STREAM_LIMITS):
            stream.size += len(data)
            async for event in reader.async_iterate(data):
                if not stream.is_first_event_reported:
                    stream.is_first_event_reported = True
                    self.on_first_event()
                if self.delivery.is_new(event):
                    self.delivery.start(head, headers)
                    await self.delivery.async_forward_event(event, now())
        has_length = self._has_certain_end(head)
        if reader.has_rest:
            error = ExchangeFailedError if has_length else ConnectionLostError
            raise error("the stream ended within an event")
        if not has_length and self.was_stopped and await self.was_stopped():
            raise ConnectionLostError("the stream was stopped")
        end = await self._async_judge_end(connection, head, stream.size)
        self.delivery.start(head, headers)
        self.delivery.finish()
        return AttemptResult(
            verdict=Verdict.RAN,
            delivered=True,
            status=head.status,
            succeeded=True,
            end=end,
        )

    async def _async_read_body(self, connection: Connection) -> bytes:
        body = bytearray()
        holding = self.delivery.exchange.holding
        async for data in connection.async_iterate_body(BUFFERED_LIMITS):
            body += data
            await holding.async_collect(len(body))
        # The caller's connection counts it from now on.
        holding.set_body_bytes(0)
        return bytes(body)

    def _evaluate_response(
        self, head: ResponseHead, body: bytes, end: ResponseEnd
    ) -> AttemptResult:
        status = head.status
        response = BufferedResponse(
            head=head, headers=list_response_headers(head.headers), body=body
        )
        if self.is_rejection(head):
            reason = f"the runner refused it with {status}"
            self._log_not_run(reason, head)
            return AttemptResult(
                verdict=Verdict.NOT_RUN,
                reason=reason,
                is_model_missing=status == STATUS_MISDIRECTED,
                rejection=response,
            )
        if status >= STATUS_ERROR or status in PROMISES:
            return AttemptResult(
                verdict=Verdict.RAN,
                reason=f"the runner failed with status {status}",
                error=response,
            )
        if self.delivery.started:
            raise StreamBrokenError(
                f"the response to a resumed stream has status {status}"
            )
        deliver_buffered(self.delivery, response)
        return AttemptResult(
            verdict=Verdict.RAN,
            delivered=True,
            status=status,
            succeeded=not is_not_run(head),
            end=end,
        )

    async def _async_judge_end(
        self, connection: Connection, head: ResponseHead, size: int
    ) -> ResponseEnd:
        """Return what is known about the end of a response that was read to it.

        Args:
            connection: The connection that it ended with.
            head: Its head.
            size: Bytes of its body.

        Raises:
            ConnectionLostError: If the response may have been cut off.
        """
        if self._has_certain_end(head):
            return ResponseEnd.FRAMED
        end = ResponseEnd.UNKNOWN
        if self.judge_end is not None:
            was_held = size > MAX_UNHELD_BYTES
            since_s = None if was_held else connection.measure_since_packet_s()
            end = await self.judge_end(since_s)
        if not end.is_complete:
            raise ConnectionLostError(f"the response may be cut off: {end.value}")
        return end

    def _has_certain_end(self, head: ResponseHead) -> bool:
        """Return whether the end of a response differs from a lost connection."""
        if self.request.method == b"HEAD" or head.status in BODYLESS_STATUSES:
            return True
        framing = (b"transfer-encoding", b"content-length")
        return any(head.find(name) is not None for name in framing)

    def _log_not_run(self, reason: str, head: ResponseHead | None = None) -> None:
        """Log that the request has not run in this attempt.

        Args:
            reason: Why.
            head: Head of the response; None if no connection was opened.
        """
        connection = self._connection
        named = None if head is None else head.find(names.REQUEST_ID)
        log_event(
            log.AttemptNotRun(
                request_id=self.request_id,
                kind=self.kind.value,
                upstream_id=self.upstream_id,
                status=None if head is None else head.status,
                states_not_run=head is not None and is_not_run(head),
                names_request=bool(named) and named == self.request_id,
                local_port=0 if connection is None else connection.local_port,
                earlier_requests=0 if connection is None else connection.requests - 1,
                skipped=0 if connection is None else connection.skipped,
                reason=reason,
            )
        )

    def _release(
        self, connection: Connection, complete: bool, *, is_kept: bool
    ) -> None:
        holding = self.delivery.exchange.holding
        holding.count_unread = None
        holding.set_body_bytes(0)
        if is_kept:
            return
        if complete:
            now = asyncio.get_running_loop().time()
            self.pool.release(self.address, connection, now)
        else:
            connection.close()


def deliver_buffered(delivery: Delivery, response: BufferedResponse) -> None:
    """Send a completely read response to the caller."""
    headers = tuple(
        each for each in response.headers if each[0].lower() != b"content-length"
    )
    delivery.send_response(response.head.status, headers, response.body)
