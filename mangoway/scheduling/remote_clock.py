"""Conversion of times on another host's boot clock to the local boot clock."""

from collections.abc import Callable
from typing import Final

from attrs import define, field

from .messages import ClockRequest, ClockResponse

MAX_CLOCK_ERROR_S: Final = 0.2
CLOCK_RETRY_S: Final = 1.0
"""Error of the remote clock, in seconds, above which it is requested again, and the
time between two such requests. The first response arrives late where hundreds of
connections are made at once."""


@define(eq=False)
class RemoteClock:
    """The boot clock of the process at the other end of a link.

    The remote clock is read after the request was sent, however late the response
    arrives. A converted time is therefore never later than the actual local time, and
    its error is known.
    """

    boot_clock: Callable[[], float]
    """The local clock in seconds, which also runs while the host is suspended."""

    _offset_s: float | None = field(default=None, init=False)
    """Added to a remote time to get the earliest local time that it can be; None until
    the first response."""

    _error_s: float = field(default=1e9, init=False)
    _requested_at: float = field(default=-1e9, init=False)

    def make_request(self) -> ClockRequest:
        """Return a clock request for the other end."""
        self._requested_at = self.boot_clock()
        return ClockRequest(requested_at=self._requested_at)

    def handle_response(self, message: ClockResponse) -> None:
        """Use a response, unless an earlier one has a smaller error."""
        error_s = self.boot_clock() - message.requested_at
        if error_s < self._error_s:
            self._error_s = error_s
            self._offset_s = message.requested_at - message.clock_s

    def convert(self, at: float) -> float | None:
        """Return the earliest local time that a remote time can be; None if unknown."""
        return None if self._offset_s is None else at + self._offset_s

    def should_request(self) -> bool:
        """Return whether the clock should be requested again to reduce its error."""
        waited_s = self.boot_clock() - self._requested_at
        return self._error_s > MAX_CLOCK_ERROR_S and waited_s > CLOCK_RETRY_S
