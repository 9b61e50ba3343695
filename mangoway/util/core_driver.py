"""Event loop adapter of a decision core: passes events in and executes its actions."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

from ..policy.core import Core

EventT = TypeVar("EventT")
ActionT = TypeVar("ActionT")


class CoreDriver(Generic[EventT, ActionT]):
    """Passes events to a core and its actions to `execute`.

    An event that an action causes is queued until all actions of the current event
    are executed, so the core is never re-entered.
    """

    def __init__(
        self,
        core: Core[EventT, ActionT],
        execute: Callable[[ActionT], None],
        make_tick: Callable[[], EventT],
    ) -> None:
        self._core = core
        self._execute = execute
        self._make_tick = make_tick
        self._events: deque[EventT] = deque()
        self._handling = False
        self._stopped = False
        self._now = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def async_handle(self, event: EventT) -> None:
        """Handle an event at the current loop time; does nothing after `async_stop`."""
        if self._stopped:
            return
        self._events.append(event)
        if not self._handling:
            self._drain()

    def async_wake_at(self, time: float) -> None:
        """Schedule a tick at a loop time; it replaces the one scheduled before."""
        self._cancel_timer()
        if not self._stopped:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(time, self._tick, time)

    def async_stop(self) -> None:
        """Discard queued events and ignore later ones."""
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
                    self._execute(action)
        finally:
            self._handling = False

    def _tick(self, due: float) -> None:
        self._timer = None
        # The loop may run a timer early by its clock's resolution; a core that gets
        # its tick before the requested time would request the same time forever.
        self._now = max(self._now, due)
        self.async_handle(self._make_tick())

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
