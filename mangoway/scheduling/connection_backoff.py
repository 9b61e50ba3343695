"""Timeouts and retry delays for connections to a scheduler."""

from random import Random
from typing import Final

from attrs import define, field

CONNECT_TIMEOUT_S: Final = 0.3
MAX_CONNECT_TIMEOUT_S: Final = 3.0
"""Timeout for connecting to the scheduler, and its maximum as it doubles. Connecting
takes about 3 ms, but when hundreds of processes connect at once, the kernel may drop
the first packet, which is sent again after a second."""

HANDSHAKE_TIMEOUT_S: Final = 0.5
HANDSHAKE_TIMEOUT_S_PER_PROCESS: Final = 0.004
MAX_HANDSHAKE_TIMEOUT_S: Final = 6.0
"""Time for which a new connection may be silent: the minimum, the time per process of
the system, and the maximum. It doubles with each silent connection. A scheduler
with half a core completes about 300 handshakes a second. A process that disconnects
before its turn wastes the scheduler's work and connects again."""

RETRY_DELAY_S: Final = 1.0
MAX_RETRY_DELAY_S: Final = 4.0
RETRY_JITTER: Final = 0.25
"""Time for which a silent scheduler is skipped, its maximum as it doubles, and the
largest random share of it that is added. The kernel of a host whose processes are
frozen still accepts connections, and hundreds of processes must not reconnect all at
once."""

MAX_FAILURES: Final = 6
"""Consecutive failures that are counted; from there on, all times are at their
maximum."""


@define(eq=False)
class ConnectionBackoff:
    """Backoff that grows with each consecutive connection that failed or was silent."""

    random: Random
    _failures: int = field(default=0, init=False)

    def record_failure(self) -> None:
        """Record a connection that failed or ended before its handshake."""
        self._failures = min(MAX_FAILURES, self._failures + 1)

    def record_handshake(self) -> None:
        """Record a completed handshake."""
        self._failures = 0

    def get_connect_timeout(self) -> float:
        """Return the timeout for connecting, in seconds."""
        return min(MAX_CONNECT_TIMEOUT_S, self._scale(CONNECT_TIMEOUT_S))

    def get_handshake_timeout(self, processes: int) -> float:
        """Return the time for which a new connection may be silent, in seconds.

        Args:
            processes: Number of known processes of the system.
        """
        wanted_s = max(HANDSHAKE_TIMEOUT_S, HANDSHAKE_TIMEOUT_S_PER_PROCESS * processes)
        return min(MAX_HANDSHAKE_TIMEOUT_S, self._scale(wanted_s))

    def choose_retry_delay(self) -> float:
        """Return the time for which a scheduler is skipped, in seconds."""
        delay_s = min(MAX_RETRY_DELAY_S, self._scale(RETRY_DELAY_S))
        return delay_s * (1 + RETRY_JITTER * self.random.random())

    def _scale(self, seconds: float) -> float:
        return seconds * 2.0**self._failures
