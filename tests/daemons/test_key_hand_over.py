"""Tests of taking over the records of a gateway that leaves."""

import asyncio
from collections.abc import AsyncGenerator
from random import Random

from attrs import define, field

from mangoway.callers.answer import Answer, PlainBody
from mangoway.daemons.const import HAND_OVER_BATCH_RECORDS
from mangoway.daemons.key_hand_over import HandOverReceiver
from mangoway.daemons.records import Records
from mangoway.daemons.stored_answers import encode_answer
from mangoway.models.identifiers import (
    CallerId,
    IdempotencyKey,
    IncarnationId,
    RequestId,
)
from mangoway.peers import peers_pb2 as pb
from mangoway.peers.hand_over import KeyHandOver, make_chunks
from mangoway.policy.dispatch.actions import DeleteAnswer
from mangoway.policy.dispatch.core import DispatchCore
from mangoway.policy.dispatch.events import DispatchEvent, KeyRecord

HOME = IncarnationId("home")
BATCHES = 5


def make_hand_over(count: int) -> KeyHandOver:
    records, answers = [], []
    for number in range(count):
        answer_id = RequestId(f"answer-{number}")
        record = KeyRecord(
            key=IdempotencyKey(f"home:100:{number}"),
            caller=CallerId("desk"),
            fingerprint=number,
            expires_at=1000.0,
            verdict=None,
            answer_id=answer_id,
        )
        answer = Answer()
        answer.set_plain(
            PlainBody(status=200, content_type="application/json", body=b"{}")
        )
        answer.finish()
        records.append(record)
        answers.append(encode_answer(answer_id, answer))
    return KeyHandOver(home=HOME, records=tuple(records), answers=tuple(answers))


@define
class Successor:
    """A gateway core; with received records it stores up to twice its capacity."""

    capacity: int
    records: Records = field(factory=Records)
    core: DispatchCore = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.core = DispatchCore(IncarnationId("successor"), Random(1))
        self.core.keys.configure(600.0, self.capacity, 0.0)

    def send(self, event: DispatchEvent) -> None:
        for action in self.core.handle(event, 200.0):
            if isinstance(action, DeleteAnswer):
                self.records.delete_answer(action.answer_id)

    async def async_receive(self, hand_over: KeyHandOver) -> None:
        async def async_read() -> AsyncGenerator[pb.KeyChunk, None]:
            for chunk in make_chunks(hand_over, 0.0):
                yield chunk

        receiver = HandOverReceiver(records=self.records, send=self.send)
        await receiver.async_receive_keys(async_read())


class TestHandOverReceiver:
    """A full table neither blocks the event loop nor leaves answers without records."""

    async def test_event_loop_is_not_blocked(self) -> None:
        successor = Successor(capacity=HAND_OVER_BATCH_RECORDS * BATCHES)
        hand_over = make_hand_over(HAND_OVER_BATCH_RECORDS * BATCHES)
        receiving = asyncio.create_task(successor.async_receive(hand_over))
        iterations = 0
        while not receiving.done():
            iterations += 1
            await asyncio.sleep(0)
        assert iterations > 2 * BATCHES
        assert len(successor.core.keys) == len(hand_over.records)
        assert len(successor.records.list_answers()) == len(hand_over.records)
        assert successor.core.homes.find_adoption_time(HOME) is not None

    async def test_answers_beyond_the_capacity_are_not_stored(self) -> None:
        capacity = HAND_OVER_BATCH_RECORDS
        successor = Successor(capacity)
        await successor.async_receive(make_hand_over(3 * capacity))
        assert len(successor.core.keys) == 2 * capacity
        assert len(successor.records.list_answers()) == 2 * capacity
        assert successor.core.homes.find_adoption_time(HOME) is None
