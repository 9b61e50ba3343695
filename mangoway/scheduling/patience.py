"""How long a process waits for a scheduler, and when it tries again."""

from random import Random
from typing import Final

from attrs import define, field

CONNECT_TIMEOUT_S: Final = 0.3
MAX_CONNECT_TIMEOUT_S: Final = 3.0
"""Time for a connection to the scheduler, which takes some 3 ms, and its bound as it
doubles: where hundreds come at once the kernel may drop the first packet, which is sent
again after a second."""

GREETING_S: Final = 0.5
GREETING_S_PER_PROCESS: Final = 0.004
MAX_GREETING_S: Final = 6.0
"""Time for which a new connection may be silent, the same for each process of the
system where there are many, and its bound; it doubles with each one that was silent. A
scheduler of half a core greets some 300 others a second; who leaves before his turn has
it do the work in vain, and comes anew."""

AVOID_S: Final = 1.0
MAX_AVOID_S: Final = 4.0
AVOID_SPREAD: Final = 0.25
"""Time for which a scheduler that was silent is left alone, its bound as it doubles,
and the part by which it is drawn longer: the kernel of a host whose processes are
frozen still takes connections, and hundreds must not come back all at once."""


MOST_FAILURES: Final = 6
"""Connections in a row that count; beyond, all times are at their bounds."""


@define(eq=False)
class Patience:
    """Grows with each connection in a row that failed or was not greeted."""

    random: Random
    _failures: int = field(default=0, init=False)

    def note_failed(self) -> None:
        """Note that a connection failed, or ended without a greeting."""
        self._failures = min(MOST_FAILURES, self._failures + 1)

    def note_greeted(self) -> None:
        """Note that the other end has greeted."""
        self._failures = 0

    def choose_timeout(self) -> float:
        """Return the time for a connection, in seconds."""
        return min(MAX_CONNECT_TIMEOUT_S, self._grow(CONNECT_TIMEOUT_S))

    def choose_greeting(self, processes: int) -> float:
        """Return the time for which a new connection may be silent, in seconds.

        Args:
            processes: Processes of the system that are known.
        """
        wanted_s = max(GREETING_S, GREETING_S_PER_PROCESS * processes)
        return min(MAX_GREETING_S, self._grow(wanted_s))

    def choose_pause(self) -> float:
        """Return the time for which a scheduler is left alone, in seconds."""
        pause_s = min(MAX_AVOID_S, self._grow(AVOID_S))
        return pause_s * (1 + AVOID_SPREAD * self.random.random())

    def _grow(self, seconds: float) -> float:
        return seconds * 2.0**self._failures
