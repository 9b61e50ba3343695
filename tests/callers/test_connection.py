"""Tests of timeouts for stalled callers."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator

import pytest
from blacksheep import Application, Content, Response, StreamedContent
from blacksheep.messages import Request
from blacksheep.server.routing import Router
from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT

from mangoway.callers import connection
from mangoway.callers.connection import CallerConnection
from mangoway.callers.const import (
    BODY_PART_BYTES,
    HEAD_PART_BYTES,
    MAX_SENT_AHEAD_BYTES,
)
from mangoway.callers.server import CallerServer

from ..fakes.polling import async_wait_until

ASYNCIO_READ_BYTES = 262_144
"""Bytes that asyncio reads at once."""

LIMIT_S = 0.2
WAIT_S = 10.0
PARTS = 1000
"""Number of parts that exceeds the buffers of a connection by far."""

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
LONG_RESPONSE_REQUEST = b"GET /long HTTP/1.1\r\nHost: h\r\n\r\n"


@pytest.fixture
async def server(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[CallerServer]:
    monkeypatch.setattr(connection, "HEADERS_TIMEOUT_S", LIMIT_S)
    monkeypatch.setattr(connection, "UNREAD_TIMEOUT_S", LIMIT_S)
    app = Application(router=Router())

    async def async_slow(_: Request) -> Response:
        await asyncio.sleep(2 * LIMIT_S)
        return Response(200)

    async def async_long(_: Request) -> Response:
        return Response(200, content=StreamedContent(b"text/plain", make_parts))

    async def async_echo(_: Request) -> Response:
        return Response(200, content=Content(b"text/plain", b"ok"))

    async def async_measure(request: Request) -> Response:
        body = await request.read() or b""
        return Response(200, content=Content(b"text/plain", b"%d" % len(body)))

    async def make_parts() -> AsyncGenerator[bytes, None]:
        for _ in range(PARTS):
            yield bytes(1 << 16)

    app.router.add("GET", "/", async_slow)
    app.router.add("GET", "/long", async_long)
    app.router.add("GET", "/echo", async_echo)
    app.router.add("POST", "/size", async_measure)
    server = CallerServer(app)
    await server.async_start("127.0.0.1", 0)
    yield server
    await server.async_stop(force=True)


async def read_status(reader: asyncio.StreamReader) -> bytes:
    async with asyncio.timeout(WAIT_S):
        return (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1]


async def read_end(reader: asyncio.StreamReader) -> None:
    async with asyncio.timeout(WAIT_S):
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)


class TestSentAhead:
    """Tests of requests that are sent before earlier ones are answered."""

    async def test_one_request_waits_parsed_at_most(
        self, server: CallerServer, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Each response let another read in, all of whose requests were parsed."""
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(REQUEST * 20_000)
        async with asyncio.timeout(WAIT_S):
            for _ in range(3):
                assert await read_status(reader) == b"200"
                [made] = server._server.server_state.connections
                assert isinstance(made, CallerConnection)
                assert len(made.pipeline) <= HEAD_PART_BYTES // len(REQUEST)
                most = MAX_SENT_AHEAD_BYTES + ASYNCIO_READ_BYTES
                assert len(made._unparsed) <= most
                assert made._shared.budget.used_bytes == len(made._unparsed)
        writer.close()
        budget = made._shared.budget
        await async_wait_until(lambda: budget.used_bytes == 0)

    async def test_all_are_answered_in_order(self, server: CallerServer) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"GET /echo HTTP/1.1\r\nHost: h\r\n\r\n" * 500)
        body = b"x" * 200_000
        writer.write(
            b"POST /size HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(body)
        )
        writer.write(body + b"GET /echo HTTP/1.1\r\nHost: h\r\n\r\n")
        async with asyncio.timeout(WAIT_S):
            for _ in range(500):
                assert await read_status(reader) == b"200"
                assert await reader.readexactly(2) == b"ok"
            assert await read_status(reader) == b"200"
            assert await reader.readexactly(6) == b"200000"
            assert await read_status(reader) == b"200"
        writer.close()

    async def test_body_that_no_handler_takes_is_not_parsed(
        self, server: CallerServer
    ) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        head = b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n"
        writer.write(head + bytes(400_000))
        await asyncio.sleep(LIMIT_S / 2)
        [made] = server._server.server_state.connections
        assert isinstance(made, CallerConnection)
        assert len(made.cycle.body) <= HIGH_WATER_LIMIT + BODY_PART_BYTES
        assert await read_status(reader) == b"200"
        writer.close()

    async def test_connection_is_closed_if_all_wait_for_too_much(
        self, server: CallerServer
    ) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        await asyncio.sleep(0.05)
        [made] = server._server.server_state.connections
        assert isinstance(made, CallerConnection)
        made._shared.budget.max_bytes = 1000
        rejected: list[str] = []
        made._shared.on_rejected = lambda reason, peer: rejected.append(reason)
        writer.write(REQUEST * 100)
        await read_end(reader)
        assert len(rejected) == 1
        await async_wait_until(lambda: made._shared.budget.used_bytes == 0)
        writer.close()


class TestManyConnections:
    """Tests of a listener that has as many connections as it keeps."""

    async def test_silent_connection_makes_room(self, server: CallerServer) -> None:
        """Silent connections took all descriptors of a gateway."""
        first = await asyncio.open_connection("127.0.0.1", server.port)
        await asyncio.sleep(0.05)
        [made] = server._server.server_state.connections
        assert isinstance(made, CallerConnection)
        displaced: list[tuple[int, str, str]] = []
        made._shared.on_displaced = lambda *each: displaced.append(each)
        made._shared.table.limit = 1
        second = await asyncio.open_connection("127.0.0.1", server.port)
        async with asyncio.timeout(WAIT_S):
            assert await first[0].read() == b""
        second[1].write(REQUEST)
        assert await read_status(second[0]) == b"200"
        third = await asyncio.open_connection("127.0.0.1", server.port)
        async with asyncio.timeout(WAIT_S):
            assert await second[0].read() == b""
        assert [each[1] for each in displaced] == ["new", "idle"]
        for each in (first, second, third):
            each[1].close()

    async def test_request_in_progress_is_kept(self, server: CallerServer) -> None:
        first = await asyncio.open_connection("127.0.0.1", server.port)
        first[1].write(REQUEST)
        await asyncio.sleep(0.05)
        [made] = server._server.server_state.connections
        assert isinstance(made, CallerConnection)
        made._shared.table.limit = 1
        second = await asyncio.open_connection("127.0.0.1", server.port)
        async with asyncio.timeout(WAIT_S):
            assert await second[0].read() == b""
        assert await read_status(first[0]) == b"200"
        for each in (first, second):
            each[1].close()


class TestCallerConnection:
    """Tests of connections that are aborted, and of those that are not."""

    @pytest.mark.parametrize("sent", [b"", b"GET / HTTP/1.1\r\nHo", REQUEST + b"\r\n"])
    async def test_missing_headers_abort_the_connection(
        self, server: CallerServer, sent: bytes
    ) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(sent)
        if sent.startswith(REQUEST):
            # The response takes longer than the limit, which applies to headers only.
            assert await read_status(reader) == b"200"
            writer.write(b"GET")
        await read_end(reader)
        writer.close()

    async def test_unread_response_aborts_the_connection(
        self, server: CallerServer
    ) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(LONG_RESPONSE_REQUEST)
        assert await read_status(reader) == b"200"
        async with asyncio.timeout(WAIT_S):
            while server.connections:  # noqa: ASYNC110
                await asyncio.sleep(LIMIT_S / 10)
        writer.close()
