"""Tests of the events and metrics about clients of a listener."""

import pytest

from mangoway.edge import listener_log
from mangoway.edge.listener_log import ListenerLog
from mangoway.observability import connection_log, memory_events
from mangoway.observability.metrics import Metrics

from ..http1.test_server import Server


class TestListenerLog:
    """Tests that operators learn which clients exceed what."""

    def test_requests_sent_ahead_are_counted_and_logged(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        events: list[object] = []
        monkeypatch.setattr(listener_log, "log_event", events.append)
        metrics = Metrics()
        ListenerLog("ready", metrics).record_sent_ahead(70_000, "10.0.0.1:5000")
        assert events == [
            memory_events.CallerSentAhead(
                listener="ready", peer="10.0.0.1:5000", unparsed_bytes=70_000
            )
        ]
        assert metrics.edge_paused_connections.get("ready") == 1

    def test_unread_connections_are_counted_and_logged(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        events: list[object] = []
        monkeypatch.setattr(listener_log, "log_event", events.append)
        metrics = Metrics()
        ListenerLog("callers", metrics).record_unread(15.0004, "10.0.0.1:5000")
        assert events == [
            memory_events.UnreadConnectionReset(
                listener="callers", peer="10.0.0.1:5000", unread_s=15.0
            )
        ]
        assert metrics.edge_reset_connections.get("callers") == 1

    async def test_displaced_connections_are_counted_and_logged(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        events: list[object] = []
        monkeypatch.setattr(connection_log, "log_event", events.append)
        metrics = Metrics()
        options = Server().options
        options.table.limit = 7
        log = ListenerLog("directory", metrics)
        log.add_to(options)
        options.on_full("idle", "10.0.0.1:5000")
        log.update_levels()
        assert events == [
            memory_events.ConnectionDisplaced(
                listener="directory", limit=7, state="idle", peer="10.0.0.1:5000"
            )
        ]
        assert metrics.displaced_connections.get("directory", "idle") == 1
        assert metrics.connections.get("directory") == 0
