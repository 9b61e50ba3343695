"""Tests of connections of callers, over loopback."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import pytest

from mangoway.edge.responses import make_error_response
from mangoway.http1.const import (
    MAX_PIPELINED_BYTES,
    MAX_WRITE_BUFFER_BYTES,
    PARTS_PER_TURN,
    READ_BYTES,
)
from mangoway.http1.exchange import Exchange
from mangoway.http1.messages import Request
from mangoway.http1.server import async_listen
from mangoway.http1.server_options import ServerOptions
from mangoway.models.routing import CallerLimits
from mangoway.policy.edge.response_memory import MemoryLimits
from mangoway.util.listener import open_listener

from ..fakes.polling import async_wait_until


class Server:
    """Server options with a handler that records requests and responds with `ok`.

    The handler waits for `release`, fails for the path `/fail`, and aborts its response
    for `/cut`.
    """

    def __init__(self, limits: CallerLimits = CallerLimits()) -> None:
        self.requests: list[Request] = []
        self.errors: list[BaseException] = []
        self.release = asyncio.Event()
        self.release.set()
        self.cancelled = asyncio.Event()
        self.answer_bytes = 0
        """Minimum size of a response."""

        self.options = ServerOptions(
            handle=self._handle,
            limits=lambda: limits,
            reject=make_error_response,
            on_error=self.errors.append,
        )

    async def _handle(self, request: Request, exchange: Exchange) -> None:
        self.requests.append(request)
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        if request.path == "/fail":
            raise ValueError("a fault of the handler")
        if request.path == "/cut":
            exchange.start(200, b"OK", ())
            await exchange.async_write(b"half")
            exchange.abort()
            return
        exchange.answer(200, (), b"ok".ljust(self.answer_bytes))


@asynccontextmanager
async def serve(
    limits: CallerLimits = CallerLimits(),
) -> AsyncIterator[tuple[Server, asyncio.StreamReader, asyncio.StreamWriter]]:
    server = Server(limits)
    listener = open_listener("127.0.0.1", 0)
    port = listener.getsockname()[1]
    running = await async_listen(server.options, listener)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        yield server, reader, writer
    finally:
        writer.close()
        running.close()
        server.options.abort()


async def exchange(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes
) -> bytes:
    writer.write(data)
    async with asyncio.timeout(5):
        return await reader.read(65536)


class TestRequests:
    """Tests that requests reach the handler unchanged."""

    async def test_headers_keep_name_and_order(self) -> None:
        async with serve() as (server, reader, writer):
            data = b"GET /a?b=1 HTTP/1.1\r\nHost: h\r\nX-B: 2\r\nx-A: 1\r\n\r\n"
            assert b"200" in await exchange(reader, writer, data)
        [request] = server.requests
        assert request.target == b"/a?b=1"
        assert request.headers == ((b"Host", b"h"), (b"X-B", b"2"), (b"x-A", b"1"))

    async def test_chunked_body_is_joined(self) -> None:
        async with serve() as (server, reader, writer):
            data = (
                b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            )
            assert b"200" in await exchange(reader, writer, data)
        assert server.requests[0].body == b"abcde"

    async def test_smuggled_request_is_read_as_body(self) -> None:
        inner = b"GET /inner HTTP/1.1\r\nHost: h\r\n\r\n"
        async with serve() as (server, reader, writer):
            head = b"POST /outer HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
            await exchange(reader, writer, head % len(inner) + inner)
        assert [each.path for each in server.requests] == ["/outer"]
        assert server.requests[0].body == inner

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        async with serve() as (server, reader, writer):
            server.release.clear()
            one = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
            writer.write(one % 1 + one % 2)
            await asyncio.sleep(0.05)
            assert [each.path for each in server.requests] == ["/1"]
            server.release.set()
            await asyncio.sleep(0.05)
            assert [each.path for each in server.requests] == ["/1", "/2"]
            assert (await reader.read(65536)).count(b"200") == 2


class TestFraming:
    """Tests that requests with errors or two possible readings are never handled."""

    @pytest.mark.parametrize(
        "head",
        [
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n",
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Content-Length: 4\r\n\r\n",
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
            b"GET / HTTP/1.1\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: h\r\nBad Name: 1\r\n\r\n",
            b"nonsense\r\n\r\n",
        ],
    )
    async def test_malformed_request_is_rejected(self, head: bytes) -> None:
        async with serve() as (server, reader, writer):
            answer = await exchange(reader, writer, head + b"abc")
            assert answer.startswith(b"HTTP/1.1 400")
            assert await reader.read() == b"" or True
        assert server.requests == []

    async def test_unknown_transfer_coding_is_not_implemented(self) -> None:
        async with serve() as (server, reader, writer):
            head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n"
            assert (await exchange(reader, writer, head)).startswith(b"HTTP/1.1 501")
        assert server.requests == []

    async def test_large_head_is_rejected(self) -> None:
        async with serve(CallerLimits(max_header_bytes=1000)) as (
            server,
            reader,
            writer,
        ):
            head = b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 2000 + b"\r\n\r\n"
            assert (await exchange(reader, writer, head)).startswith(b"HTTP/1.1 431")
        assert server.requests == []

    async def test_large_body_is_rejected(self) -> None:
        async with serve(CallerLimits(max_body_bytes=10)) as (server, reader, writer):
            head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n"
            answer = await exchange(reader, writer, head + b"x" * 20)
            assert answer.startswith(b"HTTP/1.1 413")
        assert server.requests == []


class TestTime:
    """Tests of slow and idle callers."""

    async def test_slow_request_times_out(self) -> None:
        limits = CallerLimits(header_timeout_s=0.1)
        async with serve(limits) as (server, reader, writer):
            answer = await exchange(reader, writer, b"GET / HTTP/1.1\r\nHo")
            assert answer.startswith(b"HTTP/1.1 408")
        assert server.requests == []

    @pytest.mark.parametrize("earlier", [b"", b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"])
    async def test_head_that_comes_in_drops_times_out(self, earlier: bytes) -> None:
        """Each drop started the time anew, so that a head never had to end."""
        limits = CallerLimits(header_timeout_s=0.3)
        async with serve(limits) as (server, reader, writer):
            writer.write(earlier + b"GET / HTTP/1.1\r\nHost: h\r\nX: ")
            answer = b""
            async with asyncio.timeout(10):
                while not answer.count(b"HTTP/1.1 408"):
                    writer.write(b"x")
                    with suppress(TimeoutError):
                        async with asyncio.timeout(0.05):
                            answer += await reader.read(65536)
        assert len(server.requests) == (1 if earlier else 0)

    async def test_idle_connection_is_closed(self) -> None:
        async with serve(CallerLimits(idle_timeout_s=0.1)) as (_, reader, _writer):
            async with asyncio.timeout(5):
                assert await reader.read() == b""

    async def test_kept_connection_carries_the_next_request(self) -> None:
        async with serve() as (server, reader, writer):
            data = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
            await exchange(reader, writer, data)
            await exchange(reader, writer, data)
        assert len(server.requests) == 2


class TestEnds:
    """Tests of disconnects, failing handlers and stopping servers."""

    async def test_disconnect_cancels_the_handler(self) -> None:
        async with serve() as (server, _, writer):
            server.release.clear()
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            await asyncio.sleep(0.05)
            writer.close()
            async with asyncio.timeout(0.5):
                await server.cancelled.wait()

    async def test_aborted_response_does_not_look_complete(self) -> None:
        async with serve() as (_, reader, writer):
            writer.write(b"GET /cut HTTP/1.1\r\nHost: h\r\n\r\n")
            received = b""
            with pytest.raises(ConnectionResetError):
                while True:
                    data = await reader.read(65536)
                    if not data:
                        break
                    received += data
                raise ConnectionResetError
            assert b"0\r\n\r\n" not in received

    async def test_error_of_the_handler_is_reported(self) -> None:
        async with serve() as (server, reader, writer):
            writer.write(b"GET /fail HTTP/1.1\r\nHost: h\r\n\r\n")
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await reader.readexactly(1)
            assert [str(each) for each in server.errors] == ["a fault of the handler"]

    async def test_closing_server_closes_the_connection(self) -> None:
        async with serve() as (server, reader, writer):
            server.options.closing = True
            answer = await exchange(
                reader, writer, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
            )
            assert b"Connection: close" in answer
            assert await reader.read() == b""

    async def test_idle_connections_are_closed_and_busy_ones_kept(self) -> None:
        async with serve() as (server, reader, writer):
            server.release.clear()
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            await asyncio.sleep(0.05)
            server.options.close_idle()
            assert server.options.busy == 1
            server.release.set()
            async with asyncio.timeout(5):
                assert b"200" in await reader.read(65536)
            server.options.close_idle()
            async with asyncio.timeout(5):
                assert await reader.read() == b""


class TestMemory:
    """Tests that requests and responses that are held don't use up the memory."""

    async def test_request_is_rejected_while_bodies_fill_the_memory(self) -> None:
        async with serve() as (server, reader, writer):
            server.options.memory.ledger.limits = MemoryLimits(read_on_bytes=1000)
            server.release.clear()
            head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
            writer.write(head % 1500 + bytes(1500))
            await async_wait_until(lambda: len(server.requests) == 1)
            port = writer.get_extra_info("peername")[1]
            second = await asyncio.open_connection("127.0.0.1", port)
            # The body is not sent: the request is rejected before it is read.
            answer = await exchange(*second, head % 5)
            assert answer.startswith(b"HTTP/1.1 503")
            assert b"Retry-After" in answer
            assert await second[0].read() == b""
            second[1].close()
            server.release.set()
            assert b"200" in await reader.read(65536)
            assert server.options.memory.ledger.total == 0
            third = await asyncio.open_connection("127.0.0.1", port)
            assert b"200" in await exchange(*third, head % 2 + b"ab")
            third[1].close()

    async def test_body_that_exceeds_the_limit_is_rejected_within_it(self) -> None:
        async with serve() as (server, reader, writer):
            limits = MemoryLimits(read_on_bytes=1000, max_bytes=2000)
            server.options.memory.ledger.limits = limits
            head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n"
            answer = await exchange(reader, writer, head + bytes(3000))
            assert answer.startswith(b"HTTP/1.1 503")
        assert server.requests == []
        await async_wait_until(lambda: server.options.memory.ledger.total == 0)

    async def test_largest_unfinished_request_is_rejected(self) -> None:
        """Bodies that never ended kept an edge from accepting other requests."""
        async with serve() as (server, reader, writer):
            server.options.memory.ledger.limits = MemoryLimits(input_bytes=20_000)
            head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
            writer.write(head % 16_000 + bytes(15_000))
            await async_wait_until(lambda: server.options.memory.ledger.total > 14_000)
            port = writer.get_extra_info("peername")[1]
            second = await asyncio.open_connection("127.0.0.1", port)
            second[1].write(head % 8_000 + bytes(7_000))
            async with asyncio.timeout(5):
                answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 503")
            assert b"Retry-After" in answer
            assert b"200" in await exchange(*second, bytes(1_000))
            second[1].close()
        assert [len(each.body) for each in server.requests] == [8_000]
        await async_wait_until(lambda: server.options.memory.ledger.total == 0)

    async def test_unfinished_requests_let_no_other_be_rejected(self) -> None:
        async with serve() as (server, _, writer):
            server.options.memory.ledger.limits = MemoryLimits(read_on_bytes=1000)
            head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
            writer.write(head % 16_000 + bytes(15_000))
            await async_wait_until(lambda: server.options.memory.ledger.total > 14_000)
            port = writer.get_extra_info("peername")[1]
            second = await asyncio.open_connection("127.0.0.1", port)
            assert b"200" in await exchange(*second, head % 2 + b"ab")
            second[1].close()

    async def test_parsed_fields_count(self) -> None:
        """Short fields take some eighty times their size once they are parsed."""
        async with serve() as (server, _, writer):
            fields = b"ab:\r\n" * 2000
            writer.write(b"POST / HTTP/1.1\r\nHost: h\r\n" + fields)
            writer.write(b"Content-Length: 1\r\n\r\n")
            memory = server.options.memory
            await async_wait_until(lambda: memory.ledger.input_total > 500_000)
            server.release.clear()
            writer.write(b"x")
            await async_wait_until(lambda: len(server.requests) == 1)
            assert memory.ledger.input_total == 0
            assert memory.ledger.total > 500_000
            server.release.set()
            await async_wait_until(lambda: memory.ledger.total == 0)

    async def test_requests_sent_ahead_are_dropped_after_the_response(self) -> None:
        async with serve() as (server, reader, writer):
            server.release.clear()
            writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n" * 1000)
            await async_wait_until(lambda: server.options.memory.ledger.total > 20_000)
            server.options.memory.ledger.limits = MemoryLimits(input_bytes=10_000)
            writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
            memory = server.options.memory
            await async_wait_until(lambda: memory.ledger.input_total == 0)
            server.release.set()
            async with asyncio.timeout(5):
                answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 200")
            assert answer.count(b"HTTP/1.1") == 1
            assert b"Connection: close" in answer
        assert len(server.requests) == 1

    async def test_bytes_in_the_kernel_count_while_they_are_not_read(self) -> None:
        """They take memory of the host as well."""
        async with serve() as (server, _, writer):
            server.release.clear()
            memory = server.options.memory
            writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n" * 20_000)
            await async_wait_until(lambda: len(server.requests) == 1)
            [connection] = server.options.connections
            parser = connection._parser
            await async_wait_until(
                lambda: memory.ledger.total > parser.unparsed_bytes + 20_000 > 80_000
            )
            kept = parser.unparsed_bytes
            memory.ledger.limits = MemoryLimits(input_bytes=kept + 20_000)
            await async_wait_until(lambda: memory.ledger.input_total == 0)
            assert parser.unparsed_bytes == 0

    async def test_many_are_dropped_at_once(self) -> None:
        """Each drop began the next one, up to the limit of recursion."""
        count = 300
        async with serve() as (server, _, writer):
            port = writer.get_extra_info("peername")[1]
            memory = server.options.memory
            server.release.clear()
            one = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123456789"
            clients = [
                await asyncio.open_connection("127.0.0.1", port) for _ in range(count)
            ]
            for each in clients:
                each[1].write(one * 100)
            size = 99 * len(one)
            await async_wait_until(lambda: memory.ledger.input_total == count * size)
            failures: list[object] = []
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: failures.append(context))
            memory.ledger.limits = MemoryLimits(input_bytes=size)
            clients[0][1].write(b"x")
            await async_wait_until(lambda: memory.ledger.input_total <= size)
            assert failures == []
            for each in clients:
                each[1].close()

    async def test_small_responses_are_given_while_memory_is_short(self) -> None:
        """An edge with slow callers was not ready for the platform."""
        async with serve() as (server, reader, writer):
            server.options.responds_when_short = True
            server.options.memory.ledger.total = 1 << 40
            data = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
            assert b"200" in await exchange(reader, writer, data)
            server.options.memory.ledger.total = 0

    async def test_pipelined_requests_wait_until_answers_are_read(self) -> None:
        """Guards against answers that add up for a caller that does not read."""
        async with serve() as (server, reader, writer):
            server.answer_bytes = 2 * MAX_WRITE_BUFFER_BYTES
            one = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
            writer.write(one * 60)
            await async_wait_until(lambda: len(server.requests) > 0)
            await asyncio.sleep(0.2)
            handled = len(server.requests)
            assert handled < 60
            received = 0
            async with asyncio.timeout(10):
                while received < 60 * server.answer_bytes:
                    received += len(await reader.read(1 << 20))
            assert len(server.requests) == 60


class TestManyConnections:
    """Tests of listeners that have as many connections as they keep."""

    async def async_open(
        self, server: Server, writer: asyncio.StreamWriter
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection, and wait until it is known."""
        port = writer.get_extra_info("peername")[1]
        made = await asyncio.open_connection("127.0.0.1", port)
        await asyncio.sleep(0.05)
        return made

    async def test_idle_connection_makes_room(self) -> None:
        """Silent connections took all descriptors of an edge."""
        async with serve() as (server, reader, writer):
            states: list[str] = []
            server.options.on_full = lambda state, peer: states.append(state)
            data = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
            assert b"200" in await exchange(reader, writer, data)
            server.options.table.limit = 1
            second = await self.async_open(server, writer)
            async with asyncio.timeout(5):
                assert await reader.read() == b""
            assert states == ["idle"]
            assert b"200" in await exchange(*second, data)
            second[1].close()

    async def test_unfinished_request_is_rejected_as_not_run(self) -> None:
        async with serve() as (server, reader, writer):
            writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab")
            await asyncio.sleep(0.05)
            server.options.table.limit = 1
            second = await self.async_open(server, writer)
            async with asyncio.timeout(5):
                answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 503")
            assert b"Retry-After" in answer
            second[1].close()
        assert server.requests == []

    async def test_request_in_progress_is_kept(self) -> None:
        async with serve() as (server, reader, writer):
            server.release.clear()
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            await async_wait_until(lambda: len(server.requests) == 1)
            server.options.table.limit = 1
            second = await self.async_open(server, writer)
            async with asyncio.timeout(5):
                assert await second[0].read() == b""
            server.release.set()
            async with asyncio.timeout(5):
                assert b"200" in await reader.read(65536)
            second[1].close()

    async def test_response_that_is_not_read_makes_room(self) -> None:
        async with serve() as (server, _, writer):
            limits = MemoryLimits(unread_s=0.2)
            server.options.memory.ledger.limits = server.options.memory.limits = limits
            server.answer_bytes = 32 * MAX_WRITE_BUFFER_BYTES
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            await async_wait_until(lambda: server.options.undelivered == 1)
            server.options.table.limit = 1
            second = await self.async_open(server, writer)
            async with asyncio.timeout(5):
                assert await second[0].read() == b""
            [connection] = server.options.connections
            await async_wait_until(lambda: connection.is_stalled)
            third = await self.async_open(server, writer)
            server.answer_bytes = 0
            data = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
            assert b"200" in await exchange(*third, data)
            for each in (second, third):
                each[1].close()


class TestDelivery:
    """Tests of complete responses that their callers don't read."""

    @pytest.mark.parametrize("kept", [True, False])
    async def test_connection_is_reset_after_the_idle_timeout(self, kept: bool) -> None:
        """A response that nobody read kept its connection open for good."""
        async with serve(CallerLimits(idle_timeout_s=0.3)) as (server, _, writer):
            server.options.closing = not kept
            server.answer_bytes = 32 * MAX_WRITE_BUFFER_BYTES
            times: list[float] = []
            server.options.on_unread = lambda seconds, _: times.append(seconds)
            writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
            await async_wait_until(lambda: len(server.requests) == 1)
            await async_wait_until(lambda: not server.options.connections)
            assert len(times) == 1
            assert times[0] >= 0.3
            assert server.options.memory.ledger.total == 0

    @pytest.mark.parametrize("kept", [True, False])
    async def test_slow_reader_receives_everything(self, kept: bool) -> None:
        async with serve(CallerLimits(idle_timeout_s=0.4)) as (server, reader, writer):
            server.options.closing = not kept
            server.answer_bytes = 32 * MAX_WRITE_BUFFER_BYTES
            writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            received = 0
            while received < server.answer_bytes:
                received += len(await reader.read(server.answer_bytes // 16))
                await asyncio.sleep(0.05)
            assert received == server.answer_bytes


class TestSentAhead:
    """Tests of requests that are sent before earlier ones are answered."""

    SENT_BYTES = 8 << 20

    async def test_answered_requests_let_no_more_in(self) -> None:
        """Each answer let another read in, so that a fast sender filled the memory."""
        async with serve() as (server, reader, writer):
            one = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
            writer.write(one * (self.SENT_BYTES // len(one)))
            received = asyncio.create_task(async_drain(reader))
            most = 0
            async with asyncio.timeout(20):
                while len(server.requests) < 3000:
                    [connection] = server.options.connections
                    most = max(most, connection._parser.unparsed_bytes)
                    await asyncio.sleep(0)
            assert 0 < most <= MAX_PIPELINED_BYTES + READ_BYTES
            received.cancel()

    async def test_pause_is_reported_once(self) -> None:
        async with serve() as (server, reader, writer):
            reports: list[tuple[int, str]] = []
            server.options.on_read_ahead = lambda *each: reports.append(each)
            one = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
            writer.write(one * (1 + 4 * READ_BYTES // len(one)))
            received = asyncio.create_task(async_drain(reader))
            await async_wait_until(lambda: len(server.requests) > 4000)
            received.cancel()
            [(size, peer)] = reports
            assert size > MAX_PIPELINED_BYTES
            port = writer.get_extra_info("sockname")[1]
            assert peer == f"127.0.0.1:{port}"

    async def test_paused_connection_carries_all_requests(self) -> None:
        async with serve() as (server, reader, writer):
            body = bytes(range(256)) * 40
            one = b"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
            for number in range(60):
                writer.write(one % (number, len(body)) + body)
            received = asyncio.create_task(async_drain(reader))
            await async_wait_until(lambda: len(server.requests) == 60)
            received.cancel()
        assert [each.path for each in server.requests] == [
            f"/{number}" for number in range(60)
        ]
        assert {each.body for each in server.requests} == {body}

    async def test_other_tasks_run_between_parts_of_a_body(self) -> None:
        """A body in chunks of one byte kept an edge from its other callers."""
        async with serve() as (server, _, writer):
            chunks = 1250 * PARTS_PER_TURN
            head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(head + b"1\r\nx\r\n" * chunks + b"0\r\n\r\n")
            turns = 0
            async with asyncio.timeout(20):
                while not server.requests:
                    turns += 1
                    await asyncio.sleep(0)
            assert server.requests[0].body == b"x" * chunks
            assert turns >= chunks / PARTS_PER_TURN


async def async_drain(reader: asyncio.StreamReader) -> None:
    """Read responses until cancelled."""
    while await reader.read(READ_BYTES):
        pass


class TestUndelivered:
    """Responses that callers have yet to read."""

    async def test_unread_response_is_undelivered_until_it_is_read(self) -> None:
        """An edge that stopped reset complete responses of slow callers."""
        async with serve() as (server, reader, writer):
            server.answer_bytes = 32 * MAX_WRITE_BUFFER_BYTES
            writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
            await async_wait_until(lambda: server.options.undelivered == 1)
            await async_wait_until(lambda: server.options.busy == 0)
            assert server.options.undelivered == 1
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(server.answer_bytes)
            await async_wait_until(lambda: server.options.undelivered == 0)
