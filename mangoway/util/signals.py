"""Signals that stop a process."""

import asyncio
import signal
from collections.abc import Callable

from attrs import define, field

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@define(eq=False)
class StopSignals:
    """The first signal asks for a planned stop, any later one ends it at once."""

    on_second: Callable[[], None]
    _name: "asyncio.Future[str]" = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._name = asyncio.get_running_loop().create_future()

    def async_listen(self) -> None:
        """Take the signals from now on."""
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self._take, signal.Signals(number).name)

    async def async_wait(self) -> str:
        """Wait for the first signal and return its name."""
        return await asyncio.shield(self._name)

    def _take(self, name: str) -> None:
        if self._name.done():
            self.on_second()
        else:
            self._name.set_result(name)
