"""Tests of connections to upstreams that send scripted raw bytes."""

import asyncio
import socket
import struct

import pytest
from attrs import evolve

from mangoway.http1.client import (
    BodyLimits,
    ConnectFailedError,
    Connection,
    ExchangeFailedError,
    UpstreamSilentError,
    async_connect,
)
from mangoway.http1.connection_pool import ConnectionPool, IdleReuseLimit
from mangoway.http1.const import MAX_NAMED_REQUESTS, MAX_REUSE_IDLE_S, PARTS_PER_TURN
from mangoway.http1.json_client import CallFailedError, JsonClient
from mangoway.http1.messages import Request

from ..fakes.addresses import UNUSABLE_ADDRESSES
from ..upstreams.pouring import Pour
from ..upstreams.raw_server import RawServer, Script, answer, make_response

LIMITS = BodyLimits(max_bytes=1 << 20)
REQUEST = Request(method=b"GET", target=b"/", headers=((b"Host", b"u"),), body=b"")


def now() -> float:
    return asyncio.get_running_loop().time()


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def script(*parts: bytes, close: bool = False, broken: bool = False) -> Script:
    async def write(request: bytes, writer: asyncio.StreamWriter) -> None:
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.02)
        if broken:
            reset(writer)
        elif close:
            writer.close()

    return write


async def read_whole(connection: Connection, request_id: str = "") -> tuple[int, bytes]:
    await connection.async_send(REQUEST, request_id)
    head = await connection.async_read_head()
    parts = [part async for part in connection.async_iterate_body(LIMITS)]
    return head.status, b"".join(parts)


async def connect(server: RawServer) -> Connection:
    return await async_connect(server.address, now())


class TestResponses:
    """Tests of responses with all framings."""

    async def test_length(self) -> None:
        async with RawServer(script(make_response(200, b"body"))) as server:
            assert await read_whole(await connect(server)) == (200, b"body")

    async def test_chunks(self) -> None:
        data = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
        async with RawServer(script(data, b"0\r\n\r\n")) as server:
            assert await read_whole(await connect(server)) == (200, b"abc")

    async def test_no_length_ends_with_the_connection(self) -> None:
        data = b"HTTP/1.1 200 X\r\n\r\nall of it"
        async with RawServer(script(data, close=True)) as server:
            connection = await connect(server)
            assert await read_whole(connection) == (200, b"all of it")
            assert not connection.prepare_reuse(now())

    async def test_no_length_and_a_reset_is_not_complete(self) -> None:
        data = b"HTTP/1.1 200 X\r\n\r\npart of it"
        async with RawServer(script(data, broken=True)) as server:
            with pytest.raises(ExchangeFailedError):
                await read_whole(await connect(server))

    @pytest.mark.parametrize(
        "data",
        [
            b"HTTP/1.1 200 X\r\nContent-Length: 10\r\n\r\nshort",
            b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
            b"HTTP/1.1 200 X\r\nContent-Le",
            b"\x00\x01\x02 no response\r\n\r\n",
            b"",
        ],
    )
    async def test_truncated_or_malformed_response_fails(self, data: bytes) -> None:
        async with RawServer(script(data, close=True)) as server:
            with pytest.raises(ExchangeFailedError):
                await read_whole(await connect(server))

    async def test_interim_response_is_skipped(self) -> None:
        data = b"HTTP/1.1 100 Continue\r\n\r\n" + make_response(200, b"x")
        async with RawServer(script(data)) as server:
            assert await read_whole(await connect(server)) == (200, b"x")

    async def test_response_of_another_request_is_skipped(self) -> None:
        data = make_response(200, b"other") + make_response(200, b"mine")
        async with RawServer(script(data)) as server:
            connection = await connect(server)
            await connection.async_send(REQUEST)
            await connection.async_read_head()
            await connection.async_skip_response(REQUEST)
            await connection.async_read_head()
            parts = [part async for part in connection.async_iterate_body(LIMITS)]
            assert b"".join(parts) == b"mine"


class TestReuse:
    """Tests of the reuse of connections."""

    async def test_clean_connection_is_kept(self) -> None:
        async with RawServer(
            script(make_response(200)), script(make_response(200))
        ) as server:
            pool = ConnectionPool(max_idle=2)
            connection = await connect(server)
            await read_whole(connection)
            pool.release(server.address, connection, now())
            assert pool.acquire(server.address, now()) is connection

    async def test_connection_with_extra_bytes_is_not_reused(self) -> None:
        async with RawServer(script(make_response(200) + b"more")) as server:
            pool = ConnectionPool(max_idle=2)
            connection = await connect(server)
            await read_whole(connection)
            pool.release(server.address, connection, now())
            assert pool.acquire(server.address, now()) is None

    async def test_connection_with_late_bytes_is_not_reused(self) -> None:
        async with RawServer(script(make_response(200), b"late")) as server:
            pool = ConnectionPool(max_idle=2)
            connection = await connect(server)
            await read_whole(connection)
            pool.release(server.address, connection, now())
            await asyncio.sleep(0.1)
            assert pool.acquire(server.address, now()) is None

    async def test_connection_with_announced_close_is_not_reused(self) -> None:
        answer = make_response(200, headers="Connection: close\r\n")
        async with RawServer(script(answer)) as server:
            connection = await connect(server)
            await read_whole(connection)
            assert not connection.prepare_reuse(now())

    async def test_idle_time_is_limited_below_the_announced_timeout(self) -> None:
        answer = make_response(200, headers="Keep-Alive: timeout=3\r\n")
        async with RawServer(script(answer)) as server:
            pool = ConnectionPool(max_idle=2)
            connection = await connect(server)
            await read_whole(connection)
            pool.release(server.address, connection, now())
            assert pool.acquire(server.address, now() + 2.5) is None

    async def test_request_without_retry_reuses_recent_connections_only(self) -> None:
        async with RawServer(script(make_response(200))) as server:
            pool = ConnectionPool(max_idle=2)
            connection = await connect(server)
            await read_whole(connection)
            pool.release(server.address, connection, now())
            late = now() + 1.1
            assert pool.acquire(server.address, late, retryable=False) is None
            assert pool.acquire(server.address, now(), retryable=False) is connection

    async def test_number_of_idle_connections_is_limited(self) -> None:
        async with RawServer(*[script(make_response(200))] * 3) as server:
            pool = ConnectionPool(max_idle=1)
            kept = [await connect(server) for _ in range(3)]
            for each in kept:
                await read_whole(each)
                pool.release(server.address, each, now())
            assert pool.acquire(server.address, now()) is not None
            assert pool.acquire(server.address, now()) is None


class TestRequestIds:
    """Tests of the IDs of requests that a connection carried."""

    async def test_connection_is_not_reused_for_the_same_id(self) -> None:
        async with RawServer(*[script(make_response(200))] * 2) as server:
            pool = ConnectionPool(max_idle=2)
            kept = [await connect(server) for _ in range(2)]
            for number, each in enumerate(kept):
                await read_whole(each, f"q{number}")
                pool.release(server.address, each, now())
            assert pool.acquire(server.address, now(), request_id="q1") is kept[0]
            assert pool.acquire(server.address, now(), request_id="q1") is None
            assert pool.acquire(server.address, now(), request_id="q2") is kept[1]

    async def test_connection_carries_a_limited_number_of_ids(self) -> None:
        async with RawServer(answer(make_response(200))) as server:
            pool = ConnectionPool(max_idle=2)
            connection = await connect(server)
            for number in range(MAX_NAMED_REQUESTS):
                await read_whole(connection, f"q{number}")
                is_last = number == MAX_NAMED_REQUESTS - 1
                assert connection.prepare_reuse(now()) is not is_last
                assert connection.has_sent("q0")
            assert pool.acquire(server.address, now()) is None


class TestConnect:
    """Tests of connections that cannot be opened."""

    async def test_closed_port_fails(self) -> None:
        with pytest.raises(ConnectFailedError):
            await async_connect("127.0.0.1:1", now())


class TestIdleReuseLimit:
    """Tests of the idle limit for requests that must not be retried."""

    def test_break_lowers_the_limit(self) -> None:
        idle_limit = IdleReuseLimit()
        idle_limit.record_break(0.4, now=10.0)
        assert idle_limit.compute_s(10.0) == 0.2
        idle_limit.record_break(0.1, now=11.0)
        assert idle_limit.compute_s(11.0) == 0.05

    def test_later_break_does_not_raise_the_limit(self) -> None:
        idle_limit = IdleReuseLimit()
        idle_limit.record_break(0.1, now=10.0)
        idle_limit.record_break(2.0, now=10.0)
        assert idle_limit.compute_s(10.0) == 0.05

    def test_limit_rises_again(self) -> None:
        idle_limit = IdleReuseLimit()
        idle_limit.record_break(0.4, now=10.0)
        assert 0.2 < idle_limit.compute_s(20.0) < MAX_REUSE_IDLE_S
        assert idle_limit.compute_s(100.0) == MAX_REUSE_IDLE_S


class TestSilence:
    """Upstreams that send nothing for a while."""

    async def test_handler_is_called_after_each_silence(self) -> None:
        calls: list[int] = []

        async def handle() -> bool:
            calls.append(1)
            return len(calls) == 3

        async with RawServer(script()) as server:
            connection = await connect(server)
            connection.silence_s, connection.on_silence = 0.02, handle
            with pytest.raises(ExchangeFailedError, match="no data"):
                await read_whole(connection)
        assert len(calls) == 3

    async def test_data_cancels_a_pending_call(self) -> None:
        """A search for another runner must not delay the data that it waited for."""
        cancelled = asyncio.Event()

        async def handle() -> bool:
            try:
                await asyncio.get_running_loop().create_future()
            except asyncio.CancelledError:
                cancelled.set()
                raise
            return True

        async def respond_late(_: bytes, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.1)
            writer.write(make_response(200, b"late"))

        async with RawServer(respond_late) as server:
            connection = await connect(server)
            connection.silence_s, connection.on_silence = 0.02, handle
            assert await read_whole(connection) == (200, b"late")
            await cancelled.wait()

    async def test_data_that_arrives_with_the_abort_is_read_later(self) -> None:
        """A stream that goes on at the silent upstream would miss it."""
        calls: list[int] = []

        async with RawServer(script()) as server:
            connection = await connect(server)

            async def handle() -> bool:
                calls.append(1)
                connection._reader.feed_data(make_response(200, b"late"))
                return True

            connection.silence_s, connection.on_silence = 0.02, handle
            await connection.async_send(REQUEST)
            with pytest.raises(UpstreamSilentError):
                await connection.async_read_head()
            head = await connection.async_read_head()
            body = b"".join(
                [each async for each in connection.async_iterate_body(LIMITS)]
            )
            connection.close()
        assert (head.status, body, len(calls)) == (200, b"late", 1)

    async def test_data_after_the_abort_is_read_later(self) -> None:
        async def handle() -> bool:
            return True

        async with RawServer(script()) as server:
            connection = await connect(server)
            connection.silence_s, connection.on_silence = 0.02, handle
            await connection.async_send(REQUEST)
            with pytest.raises(UpstreamSilentError):
                await connection.async_read_head()
            connection._reader.feed_data(make_response(200, b"late"))
            assert (await connection.async_read_head()).status == 200
            connection.close()


class TestLimits:
    """Tests of responses beyond the limits of a body."""

    @pytest.mark.parametrize(
        ("chunk", "reason"), [(b"1\r\nw\r\n", "parts"), (b"5\r\nwords\r\n", "large")]
    )
    async def test_endless_body_fails(self, chunk: bytes, reason: str) -> None:
        """The connection was read, and its body kept, until a timeout."""
        head = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
        limits = BodyLimits(max_bytes=50_000)
        async with RawServer(Pour(head, chunk).script) as server:
            connection = await connect(server)
            await connection.async_send(REQUEST)
            await connection.async_read_head()
            with pytest.raises(ExchangeFailedError, match=reason):
                async for _ in connection.async_iterate_body(limits):
                    pass
            connection.close()

    async def test_other_tasks_run_while_small_parts_are_parsed(self) -> None:
        """Unread bytes never suspended the task that parsed them."""
        head = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
        data = head + 2000 * b"1\r\nw\r\n" + b"0\r\n\r\n"
        async with RawServer(script(data)) as server:
            connection = await connect(server)
            await connection.async_send(REQUEST)
            await connection.async_read_head()
            turns = 0

            async def count_turns() -> None:
                nonlocal turns
                while True:
                    turns += 1
                    await asyncio.sleep(0)

            counting = asyncio.create_task(count_turns())
            parts = [part async for part in connection.async_iterate_body(LIMITS)]
            counting.cancel()
        assert len(parts) == 2000
        assert turns >= len(parts) // PARTS_PER_TURN

    async def test_endless_reply_to_a_call_fails(self) -> None:
        """It was kept in memory until the timeout of the call."""
        head = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
        pour = Pour(head, b"800\r\n" + 2048 * b"[" + b"\r\n")
        async with RawServer(pour.script) as server:
            with pytest.raises(CallFailedError, match="large"):
                await JsonClient().async_call(
                    server.address, "GET", "/v1/report", timeout_s=60.0
                )
            await pour.closed.wait()


class TestUnusableAddress:
    """Addresses at which nothing can listen, for example from an odd entry.

    An error of another type ended the handler of the request that met it.
    """

    async def test_connecting_fails(self) -> None:
        for address in UNUSABLE_ADDRESSES:
            with pytest.raises(ConnectFailedError) as raised:
                await async_connect(address, now())
            assert not raised.value.refused
            assert not raised.value.timed_out

    async def test_call_is_not_sent(self) -> None:
        client = JsonClient()
        for address in UNUSABLE_ADDRESSES:
            with pytest.raises(CallFailedError) as raised:
                await client.async_call(address, "GET", "/v1/report", timeout_s=1.0)
            assert not raised.value.sent


class TestUnusableRequest:
    """Requests with text of another process that no header field can carry."""

    async def test_sending_fails(self) -> None:
        """An error of another type ended the handler of the request."""
        async with RawServer(answer()) as server:
            for value in (b"a\r\nX-Hold: 1", b"a\0", b"a "):
                connection = await connect(server)
                request = evolve(REQUEST, headers=((b"Host", b"u"), (b"X-A", value)))
                with pytest.raises(ExchangeFailedError):
                    await connection.async_send(request)
                connection.close()
            assert server.requests == []
