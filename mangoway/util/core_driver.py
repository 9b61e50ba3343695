"""The loop side of a decision core: feeds it events and carries out its actions."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

from ..policy.core import Core

EventT = TypeVar("EventT")
ActionT = TypeVar("ActionT")


class CoreDriver(Generic[EventT, ActionT]):
    """Feeds a core with events and hands its actions to `carry_out`.

    An event that an action brings about is queued behind the one in hand, so the
    core never sees an event while another is being carried out.
    """

    def __init__(
        self,
        core: Core[EventT, ActionT],
        carry_out: Callable[[ActionT], None],
        make_tick: Callable[[], EventT],
    ) -> None:
        self._core = core
        self._carry_out = carry_out
        self._make_tick = make_tick
        self._events: deque[EventT] = deque()
        self._handling = False
        self._stopped = False
        self._now = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def async_handle(self, event: EventT) -> None:
        """Feed one event at the time of the running loop; ignored once stopped."""
        if self._stopped:
            return
        self._events.append(event)
        if not self._handling:
            self._drain()

    def async_wake_at(self, time: float) -> None:
        """Feed a tick at this time of the loop; it replaces any earlier one."""
        self._cancel_timer()
        if not self._stopped:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(time, self._tick, time)

    def async_stop(self) -> None:
        """Feed nothing further."""
        self._stopped = True
        self._events.clear()
        self._cancel_timer()

    def _drain(self) -> None:
        loop = asyncio.get_running_loop()
        self._handling = True
        try:
            while self._events:
                event = self._events.popleft()
                self._now = max(self._now, loop.time())
                for action in self._core.handle(event, self._now):
                    self._carry_out(action)
        finally:
            self._handling = False

    def _tick(self, due: float) -> None:
        self._timer = None
        # A loop may run a timer early by its clock's resolution; a core that is
        # ticked before the time it asked for would ask for the same time for ever.
        self._now = max(self._now, due)
        self.async_handle(self._make_tick())

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
