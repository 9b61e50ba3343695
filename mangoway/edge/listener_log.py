"""Events and metrics of what the clients of a listener exceed."""

from attrs import define

from ..observability import memory_events as log
from ..observability.event_log import log_event
from ..observability.metrics import Metrics


@define(eq=False)
class ListenerLog:
    """Logs and counts what the clients of one listener exceed."""

    listener: str
    """Name of the listener in events and metrics."""

    metrics: Metrics

    def record_sent_ahead(self, size: int, peer: str) -> None:
        """Record that reading from a client was paused.

        Args:
            size: Bytes that it has sent ahead.
            peer: Its address.
        """
        self.metrics.edge_paused_connections.add(self.listener)
        log_event(
            log.CallerSentAhead(listener=self.listener, peer=peer, unparsed_bytes=size)
        )
