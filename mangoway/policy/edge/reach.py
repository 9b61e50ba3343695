"""Whether this host can open connections to the runners.

A failed connection alone says nothing about which end is at fault. If connections to
several runners fail, and none to any other runner succeeds meanwhile, the fault is
probably on this host's side. A runner that fails while another is reached is down, and
says nothing about this host until it is reached again.

An open connection proves little, since something on the way may accept it and reset it
later. It counts once it has stayed open for longer than recent connections did that
were reset, and at once if it brings data.
"""

from attrs import define, field

from .const import (
    DOWN_S,
    KEPT_OPEN_RATIO,
    MAX_KEPT_OPEN_S,
    MIN_KEPT_OPEN_S,
    MIN_UNREACHABLE_RUNNERS,
    RECENTLY_REACHED_S,
    RESET_MEMORY_S,
)


@define(eq=False)
class RunnerReach:
    """Results of the newest connections from this host to the runners."""

    lost_at: float | None = field(default=None, init=False)
    """When the reach was lost; None while it is not."""

    _reached_at: float = field(default=float("-inf"), init=False)
    """When a connection to any runner was opened last."""

    _unreachable: set[str] = field(factory=set, init=False)
    """Runners to which connections failed since any runner was reached, except those
    that are down."""

    _down_until: dict[str, float] = field(factory=dict, init=False)
    """Runners that failed while others were reached, and until when that counts."""

    _slowest_reset_s: float = field(default=0.0, init=False)
    """Longest time for which a connection was open before its reset without data, in a
    series of such resets."""

    _slowest_reset_until: float = field(default=float("-inf"), init=False)
    """When that time doesn't count any more."""

    @property
    def is_lost(self) -> bool:
        """Return whether this host has probably lost its connections to all runners."""
        return self.lost_at is not None

    @property
    def unreachable(self) -> int:
        """Return the number of runners that failed since any runner was reached."""
        return len(self._unreachable)

    def is_witness(self, runner_id: str, now: float) -> bool:
        """Return whether a failure to reach a runner says anything about this host."""
        return self._down_until.get(runner_id, now) <= now

    def has_failed(self, runner_id: str, now: float) -> bool:
        """Return whether a runner failed since any runner was reached, or is down."""
        return runner_id in self._unreachable or not self.is_witness(runner_id, now)

    def record_down(self, runner_id: str, now: float) -> None:
        """Record that a runner itself is at fault."""
        self._down_until.pop(runner_id, None)
        self._down_until[runner_id] = now + DOWN_S
        while next(iter(self._down_until.values())) <= now:
            del self._down_until[next(iter(self._down_until))]

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

    def get_kept_open_s(self, now: float) -> float:
        """Return the seconds for which a connection must stay open to count."""
        if now >= self._slowest_reset_until:
            return MIN_KEPT_OPEN_S
        kept_open_s = KEPT_OPEN_RATIO * self._slowest_reset_s
        return min(MAX_KEPT_OPEN_S, max(MIN_KEPT_OPEN_S, kept_open_s))

    def record_reset(self, open_s: float, now: float) -> None:
        """Record that a connection ended without data.

        Args:
            open_s: Seconds for which it was open.
            now: Time in seconds.
        """
        if open_s >= MAX_KEPT_OPEN_S:
            return
        if now >= self._slowest_reset_until:
            self._slowest_reset_s = 0.0
        self._slowest_reset_s = max(self._slowest_reset_s, open_s)
        self._slowest_reset_until = now + RESET_MEMORY_S

    def record_data(self) -> None:
        """Record data on a new connection, so that earlier resets are the runners'."""
        self._slowest_reset_until = float("-inf")

    def record_reached(self, runner_id: str, now: float) -> float | None:
        """Record that a runner was reached.

        Args:
            runner_id: The runner.
            now: Time in seconds.

        Returns:
            The seconds for which the reach was lost; None if it was not.
        """
        lost_at, self.lost_at = self.lost_at, None
        if lost_at is None:
            for each in self._unreachable:
                self.record_down(each, now)
        self._reached_at = now
        self._unreachable.clear()
        self._down_until.pop(runner_id, None)
        return None if lost_at is None else now - lost_at

    def record_failure(
        self, runner_id: str, started_at: float, now: float, known: int
    ) -> bool:
        """Record a connection to a runner that failed.

        Args:
            runner_id: The runner.
            started_at: When the connection was begun. If another one was opened since,
                the failure is the runner's.
            now: Time in seconds.
            known: Number of runners of all services that are not down.

        Returns:
            Whether the reach is lost now, and was not before.
        """
        if self.was_reached_since(started_at) or not self.is_witness(runner_id, now):
            self.record_down(runner_id, now)
            return False
        self._unreachable.add(runner_id)
        if self.is_lost or self.unreachable < min(MIN_UNREACHABLE_RUNNERS, known):
            return False
        self.lost_at = now
        return True
