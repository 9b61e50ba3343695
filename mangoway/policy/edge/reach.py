"""Whether this host can open connections to the runners.

A failed connection alone says nothing about which end is at fault. If connections to
several runners fail, and none to any other runner succeeds meanwhile, the fault is
probably on this host's side.
"""

from attrs import define, field

from .const import MIN_UNREACHABLE_RUNNERS, RECENTLY_REACHED_S


@define(eq=False)
class RunnerReach:
    """Results of the newest connections from this host to the runners."""

    lost_at: float | None = field(default=None, init=False)
    """When the reach was lost; None while it is not."""

    _reached_at: float = field(default=float("-inf"), init=False)
    """When a connection to any runner was opened last."""

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

    def was_reached_since(self, started_at: float) -> bool:
        """Return whether any runner was reached since then."""
        return self._reached_at >= started_at

    def needs_check(self, started_at: float, now: float) -> bool:
        """Return whether other runners are checked after a failed or slow connection.

        Args:
            started_at: When that connection was begun.
            now: Time in seconds.
        """
        return not self.was_reached_since(min(started_at, now - RECENTLY_REACHED_S))

    def record_reached(self, now: float) -> float | None:
        """Record an opened connection.

        Args:
            now: Time in seconds.

        Returns:
            The seconds for which the reach was lost; None if it was not.
        """
        lost_at, self.lost_at = self.lost_at, None
        self._reached_at = now
        self._unreachable.clear()
        return None if lost_at is None else now - lost_at

    def record_failure(
        self, runner_id: str, started_at: float, now: float, known: int
    ) -> bool:
        """Record a connection that could not be opened.

        Args:
            runner_id: The runner.
            started_at: When the connection was begun. If another one was opened since,
                the failure is the runner's.
            now: Time in seconds.
            known: Number of runners of all services.

        Returns:
            Whether the reach is lost now, and was not before.
        """
        if self.was_reached_since(started_at):
            return False
        self._unreachable.add(runner_id)
        if self.is_lost or self.unreachable < min(MIN_UNREACHABLE_RUNNERS, known):
            return False
        self.lost_at = now
        return True
