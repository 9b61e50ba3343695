"""Whether this host can open connections to the runners.

A failed connection alone says nothing about which end is at fault. If connections to
several runners fail in a row, and none to any other runner succeeds, the fault is
probably on this host's side.
"""

from attrs import define, field

from .const import MIN_UNREACHABLE_RUNNERS


@define(eq=False)
class RunnerReach:
    """Results of the newest connections from this host to the runners."""

    reached_at: float = field(default=float("-inf"), init=False)
    """When a connection to any runner was opened last."""

    lost_at: float | None = field(default=None, init=False)
    """When the reach was lost; None while it is not."""

    _unreachable: set[str] = field(factory=set, init=False)
    """Runners to which connections failed since any runner was reached."""

    @property
    def is_lost(self) -> bool:
        """Return whether this host has probably lost its connections to all runners."""
        return self.lost_at is not None

    @property
    def unreachable(self) -> int:
        """Return the number of runners that failed since any runner was reached."""
        return len(self._unreachable)

    def record_reached(self, now: float) -> float | None:
        """Record an opened connection.

        Args:
            now: Time in seconds.

        Returns:
            The seconds for which the reach was lost; None if it was not.
        """
        lost_at, self.lost_at = self.lost_at, None
        self.reached_at = now
        self._unreachable.clear()
        return None if lost_at is None else now - lost_at

    def record_failure(self, runner_id: str, now: float, known: int) -> bool:
        """Record a connection that could not be opened.

        Args:
            runner_id: The runner.
            now: Time in seconds.
            known: Number of runners of all services.

        Returns:
            Whether the reach is lost now, and was not before.
        """
        self._unreachable.add(runner_id)
        if self.is_lost or self.unreachable < min(MIN_UNREACHABLE_RUNNERS, known):
            return False
        self.lost_at = now
        return True
