"""Virtual time as a heap of scheduled callbacks."""

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

Callback = Callable[..., None]


class Clock:
    """Run callbacks in the order of their virtual time.

    Callbacks due at the same time run in the order in which they were scheduled, so
    the result of a run depends only on its seed.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callback, tuple[Any, ...]]] = []
        self._sequence = count()

    def call_at(self, time: float, callback: Callback, *args: Any) -> None:
        """Run a callback at a time, or now if that time has passed."""
        entry = (max(time, self.now), next(self._sequence), callback, args)
        heapq.heappush(self._heap, entry)

    def call_later(self, delay_s: float, callback: Callback, *args: Any) -> None:
        """Run a callback after a delay."""
        self.call_at(self.now + delay_s, callback, *args)

    def run(self, until: float) -> None:
        """Run all callbacks that are due up to a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(self._heap)
            callback(*args)
        self.now = until
