"""Datagrams with which edges tell and ask each other about the origins of streams."""

from collections.abc import Iterable
from typing import Any, Final

import orjson
from attrs import frozen

from ..models.streams import StreamOrigin
from ..policy.edge.origin_search import OriginAnswer
from ..policy.edge.software_versions import ServiceVersion, VersionEvidence

DIGEST_CHARACTERS: Final = 11
MAX_DIGESTS: Final = 90
"""Digests in one datagram, which must fit an Ethernet frame."""

RECORDS: Final = "r"
QUERY: Final = "q"
ANSWER: Final = "a"

DECODE_ERRORS: Final = (orjson.JSONDecodeError, LookupError, TypeError, ValueError)


class DatagramError(Exception):
    """A datagram can't be decoded."""


@frozen(kw_only=True)
class RecordsMessage:
    """Origins of streams that the sender keeps or has begun."""

    rows: tuple[tuple[StreamOrigin, tuple[str, ...]], ...]
    """Origins, and the digests of their streams."""


@frozen(kw_only=True)
class QueryMessage:
    """Question for the origin of a stream."""

    number: int
    """Number by which the sender recognizes the answer."""

    digest: str
    services: tuple[str, ...]
    """Services that may have begun it."""


@frozen
class AnswerMessage:
    """Answer to a question."""

    number: int
    answer: OriginAnswer


OriginMessage = RecordsMessage | QueryMessage | AnswerMessage


def encode_records(digests: Iterable[tuple[str, StreamOrigin]]) -> list[bytes]:
    """Return datagrams that state the origins of streams."""
    pairs = list(digests)
    return [
        _encode_some_records(pairs[begin : begin + MAX_DIGESTS])
        for begin in range(0, len(pairs), MAX_DIGESTS)
    ]


def _encode_some_records(pairs: list[tuple[str, StreamOrigin]]) -> bytes:
    by_origin: dict[StreamOrigin, list[str]] = {}
    for digest, origin in pairs:
        by_origin.setdefault(origin, []).append(digest)
    rows = [
        [*_encode_origin(origin), "".join(digests)]
        for origin, digests in by_origin.items()
    ]
    return orjson.dumps([RECORDS, rows])


def encode_query(query: QueryMessage) -> bytes:
    """Return the datagram of a question."""
    return orjson.dumps([QUERY, query.number, query.digest, query.services])


def encode_answer(message: AnswerMessage) -> bytes:
    """Return the datagram of an answer."""
    answer = message.answer
    origin = None if answer.origin is None else _encode_origin(answer.origin)
    evidence = answer.evidence
    versions = [_encode_version(each, evidence) for each in evidence.versions]
    return orjson.dumps([ANSWER, message.number, origin, versions, evidence.is_certain])


def _encode_version(
    version: ServiceVersion, evidence: VersionEvidence
) -> tuple[str | float, ...]:
    """Return a row; edges of the previous release read its first two fields."""
    age_s = evidence.ages_s.get(version)
    return version if age_s is None else (*version, round(age_s, 3))


def decode_message(data: bytes) -> OriginMessage:
    """Decode a datagram.

    Raises:
        DatagramError: If it can't be decoded.
    """
    try:
        fields = orjson.loads(data)
        if fields[0] == RECORDS:
            return RecordsMessage(rows=tuple(map(_decode_row, fields[1])))
        if fields[0] == QUERY:
            return QueryMessage(
                number=int(fields[1]),
                digest=str(fields[2]),
                services=tuple(map(str, fields[3])),
            )
        if fields[0] == ANSWER:
            return _decode_answer(fields)
    except DECODE_ERRORS as error:
        raise DatagramError(f"cannot decode datagram: {error!r}") from error
    raise DatagramError(f"unknown kind of datagram: {fields[0]!r}")


def _decode_row(row: Any) -> tuple[StreamOrigin, tuple[str, ...]]:
    text = str(row[3])
    digests = tuple(
        text[begin : begin + DIGEST_CHARACTERS]
        for begin in range(0, len(text), DIGEST_CHARACTERS)
    )
    return _decode_origin(row), digests


def _decode_answer(fields: Any) -> AnswerMessage:
    versions = frozenset((str(each[0]), str(each[1])) for each in fields[3])
    ages_s = {
        (str(each[0]), str(each[1])): _decode_age(each[2])
        for each in fields[3]
        if len(each) > 2
    }
    answer = OriginAnswer(
        origin=None if fields[2] is None else _decode_origin(fields[2]),
        evidence=VersionEvidence(
            versions=versions, is_certain=bool(fields[4]), ages_s=ages_s
        ),
    )
    return AnswerMessage(int(fields[1]), answer)


def _decode_age(value: Any) -> float:
    age_s = float(value)
    if age_s < 0.0:
        raise ValueError(f"a negative age: {age_s}")
    return age_s


def _encode_origin(origin: StreamOrigin) -> list[str]:
    return [origin.service, origin.software_version, origin.runner_id]


def _decode_origin(row: Any) -> StreamOrigin:
    return StreamOrigin(
        service=str(row[0]), software_version=str(row[1]), runner_id=str(row[2])
    )
