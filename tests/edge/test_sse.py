"""Tests of splitting a stream into events."""

import sys
import time
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mangoway.edge.const import MAX_EVENT_BYTES
from mangoway.edge.sse import EventSplitter, StreamEvent
from mangoway.http1.const import MAX_BODY_PARTS, PARTS_PER_TURN

MAX_TURN_S = 0.001
"""Processor time of one turn of a connection, as stated beside `PARTS_PER_TURN`."""


def count_calls(data: bytes) -> int:
    """Return the number of calls that it takes to read the events of some bytes."""
    calls = 0

    def count(_frame: Any, what: str, _argument: Any) -> None:
        nonlocal calls
        calls += what in ("call", "c_call")

    sys.setprofile(count)
    try:
        list(EventSplitter().feed(data))
    finally:
        sys.setprofile(None)
    return calls


class TestEventSplitter:
    """Events from bytes that are split at any position."""

    def test_complete_events_are_returned(self) -> None:
        splitter = EventSplitter()
        events = [*splitter.feed(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda")]
        assert [each.event_id for each in events] == ["1", "2"]
        assert splitter.rest == b"id: 3\nda"

    def test_id_may_follow_other_fields(self) -> None:
        [event] = EventSplitter().feed(b"event: x\nid:7\ndata: a\n\n")
        assert event.number == 7

    @pytest.mark.parametrize(
        ("event", "event_id"),
        [
            (b"id:\n\n", ""),
            (b"data: id: 1\nid:  2\t\r\n\n", "2"),
            (b"\nid: 3\nid: 4\n\n", "3"),
            (b"ID: 5\n id: 6\n\n", None),
            (b"data: a\rid: 7\n\n", None),
        ],
    )
    def test_id_is_that_of_the_first_line_with_one(
        self, event: bytes, event_id: str | None
    ) -> None:
        [each] = EventSplitter().feed(event)
        assert each.event_id == event_id

    def test_calls_for_an_event_do_not_grow_with_its_lines(self) -> None:
        """An event of short lines held up all other tasks while its id was searched."""
        assert count_calls(b"x\n" * 10_000 + b"\n") == count_calls(b"x\n\n")

    def test_event_without_a_number_has_none(self) -> None:
        one, two = EventSplitter().feed(b"data: a\n\nid: x\n\n")
        assert one.number is None
        assert two.number is None

    @pytest.mark.parametrize("text", ["\u00b2", "9" * 5000, "-1", ""])
    def test_other_digits_are_no_number(self, text: str) -> None:
        """The conversion failed, and the request with it without any response."""
        event = StreamEvent(b"", text)
        assert event.number is None

    @given(cuts=st.lists(st.integers(1, 60), max_size=8))
    def test_split_positions_do_not_matter(self, cuts: list[int]) -> None:
        data = b"".join(b"id: %d\ndata: piece\n\n" % number for number in range(4))
        splitter = EventSplitter()
        received = b""
        start = 0
        for end in sorted({*cuts, len(data)}):
            received += b"".join(each.data for each in splitter.feed(data[start:end]))
            start = end
        assert received == data
        assert splitter.rest == b""

    @pytest.mark.parametrize("end", [b"\n\n", b"\n\n\n", b"\n\n\n\n"])
    def test_end_in_single_bytes_is_found(self, end: bytes) -> None:
        data = b"id: 1\ndata: a" + end + b"id: 2\n\n"
        splitter = EventSplitter()
        parts = [data[at : at + 1] for at in range(len(data))]
        events = [each for part in parts for each in splitter.feed(part)]
        assert events == list(EventSplitter().feed(data))

    def test_large_event_in_tiny_parts_takes_little_processor_time(self) -> None:
        """Each part cost a search of all before it, which held up other callers."""
        splitter = EventSplitter()
        part = b"w" * (MAX_EVENT_BYTES // MAX_BODY_PARTS)
        began = time.thread_time()
        for _ in range(MAX_BODY_PARTS):
            assert not list(splitter.feed(part))
        used_s = time.thread_time() - began
        assert len(splitter.rest) == MAX_EVENT_BYTES
        assert used_s < MAX_BODY_PARTS / PARTS_PER_TURN * MAX_TURN_S
