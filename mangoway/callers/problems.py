"""Failures as sent to callers: problem documents and error events."""

import math
from typing import Any

import orjson

from ..models.errors import Failure
from ..models.identifiers import RequestId
from .const import (
    CONTENT_TYPE_PROBLEM,
    HEADER_CONTENT_TYPE,
    HEADER_REQUEST_ID,
    HEADER_RETRY_AFTER,
    PROBLEM_TYPE_PREFIX,
)
from .messages import OutgoingResponse
from .statuses import find_status


def make_problem(failure: Failure, request_id: RequestId | None) -> OutgoingResponse:
    """Return a failure as a response of type application/problem+json."""
    headers = [(HEADER_CONTENT_TYPE, CONTENT_TYPE_PROBLEM)]
    if request_id is not None:
        headers.append((HEADER_REQUEST_ID, request_id))
    if failure.retry_after is not None:
        # The header allows whole seconds only; the body has the exact value.
        seconds = max(1, math.ceil(failure.retry_after))
        headers.append((HEADER_RETRY_AFTER, str(seconds)))
    return OutgoingResponse(
        status=find_status(failure.code).value,
        headers=tuple(headers),
        body=orjson.dumps(_make_fields(failure, request_id)),
    )


def make_error_event(failure: Failure, request_id: RequestId) -> bytes:
    """Return the event that ends a stream if it fails after its start."""
    fields = orjson.dumps({"error": _make_fields(failure, request_id)})
    return b"event: error\ndata: " + fields + b"\n\n"


def _make_fields(failure: Failure, request_id: RequestId | None) -> dict[str, Any]:
    status = find_status(failure.code)
    return {
        "type": PROBLEM_TYPE_PREFIX + failure.code.value,
        "title": status.phrase,
        "status": status.value,
        "detail": failure.detail,
        "code": failure.code.value,
        "verdict": failure.verdict.value,
        "retry_after_s": failure.retry_after,
        "request_id": request_id,
    }
