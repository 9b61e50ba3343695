"""Tests of timeouts for stalled callers."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator

import pytest
from blacksheep import Application, Response, StreamedContent
from blacksheep.messages import Request
from blacksheep.server.routing import Router

from mangoway.callers import connection
from mangoway.callers.server import CallerServer

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

    async def make_parts() -> AsyncGenerator[bytes, None]:
        for _ in range(PARTS):
            yield bytes(1 << 16)

    app.router.add("GET", "/", async_slow)
    app.router.add("GET", "/long", async_long)
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
