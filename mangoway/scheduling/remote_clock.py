"""Times on the boot clock of another host, on this host's."""

from collections.abc import Callable
from typing import Final

from attrs import define, field

from .messages import ClockAsked, ClockTold

CLOCK_ERROR_S: Final = 0.2
CLOCK_RETRY_S: Final = 1.0
"""Error of the other end's clock, in seconds, from which it is asked for once more, and
the time between two such questions. A connection is greeted late where hundreds are
made at once."""


@define(eq=False)
class RemoteClock:
    """The boot clock of the process at the other end of a connection.

    It was read after we asked, however late its answer comes: so each time on it is no
    earlier on our clock than this says, and by an error that is known.
    """

    boot_clock: Callable[[], float]
    """Ours: time in seconds that also passes while the host is suspended."""

    _offset_s: float | None = field(default=None, init=False)
    """What is added to a time on the other clock for the earliest time that it can be
    on ours; None until it was told."""

    _error_s: float = field(default=1e9, init=False)
    _asked_at: float = field(default=-1e9, init=False)

    def ask(self) -> ClockAsked:
        """Return the question for the other end."""
        self._asked_at = self.boot_clock()
        return ClockAsked(asked_at=self._asked_at)

    def take(self, message: ClockTold) -> None:
        """Take the answer, unless an earlier one came sooner after its question."""
        error_s = self.boot_clock() - message.asked_at
        if error_s < self._error_s:
            self._error_s = error_s
            self._offset_s = message.asked_at - message.clock_s

    def convert(self, at: float) -> float | None:
        """Return the earliest time on our clock that a time on the other can be."""
        return None if self._offset_s is None else at + self._offset_s

    def should_ask(self) -> bool:
        """Return whether a better answer is wanted, and it is time to ask."""
        waited_s = self.boot_clock() - self._asked_at
        return self._error_s > CLOCK_ERROR_S and waited_s > CLOCK_RETRY_S
