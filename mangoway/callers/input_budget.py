"""Bound of the bytes of requests that a gateway has received and not handled."""

from typing import Final

from attrs import define

MAX_INPUT_BYTES: Final = 24 << 20
"""Sum for all connections: 24 of the largest bodies by the default settings."""


@define(eq=False)
class InputBudget:
    """Counts the bytes of unfinished requests of all connections."""

    max_bytes: int = MAX_INPUT_BYTES
    used_bytes: int = 0

    def try_add(self, size: int) -> bool:
        """Count further bytes unless there is no room; return whether there is."""
        if self.used_bytes + size > self.max_bytes:
            return False
        self.used_bytes += size
        return True

    def release(self, size: int) -> None:
        """Count bytes no longer."""
        self.used_bytes -= size
