"""Tests of the events and metrics of connections that are closed for their limits."""

import pytest

from mangoway.observability import connection_log, memory_events
from mangoway.observability.connection_log import ConnectionLog
from mangoway.observability.metrics import Metrics


class TestConnectionLog:
    """Tests that operators learn who was closed, and why."""

    def test_rejected_connection(self, monkeypatch: pytest.MonkeyPatch) -> None:
        events: list[object] = []
        monkeypatch.setattr(connection_log, "log_event", events.append)
        metrics = Metrics()
        ConnectionLog("peers", metrics).record_rejected("it is silent", "10.0.0.1:5")
        assert events == [
            memory_events.ConnectionRejected(
                listener="peers", reason="it is silent", peer="10.0.0.1:5"
            )
        ]
        assert metrics.rejected_connections.get("peers") == 1
