"""Status of a gateway for operators, served through the interface for peers."""

from attrs import define

from ..models.identifiers import HostId, IncarnationId
from ..observability.journal import Journal
from ..observability.tracing import Tracing
from ..peers import peers_pb2 as pb
from ..peers.directory import Directory
from ..peers.status import encode_host, explain
from ..policy.dispatch.core import DispatchCore
from ..policy.dispatch.status import QueueStatus, describe_dispatch


@define(eq=False, kw_only=True)
class GatewayStatus:
    """Answers status requests of operators from the state of one gateway."""

    host: HostId
    own: IncarnationId
    directory: Directory
    core: DispatchCore
    journal: Journal
    tracing: Tracing

    def async_read_status(self) -> pb.StatusReply:
        """Return the known processes and the queues of this gateway."""
        own = self.directory.find_incarnation(self.own)
        status = describe_dispatch(self.core)
        return pb.StatusReply(
            self=None if own is None else encode_host(own),
            hosts=[encode_host(member) for member in self.directory.list_all()],
            queues=[_encode_queue(queue) for queue in status.queues],
        )

    def async_explain(self, request: pb.ExplainRequest) -> pb.ExplainReply:
        """Return the reasons for decisions of this gateway."""
        return explain(self.journal, request, self.host, self.tracing)


def _encode_queue(queue: QueueStatus) -> pb.QueueStatus:
    return pb.QueueStatus(
        target=str(queue.target),
        urgent=queue.urgent,
        patient=queue.patient,
    )
