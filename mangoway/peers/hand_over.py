"""Messages for the hand-over of idempotency keys."""

from collections.abc import Iterator
from itertools import islice

from attrs import define, field, frozen

from ..models.errors import ErrorCode, MangowayError
from ..models.identifiers import CallerId, IdempotencyKey, IncarnationId, RequestId
from ..policy.dispatch.events import KeyRecord
from . import peers_pb2 as pb
from .const import HAND_OVER_CHUNK_BYTES, HAND_OVER_CHUNK_RECORDS
from .forward_codec import (
    decode_headers,
    decode_verdict,
    encode_headers,
    encode_verdict,
)
from .messages import ForwardedHeader


@frozen(kw_only=True)
class StoredAnswer:
    """A response that is stored for resubmitted requests."""

    id: RequestId
    status: int
    headers: tuple[ForwardedHeader, ...]
    body: bytes


@frozen(kw_only=True)
class KeyHandOver:
    """All records of one home, with times on the clock of the process that has them."""

    home: IncarnationId
    records: tuple[KeyRecord, ...]
    answers: tuple[StoredAnswer, ...]


def make_chunks(keys: KeyHandOver, now: float) -> Iterator[pb.KeyChunk]:
    """Yield the messages of a hand-over; only the last one has `last` set."""
    records = iter(keys.records)
    while batch := tuple(islice(records, HAND_OVER_CHUNK_RECORDS)):
        encoded = [_encode_record(record, now) for record in batch]
        yield pb.KeyChunk(home=keys.home, records=encoded)
    for parts in _batch_parts(keys.answers):
        yield pb.KeyChunk(home=keys.home, answers=parts)
    yield pb.KeyChunk(home=keys.home, last=True)


@define(eq=False)
class HandOverAssembler:
    """Assembles a hand-over from its messages."""

    _now: float
    """Time on the receiver's clock at which the hand-over started."""

    _home: IncarnationId = field(default=IncarnationId(""), init=False)
    _records: list[KeyRecord] = field(factory=list, init=False)
    _answers: list[StoredAnswer] = field(factory=list, init=False)
    _bodies: dict[str, bytearray] = field(factory=dict, init=False)

    def add(self, chunk: pb.KeyChunk) -> None:
        """Add the contents of the next message."""
        self._home = IncarnationId(chunk.home)
        self._records += [_decode_record(each, self._now) for each in chunk.records]
        for part in chunk.answers:
            self._add_part(part)

    def finish(self) -> KeyHandOver:
        """Return the assembled hand-over.

        Raises:
            MangowayError: PEER_FAILED if a stored response is incomplete.
        """
        if self._bodies:
            detail = f"{len(self._bodies)} stored responses are incomplete"
            raise MangowayError(ErrorCode.PEER_FAILED, detail)
        return KeyHandOver(
            home=self._home,
            records=tuple(self._records),
            answers=tuple(self._answers),
        )

    def _add_part(self, part: pb.AnswerPart) -> None:
        body = self._bodies.setdefault(part.answer_id, bytearray())
        body.extend(part.body)
        if part.last:
            del self._bodies[part.answer_id]
            self._answers.append(_make_answer(part, bytes(body)))


def _batch_parts(answers: tuple[StoredAnswer, ...]) -> Iterator[list[pb.AnswerPart]]:
    """Yield the parts of all responses in batches that fit one message."""
    batch: list[pb.AnswerPart] = []
    size = 0
    for part in (part for answer in answers for part in _make_parts(answer)):
        full = size + len(part.body) > HAND_OVER_CHUNK_BYTES
        if batch and (full or len(batch) >= HAND_OVER_CHUNK_RECORDS):
            yield batch
            batch, size = [], 0
        batch.append(part)
        size += len(part.body)
    if batch:
        yield batch


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
    has_verdict = message.HasField("verdict")
    return KeyRecord(
        key=IdempotencyKey(message.key),
        caller=CallerId(message.caller),
        fingerprint=message.fingerprint,
        expires_at=now + message.expires_in_s,
        verdict=decode_verdict(message.verdict) if has_verdict else None,
        answer_id=RequestId(message.answer_id) if message.answer_id else None,
    )
