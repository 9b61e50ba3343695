"""Claims of plain idempotency keys in the key-value service."""

import time
from collections.abc import Callable

import orjson
from attrs import define
from xxhash import xxh3_128_hexdigest

from ..callers.messages import Submission
from ..key_value.store import CallRank, KeyValueStore, Put
from ..models.errors import MangowayError
from ..models.identifiers import IncarnationId, Revision
from ..models.offer import SitePolicy
from ..models.verdict import Verdict
from ..policy.dispatch.actions import ClaimKey
from ..policy.dispatch.events import ClaimOutcome, DispatchEvent, KeyClaimed
from ..util.tasks import Tasks
from .const import CLAIMS_PREFIX


@define(eq=False, kw_only=True)
class KeyClaims:
    """Claims keys by creating their entry, which succeeds for only one gateway."""

    store: KeyValueStore
    incarnation: IncarnationId
    tasks: Tasks
    send: Callable[[DispatchEvent], None]
    """Called with the outcomes."""

    get_site_policy: Callable[[], SitePolicy]
    """Returns the current site policy."""

    def async_claim(self, action: ClaimKey, submission: Submission) -> None:
        """Start a claim; its outcome is sent as a `KeyClaimed` event."""
        self.tasks.async_start(self._async_claim(action, submission))

    async def _async_claim(self, action: ClaimKey, submission: Submission) -> None:
        outcome = await self._async_create_entry(action, submission)
        self.send(KeyClaimed(request_id=action.request_id, outcome=outcome))

    async def _async_create_entry(
        self, action: ClaimKey, submission: Submission
    ) -> str:
        value = orjson.dumps(
            {
                "incarnation": self.incarnation,
                "request_id": action.request_id,
                "claimed_at": int(time.time()),
            }
        )
        put = Put(
            key=make_claim_name(submission, action),
            value=value,
            expected=Revision(0),
            ttl_s=self._find_ttl_s(submission),
        )
        try:
            result = await self.store.async_commit((put,), CallRank.CLAIM)
        except MangowayError as error:
            # An entry that may have been written counts as taken, so that the request
            # is never run twice.
            if error.failure.verdict is Verdict.NOT_RUN:
                return ClaimOutcome.UNAVAILABLE
            return ClaimOutcome.UNSETTLED
        return ClaimOutcome.CLAIMED if result.succeeded else ClaimOutcome.TAKEN

    def _find_ttl_s(self, submission: Submission) -> float:
        """Return the lifetime of a claim: the longest run plus the key retention."""
        request = submission.request
        longest_run_s = request.deadline - request.arrived_at
        return self.get_site_policy().key_retention_s + longest_run_s


def make_claim_name(submission: Submission, action: ClaimKey) -> str:
    """Return the name of a key's entry, which differs between callers."""
    owner = orjson.dumps((submission.request.caller, action.key))
    return CLAIMS_PREFIX + xxh3_128_hexdigest(owner)
