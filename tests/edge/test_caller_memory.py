"""Tests of the events and metrics about the bytes that an edge holds."""

import pytest

from mangoway.edge import caller_memory
from mangoway.edge.caller_memory import make_response_memory
from mangoway.http1.response_memory import BrokenResponse
from mangoway.observability import memory_events
from mangoway.observability.metrics import Metrics
from mangoway.policy.edge.response_memory import BreakCause


class TestReports:
    """Tests that operators learn what was broken off, and when memory is short."""

    def test_broken_response_is_counted_and_logged(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        events: list[object] = []
        monkeypatch.setattr(caller_memory, "log_event", events.append)
        metrics = Metrics()
        memory = make_response_memory(metrics)
        memory.on_break(
            BrokenResponse(
                cause=BreakCause.MEMORY, held_bytes=10, unread_s=2.5, total_bytes=30
            )
        )
        memory.on_short(40)
        memory.on_drop(20, 45)
        memory.on_change(50)
        assert events == [
            memory_events.ResponseBrokenOff(
                cause="memory", held_bytes=10, unread_s=2.5, total_bytes=30
            ),
            memory_events.CallerMemoryShort(total_bytes=40),
            memory_events.UnfinishedRequestsDropped(dropped_bytes=20, total_bytes=45),
        ]
        assert metrics.edge_broken_responses.get("memory") == 1
        assert metrics.edge_held_bytes.get() == 50
        assert metrics.edge_dropped_inputs.get() == 1
