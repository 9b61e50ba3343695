"""Tests of the datagrams about the origins of streams."""

import pytest

from mangoway.edge.identity import identify_stream
from mangoway.edge.origin_codec import (
    DIGEST_CHARACTERS,
    MAX_DIGESTS,
    AnswerMessage,
    DatagramError,
    QueryMessage,
    RecordsMessage,
    decode_message,
    encode_answer,
    encode_query,
    encode_records,
)
from mangoway.models.streams import StreamOrigin
from mangoway.policy.edge.origin_search import OriginAnswer
from mangoway.policy.edge.software_versions import VersionEvidence

V1 = StreamOrigin(service="llm", software_version="v1", runner_id="")
UNSTATED = StreamOrigin(service="llm", software_version="", runner_id="r1")
MAX_DATAGRAM_BYTES = 1400
"""What fits an Ethernet frame with some room."""


class TestMessages:
    """Encoding and decoding."""

    def test_records_are_grouped_by_origin(self) -> None:
        digests = [identify_stream("c", str(number)) for number in range(5)]
        pairs = [
            (each, (V1, UNSTATED)[number % 2]) for number, each in enumerate(digests)
        ]
        [data] = encode_records(pairs)
        rows = ((V1, tuple(digests[::2])), (UNSTATED, tuple(digests[1::2])))
        assert decode_message(data) == RecordsMessage(rows=rows)

    def test_many_records_are_split(self) -> None:
        pairs = [
            (identify_stream(None, str(number)), V1)
            for number in range(2 * MAX_DIGESTS + 1)
        ]
        datagrams = encode_records(pairs)
        assert len(datagrams) == 3
        assert max(map(len, datagrams)) <= MAX_DATAGRAM_BYTES

    def test_query_is_decoded(self) -> None:
        query = QueryMessage(number=7, digest="d", services=("llm", "other"))
        assert decode_message(encode_query(query)) == query

    @pytest.mark.parametrize("origin", [None, V1, UNSTATED])
    def test_answer_is_decoded(self, origin: StreamOrigin | None) -> None:
        evidence = VersionEvidence(
            versions=frozenset({("llm", "v1"), ("llm", "")}), is_certain=True
        )
        message = AnswerMessage(3, OriginAnswer(origin=origin, evidence=evidence))
        assert decode_message(encode_answer(message)) == message

    def test_answer_tells_for_how_long_a_version_was_not_seen(self) -> None:
        evidence = VersionEvidence(
            versions=frozenset({("llm", "v1"), ("llm", "v2")}),
            is_certain=False,
            ages_s={("llm", "v1"): 2.5},
        )
        message = AnswerMessage(3, OriginAnswer(origin=None, evidence=evidence))
        assert decode_message(encode_answer(message)) == message

    @pytest.mark.parametrize("age", [b"-1.0", b'"x"', b"null", b"[]"])
    def test_odd_age_is_rejected(self, age: bytes) -> None:
        data = b'["a",3,null,[["llm","v1",' + age + b"]],false]"
        with pytest.raises(DatagramError):
            decode_message(data)

    def test_answer_of_the_previous_release_has_no_ages(self) -> None:
        message = decode_message(b'["a",3,null,[["llm","v1"]],true]')
        assert isinstance(message, AnswerMessage)
        assert message.answer.evidence == VersionEvidence(
            versions=frozenset({("llm", "v1")}), is_certain=True
        )

    @pytest.mark.parametrize(
        "data",
        [b"", b"\xff", b"1", b"[]", b"{}", b'["x"]', b'["q",1]', b'["a",1,3,4,5]']
        + [b'["r",[["llm"]]]', b'["r",7]', b"null", b'["q","x","d",[]]'],
    )
    def test_invalid_datagram_raises_error(self, data: bytes) -> None:
        with pytest.raises(DatagramError):
            decode_message(data)


class TestDigests:
    """Digests of streams."""

    def test_customers_have_digests_of_their_own(self) -> None:
        digests = {identify_stream(each, "q1") for each in ("a", "b", None)}
        assert len(digests) == 3
        assert {len(each) for each in digests} == {DIGEST_CHARACTERS}
