"""Demand reports from gateways to the active controller of their cell."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from attrs import define, field

from ..models.artifact import Artifact
from ..models.errors import ErrorCode, MangowayError
from ..models.identifiers import HostId, IncarnationId
from ..models.member import Member, ProcessRole
from ..policy.placement.events import ArtifactRate, DemandReported
from . import peers_pb2 as pb
from .client import PeerClients
from .directory import Directory

if TYPE_CHECKING:
    # For types only, since controllers import this module without request dispatch.
    from ..policy.dispatch.events import ArtifactDemand


def encode_demand(
    gateway: HostId,
    incarnation: IncarnationId,
    period_s: float,
    demands: "Iterable[ArtifactDemand]",
) -> pb.DemandReport:
    """Return one period's demand as a message."""
    report = pb.DemandReport(
        gateway=gateway, incarnation=incarnation, period_s=period_s
    )
    for demand in demands:
        report.artifacts.append(str(demand.artifact))
        report.arrived.append(demand.arrived)
        report.queued.append(demand.queued)
        report.tokens.append(demand.tokens)
        report.refused.append(demand.refused)
    return report


def decode_demand(report: pb.DemandReport) -> DemandReported:
    """Return the demand in a message.

    Raises:
        MangowayError: PEER_FAILED if the message violates the protocol.
    """
    columns = zip(
        report.artifacts,
        report.arrived,
        report.queued,
        report.tokens,
        report.refused,
        strict=True,
    )
    try:
        rates = tuple(
            ArtifactRate(
                artifact=Artifact.parse(artifact),
                arrived=arrived,
                queued=queued,
                tokens=tokens,
                refused=refused,
            )
            for artifact, arrived, queued, tokens, refused in columns
        )
    except ValueError as error:
        detail = f"malformed demand report: {error}"
        raise MangowayError(ErrorCode.PEER_FAILED, detail) from error
    return DemandReported(
        gateway=HostId(report.gateway),
        incarnation=IncarnationId(report.incarnation),
        period_s=report.period_s,
        rates=rates,
    )


@define(eq=False, kw_only=True)
class DemandSender:
    """Sends this gateway's demand to the active controller.

    Standby controllers receive it only while no controller replies that it is active.
    """

    gateway: HostId
    incarnation: IncarnationId
    clients: PeerClients
    directory: Directory
    _active: IncarnationId | None = field(default=None, init=False)

    async def async_report(
        self, period_s: float, demands: "tuple[ArtifactDemand, ...]"
    ) -> bool:
        """Send one period's demand; return whether an active controller received it."""
        report = encode_demand(self.gateway, self.incarnation, period_s, demands)
        for controller in self._rank_controllers():
            if await self._async_send(controller, report):
                self._active = controller.incarnation
                return True
        self._active = None
        return False

    def _rank_controllers(self) -> list[Member]:
        live = self.directory.list_live(ProcessRole.CONTROLLER)
        return sorted(live, key=lambda member: member.incarnation != self._active)

    async def _async_send(self, controller: Member, report: pb.DemandReport) -> bool:
        client = self.clients.get(controller.peer_address)
        try:
            reply = await client.async_report_demand(report)
        except MangowayError:
            return False
        return reply.active
