"""Tests of the decoder of completion streams."""

import time

import orjson
import pytest

from mangoway.engines.const import MAX_EVENT_BYTES
from mangoway.engines.messages import CompletionChunk
from mangoway.engines.stream import StreamDecoder
from mangoway.http1.const import PARTS_PER_TURN
from mangoway.models.errors import MangowayError
from mangoway.models.identifiers import AttemptId
from mangoway.models.verdict import Verdict

ATTEMPT = AttemptId("a-1")
PART_BYTES = 64
MAX_PART_S = 0.001 / PARTS_PER_TURN
"""Processor time of a part, as stated beside `PARTS_PER_TURN`."""

DONE = b"data: [DONE]\n\n"


def make_event(
    text: str, offset: int, attempt: str = ATTEMPT, finish: str | None = None
) -> bytes:
    fields = {
        "request_id": attempt,
        "offset": offset,
        "choices": [{"text": text, "finish_reason": finish}],
    }
    return b"data: " + orjson.dumps(fields) + b"\n\n"


class TestStreamDecoder:
    """Tests of decoding bytes into chunks."""

    def test_any_split_gives_the_same_chunks(self) -> None:
        stream = make_event("å", 1) + make_event("b", 2, finish="stop") + DONE
        expected = [CompletionChunk("å", 1), CompletionChunk("b", 2, "stop")]
        for split in range(len(stream) + 1):
            decoder = StreamDecoder(ATTEMPT, 0)
            chunks = decoder.feed(stream[:split]) + decoder.feed(stream[split:])
            assert chunks == expected
            assert decoder.done

    def test_event_in_single_bytes_is_found(self) -> None:
        stream = make_event("a", 1) + b"\n" + make_event("b", 2)
        decoder = StreamDecoder(ATTEMPT, 0)
        chunks = [
            each
            for at in range(len(stream))
            for each in decoder.feed(stream[at : at + 1])
        ]
        assert chunks == [CompletionChunk("a", 1), CompletionChunk("b", 2)]

    def test_large_event_in_tiny_parts_takes_little_processor_time(self) -> None:
        """Each part cost a search of all before it, which held up other callers."""
        decoder = StreamDecoder(ATTEMPT, 0)
        began = time.thread_time()
        for _ in range(MAX_EVENT_BYTES // PART_BYTES):
            assert decoder.feed(b"w" * PART_BYTES) == []
        used_s = time.thread_time() - began
        assert used_s < MAX_EVENT_BYTES / PART_BYTES * MAX_PART_S

    def test_carriage_returns_and_comments_are_ignored(self) -> None:
        decoder = StreamDecoder(ATTEMPT, 0)
        event = b": ping\r\n\r\nevent: x\r\n" + make_event("a", 1)
        assert decoder.feed(event) == [CompletionChunk("a", 1)]

    def test_answer_of_another_attempt_is_an_error(self) -> None:
        decoder = StreamDecoder(ATTEMPT, 0)
        with pytest.raises(MangowayError) as caught:
            decoder.feed(make_event("a", 1, attempt="a-0"))
        assert caught.value.failure.verdict is Verdict.MAY_HAVE_RUN

    def test_duplicate_event_is_dropped(self) -> None:
        decoder = StreamDecoder(ATTEMPT, 0)
        chunks = decoder.feed(make_event("a", 1) * 2 + make_event("b", 2))
        assert [chunk.text for chunk in chunks] == ["a", "b"]

    def test_resumed_stream_drops_delivered_tokens(self) -> None:
        decoder = StreamDecoder(ATTEMPT, 2)
        chunks = decoder.feed(make_event("b", 2) + make_event("c", 3))
        assert [chunk.text for chunk in chunks] == ["c"]

    def test_events_after_the_end_mark_are_ignored(self) -> None:
        decoder = StreamDecoder(ATTEMPT, 0)
        assert decoder.feed(DONE + make_event("a", 1)) == []

    @pytest.mark.parametrize(
        "event",
        [
            b"data: {\n\n",
            b"data: []\n\n",
            b'data: {"request_id": "a-1", "offset": 1, "choices": []}\n\n',
            b'data: {"request_id": "a-1", "choices": [{"text": "x"}]}\n\n',
        ],
    )
    def test_malformed_event_is_an_error(self, event: bytes) -> None:
        with pytest.raises(MangowayError):
            StreamDecoder(ATTEMPT, 0).feed(event)
