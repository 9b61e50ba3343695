"""Single calls of the etcd API with budget, retries and metrics."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from grpclib.client import Channel

from ..models.errors import ErrorCode, MangowayError
from ..models.verdict import Verdict
from ..observability.event_log import log_event
from ..observability.events import (
    BudgetExhausted,
    KeyValueRestored,
    KeyValueUnavailable,
)
from ..observability.metrics import Metrics
from ..settings.process import KeyValueSettings
from . import rpc_grpc, rpc_pb2
from .backoff import pick_backoff_s
from .budget import CallBudget
from .const import BUDGET_WAIT_S, LEASE_ID_BITS, READ_ATTEMPTS
from .endpoints import CallFailed, Endpoints
from .store import CallRank

ReplyT = TypeVar("ReplyT")
Send = Callable[[Channel], Awaitable[ReplyT]]

LINEARIZABLE_CALLS = frozenset({"range", "txn"})
"""Calls whose responses state a revision that is not below any known before them."""

RESULT_OK = "ok"
RESULT_FAILED = "failed"
RESULT_REJECTED = "refused"


class EtcdClient:
    """Client that makes calls within the budget and tracks the newest revision."""

    def __init__(
        self,
        settings: KeyValueSettings,
        metrics: Metrics,
        random_source: random.Random | None = None,
    ) -> None:
        self.random_source = random_source or random.SystemRandom()
        self.metrics = metrics
        self.revision = 0
        """Newest revision of the service that a response contained."""

        self.restores = 0
        """Number of times that the service was seen to have lost known revisions."""

        self.endpoints = Endpoints(
            settings.key_value, settings.key_value_timeout_s, self.random_source
        )
        now = asyncio.get_running_loop().time()
        self.budget = CallBudget(settings.key_value_calls_per_second, now)

    async def async_read(self, call: str, rank: CallRank, send: Send[ReplyT]) -> ReplyT:
        """Make a call that may be retried, with a limited number of attempts.

        Raises:
            MangowayError: PLATFORM_UNAVAILABLE or PLATFORM_BUDGET; the verdict is
                always NOT_RUN.
        """
        for failures in range(READ_ATTEMPTS):
            await self.async_back_off(failures)
            try:
                return await self.async_call_once(call, rank, send)
            except CallFailed as error:
                last = error
        raise make_unavailable_error(call, "", last, Verdict.NOT_RUN) from last

    async def async_range(
        self, request: rpc_pb2.RangeRequest, rank: CallRank
    ) -> rpc_pb2.RangeResponse:
        """Read a key or a range of keys.

        Raises:
            MangowayError: See `async_read`.
        """

        async def send(channel: Channel) -> rpc_pb2.RangeResponse:
            reply: rpc_pb2.RangeResponse = await rpc_grpc.KVStub(channel).Range(request)
            return reply

        return await self.async_read("range", rank, send)

    async def async_grant(self, ttl_s: int, rank: CallRank) -> int:
        """Request a lease with an id chosen by this client, and return the id.

        Raises:
            MangowayError: PLATFORM_UNAVAILABLE or PLATFORM_BUDGET. If the lease was
                granted nevertheless, it has no key and expires.
        """
        lease_id = self.random_source.getrandbits(LEASE_ID_BITS) + 1
        request = rpc_pb2.LeaseGrantRequest(TTL=ttl_s, ID=lease_id)

        async def send(channel: Channel) -> rpc_pb2.LeaseGrantResponse:
            stub = rpc_grpc.LeaseStub(channel)
            reply: rpc_pb2.LeaseGrantResponse = await stub.LeaseGrant(request)
            return reply

        try:
            reply = await self.async_call_once("lease_grant", rank, send)
        except CallFailed as error:
            raise make_unavailable_error(
                "lease_grant", "", error, Verdict.NOT_RUN
            ) from error
        if reply.TTL < ttl_s:
            raise MangowayError(
                ErrorCode.PLATFORM_UNAVAILABLE,
                f"the key-value service granted a lease of {reply.TTL} s, expected at "
                f"least {ttl_s} s",
            )
        return lease_id

    async def async_call_once(
        self, call: str, rank: CallRank, send: Send[ReplyT]
    ) -> ReplyT:
        """Make one attempt of a call.

        Raises:
            CallFailed: If no connection could be made, the service rejected the call or
                no response arrived in time.
            MangowayError: PLATFORM_BUDGET; the call was not made.
        """
        await self.async_consume_budget(call, rank)
        loop = asyncio.get_running_loop()
        started = loop.time()
        known = self.revision
        result = RESULT_FAILED
        try:
            reply = await self.endpoints.async_call(send)
            result = RESULT_OK
        finally:
            self.metrics.key_value_calls.add(call, rank.name.lower(), result)
            self.metrics.key_value_seconds.observe(call, seconds=loop.time() - started)
        if call in LINEARIZABLE_CALLS:
            self._check_restore(reply, known)
        self.update_revision(reply)
        return reply

    async def async_consume_budget(self, call: str, rank: CallRank) -> None:
        """Consume a call of the budget, after a short wait if it is exhausted.

        Raises:
            MangowayError: PLATFORM_BUDGET if the call would have to wait for longer
                than `BUDGET_WAIT_S`.
        """
        loop = asyncio.get_running_loop()
        wait_until = loop.time() + BUDGET_WAIT_S
        while wait_s := self.budget.consume(rank, loop.time()):
            if loop.time() + wait_s > wait_until:
                self._reject(call, rank, wait_s)
            await asyncio.sleep(wait_s)

    def _reject(self, call: str, rank: CallRank, wait_s: float) -> None:
        self.metrics.key_value_calls.add(call, rank.name.lower(), RESULT_REJECTED)
        log_event(BudgetExhausted(rank=rank.name.lower()))
        raise MangowayError(
            ErrorCode.PLATFORM_BUDGET,
            f"the budget of key-value calls is exhausted for rank {rank.name.lower()}",
            Verdict.NOT_RUN,
            retry_after=wait_s,
        )

    async def async_back_off(self, failures: int) -> None:
        """Wait for the backoff delay after a number of consecutive failures."""
        if failures:
            await asyncio.sleep(pick_backoff_s(failures, self.random_source))

    def update_revision(self, reply: Any) -> None:
        """Update the newest revision from the header of a response."""
        self.revision = max(self.revision, reply.header.revision)

    def _check_restore(self, reply: Any, known: int) -> None:
        """Reset the newest revision if the service was restored from a backup.

        Args:
            reply: Response to a linearizable call.
            known: Newest revision that was known before the call.
        """
        if reply.header.revision < known:
            log_event(KeyValueRestored(revision=reply.header.revision, known=known))
            self.restores += 1
            self.revision = reply.header.revision


def make_unavailable_error(
    call: str, key: str, cause: CallFailed, verdict: Verdict
) -> MangowayError:
    """Log and return the error for a call whose attempts have all failed."""
    log_event(
        KeyValueUnavailable(call=call, key=key, error=str(cause), verdict=verdict.value)
    )
    return MangowayError(
        ErrorCode.PLATFORM_UNAVAILABLE,
        f"{call} {key}".strip() + f": {cause}",
        verdict,
        retry_after=1.0,
    )
