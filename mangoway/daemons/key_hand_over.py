"""Hands the records of idempotency keys from a leaving gateway to a successor."""

import asyncio
import time
from collections.abc import AsyncIterable, Callable, Iterable, Mapping
from itertools import islice

from attrs import define

from ..models.errors import MangowayError
from ..models.identifiers import IncarnationId, RequestId
from ..models.member import Member, ProcessRole
from ..observability.event_log import log_event
from ..observability.events import KeyHandoverFailed, KeysHandedOver
from ..peers import peers_pb2 as pb
from ..peers.directory import Directory
from ..peers.forwarding import Forwarder
from ..peers.hand_over import HandOverAssembler, KeyHandOver, StoredAnswer
from ..policy.dispatch.core import DispatchCore
from ..policy.dispatch.events import DispatchEvent, KeyRecord, PeerKeysReceived
from .const import HAND_OVER_BATCH_RECORDS
from .records import Records
from .stored_answers import decode_answer, encode_answer


@define(eq=False, kw_only=True)
class HandOverSender:
    """Sends all records to the first gateway that accepts them."""

    core: DispatchCore
    records: Records
    directory: Directory
    forwarder: Forwarder

    async def async_send(self) -> IncarnationId | None:
        """Hand over the records and return the successor, or None if there is none.

        After this call, no key is run here any more. The hand-over is sent even without
        records, since only the gateway that accepted it may run new keys that name this
        gateway as their home.
        """
        keys = self.core.export_keys()
        answers = self.records.list_answers()
        hand_over = KeyHandOver(
            home=self.directory.own,
            records=keys,
            answers=tuple(encode_answer(*each) for each in answers),
        )
        error = "no other gateway is ready"
        for member in self._rank_successors():
            try:
                await self.forwarder.async_hand_over(
                    member.peer_address, hand_over, time.time()
                )
            except MangowayError as failure:
                error = str(failure)
                continue
            log_event(KeysHandedOver(successor=member.incarnation, records=len(keys)))
            return member.incarnation
        log_event(KeyHandoverFailed(records=len(keys), error=error))
        return None

    def _rank_successors(self) -> list[Member]:
        """Return the other ready gateways, those of this data centre first."""
        own = self.directory.find_incarnation(self.directory.own)
        own_data_centre = None if own is None else own.data_centre
        others = [
            member
            for member in self.directory.list_live(ProcessRole.GATEWAY)
            if member.incarnation != self.directory.own and member.ready
        ]
        return sorted(others, key=lambda member: member.data_centre != own_data_centre)


@define(eq=False, kw_only=True)
class HandOverReceiver:
    """Takes over the records of a leaving gateway.

    A full table would block the event loop for too long, so it is added in batches.
    Only after the last batch are keys without a record run here.
    """

    records: Records
    send: Callable[[DispatchEvent], None]

    async def async_receive_keys(
        self, chunks: AsyncIterable[pb.KeyChunk]
    ) -> pb.HandOverReply:
        """Receive a complete hand-over and add its records and answers."""
        assembler = HandOverAssembler(time.time())
        async for chunk in chunks:
            assembler.add(chunk)
            await asyncio.sleep(0)
        hand_over = assembler.finish()
        answers = {stored.id: stored for stored in hand_over.answers}
        records = iter(hand_over.records)
        while batch := tuple(islice(records, HAND_OVER_BATCH_RECORDS)):
            self._store_answers(batch, answers)
            self._send_records(hand_over.home, batch, last=False)
            await asyncio.sleep(0)
        self._send_records(hand_over.home, (), last=True)
        return pb.HandOverReply(records=len(hand_over.records))

    def _store_answers(
        self, records: Iterable[KeyRecord], answers: Mapping[RequestId, StoredAnswer]
    ) -> None:
        for record in records:
            stored = answers.get(record.answer_id or RequestId(""))
            if stored is not None:
                self.records.store_answer(stored.id, decode_answer(stored))

    def _send_records(
        self, home: IncarnationId, records: tuple[KeyRecord, ...], last: bool
    ) -> None:
        self.send(PeerKeysReceived(home=home, keys=records, last=last))
