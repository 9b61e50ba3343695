"""Encoding of the messages between edges and the scheduler.

A frame is a length of four bytes, a byte that marks compression, and a JSON list of
messages. Each message is a list whose first element is the message kind. grpclib is
not used because its HTTP/2 framing in Python takes more CPU time per message than the
scheduling decision itself.
"""

import math
import struct
import zlib
from typing import Any, Final

import orjson

from ..coordination.store import StoreRevision
from ..models.prompt import Prompt, PromptPart
from ..models.signals import LeavingReport
from ..policy.customers.spending import SpendingEntry
from ..policy.limits.cooldowns import CooldownReport
from ..policy.limits.tracker import LimitReport
from ..policy.scheduling.events import (
    EndKind,
    FirstEventSeen,
    Grant,
    GrantRequest,
    PermitRequest,
    QuotaSpent,
    Reject,
    RequestAdopted,
    RequestEnded,
    SpendingReported,
    StreamMoved,
    TransferFailed,
    TransferReason,
    TransferStream,
)
from . import plain_codec  # noqa: F401  # Registers its messages.
from .codec_registry import DECODERS, ENCODERS, decodes, encodes
from .message_types import has_valid_types
from .messages import (
    ClockRequest,
    ClockResponse,
    Heartbeat,
    Hello,
    Message,
    RelayedStatement,
)
from .store_codec import get_era

MS_PER_S: Final = 1000.0
LENGTH: Final = struct.Struct(">I")
UNCOMPRESSED: Final = b"\x00"
COMPRESSED: Final = b"\x01"
MIN_COMPRESSED_BYTES: Final = 2048
"""Payload size from which a frame is compressed. Configurations and snapshots of the
store exceed it and contain repeated text. Messages about requests stay below it, so no
time is spent on compressing them."""

COMPRESSION_LEVEL: Final = 6
"""At this level, a configuration of 119 routes is compressed to a tenth of its size in
about a millisecond."""

MAX_FRAME_BYTES: Final = 1 << 24
"""Largest frame. All keys of a store with 12,000 runners take about 10 MB; a message
about a request takes a few hundred bytes."""

MAX_PAYLOAD_BYTES: Final = 1 << 28
"""Largest payload of a compressed frame. A payload that is compressed to a tenth fills
a frame at 160 MB; a few kilobytes could otherwise expand to all memory."""

DECODE_ERRORS: Final = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    zlib.error,
)
"""Errors of decoding values of unexpected types."""

STREAMING: Final = 1
RESUMABLE: Final = 2
INTERRUPTED: Final = 4
"""Bits of a grant request's stream flags."""


class CodecError(Exception):
    """The received bytes are not a valid frame of messages."""


def encode_frame(messages: list[Message]) -> bytes:
    """Encode messages as one frame."""
    payload = orjson.dumps([ENCODERS[type(each)](each) for each in messages])
    if len(payload) < MIN_COMPRESSED_BYTES:
        return LENGTH.pack(len(payload) + 1) + UNCOMPRESSED + payload
    packed = zlib.compress(payload, COMPRESSION_LEVEL)
    return LENGTH.pack(len(packed) + 1) + COMPRESSED + packed


def decode_payload(
    payload: bytes, edge: str, max_bytes: int = MAX_PAYLOAD_BYTES
) -> list[Message]:
    """Decode the payload of a frame.

    Args:
        payload: The bytes after the length.
        edge: Incarnation of the edge at one end of the link.
        max_bytes: Largest size of the payload after decompression.

    Raises:
        CodecError: If the payload is invalid.
    """
    try:
        body = payload[1:]
        if payload[:1] == COMPRESSED:
            body = _decompress(body, max_bytes)
        messages = [DECODERS[each[0]](each, edge) for each in orjson.loads(body)]
    except DECODE_ERRORS as error:
        raise CodecError(f"invalid frame: {error!r:.200}") from error
    for message in messages:
        if not has_valid_types(message):
            kind = type(message).__name__
            raise CodecError(f"invalid frame: a value of {kind} has another type")
    return messages


def _decompress(body: bytes, max_bytes: int) -> bytes:
    decompressor = zlib.decompressobj()
    payload = decompressor.decompress(body, max_bytes)
    if not decompressor.eof:
        raise ValueError("the compressed payload is truncated or too large")
    return payload


class FrameReader:
    """Splits received bytes into the payloads of frames."""

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self.max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """Return the number of bytes that no payload has contained."""
        return len(self._buffer)

    def receive(self, data: bytes) -> None:
        """Append received bytes."""
        self._buffer += data

    def clear(self) -> None:
        """Drop the bytes of an incomplete frame."""
        self._buffer.clear()

    def read_payload(self) -> bytes | None:
        """Return the payload of the next frame; None until it is complete.

        Raises:
            CodecError: If the frame is too large.
        """
        if len(self._buffer) < LENGTH.size:
            return None
        (length,) = LENGTH.unpack_from(self._buffer)
        if length > self.max_frame_bytes:
            raise CodecError(f"frame of {length} bytes is too large")
        end = LENGTH.size + length
        if len(self._buffer) < end:
            return None
        payload = bytes(self._buffer[LENGTH.size : end])
        del self._buffer[:end]
        return payload

    def feed(self, data: bytes) -> list[bytes]:
        """Return the payloads that these bytes complete.

        Raises:
            CodecError: If a frame is too large.
        """
        self.receive(data)
        payloads = []
        while (payload := self.read_payload()) is not None:
            payloads.append(payload)
        return payloads


@encodes(Hello)
def _encode_hello(message: Hello) -> list[Any]:
    fields = [
        "hello",
        message.edge,
        message.host,
        message.data_centre,
        message.requests_grants,
        message.revision.number,
        message.revision.era,
    ]
    if message.grants_plain:
        return [*fields, message.transfers_streams, True]
    return [*fields, True] if message.transfers_streams else fields


@decodes("hello")
def _decode_hello(fields: list[Any], edge: str) -> Message:
    return Hello(
        edge=fields[1],
        host=fields[2],
        data_centre=fields[3],
        requests_grants=fields[4],
        revision=StoreRevision(get_era(fields, 6), fields[5]),
        states_era=len(fields) > 6,
        transfers_streams=len(fields) > 7 and bool(fields[7]),
        grants_plain=len(fields) > 8 and bool(fields[8]),
    )


@encodes(Heartbeat)
def _encode_heartbeat(message: Heartbeat) -> list[Any]:
    age_s = round(message.store_age_s, 3)
    # Rounding up would include changes that may not have been relayed yet.
    known_at = math.floor(message.known_at * MS_PER_S) / MS_PER_S
    fields = ["beat", message.leading, age_s, round(message.period_s, 3), known_at]
    waits = [[name, round(wait_s, 3)] for name, wait_s in message.exhausted]
    if message.absent:
        flags = [message.grants_plain, message.takes_transfers]
        return [*fields, waits, message.era, *flags, list(message.absent)]
    if message.takes_transfers:
        return [*fields, waits, message.era, message.grants_plain, True]
    if message.grants_plain:
        return [*fields, waits, message.era, True]
    if message.era:
        return [*fields, waits, message.era]
    return [*fields, waits] if waits else fields


@decodes("beat")
def _decode_heartbeat(fields: list[Any], edge: str) -> Message:
    return Heartbeat(
        leading=fields[1],
        store_age_s=fields[2],
        period_s=fields[3],
        known_at=fields[4],
        exhausted=tuple((row[0], row[1]) for row in fields[5]) if fields[5:] else (),
        era=get_era(fields, 6),
        grants_plain=len(fields) > 7 and bool(fields[7]),
        takes_transfers=len(fields) > 8 and bool(fields[8]),
        absent=tuple(fields[9]) if len(fields) > 9 else (),
    )


@encodes(ClockRequest)
def _encode_clock_request(message: ClockRequest) -> list[Any]:
    return ["clock?", message.requested_at]


@decodes("clock?")
def _decode_clock_request(fields: list[Any], edge: str) -> Message:
    return ClockRequest(requested_at=fields[1])


@encodes(ClockResponse)
def _encode_clock_response(message: ClockResponse) -> list[Any]:
    return ["clock", message.requested_at, message.clock_s]


@decodes("clock")
def _decode_clock_response(fields: list[Any], edge: str) -> Message:
    return ClockResponse(requested_at=fields[1], clock_s=fields[2])


@encodes(RelayedStatement)
def _encode_statement(message: RelayedStatement) -> list[Any]:
    return ["told", message.key, message.value.decode()]


@decodes("told")
def _decode_statement(fields: list[Any], edge: str) -> Message:
    return RelayedStatement(key=fields[1], value=fields[2].encode())


@encodes(GrantRequest)
def _encode_grant_request(message: GrantRequest) -> list[Any]:
    prompt = message.prompt
    return [
        "ask",
        message.request_id,
        message.service,
        message.model,
        message.adapter,
        message.priority,
        round(message.objective_left_s, 4),
        round(message.patience_left_s, 4),
        message.excluded,
        message.only,
        message.repeat,
        prompt.tokens,
        prompt.max_output_tokens,
        prompt.expected_output_tokens,
        [[part.part_id, part.tokens] for part in prompt.parts],
        message.customer,
        message.cost,
        message.route_priority,
        _encode_stream_kind(message),
        message.software_version,
    ]


def _encode_stream_kind(message: GrantRequest) -> int:
    """Return the flags of a stream as bits, since most requests are streams."""
    return (
        message.streaming * STREAMING
        + message.resumable * RESUMABLE
        + message.interrupted * INTERRUPTED
    )


def _decode_grant_request(fields: list[Any], edge: str) -> GrantRequest:
    # Processes of earlier releases send no flags and no version.
    flags = fields[18] if len(fields) > 18 else 0
    software_version = fields[19] if len(fields) > 19 else ""
    return GrantRequest(
        edge=edge,
        request_id=fields[1],
        service=fields[2],
        model=fields[3],
        adapter=fields[4],
        priority=fields[5],
        objective_left_s=fields[6],
        patience_left_s=fields[7],
        excluded=tuple(fields[8]),
        only=tuple(fields[9]),
        repeat=fields[10],
        customer=fields[15],
        cost=fields[16],
        route_priority=fields[17],
        streaming=bool(flags & STREAMING),
        resumable=bool(flags & RESUMABLE),
        interrupted=bool(flags & INTERRUPTED),
        software_version=software_version,
        prompt=Prompt(
            tokens=fields[11],
            max_output_tokens=fields[12],
            expected_output_tokens=fields[13],
            parts=tuple(PromptPart(*part) for part in fields[14]),
        ),
    )


DECODERS["ask"] = _decode_grant_request


@encodes(RequestAdopted)
def _encode_adopted(message: RequestAdopted) -> list[Any]:
    grant_request = _encode_grant_request(message.grant_request)
    return ["adopt", grant_request, message.runner_id, message.prefilling]


@decodes("adopt")
def _decode_adopted(fields: list[Any], edge: str) -> Message:
    return RequestAdopted(
        grant_request=_decode_grant_request(fields[1], edge),
        runner_id=fields[2],
        prefilling=fields[3],
    )


@encodes(FirstEventSeen)
def _encode_first_event(message: FirstEventSeen) -> list[Any]:
    return ["first", message.request_id]


@decodes("first")
def _decode_first_event(fields: list[Any], edge: str) -> Message:
    return FirstEventSeen(edge=edge, request_id=fields[1])


@encodes(RequestEnded)
def _encode_ended(message: RequestEnded) -> list[Any]:
    fields = ["end", message.request_id, message.kind.value]
    if not message.events:
        return fields
    return [*fields, message.events, round(message.event_s, 5)]


@decodes("end")
def _decode_ended(fields: list[Any], edge: str) -> Message:
    has_events = len(fields) > 4
    return RequestEnded(
        edge=edge,
        request_id=fields[1],
        kind=EndKind(fields[2]),
        events=fields[3] if has_events else 0,
        event_s=fields[4] if has_events else 0.0,
    )


@encodes(StreamMoved)
def _encode_stream_moved(message: StreamMoved) -> list[Any]:
    return ["moved", message.request_id, message.runner_id]


@decodes("moved")
def _decode_stream_moved(fields: list[Any], edge: str) -> Message:
    return StreamMoved(edge=edge, request_id=fields[1], runner_id=fields[2])


@encodes(TransferFailed)
def _encode_transfer_failed(message: TransferFailed) -> list[Any]:
    return ["unmoved", message.request_id, message.target_runner_id]


@decodes("unmoved")
def _decode_transfer_failed(fields: list[Any], edge: str) -> Message:
    return TransferFailed(edge=edge, request_id=fields[1], target_runner_id=fields[2])


@encodes(TransferStream)
def _encode_transfer(message: TransferStream) -> list[Any]:
    return [
        "move",
        message.request_id,
        message.source_runner_id,
        message.target_runner_id,
        message.reason.value,
    ]


@decodes("move")
def _decode_transfer(fields: list[Any], edge: str) -> Message:
    return TransferStream(
        edge=edge,
        request_id=fields[1],
        source_runner_id=fields[2],
        target_runner_id=fields[3],
        reason=TransferReason(fields[4]),
    )


@encodes(QuotaSpent)
def _encode_quota_spent(message: QuotaSpent) -> list[Any]:
    return ["spent", message.customer, message.amount]


@decodes("spent")
def _decode_quota_spent(fields: list[Any], edge: str) -> Message:
    return QuotaSpent(customer=fields[1], amount=fields[2])


@encodes(SpendingReported)
def _encode_spending(message: SpendingReported) -> list[Any]:
    rows = [
        [each.customer, round(each.age_s, 3), round(each.amount, 1)]
        for each in message.rows
    ]
    return ["spending", rows]


@decodes("spending")
def _decode_spending(fields: list[Any], edge: str) -> Message:
    return SpendingReported(rows=tuple(SpendingEntry(*row) for row in fields[1]))


@encodes(Grant)
def _encode_grant(message: Grant) -> list[Any]:
    fields = ["grant", message.request_id, message.runner_id]
    return [*fields, message.backup_runner_id] if message.backup_runner_id else fields


@decodes("grant")
def _decode_grant(fields: list[Any], edge: str) -> Message:
    return Grant(
        edge=edge,
        request_id=fields[1],
        runner_id=fields[2],
        backup_runner_id=fields[3] if len(fields) > 3 else "",
    )


@encodes(Reject)
def _encode_reject(message: Reject) -> list[Any]:
    return [
        "refuse",
        message.request_id,
        message.retry_after_s,
        message.reason,
        message.over_quota,
    ]


@decodes("refuse")
def _decode_reject(fields: list[Any], edge: str) -> Message:
    return Reject(
        edge=edge,
        request_id=fields[1],
        retry_after_s=fields[2],
        reason=fields[3],
        over_quota=fields[4],
    )


@encodes(LimitReport)
def _encode_limit(message: LimitReport) -> list[Any]:
    return [
        "limit",
        message.runner_id,
        message.started_ms,
        message.limit,
        round(message.request_age_s, 4),
        round(message.response_age_s, 4),
        message.recent_requests,
    ]


@decodes("limit")
def _decode_limit(fields: list[Any], edge: str) -> Message:
    return LimitReport(
        runner_id=fields[1],
        started_ms=fields[2],
        limit=fields[3],
        request_age_s=fields[4],
        response_age_s=fields[5],
        recent_requests=fields[6],
    )


@encodes(PermitRequest)
def _encode_permit_request(message: PermitRequest) -> list[Any]:
    return ["permit", message.request_id, message.runner_id, message.started_ms]


@decodes("permit")
def _decode_permit_request(fields: list[Any], edge: str) -> Message:
    return PermitRequest(
        edge=edge, request_id=fields[1], runner_id=fields[2], started_ms=fields[3]
    )


@encodes(LeavingReport)
def _encode_leaving(message: LeavingReport) -> list[Any]:
    return ["leaving", message.runner_id, message.started_ms]


@decodes("leaving")
def _decode_leaving(fields: list[Any], edge: str) -> Message:
    return LeavingReport(runner_id=fields[1], started_ms=fields[2])


@encodes(CooldownReport)
def _encode_cooldown(message: CooldownReport) -> list[Any]:
    rest_s = round(message.rest_s, 4)
    return ["rest", message.runner_id, message.started_ms, rest_s]


@decodes("rest")
def _decode_cooldown(fields: list[Any], edge: str) -> Message:
    return CooldownReport(
        edge=edge, runner_id=fields[1], started_ms=fields[2], rest_s=fields[3]
    )
