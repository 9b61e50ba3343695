"""Tests of claims of plain idempotency keys."""

import pytest

from mangoway.callers.messages import IncomingRequest, Submission
from mangoway.daemons.claims import KeyClaims, make_claim_name
from mangoway.key_value.store import CallRank, Put, TransactionResult
from mangoway.models.identifiers import (
    CallerId,
    IdempotencyKey,
    IncarnationId,
    RequestId,
)
from mangoway.models.offer import SitePolicy
from mangoway.models.request import Request, WorkClass
from mangoway.policy.dispatch.actions import ClaimKey
from mangoway.policy.dispatch.events import DispatchEvent, KeyClaimed
from mangoway.util.tasks import Tasks
from tests.fakes.key_value import FakeKeyValueStore

from .gateway_world import MODEL, wait_until

ACTION = ClaimKey(request_id=RequestId("r"), key=IdempotencyKey("k"))


def make_submission(caller: str = "c") -> Submission:
    request = Request(
        id=RequestId("r"),
        caller=CallerId(caller),
        work_class=WorkClass.URGENT,
        target=MODEL,
        arrived_at=0.0,
        deadline=10.0,
    )
    incoming = IncomingRequest(method="POST", path="/", headers={}, body=b"")
    return Submission(request=request, incoming=incoming)


class RecordingStore(FakeKeyValueStore):
    """Records the writes."""

    def __init__(self) -> None:
        super().__init__()
        self.puts: list[Put] = []

    async def async_commit(
        self, puts: tuple[Put, ...], rank: CallRank
    ) -> TransactionResult:
        self.puts.extend(puts)
        return await super().async_commit(puts, rank)


async def claim(store: FakeKeyValueStore, caller: str = "c") -> str:
    """Claim the key for a new gateway and return the outcome."""
    events: list[DispatchEvent] = []
    claims = KeyClaims(
        store=store,
        incarnation=IncarnationId("i"),
        tasks=Tasks(lambda error: None),
        send=events.append,
        get_site_policy=lambda: SitePolicy(key_retention_s=600.0),
    )
    claims.async_claim(ACTION, make_submission(caller))
    await wait_until(lambda: bool(events))
    event = events[0]
    assert isinstance(event, KeyClaimed)
    return event.outcome


class TestKeyClaims:
    """Outcomes of a claim."""

    async def test_only_the_first_claim_of_a_key_succeeds(self) -> None:
        store = FakeKeyValueStore()
        assert await claim(store) == "claimed"
        assert await claim(store) == "taken"
        assert await claim(store, caller="other") == "claimed"

    async def test_outage_before_the_write_is_unavailable(self) -> None:
        assert await claim(FakeKeyValueStore(down=True)) == "unavailable"

    @pytest.mark.parametrize("switch", ["lost_answers", "failed_commits"])
    async def test_write_that_may_have_happened_is_unsettled(self, switch: str) -> None:
        store = FakeKeyValueStore(**{switch: 1})
        assert await claim(store) == "unsettled"

    async def test_claim_lives_for_the_longest_run_and_the_retention(self) -> None:
        store = RecordingStore()
        await claim(store)
        (put,) = store.puts
        assert put.ttl_s == 610.0

    def test_names_of_different_callers_and_keys_differ(self) -> None:
        names = {
            make_claim_name(
                make_submission(caller),
                ClaimKey(request_id=RequestId("r"), key=IdempotencyKey(key)),
            )
            for caller, key in (("a", "bc"), ("ab", "c"), ("a", 'b","c'))
        }
        assert len(names) == 3
