"""Datagrams with which edges tell and ask each other about the origins of streams."""

import reprlib
from collections.abc import Iterable
from typing import Any, Final

import orjson
from attrs import frozen

from ..models.streams import StreamOrigin
from ..platform.fields import (
    DocumentError,
    check_integer,
    check_name,
    check_number,
    check_text,
    read_list,
)
from ..policy.edge.origin_search import OriginAnswer
from ..policy.edge.software_versions import ServiceVersion, VersionEvidence

DIGEST_CHARACTERS: Final = 11
MAX_DIGESTS: Final = 90
"""Digests in one datagram, which must fit an Ethernet frame."""

RECORDS: Final = "r"
QUERY: Final = "q"
ANSWER: Final = "a"

MAX_ROWS: Final = 1000
"""More rows than fit a datagram."""

MAX_AGE_S: Final = 86_400.0
"""Longest age of a version in an answer; streams live for minutes."""

DECODE_ERRORS: Final = (orjson.JSONDecodeError, LookupError, DocumentError)


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
    """Return a row; edges that know no ages read its first two fields."""
    age_s = evidence.ages_s.get(version)
    return version if age_s is None else (*version, round(age_s, 3))


def decode_message(data: bytes) -> OriginMessage:
    """Decode a datagram.

    Raises:
        DatagramError: If it can't be decoded.
    """
    try:
        fields = read_list(orjson.loads(data), "the datagram", MAX_ROWS)
        if fields[0] == RECORDS:
            rows = read_list(fields[1], "the records", MAX_ROWS)
            return RecordsMessage(rows=tuple(map(_decode_row, rows)))
        if fields[0] == QUERY:
            return QueryMessage(
                number=check_integer(fields[1], "the number"),
                digest=check_name(fields[2], "the digest"),
                services=tuple(
                    check_name(each, "a service")
                    for each in read_list(fields[3], "the services", MAX_ROWS)
                ),
            )
        if fields[0] == ANSWER:
            return _decode_answer(fields)
    except DECODE_ERRORS as error:
        raise DatagramError(f"cannot decode datagram: {error!r}") from error
    raise DatagramError(f"unknown kind of datagram: {reprlib.repr(fields[0])}")


def _decode_row(row: Any) -> tuple[StreamOrigin, tuple[str, ...]]:
    row = read_list(row, "a record")
    text = check_text(row[3], "the digests")
    digests = tuple(
        text[begin : begin + DIGEST_CHARACTERS]
        for begin in range(0, len(text), DIGEST_CHARACTERS)
    )
    return _decode_origin(row), digests


def _decode_answer(fields: Any) -> AnswerMessage:
    rows = [
        read_list(each, "a version")
        for each in read_list(fields[3], "the versions", MAX_ROWS)
    ]
    versions = [
        (check_name(row[0], "a service"), _read_optional_name(row[1])) for row in rows
    ]
    ages_s = {
        version: _decode_age(row[2])
        for version, row in zip(versions, rows, strict=True)
        if len(row) > 2
    }
    answer = OriginAnswer(
        origin=None if fields[2] is None else _decode_origin(fields[2]),
        evidence=VersionEvidence(
            versions=frozenset(versions), is_certain=bool(fields[4]), ages_s=ages_s
        ),
    )
    return AnswerMessage(check_integer(fields[1], "the number"), answer)


def _decode_age(value: Any) -> float:
    return check_number(value, "an age", maximum=MAX_AGE_S)


def _encode_origin(origin: StreamOrigin) -> list[str]:
    return [origin.service, origin.software_version, origin.runner_id]


def _decode_origin(row: Any) -> StreamOrigin:
    row = read_list(row, "an origin")
    return StreamOrigin(
        service=check_name(row[0], "a service"),
        software_version=_read_optional_name(row[1]),
        runner_id=_read_optional_name(row[2]),
    )


def _read_optional_name(value: Any) -> str:
    return "" if value == "" else check_name(value, "a name")
