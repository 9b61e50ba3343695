"""Requests that this gateway forwards, and the hand-over of idempotency keys."""

from collections.abc import AsyncGenerator, Iterator, Sequence
from contextlib import aclosing
from itertools import islice

from attrs import define, frozen

from ..models.errors import ErrorCode, MangowayError
from ..models.identifiers import CallerId, IdempotencyKey, IncarnationId, RequestId
from ..models.verdict import Verdict
from ..policy.dispatch.events import KeyRecord
from . import peers_pb2 as pb
from .client import PeerClients
from .const import HAND_OVER_CHUNK_BYTES, HAND_OVER_CHUNK_RECORDS, MAX_HOPS
from .forward_codec import (
    decode_frame,
    decode_headers,
    decode_verdict,
    encode_headers,
    encode_request,
    encode_verdict,
)
from .messages import (
    ForwardedFailure,
    ForwardedFrame,
    ForwardedHeader,
    ForwardedRequest,
)


@frozen(kw_only=True)
class StoredAnswer:
    """An answer that is kept for resubmissions."""

    id: RequestId
    status: int
    headers: tuple[ForwardedHeader, ...]
    body: bytes


@frozen(kw_only=True)
class KeyHandOver:
    """All records of one home; times are on the receiver's clock."""

    home: IncarnationId
    records: tuple[KeyRecord, ...]
    answers: tuple[StoredAnswer, ...]


@define(eq=False)
class Forwarder:
    """Forwards requests and hands keys over through the peer clients."""

    _clients: PeerClients

    async def async_forward(
        self, address: str, request: ForwardedRequest
    ) -> AsyncGenerator[ForwardedFrame, None]:
        """Yield the parts of a peer's answer until it is whole.

        Raises:
            MangowayError: With the peer's own verdict if it answered a failure;
                NOT_RUN if it was certainly not sent; else MAY_HAVE_RUN.
        """
        if request.hops > MAX_HOPS:
            detail = f"forwarded {request.hops} times"
            raise MangowayError(ErrorCode.PEER_UNREACHABLE, detail, Verdict.NOT_RUN)
        client = self._clients.get(address)
        async with aclosing(client.async_forward(encode_request(request))) as messages:
            async for message in messages:
                if message.HasField("end"):
                    return
                frame = decode_frame(message)
                if isinstance(frame, ForwardedFailure):
                    raise _make_error(frame)
                if frame is not None:
                    yield frame
        detail = f"the answer of {address} is not whole"
        raise MangowayError(ErrorCode.PEER_FAILED, detail, Verdict.MAY_HAVE_RUN)

    async def async_hand_over(self, address: str, keys: KeyHandOver, now: float) -> int:
        """Give a successor all records and return how many it took.

        Raises:
            MangowayError: If it did not take them all, as far as is known.
        """
        client = self._clients.get(address)
        reply = await client.async_hand_over(make_chunks(keys, now))
        return reply.records


def make_chunks(keys: KeyHandOver, now: float) -> Iterator[pb.KeyChunk]:
    """Yield the messages of a hand-over; only the last one is marked so."""
    records = iter(keys.records)
    while group := tuple(islice(records, HAND_OVER_CHUNK_RECORDS)):
        encoded = [_encode_record(record, now) for record in group]
        yield pb.KeyChunk(home=keys.home, records=encoded)
    for answer in keys.answers:
        for part in _make_parts(answer):
            yield pb.KeyChunk(home=keys.home, answers=[part])
    yield pb.KeyChunk(home=keys.home, last=True)


def join_chunks(chunks: Sequence[pb.KeyChunk], now: float) -> KeyHandOver:
    """Return the hand-over of messages.

    Raises:
        MangowayError: PEER_FAILED if a stored answer is not whole.
    """
    records = [_decode_record(each, now) for chunk in chunks for each in chunk.records]
    bodies: dict[str, bytearray] = {}
    answers: list[StoredAnswer] = []
    for part in (part for chunk in chunks for part in chunk.answers):
        body = bodies.setdefault(part.answer_id, bytearray())
        body.extend(part.body)
        if part.last:
            answers.append(_make_answer(part, bytes(bodies.pop(part.answer_id))))
    if bodies:
        detail = f"{len(bodies)} stored answers are not whole"
        raise MangowayError(ErrorCode.PEER_FAILED, detail)
    return KeyHandOver(
        home=IncarnationId(chunks[0].home),
        records=tuple(records),
        answers=tuple(answers),
    )


def _make_parts(answer: StoredAnswer) -> Iterator[pb.AnswerPart]:
    start = 0
    while True:
        end = start + HAND_OVER_CHUNK_BYTES
        last = end >= len(answer.body)
        yield pb.AnswerPart(
            answer_id=answer.id,
            status=answer.status,
            headers=encode_headers(answer.headers) if last else (),
            body=answer.body[start:end],
            last=last,
        )
        if last:
            return
        start = end


def _make_answer(part: pb.AnswerPart, body: bytes) -> StoredAnswer:
    return StoredAnswer(
        id=RequestId(part.answer_id),
        status=part.status,
        headers=decode_headers(part.headers),
        body=body,
    )


def _encode_record(record: KeyRecord, now: float) -> pb.KeyRecord:
    verdict = record.verdict
    return pb.KeyRecord(
        key=record.key,
        caller=record.caller,
        fingerprint=record.fingerprint,
        expires_in_s=record.expires_at - now,
        verdict=None if verdict is None else encode_verdict(verdict),
        answer_id=record.answer_id or "",
    )


def _decode_record(message: pb.KeyRecord, now: float) -> KeyRecord:
    known = message.HasField("verdict")
    return KeyRecord(
        key=IdempotencyKey(message.key),
        caller=CallerId(message.caller),
        fingerprint=message.fingerprint,
        expires_at=now + message.expires_in_s,
        verdict=decode_verdict(message.verdict) if known else None,
        answer_id=RequestId(message.answer_id) if message.answer_id else None,
    )


def _make_error(frame: ForwardedFailure) -> MangowayError:
    failure = frame.failure
    return MangowayError(
        failure.code, failure.detail, failure.verdict, failure.retry_after
    )
