"""Events and metrics of connections that are closed for their limits."""

from attrs import define

from . import memory_events as log
from .event_log import log_event
from .metrics import Metrics


@define(eq=False)
class ConnectionLog:
    """Logs and counts the connections that one listener closes for its limits."""

    listener: str
    """Name of the listener in events and metrics."""

    metrics: Metrics

    def record_displaced(self, limit: int, state: str, peer: str) -> None:
        """Record that a connection was closed to make room for a new one.

        Args:
            limit: Most connections that the listener keeps.
            state: What the connection waited for.
            peer: Address of its client.
        """
        self.metrics.displaced_connections.add(self.listener, state)
        log_event(
            log.ConnectionDisplaced(
                listener=self.listener, limit=limit, state=state, peer=peer
            )
        )

    def record_rejected(self, reason: str, peer: str) -> None:
        """Record that a connection was closed for what its other end did.

        Args:
            reason: What it did.
            peer: Its address.
        """
        self.metrics.rejected_connections.add(self.listener)
        log_event(
            log.ConnectionRejected(listener=self.listener, reason=reason, peer=peer)
        )
