"""Tests of what an edge process takes from its settings."""

import pytest

from mangoway.daemons.edge import EdgeProcess
from mangoway.daemons.fleet_process import FleetProcess
from mangoway.policy.edge.version_records import EDGE_DELAY_S
from mangoway.settings.fleet import EdgeSettings
from mangoway.settings.options import parse_settings

from ..stand_ins.launcher import find_free_address

FLAGS = {
    "host": "h1",
    "data_centre": "dc1",
    "store": "127.0.0.1:1",
    "caller_listen": "127.0.0.1:2",
    "directory_listen": "127.0.0.1:3",
    "ready_listen": "127.0.0.1:4",
}


def make_edge(**flags: str) -> EdgeProcess:
    return EdgeProcess(parse_settings(EdgeSettings, {**FLAGS, **flags}, {}))


class TestSwitches:
    """Settings that switch parts of the continuation of streams off."""

    @pytest.mark.parametrize("text", ["true", "false"])
    async def test_hello_states_whether_streams_are_transferred(
        self, text: str
    ) -> None:
        """A scheduler sends no orders to an edge that doesn't accept them."""
        edge = make_edge(stream_transfers=text)
        assert edge.process.leader_link.hello.transfers_streams is (text == "true")

    @pytest.mark.parametrize("text", ["true", "false"])
    async def test_backups_are_named_unless_switched_off(self, text: str) -> None:
        edge = make_edge(stream_backups=text)
        assert edge.forwarder.uses_backups is (text == "true")

    async def test_drain_time_is_that_of_the_settings(self) -> None:
        assert make_edge(drain_ms="1500").forwarder.drain_s == 1.5


class TestVersions:
    """The list of software versions in the store."""

    async def test_edge_writes_it_if_nobody_else_does(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        names = ("caller_listen", "directory_listen", "ready_listen")
        edge = make_edge(**{each: find_free_address() for each in names})
        started: list[object] = []
        monkeypatch.setattr(
            FleetProcess, "keep_running", lambda _, task: started.append(task)
        )
        await edge.async_start()
        for server in edge._servers:
            server.close()
        edge.datagrams.close()
        assert edge.version_recorder.async_run in started
        assert edge.version_recorder.choose_delay_s() == EDGE_DELAY_S

    async def test_it_goes_by_what_the_edge_has_seen(self) -> None:
        edge = make_edge()
        recorder = edge.version_recorder
        assert recorder.history is edge.stream_origins.history
        assert recorder.handle_view_change in edge.process.view.on_change
