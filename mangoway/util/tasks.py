"""Background tasks of one owner."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any


class Tasks:
    """Tasks that an owner starts and cancels together.

    `on_error` is called with the exception of a failed task; the others continue.
    """

    def __init__(self, on_error: Callable[[BaseException], None]) -> None:
        self._on_error = on_error
        self._running: set[asyncio.Task[Any]] = set()

    def __len__(self) -> int:
        return len(self._running)

    def async_start(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a coroutine as a task on the running loop."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._running.add(task)
        task.add_done_callback(self._handle_done)
        return task

    async def async_cancel(self) -> None:
        """Cancel all running tasks and wait until they have ended."""
        tasks = tuple(self._running)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _handle_done(self, task: asyncio.Task[Any]) -> None:
        self._running.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._on_error(error)
