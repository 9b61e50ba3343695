"""Tests of the metrics server of a process."""

import aiohttp
import pytest

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
