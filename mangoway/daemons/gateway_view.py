"""Pages of a gateway on itself: addresses, readiness, status and explanations."""

import time
from collections.abc import Mapping
from typing import Any

from attrs import define, field

from ..models.errors import ErrorCode, MangowayError
from ..models.identifiers import DataCentreId, RequestId
from ..models.member import (
    AddressAnswer,
    Member,
    MemberState,
    ProcessRole,
)
from ..observability.journal import Journal, JournalEntry, JournalQuery
from ..peers.directory import Directory
from ..policy.dispatch.core import DispatchCore
from ..policy.dispatch.status import (
    DispatchStatus,
    QueueStatus,
    UpstreamStatus,
    describe_dispatch,
)
from ..policy.membership.addresses import build_address_answer
from .const import ADDRESS_RETRY_S
from .dispatcher import Dispatcher
from .gateway_metrics import GatewayGauges

DEFAULT_ADDRESS_VALIDITY_S = 5.0


@define(eq=False, kw_only=True)
class GatewaySelfView:
    """Reads the state of the other components without changing it."""

    dispatcher: Dispatcher
    core: DispatchCore
    directory: Directory
    data_centre: DataCentreId
    journal: Journal
    gauges: GatewayGauges
    stopping: bool = field(default=False, init=False)
    _address_answers_sent: int = field(default=0, init=False)
    """Number of address answers sent; it rotates the gateway listed first."""

    def list_addresses(self) -> AddressAnswer:
        """Return the gateways that callers should use.

        Raises:
            MangowayError: NOT_READY if no gateway is known to be ready.
        """
        members = [
            member
            for member in self.directory.list_live(ProcessRole.GATEWAY)
            if not self._is_stopping(member)
        ]
        answer = build_address_answer(
            members,
            self.data_centre,
            self.get_address_validity_s(),
            self._address_answers_sent,
        )
        self._address_answers_sent += 1
        if not answer.gateways:
            raise MangowayError(
                ErrorCode.NOT_READY,
                "no gateway is ready",
                retry_after=ADDRESS_RETRY_S,
            )
        return answer

    def check_ready(self) -> None:
        """Raise `MangowayError` unless this gateway accepts new requests."""
        if self.stopping:
            raise MangowayError(ErrorCode.LEAVING, "this gateway is leaving")
        if self.dispatcher.configuration is None:
            raise MangowayError(
                ErrorCode.NOT_READY,
                "no configuration is in force yet",
                retry_after=ADDRESS_RETRY_S,
            )

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return self.gauges.render()

    def read_status(self) -> Mapping[str, Any]:
        """Return a snapshot of the state that can be encoded as JSON."""
        configuration = self.dispatcher.configuration
        status = describe_dispatch(self.core)
        members = (
            *self.directory.list_live(ProcessRole.GATEWAY),
            *self.directory.list_live(ProcessRole.CONTROLLER),
        )
        return {
            "incarnation": self.directory.own,
            "state": MemberState.LEAVING.value
            if self.stopping
            else MemberState.LIVE.value,
            "config_version": 0 if configuration is None else configuration.version,
            "members": [_encode_member(member) for member in members],
            **self._encode_dispatch(status),
        }

    def explain(self, request_id: RequestId) -> list[Mapping[str, Any]]:
        """Return the stored decisions about a request, oldest first."""
        entries = self.journal.find(JournalQuery(request=request_id))
        return [_encode_decision(entry) for entry in entries]

    def _is_stopping(self, member: Member) -> bool:
        return self.stopping and member.incarnation == self.directory.own

    def get_address_validity_s(self) -> float:
        """Return the seconds for which callers may use an address answer."""
        configuration = self.dispatcher.configuration
        if configuration is None:
            return DEFAULT_ADDRESS_VALIDITY_S
        return configuration.site.address_validity_s

    def _encode_dispatch(self, status: DispatchStatus) -> dict[str, Any]:
        now = self.dispatcher.now()
        return {
            "requests": status.requests,
            "attempts": status.attempts,
            "key_records": status.key_records,
            "queues": [_encode_queue(queue) for queue in status.queues],
            "upstreams": [
                self._encode_upstream(upstream, now) for upstream in status.upstreams
            ],
        }

    def _encode_upstream(self, upstream: UpstreamStatus, now: float) -> dict[str, Any]:
        known = self.dispatcher.upstreams.get(upstream.upstream_id)
        reported_at = upstream.reported_at
        return {
            "upstream": upstream.upstream_id,
            "address": None if known is None else known.address,
            "in_flight": upstream.in_flight,
            "window": upstream.window,
            "breaker": upstream.breaker.value,
            "leaving": upstream.leaving,
            "listed": upstream.listed,
            "report_age_s": None if reported_at is None else now - reported_at,
        }


def _encode_member(member: Member) -> dict[str, Any]:
    return {
        "host": member.host,
        "role": member.role.value,
        "incarnation": member.incarnation,
        "data_centre": member.data_centre,
        "address": member.caller_address,
        "state": member.state.value,
        "ready": member.ready,
        "config_version": member.config_version,
    }


def _encode_queue(queue: QueueStatus) -> dict[str, Any]:
    return {
        "target": str(queue.target),
        "urgent": queue.urgent,
        "patient": queue.patient,
    }


def _encode_decision(entry: JournalEntry) -> Mapping[str, Any]:
    return {
        "at": entry.at,
        "age_s": time.time() - entry.at,
        "reason": entry.reason,
        "detail": entry.detail,
        "upstream": entry.upstream,
        "trace_id": entry.trace_id,
    }
