"""HTTP server for callers."""

import asyncio
import contextlib
from collections.abc import Iterator
from functools import partial
from typing import Any

import uvicorn
from blacksheep import Application

from ..util.listener import ACCEPTED_PER_TURN, BACKLOG, open_listener
from .connection import CallerConnection, ListenerState

KEEP_ALIVE_S = 30
"""Time after which an idle connection is closed."""

START_POLL_S = 0.01
"""Time between two checks whether the server has started."""


class CallerServer:
    """Serves an application on the running loop; the daemon handles signals."""

    def __init__(self, app: Application, shared: ListenerState | None = None) -> None:
        protocol: Any = partial(CallerConnection, shared=shared or ListenerState())
        config = uvicorn.Config(
            app,
            loop="asyncio",
            http=protocol,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            timeout_keep_alive=KEEP_ALIVE_S,
            backlog=ACCEPTED_PER_TURN,
        )
        self._app = app
        self._server = _Server(config)
        self._serving: asyncio.Task[None] | None = None
        self.port = 0

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._server.server_state.connections)

    async def async_start(self, host: str, port: int) -> None:
        """Open the listener and start serving.

        Raises:
            OSError: If the address cannot be bound.
        """
        await self._app.start()  # type: ignore[no-untyped-call]
        listener = open_listener(host, port)
        self.port = listener.getsockname()[1]
        self._serving = asyncio.get_running_loop().create_task(
            self._server.serve([listener])
        )
        while not self._server.started:
            if self._serving.done():
                self._serving.result()
                raise RuntimeError("the server for callers stopped during startup")
            await asyncio.sleep(START_POLL_S)
        # The server has lowered the number of connections that wait to be accepted.
        listener.listen(BACKLOG)

    async def async_stop(self, force: bool = False) -> None:
        """Stop listening; wait for open responses unless `force` is set."""
        if self._serving is None:
            return
        self._server.should_exit = True
        self._server.force_exit = force
        await self._serving
        await self._app.stop()  # type: ignore[no-untyped-call]


class _Server(uvicorn.Server):
    """uvicorn server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture nothing."""
        yield
