"""Conversion of forwarded requests and responses to protocol messages and back."""

from collections.abc import Iterable

from ..models.errors import ErrorCode, Failure
from ..models.identifiers import IncarnationId, RequestId
from ..models.verdict import Verdict
from . import peers_pb2 as pb
from .messages import (
    ForwardedFailure,
    ForwardedFrame,
    ForwardedHead,
    ForwardedHeader,
    ForwardedRequest,
)

_VERDICT_NUMBERS = {
    Verdict.MAY_HAVE_RUN: pb.VERDICT_MAY_HAVE_RUN,
    Verdict.NOT_RUN: pb.VERDICT_NOT_RUN,
    Verdict.RAN: pb.VERDICT_RAN,
}
_VERDICTS_BY_NUMBER = {number: verdict for verdict, number in _VERDICT_NUMBERS.items()}


def encode_request(request: ForwardedRequest) -> pb.ForwardedRequest:
    """Return a forwarded request as a message."""
    return pb.ForwardedRequest(
        request_id=request.request_id,
        home=request.home or "",
        method=request.method,
        path=request.path,
        headers=encode_headers(request.headers),
        body=request.body,
        timeout_s=request.timeout_s,
        hops=request.hops,
    )


def decode_request(message: pb.ForwardedRequest) -> ForwardedRequest:
    """Return the forwarded request in a message."""
    return ForwardedRequest(
        request_id=RequestId(message.request_id),
        home=IncarnationId(message.home) if message.home else None,
        method=message.method,
        path=message.path,
        headers=decode_headers(message.headers),
        body=message.body,
        timeout_s=message.timeout_s,
        hops=message.hops,
    )


def encode_frame(frame: ForwardedFrame) -> pb.ForwardedFrame:
    """Return one part of a response as a message."""
    if isinstance(frame, ForwardedHead):
        head = pb.ForwardedHead(
            status=frame.status, headers=encode_headers(frame.headers)
        )
        return pb.ForwardedFrame(head=head)
    if isinstance(frame, ForwardedFailure):
        return pb.ForwardedFrame(failure=encode_failure(frame.failure))
    return pb.ForwardedFrame(body=frame)


def decode_frame(message: pb.ForwardedFrame) -> ForwardedFrame | None:
    """Return the part of a response in a message; None for a ping or the end."""
    kind = message.WhichOneof("frame")
    if kind == "body":
        return message.body
    if kind == "head":
        head = message.head
        return ForwardedHead(status=head.status, headers=decode_headers(head.headers))
    if kind == "failure":
        return ForwardedFailure(decode_failure(message.failure))
    return None


def encode_failure(failure: Failure) -> pb.ForwardedFailure:
    """Return a failure as a message."""
    return pb.ForwardedFailure(
        code=failure.code.value,
        verdict=_VERDICT_NUMBERS[failure.verdict],
        detail=failure.detail,
        retry_after=failure.retry_after,
    )


def decode_failure(message: pb.ForwardedFailure) -> Failure:
    """Return the failure in a message; an unknown code counts as PEER_FAILED."""
    return Failure(
        code=_find_code(message.code),
        verdict=decode_verdict(message.verdict),
        detail=message.detail,
        retry_after=message.retry_after if message.HasField("retry_after") else None,
    )


def encode_verdict(verdict: Verdict) -> pb.Verdict.ValueType:
    """Return the protocol number of a verdict."""
    return _VERDICT_NUMBERS[verdict]


def decode_verdict(number: int) -> Verdict:
    """Return a verdict; an unknown number counts as MAY_HAVE_RUN."""
    return _VERDICTS_BY_NUMBER.get(pb.Verdict.ValueType(number), Verdict.MAY_HAVE_RUN)


def encode_headers(headers: Iterable[ForwardedHeader]) -> list[pb.Header]:
    """Return headers as messages."""
    return [pb.Header(name=header.name, value=header.value) for header in headers]


def decode_headers(headers: Iterable[pb.Header]) -> tuple[ForwardedHeader, ...]:
    """Return the headers in messages."""
    return tuple(ForwardedHeader(header.name, header.value) for header in headers)


def _find_code(text: str) -> ErrorCode:
    try:
        return ErrorCode(text)
    except ValueError:
        return ErrorCode.PEER_FAILED
