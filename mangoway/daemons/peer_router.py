"""Forwards requests to other gateways, and serves the requests that they forward."""

from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from random import Random
from typing import Final, Protocol

from attrs import define, evolve

from ..callers.answer import RelayedResponse
from ..callers.const import FORWARDED_HEADERS
from ..callers.gate import Gate
from ..callers.messages import IncomingRequest
from ..models.errors import ErrorCode, Failure, MangowayError
from ..models.identifiers import IncarnationId
from ..models.member import Member, MemberState, ProcessRole
from ..models.verdict import Verdict
from ..observability.event_log import log_event
from ..observability.events import KeyHomeLost, RequestForwarded
from ..observability.metrics import Metrics
from ..observability.tracing import Hop, Tracing
from ..peers.directory import Directory
from ..peers.messages import (
    ForwardedFrame,
    ForwardedHead,
    ForwardedHeader,
    ForwardedRequest,
)
from ..util.tasks import Tasks
from .records import RequestRecord

REASON_HOME = "home"
REASON_LEAVING = "leaving"
HEADER_TRACEPARENT = "traceparent"
MAX_FORWARD_ATTEMPTS: Final = 3
"""Maximum number of gateways that one request is forwarded to, one after the other."""

RETRYABLE_PEER_ERRORS: Final = frozenset(
    {
        ErrorCode.PEER_UNREACHABLE,
        ErrorCode.PEER_SILENT,
        ErrorCode.PEER_FAILED,
        ErrorCode.LEAVING,
    }
)
"""Failures of one gateway after which another gateway may succeed."""


class PeerForwarder(Protocol):
    """Sends a request to another gateway."""

    def async_forward(
        self, address: str, request: ForwardedRequest
    ) -> AsyncGenerator[ForwardedFrame, None]:
        """Yield the parts of the answer until it is complete.

        Raises:
            MangowayError: NOT_RUN only if the peer certainly did not run the request.
        """
        ...


@define(eq=False, kw_only=True)
class GatewayRouter:
    """Forwards requests to the gateways that the dispatch core selects."""

    forwarder: PeerForwarder
    directory: Directory
    rng: Random
    tasks: Tasks
    metrics: Metrics
    tracing: Tracing
    now: Callable[[], float]

    def async_forward_home(self, record: RequestRecord, home: IncarnationId) -> None:
        """Forward a request to the home of its key."""
        member = self.directory.find_incarnation(home)
        if member is None:
            log_event(KeyHomeLost(request_id=record.id, home=home))
            failure = MangowayError(
                ErrorCode.KEY_HOME_GONE,
                f"the gateway {home} that is the home of the key is gone",
                Verdict.MAY_HAVE_RUN,
            )
            record.answer.fail(failure.failure)
            return
        self._start(record, (member,), home, REASON_HOME)

    def async_forward_any(self, record: RequestRecord) -> None:
        """Forward a request to any other gateway that is ready."""
        members = [
            member
            for member in self.directory.list_others()
            if member.role is ProcessRole.GATEWAY
            and member.state is MemberState.LIVE
            and member.ready
        ]
        if not members:
            leaving = MangowayError(ErrorCode.LEAVING, "no other gateway is ready")
            record.answer.fail(leaving.failure)
            return
        self.rng.shuffle(members)
        self._start(record, tuple(members[:MAX_FORWARD_ATTEMPTS]), None, REASON_LEAVING)

    def _start(
        self,
        record: RequestRecord,
        members: tuple[Member, ...],
        home: IncarnationId | None,
        reason: str,
    ) -> None:
        self.tasks.async_start(self._async_forward(record, members, home, reason))

    async def _async_forward(
        self,
        record: RequestRecord,
        members: tuple[Member, ...],
        home: IncarnationId | None,
        reason: str,
    ) -> None:
        """Forward to the first member that can be reached."""
        verdict = Verdict.NOT_RUN
        for member in members:
            log_event(
                RequestForwarded(request_id=record.id, peer=member.host, reason=reason)
            )
            self.metrics.forwards.add(reason)
            try:
                await self._async_relay(record, member, home)
                return
            except MangowayError as error:
                verdict = verdict.merge(error.failure.verdict)
                failure = evolve(error.failure, verdict=verdict)
            if not _may_retry_elsewhere(record, failure):
                break
        record.answer.fail(_adjust_verdict(failure, home))

    async def _async_relay(
        self, record: RequestRecord, member: Member, home: IncarnationId | None
    ) -> None:
        """Relay the head of the answer; its parts are relayed when they are read.

        Raises:
            MangowayError: If the forward failed before the head arrived.
        """
        span = self.tracing.start(Hop.PEER, member.host, record.span)
        request = self._make_request(record, home, span.traceparent)
        frames = self.forwarder.async_forward(member.peer_address, request)
        try:
            head = await anext(frames, None)
            if not isinstance(head, ForwardedHead):
                raise MangowayError(
                    ErrorCode.PEER_FAILED,
                    f"{member.host} sent no answer head",
                    Verdict.MAY_HAVE_RUN,
                )
        except MangowayError as error:
            await frames.aclose()
            span.fail(error.code.value)
            raise
        finally:
            span.end()
        headers = tuple((each.name, each.value) for each in head.headers)
        if not record.answer.has_readers:
            await frames.aclose()
            return
        record.answer.relay(
            RelayedResponse(
                status=head.status, headers=headers, parts=_async_read_parts(frames)
            )
        )

    def _make_request(
        self, record: RequestRecord, home: IncarnationId | None, traceparent: str
    ) -> ForwardedRequest:
        incoming = record.submission.incoming
        headers = {
            name: value
            for name, value in incoming.headers.items()
            if name in FORWARDED_HEADERS
        }
        headers[HEADER_TRACEPARENT] = traceparent
        return ForwardedRequest(
            request_id=record.id,
            home=home,
            method=incoming.method,
            path=incoming.path,
            headers=tuple(ForwardedHeader(*each) for each in headers.items()),
            body=incoming.body,
            timeout_s=max(0.0, record.submission.request.deadline - self.now()),
            hops=incoming.hops + 1,
        )


def _may_retry_elsewhere(record: RequestRecord, failure: Failure) -> bool:
    """Return whether another gateway may be tried after a failure."""
    if failure.code not in RETRYABLE_PEER_ERRORS:
        return False
    retryable = record.submission.request.idempotent
    return retryable or failure.verdict is Verdict.NOT_RUN


def _adjust_verdict(failure: Failure, home: IncarnationId | None) -> Failure:
    """Return the failure of a forward with its verdict for the caller's request.

    A home that can't be reached may have run the key for an earlier submission, even
    though this submission was never sent to it.
    """
    if home is None or failure.code is not ErrorCode.PEER_UNREACHABLE:
        return failure
    return evolve(failure, verdict=Verdict.MAY_HAVE_RUN)


async def _async_read_parts(
    frames: AsyncGenerator[ForwardedFrame, None],
) -> AsyncGenerator[bytes, None]:
    async with aclosing(frames):
        async for frame in frames:
            if isinstance(frame, bytes):
                yield frame


@define(eq=False)
class ForwardedRequests:
    """Serves forwarded requests of other gateways like requests of callers."""

    _gate: Gate

    async def async_receive(
        self, request: ForwardedRequest
    ) -> AsyncGenerator[ForwardedFrame, None]:
        """Yield the head and the parts of the answer.

        Raises:
            MangowayError: If the request fails before its answer begins.
        """
        exchange = self._gate.open(_make_incoming(request))
        try:
            outgoing = await exchange.async_answer()
            if outgoing is None:
                return
            headers = tuple(ForwardedHeader(*each) for each in outgoing.headers)
            yield ForwardedHead(status=outgoing.status, headers=headers)
            if isinstance(outgoing.body, bytes):
                yield outgoing.body
                return
            async with aclosing(outgoing.body):
                async for part in outgoing.body:
                    yield part
        finally:
            exchange.close()


def _make_incoming(request: ForwardedRequest) -> IncomingRequest:
    return IncomingRequest(
        method=request.method,
        path=request.path,
        headers={each.name.lower(): each.value for each in request.headers},
        body=request.body,
        hops=request.hops,
        deadline_s=request.timeout_s or None,
    )
