"""Tests of the hand-over of idempotency keys."""

from collections.abc import AsyncIterable

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from mangoway.models.errors import MangowayError
from mangoway.models.identifiers import IdempotencyKey, IncarnationId, RequestId
from mangoway.models.verdict import Verdict
from mangoway.peers import hand_over, server
from mangoway.peers import peers_pb2 as pb
from mangoway.peers.client import PeerClient
from mangoway.peers.hand_over import (
    HandOverAssembler,
    KeyHandOver,
    StoredAnswer,
    make_chunks,
)
from mangoway.peers.messages import ForwardedHeader
from mangoway.peers.server import PeerReceivers
from mangoway.policy.dispatch.events import KeyRecord

from .conftest import Relay

TEXTS = st.text(min_size=1, max_size=8)
RECORDS = st.builds(
    KeyRecord,
    key=TEXTS.map(IdempotencyKey),
    fingerprint=st.integers(0, 2**64 - 1),
    expires_at=st.integers(0, 1000).map(float),
    verdict=st.none() | st.sampled_from(Verdict),
    answer_id=st.none() | TEXTS.map(RequestId),
)
ANSWERS = st.builds(
    StoredAnswer,
    id=TEXTS.map(RequestId),
    status=st.integers(100, 599),
    headers=st.lists(st.builds(ForwardedHeader, TEXTS, TEXTS), max_size=2).map(tuple),
    body=st.binary(max_size=40),
)
HAND_OVERS = st.builds(
    KeyHandOver,
    home=TEXTS.map(IncarnationId),
    records=st.lists(RECORDS, max_size=9).map(tuple),
    answers=st.lists(ANSWERS, max_size=4, unique_by=lambda each: each.id).map(tuple),
)


class TestHandOver:
    """Records and stored responses reach the successor unchanged."""

    @given(keys=HAND_OVERS)
    def test_assembled_chunks_equal_the_hand_over(self, keys: KeyHandOver) -> None:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(hand_over, "HAND_OVER_CHUNK_RECORDS", 2)
            patch.setattr(hand_over, "HAND_OVER_CHUNK_BYTES", 7)
            chunks = list(make_chunks(keys, 100.0))
        expected = [
            evolve(record, expires_at=record.expires_at + 400)
            for record in keys.records
        ]
        assembler = HandOverAssembler(500.0)
        for chunk in chunks:
            assert len(chunk.records) <= 2
            assert len(chunk.answers) <= 2
            assembler.add(chunk)
        assert assembler.finish() == evolve(keys, records=tuple(expected))

    def test_missing_part_of_a_response_is_rejected(self) -> None:
        part = pb.AnswerPart(answer_id="r-1", body=b"half")
        assembler = HandOverAssembler(0.0)
        assembler.add(pb.KeyChunk(home="home.1", answers=[part], last=True))
        with pytest.raises(MangowayError):
            assembler.finish()

    async def test_incomplete_or_too_large_hand_over_is_rejected(
        self,
        relay: Relay,
        receivers: PeerReceivers,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        received: list[pb.KeyChunk] = []

        class Successor:
            async def async_receive_keys(
                self, chunks: AsyncIterable[pb.KeyChunk]
            ) -> pb.HandOverReply:
                whole = [chunk async for chunk in chunks]
                received.extend(whole)
                return pb.HandOverReply(records=len(whole))

        receivers.keys = Successor()
        client = PeerClient(relay.address)
        with pytest.raises(MangowayError):
            await client.async_hand_over([pb.KeyChunk(home="home.1")])
        assert received == []
        whole = [pb.KeyChunk(home="home.1"), pb.KeyChunk(home="home.1", last=True)]
        assert (await client.async_hand_over(whole)).records == 2
        # The limit is on concurrent hand-overs, so each of these is below it.
        monkeypatch.setattr(server, "HAND_OVER_LIMIT_BYTES", 30)
        assert (await client.async_hand_over(whole)).records == 2
        with pytest.raises(MangowayError, match="30 bytes"):
            await client.async_hand_over([*whole, *whole])
        client.close()
