"""Responses of the public completions API, complete and streamed."""

from collections.abc import AsyncGenerator

import orjson
from attrs import frozen

from ..models.identifiers import RequestId
from .answer import Answer, AnswerReader
from .const import (
    CHARACTERS_PER_TOKEN,
    CONTENT_TYPE_EVENTS,
    CONTENT_TYPE_JSON,
    HEADER_CONTENT_TYPE,
    HEADER_REQUEST_ID,
)
from .messages import OutgoingResponse, Submission
from .problems import make_error_event

EVENT_DONE = b"data: [DONE]\n\n"
STATUS_OK = 200
OBJECT_KIND = "text_completion"


@frozen(kw_only=True)
class CompletionHead:
    """Fields shared by all events of one completion."""

    request_id: RequestId
    created: int
    """Creation time in Unix seconds."""

    submission: Submission


def render_complete(answer: Answer, head: CompletionHead) -> OutgoingResponse:
    """Return the response of a completion that is sent as a whole."""
    prompt_tokens = len(head.submission.prompt) // CHARACTERS_PER_TOKEN + 1
    choice = {
        "index": 0,
        "text": answer.text,
        "logprobs": None,
        "finish_reason": answer.finish_reason,
    }
    body = {
        "id": head.request_id,
        "object": OBJECT_KIND,
        "created": head.created,
        "model": head.submission.model_name,
        "choices": [choice],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": answer.tokens,
            "total_tokens": prompt_tokens + answer.tokens,
        },
    }
    return OutgoingResponse(
        status=STATUS_OK,
        headers=_make_headers(CONTENT_TYPE_JSON, head.request_id),
        body=orjson.dumps(body),
    )


def render_stream(reader: AnswerReader, head: CompletionHead) -> OutgoingResponse:
    """Return the response of a completion as server-sent events."""
    return OutgoingResponse(
        status=STATUS_OK,
        headers=_make_headers(CONTENT_TYPE_EVENTS, head.request_id),
        body=_async_stream(reader, head),
    )


def render_plain(answer: Answer, request_id: RequestId) -> OutgoingResponse:
    """Return the response of a service call."""
    plain = answer.plain
    assert plain is not None
    return OutgoingResponse(
        status=plain.status,
        headers=_make_headers(plain.content_type, request_id),
        body=plain.body,
    )


async def _async_stream(
    reader: AnswerReader, head: CompletionHead
) -> AsyncGenerator[bytes, None]:
    template = _make_event_template(head)
    while pieces := await reader.async_read():
        yield b"".join([template.render(piece, None) for piece in pieces])
    answer = reader.answer
    if reader.closed:
        return
    if answer.failure is not None:
        yield make_error_event(answer.failure, head.request_id)
        return
    yield template.render("", answer.finish_reason) + EVENT_DONE


@frozen
class _EventTemplate:
    """Encoded bytes around the text and the finish reason of each event.

    They are encoded once for the stream, so that an event encodes only these two.
    """

    before: bytes
    between: bytes = b',"logprobs":null,"finish_reason":'
    after: bytes = b"}]}\n\n"

    def render(self, text: str, finish_reason: str | None) -> bytes:
        """Return the bytes of one event."""
        return b"".join(
            (
                self.before,
                orjson.dumps(text),
                self.between,
                orjson.dumps(finish_reason),
                self.after,
            )
        )


def _make_event_template(head: CompletionHead) -> _EventTemplate:
    shared = orjson.dumps(
        {
            "id": head.request_id,
            "object": OBJECT_KIND,
            "created": head.created,
            "model": head.submission.model_name,
        }
    )
    return _EventTemplate(b"data: " + shared[:-1] + b',"choices":[{"index":0,"text":')


def _make_headers(
    content_type: str, request_id: RequestId
) -> tuple[tuple[str, str], ...]:
    return (HEADER_CONTENT_TYPE, content_type), (HEADER_REQUEST_ID, request_id)
