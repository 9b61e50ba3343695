"""Tests of tracing."""

import threading

import pytest

from mangoway.observability.tracing import Hop, Tracing

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
SPAN_ID = "b7ad6b7169203331"


@pytest.fixture
def tracing() -> Tracing:
    return Tracing(host="g1", role="gateway", capacity=3)


class TestTracing:
    """Tests of spans, their parents and the header between processes."""

    def test_received_context_is_propagated(self, tracing: Tracing) -> None:
        caller = tracing.start(Hop.CALLER, "completions", f"00-{TRACE_ID}-{SPAN_ID}-01")
        with tracing.start(Hop.ENGINE, "attempt", caller) as attempt:
            sent = attempt.traceparent
        caller.end()
        engine, first = tracing.list_spans(TRACE_ID)
        assert first.parent_id == SPAN_ID
        assert engine.parent_id == first.span_id
        assert sent == f"00-{TRACE_ID}-{engine.span_id}-01"
        assert (first.hop, engine.hop) == ("caller", "engine")

    @pytest.mark.parametrize("header", ["", "x", f"00-{'0' * 32}-{SPAN_ID}-01"])
    def test_malformed_context_starts_a_new_trace(
        self, tracing: Tracing, header: str
    ) -> None:
        tracing.start(Hop.CALLER, "completions", header).end()
        (span,) = tracing.list_spans()
        assert span.parent_id is None

    def test_spans_without_parent_do_not_share_a_trace(self, tracing: Tracing) -> None:
        with tracing.start(Hop.CALLER, "one"), tracing.start(Hop.CALLER, "two"):
            pass
        one, two = tracing.list_spans()
        assert one.trace_id != two.trace_id

    def test_failure_is_recorded(self, tracing: Tracing) -> None:
        with pytest.raises(OSError), tracing.start(Hop.PEER, "forward"):
            raise OSError("cut")
        (span,) = tracing.list_spans()
        assert span.failure == "cut"

    def test_ring_is_bounded_and_has_no_thread(self, tracing: Tracing) -> None:
        before = threading.active_count()
        for number in range(5):
            tracing.start(Hop.CALLER, f"r{number}").end()
        assert [span.name for span in tracing.list_spans()] == ["r2", "r3", "r4"]
        assert threading.active_count() == before

    def test_unsampled_trace_is_not_kept(self, tracing: Tracing) -> None:
        tracing.start(Hop.CALLER, "r", f"00-{TRACE_ID}-{SPAN_ID}-00").end()
        assert tracing.list_spans() == ()
