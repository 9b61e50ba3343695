"""Operating system signals that stop a process."""

import asyncio
import signal
from collections.abc import Callable

from attrs import define, field

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@define(eq=False)
class StopSignals:
    """Stop signals: the first requests a graceful stop, later ones force it."""

    on_second: Callable[[], None]
    """Called for each signal after the first."""

    _first_signal: "asyncio.Future[str]" = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._first_signal = asyncio.get_running_loop().create_future()

    def async_listen(self) -> None:
        """Install the signal handlers."""
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(
                number, self._handle_signal, signal.Signals(number).name
            )

    async def async_wait(self) -> str:
        """Wait for the first signal and return its name."""
        return await asyncio.shield(self._first_signal)

    def _handle_signal(self, name: str) -> None:
        if self._first_signal.done():
            self.on_second()
        else:
            self._first_signal.set_result(name)
