"""One try of a request at one runner."""

import asyncio
from collections.abc import Awaitable, Callable

from attrs import define, field, frozen

from ..http1.client import (
    ConnectFailedError,
    Connection,
    ConnectionLostError,
    ConnectionPool,
    ExchangeFailedError,
    async_connect,
)
from ..http1.messages import Headers, Request, ResponseHead
from ..models.runner import RunnerEntry
from ..models.verdict import Verdict
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..platform import headers as names
from ..platform.requests import list_response_headers
from .const import MAX_BUFFERED_BODY_BYTES
from .delivery import Delivery, StreamBrokenError
from .sse import EventSplitter

STATUS_BAD_REQUEST = 400
STATUS_MISDIRECTED = 421
STATUS_TOO_MANY = 429
STATUS_ERROR = 500


@frozen(kw_only=True)
class WholeResponse:
    """A response that was read to its end."""

    head: ResponseHead
    headers: Headers
    body: bytes


@frozen(kw_only=True)
class AttemptResult:
    """How a try ended."""

    verdict: Verdict
    delivered: bool = False
    """Whether the caller has got the whole answer."""

    ended_well: bool = False
    """Whether the runner ran it to a whole answer, which it has survived."""

    was_sent: bool = True
    reason: str = ""
    not_held: bool = False
    """Whether the runner doesn't hold the model, or is another one."""

    error: WholeResponse | None = None
    """A failure that the runner answered with."""

    connection_lost: bool = False
    """Whether the runner's end closed the connection, as when it crashes."""


@define(eq=False)
class Attempt:
    """Sends a request to a runner and passes its answer on."""

    request: Request
    request_id: str
    runner: RunnerEntry
    streaming: bool
    repeatable: bool
    """Whether the request may go out again after a connection closed without an answer,
    which proves nothing; if not, a kept one must have been used just before."""

    silence_s: float | None
    """Silence after which another runner is looked for; None: never."""

    on_silence: Callable[[], Awaitable[bool]]
    """Says whether there is another runner to go on at."""

    pool: ConnectionPool
    delivery: Delivery
    on_first_event: Callable[[], None]
    on_head: Callable[[ResponseHead], None]
    """Told of the head of the runner's answer, whatever its status."""

    _connection: Connection | None = field(default=None, init=False)

    async def async_run(self) -> AttemptResult:
        """Make the try.

        Raises:
            CallerGoneError: If the caller leaves.
        """
        complete = False
        try:
            result = await self._async_exchange()
            complete = True
            return result
        except ConnectFailedError as error:
            return AttemptResult(
                verdict=Verdict.NOT_RUN, was_sent=False, reason=str(error)
            )
        except (ExchangeFailedError, StreamBrokenError) as error:
            return AttemptResult(
                verdict=Verdict.MAY_HAVE_RUN,
                reason=str(error),
                connection_lost=isinstance(error, ConnectionLostError),
            )
        finally:
            self._release(complete)

    async def _async_exchange(self) -> AttemptResult:
        now = asyncio.get_running_loop().time
        connection = self.pool.take(
            self.runner.address, now(), repeatable=self.repeatable
        )
        if connection is None:
            connection = await async_connect(self.runner.address, now())
        self._connection = connection
        connection.silence_s = self.silence_s
        connection.on_silence = self.on_silence
        head = await self._async_send(connection)
        self.on_head(head)
        self._check_head(head)
        if self.streaming and _is_success(head.status):
            return await self._async_pass_stream(connection, head)
        body = await self._async_read_body(connection)
        return self._judge_whole(head, body)

    async def _async_send(self, connection: Connection) -> ResponseHead:
        """Send the request and read the head of its answer."""
        try:
            await connection.async_send(self.request)
            return await self._async_read_own_head(connection)
        except ExchangeFailedError:
            if connection.idle_s is not None:
                now = asyncio.get_running_loop().time()
                self.pool.trust.note_broken(connection.idle_s, now)
            raise

    async def _async_read_own_head(self, connection: Connection) -> ResponseHead:
        """Read the response that carries the request's id; skip any other."""
        while True:
            head = await connection.async_read_head()
            echoed = head.find(names.REQUEST_ID)
            if echoed is None or not self.request_id or echoed == self.request_id:
                return head
            log_event(
                log.ForeignResponseSkipped(
                    request_id=self.request_id,
                    runner_id=self.runner.runner_id,
                    foreign_id=echoed,
                )
            )
            await connection.async_skip_response(self.request)

    def _check_head(self, head: ResponseHead) -> None:
        if not _is_success(head.status):
            return
        if head.find(names.SIGNATURE) is None:
            raise ExchangeFailedError("a success without a signature")
        if head.find(b"content-encoding") is not None:
            raise ExchangeFailedError("a success in another encoding")

    async def _async_pass_stream(
        self, connection: Connection, head: ResponseHead
    ) -> AttemptResult:
        now = asyncio.get_running_loop().time
        splitter = EventSplitter()
        headers = list_response_headers(head.headers)
        passed = False
        async for data in connection.async_iterate_body():
            for event in splitter.feed(data):
                self.delivery.start(head, headers)
                if not passed:
                    passed = True
                    self.on_first_event()
                await self.delivery.async_pass_event(event, now())
        if splitter.rest:
            raise ExchangeFailedError("the stream ended within an event")
        self.delivery.start(head, headers)
        self.delivery.finish()
        return AttemptResult(verdict=Verdict.RAN, delivered=True, ended_well=True)

    async def _async_read_body(self, connection: Connection) -> bytes:
        body = bytearray()
        async for data in connection.async_iterate_body():
            body += data
            if len(body) > MAX_BUFFERED_BODY_BYTES:
                raise ExchangeFailedError("the answer is too large")
        return bytes(body)

    def _judge_whole(self, head: ResponseHead, body: bytes) -> AttemptResult:
        status = head.status
        not_run = head.find(names.NOT_EXECUTED) is not None
        if status == STATUS_MISDIRECTED or (not_run and status != STATUS_BAD_REQUEST):
            return AttemptResult(
                verdict=Verdict.NOT_RUN,
                reason=f"the runner refused it with {status}",
                not_held=status == STATUS_MISDIRECTED,
            )
        whole = WholeResponse(
            head=head, headers=list_response_headers(head.headers), body=body
        )
        if status >= STATUS_ERROR or status == STATUS_TOO_MANY:
            return AttemptResult(
                verdict=Verdict.RAN, reason=f"the runner failed: {status}", error=whole
            )
        if self.delivery.started:
            raise StreamBrokenError(f"a resumed stream was answered with {status}")
        deliver_whole(self.delivery, whole)
        return AttemptResult(
            verdict=Verdict.RAN, delivered=True, ended_well=not not_run
        )

    def _release(self, complete: bool) -> None:
        connection = self._connection
        if connection is None:
            return
        if complete:
            now = asyncio.get_running_loop().time()
            self.pool.put(self.runner.address, connection, now)
        else:
            connection.close()


def deliver_whole(delivery: Delivery, whole: WholeResponse) -> None:
    """Pass on a response that was read whole."""
    headers = tuple(
        each for each in whole.headers if each[0].lower() != b"content-length"
    )
    delivery.answer(whole.head.status, headers, whole.body)


def _is_success(status: int) -> bool:
    return 200 <= status < 300
