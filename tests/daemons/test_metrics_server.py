"""Tests of the metrics server of a process."""

import asyncio

import aiohttp
import pytest

from mangoway.daemons import metrics_server
from mangoway.daemons.metrics_server import MetricsServer
from mangoway.observability.metrics import Metrics


class TestMetricsServer:
    """Answers of the metrics server."""

    @pytest.mark.parametrize(
        ("path", "status", "text"),
        [("/metrics", 200, "mangoway_lease_held 1"), ("/other", 404, "")],
    )
    async def test_answers(self, path: str, status: int, text: str) -> None:
        metrics = Metrics()
        metrics.lease_held.set(level=1)
        server = MetricsServer(metrics.render)
        await server.async_start("127.0.0.1", 0)
        url = f"http://127.0.0.1:{server.port}{path}"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            body = await response.text()
        server.stop()
        assert response.status == status
        assert text in body

    async def test_response_that_is_not_read_is_given_up(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Its bytes and descriptor were kept for as long as the client stayed."""
        monkeypatch.setattr(metrics_server, "READ_TIMEOUT_S", 0.2)
        server = MetricsServer(lambda: bytes(32 << 20))
        await server.async_start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")
        async with asyncio.timeout(10):
            received = 0
            await asyncio.sleep(0.5)
            while part := await reader.read(1 << 20):
                received += len(part)
        assert received < 32 << 20
        writer.close()
        server.stop()

    async def test_slow_reader_receives_everything(self) -> None:
        server = MetricsServer(lambda: bytes(8 << 20))
        await server.async_start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")
        async with asyncio.timeout(10):
            await reader.readuntil(b"\r\n\r\n")
            received = 0
            while part := await reader.read(1 << 20):
                received += len(part)
                await asyncio.sleep(0.005)
        assert received == 8 << 20
        writer.close()
        server.stop()

    async def test_oldest_connection_makes_room(self) -> None:
        displaced: list[tuple[int, str, str]] = []
        server = MetricsServer(
            lambda: b"ok",
            max_connections=2,
            on_displaced=lambda *each: displaced.append(each),
        )
        await server.async_start("127.0.0.1", 0)
        clients = [
            await asyncio.open_connection("127.0.0.1", server.port) for _ in range(3)
        ]
        async with asyncio.timeout(5):
            assert await clients[0][0].read() == b""
        port = clients[0][1].get_extra_info("sockname")[1]
        assert displaced == [(2, "new", f"127.0.0.1:{port}")]
        clients[2][1].write(b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")
        async with asyncio.timeout(5):
            assert (await clients[2][0].read()).endswith(b"ok")
        for each in clients:
            each[1].close()
        server.stop()
