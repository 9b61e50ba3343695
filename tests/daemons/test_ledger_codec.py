"""Tests of stored ledgers: content that can't be fully decoded is rejected."""

from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from mangoway.daemons.ledger_codec import decode_ledger, encode_ledger
from mangoway.models.artifact import Artifact
from mangoway.models.errors import ErrorCode, MangowayError
from mangoway.models.identifiers import (
    FenceNumber,
    IncarnationId,
    ModelName,
    OrderId,
    UpstreamId,
    VersionName,
)
from mangoway.models.order import Ledger, LedgerEntry

ENTRIES = st.builds(
    LedgerEntry,
    artifact=st.builds(
        Artifact,
        st.sampled_from(["chat", "draft"]).map(ModelName),
        st.sampled_from(["1", "2"]).map(VersionName),
        st.none() | st.just("mn"),
    ),
    memory_mb=st.integers(0, 1000),
    order=st.none() | st.text(min_size=1).map(OrderId),
    reserved_fence=st.integers(0, 2**40).map(FenceNumber),
)
LEDGERS = st.builds(
    Ledger,
    upstream=st.text(min_size=1).map(UpstreamId),
    incarnation=st.text().map(IncarnationId),
    size_mb=st.just(100_000),
    kv_cache_floor_mb=st.integers(0, 1000),
    fence=st.integers(0, 2**40).map(FenceNumber),
    resident=st.lists(ENTRIES, max_size=4).map(tuple),
    reserved=st.lists(ENTRIES, max_size=4).map(tuple),
    writer=st.text(),
)


def _make_document() -> dict[str, Any]:
    entry = LedgerEntry(
        artifact=Artifact(ModelName("chat"), VersionName("3")), memory_mb=600
    )
    ledger = Ledger(
        upstream=UpstreamId("r1"),
        incarnation=IncarnationId("e.1"),
        size_mb=1000,
        kv_cache_floor_mb=100,
        fence=FenceNumber(4),
        resident=(entry,),
    )
    document: dict[str, Any] = orjson.loads(encode_ledger(ledger))
    return document


class TestLedgerCodec:
    """Round trip and rejections."""

    @given(ledger=LEDGERS)
    def test_round_trip(self, ledger: Ledger) -> None:
        decoded = decode_ledger(encode_ledger(ledger))
        assert decoded == ledger
        assert decoded.writer == ledger.writer

    @pytest.mark.parametrize(
        "value", [b"", b"{", b"[]", b"7", b"null", b"\xff", b'{"format": 1}']
    )
    def test_other_content_is_rejected_with_a_code(self, value: bytes) -> None:
        _expect_rejection(value)

    def test_other_format_is_rejected(self) -> None:
        document = _make_document()
        document["format"] = 2
        _expect_rejection(orjson.dumps(document))

    def test_unknown_field_is_rejected(self) -> None:
        document = _make_document()
        document["ledger"]["pinned"] = [{"artifact": "chat@4", "memory_mb": 900}]
        _expect_rejection(orjson.dumps(document))

    def test_malformed_artifact_name_is_rejected(self) -> None:
        document = _make_document()
        document["ledger"]["resident"][0]["artifact"] = "chat"
        _expect_rejection(orjson.dumps(document))

    @pytest.mark.parametrize("memory_mb", [901, -1])
    def test_impossible_commitments_are_rejected(self, memory_mb: int) -> None:
        document = _make_document()
        document["ledger"]["resident"][0]["memory_mb"] = memory_mb
        _expect_rejection(orjson.dumps(document))


def _expect_rejection(value: bytes) -> None:
    with pytest.raises(MangowayError) as raised:
        decode_ledger(value)
    assert raised.value.code is ErrorCode.LEDGER_UNREADABLE
