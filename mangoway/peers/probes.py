"""Probes of peers: whether a process responds, is silent or refuses connections."""

from attrs import define

from ..models.errors import ErrorCode, MangowayError
from . import peers_pb2 as pb
from .client import PeerClients
from .const import PROBE_TIMEOUT_S


@define(eq=False)
class Prober:
    """Probes processes directly or through a peer."""

    clients: PeerClients

    async def async_probe(self, target_address: str) -> pb.ProbeOutcome.ValueType:
        """Return whether a process responds to this one."""
        client = self.clients.get(target_address)
        try:
            reply = await client.async_probe(pb.ProbeRequest(), PROBE_TIMEOUT_S)
        except MangowayError as error:
            return _get_outcome(error)
        return reply.outcome

    async def async_probe_through(
        self, relay_address: str, target_address: str
    ) -> pb.ProbeOutcome.ValueType | None:
        """Return whether a process responds to a peer; None if that didn't respond."""
        client = self.clients.get(relay_address)
        request = pb.ProbeRequest(target_address=target_address)
        try:
            # The peer waits for the target as long as this process would.
            reply = await client.async_probe(request, 2 * PROBE_TIMEOUT_S)
        except MangowayError as error:
            if error.code is ErrorCode.PEER_FAILED:
                return pb.PROBE_OUTCOME_SILENT
            return None
        return reply.outcome


def is_refused(error: MangowayError) -> bool:
    """Return whether a call failed since no process listens at the address."""
    return isinstance(error.__cause__, ConnectionRefusedError)


def _get_outcome(error: MangowayError) -> pb.ProbeOutcome.ValueType:
    if is_refused(error):
        return pb.PROBE_OUTCOME_REFUSED
    # A process of a release without probes responds with an error.
    if error.code is ErrorCode.PEER_FAILED:
        return pb.PROBE_OUTCOME_ANSWERED
    return pb.PROBE_OUTCOME_SILENT
