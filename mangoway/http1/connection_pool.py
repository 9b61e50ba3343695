"""Idle connections to upstreams, kept for further requests."""

from attrs import define, field

from .client import Connection
from .const import (
    IDLE_LIMIT_RECOVERY_PER_S,
    IDLE_SHARE_AFTER_BREAK,
    MAX_REUSE_IDLE_S,
)


@define(eq=False)
class IdleReuseLimit:
    """Limit on the idle time of connections reused for requests without retries.

    A request that must not be retried fails if its reused connection turns out to be
    broken, since nothing proves that it did not run. Such a request therefore reuses
    a connection only shortly after the last response on it. Each idle connection that
    is found broken lowers the limit.
    """

    _limit_s: float = MAX_REUSE_IDLE_S
    _last_break_at: float = -1e9

    def compute_s(self, now: float) -> float:
        """Return the current limit in seconds."""
        recovered_s = IDLE_LIMIT_RECOVERY_PER_S * max(0.0, now - self._last_break_at)
        return min(MAX_REUSE_IDLE_S, self._limit_s + recovered_s)

    def record_break(self, idle_s: float, now: float) -> None:
        """Lower the limit after a connection broke without a response.

        Args:
            idle_s: Idle time of the connection before its request.
            now: Time in seconds.
        """
        self._limit_s = min(self.compute_s(now), IDLE_SHARE_AFTER_BREAK * idle_s)
        self._last_break_at = now


@define(eq=False)
class ConnectionPool:
    """Idle connections by address; the last used one is reused first."""

    max_idle: int
    """Maximum number of idle connections per address."""

    idle_limit: IdleReuseLimit = field(factory=IdleReuseLimit)

    _idle: dict[str, list[Connection]] = field(factory=dict, init=False)

    def acquire(
        self,
        address: str,
        now: float,
        *,
        retryable: bool = True,
        request_id: str = "",
    ) -> Connection | None:
        """Return an idle connection that is probably still open, or None.

        Args:
            address: Address of the upstream.
            now: Time in seconds.
            retryable: Whether the request may be sent again if the connection breaks
                without a response. If not, `idle_limit` applies to the idle time.
            request_id: ID of the request. A connection that carried a request with this
                ID is not returned.
        """
        idle = self._idle.get(address, [])
        for connection in tuple(reversed(idle)):
            if connection.has_sent(request_id):
                continue
            idle_s = now - connection.idle_since
            if not retryable and idle_s > self.idle_limit.compute_s(now):
                return None
            idle.remove(connection)
            if connection.is_likely_open(now):
                connection.idle_s = idle_s
                return connection
            connection.close()
        return None

    def release(self, address: str, connection: Connection, now: float) -> None:
        """Return a connection to the pool after a complete exchange.

        It is closed if it cannot be reused or if the pool is full.
        """
        idle = self._idle.setdefault(address, [])
        if len(idle) >= self.max_idle or not connection.prepare_reuse(now):
            connection.close()
            return
        idle.append(connection)

    def drop(self, address: str) -> None:
        """Close the idle connections of an address that is no longer in use."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def sweep(self, now: float) -> None:
        """Close the idle connections that are probably no longer open."""
        for address, idle in list(self._idle.items()):
            open_connections = [each for each in idle if each.is_likely_open(now)]
            for each in idle:
                if each not in open_connections:
                    each.close()
            if open_connections:
                self._idle[address] = open_connections
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.drop(address)
