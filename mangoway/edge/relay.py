"""Requests that an edge sends through a peer, since it reaches no runner itself.

The peer handles such a request like that of a caller: it alone requests the grant,
chooses runners, retries, and counts crashes. It sends it to no further peer.
"""

from collections.abc import Callable, Iterable
from enum import Enum
from typing import Final

from attrs import define, field

from ..coordination.view import FleetView
from ..http1.client import (
    Connection,
    ConnectionLostError,
    async_connect,
)
from ..http1.connection_pool import ConnectionPool
from ..http1.messages import Headers, Request, ResponseHead, drop_headers
from ..models.fleet import Member
from ..models.routing import Route
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..observability.metrics import Metrics
from ..platform import headers as names
from ..platform.requests import RequestFields, encode_for_peer
from ..policy.edge.const import MAX_RELAY_PEERS
from ..policy.edge.relaying import RelayPeers
from .address_probe import ProbeResult, async_probe
from .attempt import Attempt
from .attempt_result import AttemptResult
from .const import MAX_IDLE_PER_PEER, PEER_SILENCE_S
from .delivery import Delivery
from .responses import PROMISES

RELAY_FIELD: Final = b"x-mangoway-relay"
"""Header field of requests between edges. A caller that sets it loses only the relaying
of its own request."""


class RelayMark(Enum):
    """Value of the header field of requests and responses between edges."""

    UNCOUNTED = b"uncounted"
    """Of a request that the first edge has not counted for the retry budget."""

    COUNTED = b"counted"
    UNREACHABLE = b"unreachable"
    """Of a response: the peer reaches no runner either, and the request has not run."""


def take_relay_mark(request: Request) -> tuple[Request, RelayMark | None]:
    """Return a request without the field of relayed ones, and the field's value."""
    value = request.find(RELAY_FIELD)
    if value is None:
        return request, None
    counted = value.encode() == RelayMark.COUNTED.value
    stripped = Request(
        method=request.method,
        target=request.target,
        headers=drop_headers(request.headers, {RELAY_FIELD}),
        body=request.body,
    )
    return stripped, RelayMark.COUNTED if counted else RelayMark.UNCOUNTED


@define(eq=False)
class PeerRelay:
    """The peers of an edge, and its connections to them."""

    view: FleetView
    peers: RelayPeers
    metrics: Metrics
    clock: Callable[[], float]
    pool: ConnectionPool = field(
        factory=lambda: ConnectionPool(MAX_IDLE_PER_PEER), init=False
    )

    def choose(self, tried: Iterable[str]) -> Member | None:
        """Return a peer for a request, or None if none is known that may help."""
        edges = self.view.list_reachable_edges()
        return self.peers.choose(edges, frozenset(tried), self.clock())

    async def async_has_ended(self, peer: Member) -> bool:
        """Return whether a peer's process has ended.

        A peer that the store does not hear of loses its announcement and serves on.
        """
        members = self.view.members.values()
        if any(each.incarnation == peer.incarnation for each in members):
            return False
        return await async_probe(peer.caller_address) is not ProbeResult.LISTENING


@define(eq=False, kw_only=True)
class RequestRelay:
    """Sends one request through a peer."""

    relay: PeerRelay
    request: Request
    fields: RequestFields
    route: Route
    delivery: Delivery
    deadline: float
    """Deadline of the response, in the event loop's time."""

    async def async_run(self, mark: RelayMark) -> AttemptResult | None:
        """Send the request through a peer and forward its response.

        Returns:
            The result; None if no peer could help, so that nothing has run.

        Raises:
            CallerGoneError: If the caller disconnects.
        """
        tried: list[str] = []
        while len(tried) < MAX_RELAY_PEERS:
            peer = self.relay.choose(tried)
            if peer is None:
                return None
            tried.append(peer.incarnation)
            result = await self._async_send(peer, mark)
            if result.was_sent and not _is_unreachable(result):
                self._log(peer, result)
                return result
            self.relay.peers.avoid(peer, self.relay.clock())
        return None

    async def _async_send(self, peer: Member, mark: RelayMark) -> AttemptResult:
        attempt = Attempt(
            request=encode_for_peer(
                self.request,
                time_left_s=self.deadline - self.relay.clock(),
                last_event_id=self.delivery.last_event_id,
                resumes=self._choose_resumed(),
                mark=(RELAY_FIELD, mark.value),
            ),
            request_id=self.fields.request_id,
            address=peer.caller_address,
            upstream_id=peer.host,
            kind=self.route.kind,
            async_open=lambda: self._async_open(peer),
            silence_s=PEER_SILENCE_S,
            on_silence=lambda: self._async_handle_silence(peer),
            pool=self.relay.pool,
            delivery=self.delivery,
            on_first_event=lambda: None,
            on_head=lambda head: None,
            # Edges send no extra responses, and reject requests without naming them.
            is_id_echoed=False,
            is_rejection=_is_own_rejection,
        )
        return await attempt.async_run()

    def _choose_resumed(self) -> str:
        """Return the ID of the request that brought the first event; empty if none."""
        has_events = self.fields.last_event_id or self.delivery.last_event_id
        return self.fields.origin_id if has_events else ""

    async def _async_open(self, peer: Member) -> Connection:
        now = self.relay.clock()
        idle = self.relay.pool.acquire(
            peer.caller_address, now, retryable=self.route.idempotent
        )
        return idle or await async_connect(peer.caller_address, now)

    async def _async_handle_silence(self, peer: Member) -> bool:
        """Keep waiting unless the peer has ended.

        Raises:
            ConnectionLostError: If the peer's process has ended.
        """
        if await self.relay.async_has_ended(peer):
            raise ConnectionLostError("the peer is gone")
        return False

    def _log(self, peer: Member, result: AttemptResult) -> None:
        response = result.rejection or result.error
        status = None if response is None else response.head.status
        outcome = "failed"
        if result.delivered:
            outcome = "served"
        elif status is not None:
            outcome = "answered"
        self.relay.metrics.relayed_requests.add(outcome)
        log_event(
            log.RequestRelayed(
                request_id=self.fields.request_id,
                peer=peer.host,
                outcome=outcome,
                status=status,
                reason=result.reason,
            )
        )


def make_unreachable_headers() -> Headers:
    """Return the header fields of a response to a peer that can't be helped."""
    return ((RELAY_FIELD, RelayMark.UNREACHABLE.value),)


def _is_own_rejection(head: ResponseHead) -> bool:
    """Return whether a peer rejected a request itself.

    A peer of an earlier release also sends on failures of runners with such a status,
    which have the runner's signature.
    """
    return head.status in PROMISES and head.find(names.SIGNATURE) is None


def _is_unreachable(result: AttemptResult) -> bool:
    """Return whether the peer rejected a request since it reaches no runner."""
    if result.rejection is None:
        return False
    mark = result.rejection.head.find(RELAY_FIELD)
    return mark is not None and mark.encode() == RelayMark.UNREACHABLE.value
