"""Events and metrics of what the clients of a listener exceed."""

from attrs import define, field

from ..http1.server_options import ServerOptions
from ..observability import memory_events as log
from ..observability.connection_log import ConnectionLog
from ..observability.event_log import log_event
from ..observability.metrics import Metrics


@define(eq=False)
class ListenerLog:
    """Logs and counts what the clients of one listener exceed."""

    listener: str
    """Name of the listener in events and metrics."""

    metrics: Metrics

    _options: ServerOptions | None = field(default=None, init=False)

    def add_to(self, options: ServerOptions) -> None:
        """Record what happens at a listener with these options."""
        self._options = options
        displaced = ConnectionLog(self.listener, self.metrics)
        options.on_full = lambda state, peer: displaced.record_displaced(
            options.table.limit, state, peer
        )
        options.on_read_ahead = self.record_sent_ahead
        options.on_unread = self.record_unread

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

    def record_unread(self, unread_s: float, peer: str) -> None:
        """Record that a connection was reset, as its client didn't read a response.

        Args:
            unread_s: Seconds for which it has read nothing.
            peer: Its address.
        """
        self.metrics.edge_reset_connections.add(self.listener)
        log_event(
            log.UnreadConnectionReset(
                listener=self.listener, peer=peer, unread_s=round(unread_s, 3)
            )
        )

    def update_levels(self) -> None:
        """Set the number of open connections."""
        if self._options is not None:
            count = len(self._options.connections)
            self.metrics.connections.set(self.listener, level=count)
