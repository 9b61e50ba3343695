"""Which edge sent a request to a runner.

The failure: a request that one edge had relayed to another one counted as sent by the
first one, so that a cooldown that only the second one had received bound the first.
"""

import asyncio
import os
from pathlib import Path
from unittest.mock import Mock

from ..stand_ins.launcher import Launcher
from .world import Node, World

SEED = 1
OWN, OTHER = "127.0.0.1:1", "127.0.0.1:2"


def make_node(address: str, pid: int) -> Node:
    node = Node(address, "edge", (), Mock())
    node.caller_address = address
    node.process = Mock()
    node.process.child.pid = pid
    return node


class TestSenders:
    """The process that opened a connection to a runner."""

    async def test_sender_is_found_by_its_connection(self, tmp_path: Path) -> None:
        world = World(SEED, Launcher(tmp_path))
        other = await asyncio.create_subprocess_exec("sleep", "30")
        world.nodes = [make_node(OTHER, other.pid), make_node(OWN, os.getpid())]
        runner = await world.async_add_runner("plain", None)
        assert runner.relay is not None
        host, _, port = runner.relay.relay_address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(b"GET /v1/report HTTP/1.1\r\nHost: h\r\n\r\n")
            await reader.readline()
            [client] = runner.relay.list_open()
            assert runner.find_sender(client) == OWN
            world.nodes.clear()
            assert runner.find_sender(client) == OWN
        finally:
            writer.close()
            other.kill()
            await other.wait()
            await runner.async_crash()
