"""Acknowledged writes that a store may lack after it came back from a copy."""

from attrs import define, field


@define(eq=False)
class LostWrites:
    """Writes of some clients, which they repeat within a while after a restore.

    What was written since the last reading before the restore is unknown until then.
    """

    repeated_s: float
    """Time after a restore within which the writes are repeated."""

    _certain_at: float = field(default=float("-inf"), init=False)
    """Time on the boot clock up to which all writes were known before the first restore
    of a series."""

    _uncertain_until: float = field(default=float("-inf"), init=False)

    def record_restore(self, known_at: float, now: float) -> None:
        """Record that the store came back from a copy.

        Args:
            known_at: Time on the boot clock up to which all writes were known.
            now: Time in seconds.
        """
        if now >= self._uncertain_until:
            self._certain_at = known_at
        self._uncertain_until = now + self.repeated_s

    def record_repeated(self) -> None:
        """Record that all writes were repeated since the last restore."""
        self._uncertain_until = float("-inf")

    def find_certain_at(self, known_at: float, now: float) -> float:
        """Return the time on the boot clock up to which all writes are known.

        Args:
            known_at: That time if the store had lost no write.
            now: Time in seconds.
        """
        return self._certain_at if now < self._uncertain_until else known_at
