"""Encoding of stored answers that a leaving gateway hands over."""

import orjson

from ..callers.answer import Answer, PlainBody
from ..callers.const import CONTENT_TYPE_JSON, HEADER_CONTENT_TYPE
from ..models.identifiers import RequestId
from ..peers.hand_over import StoredAnswer
from ..peers.messages import ForwardedHeader

HEADER_KIND = "x-answer-kind"
KIND_PLAIN = "plain"
KIND_COMPLETION = "completion"
STATUS_OK = 200


def encode_answer(answer_id: RequestId, answer: Answer) -> StoredAnswer:
    """Return a complete answer encoded for a successor."""
    if answer.plain is not None:
        return StoredAnswer(
            id=answer_id,
            status=answer.plain.status,
            headers=_make_headers(KIND_PLAIN, answer.plain.content_type),
            body=answer.plain.body,
        )
    body = orjson.dumps((answer.text, answer.tokens, answer.finish_reason))
    return StoredAnswer(
        id=answer_id,
        status=STATUS_OK,
        headers=_make_headers(KIND_COMPLETION, CONTENT_TYPE_JSON),
        body=body,
    )


def decode_answer(stored: StoredAnswer) -> Answer:
    """Return the complete answer decoded from a hand-over."""
    headers = {each.name: each.value for each in stored.headers}
    answer = Answer()
    if headers[HEADER_KIND] == KIND_PLAIN:
        plain = PlainBody(
            status=stored.status,
            content_type=headers[HEADER_CONTENT_TYPE],
            body=stored.body,
        )
        answer.set_plain(plain)
    else:
        answer.append(*orjson.loads(stored.body))
    answer.finish()
    return answer


def _make_headers(kind: str, content_type: str) -> tuple[ForwardedHeader, ...]:
    return (
        ForwardedHeader(HEADER_KIND, kind),
        ForwardedHeader(HEADER_CONTENT_TYPE, content_type),
    )
