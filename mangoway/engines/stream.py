"""Decoder of an engine's stream of completion events."""

from typing import Any

import orjson

from ..models.identifiers import AttemptId
from .codec import make_malformed_error
from .const import EVENT_DONE, EVENT_END, EVENT_PREFIX, MAX_EVENT_BYTES
from .messages import CompletionChunk


class StreamDecoder:
    """Decoder of the stream of one attempt.

    An event with another attempt's id is an error, since the connection has mixed up
    responses and no data on it can be trusted. An event whose tokens were delivered
    before is a duplicate; only its finish reason is kept.
    """

    def __init__(self, attempt_id: AttemptId, resume_from: int) -> None:
        self._attempt_id = attempt_id
        self._offset = resume_from
        self._incomplete = bytearray()
        self.done = False
        """Whether the end mark of the stream was received."""

    def feed(self, data: bytes) -> list[CompletionChunk]:
        """Add bytes and return the chunks that they complete.

        Raises:
            MangowayError: UPSTREAM_FAILED if the stream violates the protocol.
        """
        if b"\r" in data:
            data = data.replace(b"\r", b"")
        events = self._split(data)
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise make_malformed_error(
                f"an event is larger than {MAX_EVENT_BYTES} bytes"
            )
        chunks: list[CompletionChunk] = []
        for event in events:
            chunk = self._decode(event)
            if chunk is not None:
                chunks.append(chunk)
        return chunks

    def _split(self, data: bytes) -> list[bytes]:
        """Return the events that these bytes complete.

        A faulty engine may send a large event in tiny parts, so only new bytes are
        searched for its end.
        """
        searched = max(0, len(self._incomplete) - len(EVENT_END) + 1)
        self._incomplete += data
        if self._incomplete.find(EVENT_END, searched) < 0:
            return []
        *events, rest = bytes(self._incomplete).split(EVENT_END)
        self._incomplete = bytearray(rest)
        return events

    def _decode(self, event: bytes) -> CompletionChunk | None:
        payload = _read_payload(event)
        if payload is None or self.done:
            return None
        if payload == EVENT_DONE:
            self.done = True
            return None
        try:
            chunk = self._read_chunk(orjson.loads(payload))
        except (ValueError, LookupError, TypeError, AttributeError) as error:
            raise make_malformed_error(f"malformed event: {error!r}") from error
        return self._drop_duplicate(chunk)

    def _read_chunk(self, fields: dict[str, Any]) -> CompletionChunk:
        if fields["request_id"] != self._attempt_id:
            raise make_malformed_error(
                f"received an event of attempt {fields['request_id']} on the "
                f"connection of {self._attempt_id}"
            )
        choice = fields["choices"][0]
        return CompletionChunk(
            choice["text"], int(fields["offset"]), choice.get("finish_reason")
        )

    def _drop_duplicate(self, chunk: CompletionChunk) -> CompletionChunk | None:
        if chunk.offset > self._offset:
            self._offset = chunk.offset
            return chunk
        if chunk.finish_reason is None:
            return None
        return CompletionChunk("", self._offset, chunk.finish_reason)


def _read_payload(event: bytes) -> bytes | None:
    if event.startswith(EVENT_PREFIX) and b"\n" not in event:
        return event[len(EVENT_PREFIX) :].strip()
    for line in event.split(b"\n"):
        if line.startswith(EVENT_PREFIX):
            return line[len(EVENT_PREFIX) :].strip()
    return None
