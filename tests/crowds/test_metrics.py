"""Crowds at the listeners for metrics."""

from pathlib import Path

import pytest

from .crowd import async_ask, gather_crowd, watch
from .host import FREE_DESCRIPTORS, MAX_DESCRIPTORS, make_get, start_host

OPENERS = 400


class TestMetrics:
    """Clients that keep connections for metrics open."""

    @pytest.mark.parametrize("program", ["edge", "scheduler"])
    @pytest.mark.parametrize("asks", [False, True], ids=["silent", "unread"])
    async def test_open_connections(
        self, tmp_path: Path, program: str, asks: bool
    ) -> None:
        """They took all descriptors of the process."""
        async with start_host(tmp_path, MAX_DESCRIPTORS) as host:
            [node] = host.world.list_nodes(program)
            assert node.process is not None
            data = make_get(b"/metrics")
            async with watch(node.process) as watched:
                address = node.metrics_address
                async with gather_crowd(address, OPENERS) as crowd:
                    if asks:
                        await crowd.async_send(data)
                    assert b" 200 " in await async_ask(address, data)
                    await host.async_check_process(watched)
                assert watched.descriptors <= MAX_DESCRIPTORS - FREE_DESCRIPTORS
