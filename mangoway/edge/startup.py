"""Decides when an edge that has just started may use the configuration."""

from collections.abc import Callable
from typing import Final

from attrs import define, field

from ..coordination.mirror import Mirror

CONFIRMATION_S: Final = 1.0
"""Time for which an edge waits for the state of a scheduler after it first read the
store. Connecting to one takes 0.1 s, and in a fleet that starts as a whole there is
none."""


@define(eq=False)
class StartupCheck:
    """Waits for a scheduler if the store may lack the newest configuration.

    A store that came back from a copy holds an older configuration until the operator
    writes the newer one again, which schedulers retain. A process that starts does not
    know how long ago that was.
    """

    mirror: Mirror
    has_scheduler_state: Callable[[], bool]
    """Returns whether a scheduler has sent its state of the current era."""

    clock: Callable[[], float]
    _is_done: bool = field(default=False, init=False)
    _read_at: float | None = field(default=None, init=False)
    """When the store was first known to be read."""

    def is_done(self) -> bool:
        """Return whether the configuration may be used."""
        if not self._is_done and self.mirror.revision is not None:
            self._is_done = self._check()
        return self._is_done

    def _check(self) -> bool:
        now = self.clock()
        if self._read_at is None:
            self._read_at = now
        if self.mirror.era == 0 or self.has_scheduler_state():
            return True
        return now >= self._read_at + CONFIRMATION_S
