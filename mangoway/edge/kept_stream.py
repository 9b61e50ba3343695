"""A stream at a silent runner whose connection is kept while another one is tried."""

import asyncio
from collections.abc import Callable

from attrs import define, field

from ..models.runner import RunnerEntry
from ..policy.edge.const import MAX_KEPT_SILENT_S
from .attempt import Attempt


@define(eq=False, kw_only=True)
class KeptStream:
    """A suspended attempt, and what its handler needs to resume it."""

    runner: RunnerEntry
    attempt: Attempt
    sent_at: float
    first_event_at: float | None
    may_end_limit: bool
    """Whether the head of its response has no limit."""

    _timer: asyncio.TimerHandle | None = field(default=None, init=False)

    def start_timer(self, on_expired: Callable[[], None]) -> None:
        """Start the time after which the stream must not be resumed any more.

        A further start doesn't extend it: the other runner may have run the request
        since the first one.
        """
        if self._timer is not None:
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(MAX_KEPT_SILENT_S, on_expired)

    def stop_timer(self) -> None:
        """Stop the timer, since the stream is resumed or was given up."""
        if self._timer is not None:
            self._timer.cancel()
