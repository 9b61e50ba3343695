"""Encoding of the messages about plain services that are short of room."""

from typing import Any

from ..policy.plain.events import (
    PlainGrantEnded,
    PlainGrantQueued,
    PlainGrantRequest,
    PlainShortage,
    ShortageReported,
)
from ..policy.scheduling.events import EndKind
from .codec_registry import decodes, encodes
from .messages import Message


@encodes(PlainGrantRequest)
def _encode_request(message: PlainGrantRequest) -> list[Any]:
    return [
        "plain?",
        message.request_id,
        message.service,
        message.priority,
        message.route_priority,
        round(message.objective_left_s, 4),
        round(message.patience_left_s, 4),
        message.excluded,
        message.customer,
    ]


@decodes("plain?")
def _decode_request(fields: list[Any], edge: str) -> Message:
    return PlainGrantRequest(
        edge=edge,
        request_id=fields[1],
        service=fields[2],
        priority=fields[3],
        route_priority=fields[4],
        objective_left_s=fields[5],
        patience_left_s=fields[6],
        excluded=tuple(fields[7]),
        customer=fields[8],
    )


@encodes(PlainGrantEnded)
def _encode_ended(message: PlainGrantEnded) -> list[Any]:
    return ["plain-end", message.request_id, message.kind.value]


@decodes("plain-end")
def _decode_ended(fields: list[Any], edge: str) -> Message:
    return PlainGrantEnded(edge=edge, request_id=fields[1], kind=EndKind(fields[2]))


@encodes(PlainGrantQueued)
def _encode_queued(message: PlainGrantQueued) -> list[Any]:
    return ["plain-wait", message.request_id]


@decodes("plain-wait")
def _decode_queued(fields: list[Any], edge: str) -> Message:
    return PlainGrantQueued(edge=edge, request_id=fields[1])


@encodes(ShortageReported)
def _encode_report(message: ShortageReported) -> list[Any]:
    return ["short?", message.service]


@decodes("short?")
def _decode_report(fields: list[Any], edge: str) -> Message:
    return ShortageReported(edge=edge, service=fields[1])


@encodes(PlainShortage)
def _encode_shortage(message: PlainShortage) -> list[Any]:
    return ["short", message.service, round(message.left_s, 3)]


@decodes("short")
def _decode_shortage(fields: list[Any], edge: str) -> Message:
    return PlainShortage(service=fields[1], left_s=fields[2])
