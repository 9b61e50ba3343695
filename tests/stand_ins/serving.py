"""Common parts of the stand-ins: switches, silent connections and command line."""

import argparse
import asyncio
import json
import signal
import weakref
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from aiohttp import web

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def set_switches(switches: Any, changes: dict[str, Any]) -> None:
    """Set switches by name.

    Raises:
        HTTPBadRequest: If a name is unknown.
    """
    known = {field.name for field in attrs.fields(type(switches))}
    unknown = set(changes) - known
    if unknown:
        raise web.HTTPBadRequest(text=f"unknown switches: {sorted(unknown)}")
    for name, value in changes.items():
        setattr(switches, name, value)


class StandIn:
    """HTTP server with switches for failures, and connections that can hang.

    It also serves its ground truth: what actually happened at it.
    """

    def __init__(self, switches: Any) -> None:
        self.switches = switches
        self.address = ""
        self._connections: weakref.WeakSet[asyncio.Transport] = weakref.WeakSet()
        self._silent_connections: weakref.WeakSet[asyncio.Transport] = weakref.WeakSet()
        self._runner: web.AppRunner | None = None
        self.app = web.Application(middlewares=[self._async_track_connection])
        self.app.router.add_post("/admin/switches", self._async_switch)
        self.app.router.add_post("/admin/silence", self._async_silence)
        self.app.router.add_get("/admin/truth", self._async_truth)

    def truth(self) -> dict[str, Any]:
        """Return the ground truth."""
        raise NotImplementedError

    def addresses(self) -> dict[str, str]:
        """Return the addresses that are printed at the start."""
        return {"address": self.address}

    async def async_start(self, listen: str = "127.0.0.1:0") -> str:
        """Listen, and return the address."""
        host, _, port = listen.rpartition(":")
        self._runner = web.AppRunner(self.app, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, int(port)).start()
        self.address = "{}:{}".format(*self._runner.addresses[0][:2])
        return self.address

    async def async_stop(self) -> None:
        """Close every connection and stop."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def async_block_if_silent(self, request: web.Request) -> None:
        """Hang for good if the connection of a request is silent."""
        if request.transport in self._silent_connections:
            await asyncio.Event().wait()

    @web.middleware
    async def _async_track_connection(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        assert request.transport is not None
        self._connections.add(request.transport)
        await self.async_block_if_silent(request)
        return await handler(request)

    async def _async_switch(self, request: web.Request) -> web.Response:
        set_switches(self.switches, await request.json())
        return web.json_response(attrs.asdict(self.switches))

    async def _async_silence(self, request: web.Request) -> web.Response:
        """Stop responding on every open connection but that of this request."""
        for transport in self._connections:
            if transport is not request.transport:
                self._silent_connections.add(transport)
        return web.json_response({"silent": len(self._silent_connections)})

    async def _async_truth(self, request: web.Request) -> web.Response:
        switches = attrs.asdict(self.switches)
        return web.json_response({**self.truth(), "switches": switches})


async def async_drop(request: web.Request) -> web.Response:
    """Close the connection of a request without a response; never returns."""
    assert request.transport is not None
    request.transport.abort()
    raise asyncio.CancelledError


def run_stand_in(
    make: Callable[[argparse.Namespace], StandIn], parser: argparse.ArgumentParser
) -> None:
    """Run a stand-in until SIGTERM; print its addresses as one JSON line."""
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--switches", type=json.loads, default={})
    asyncio.run(_async_run(make, parser.parse_args()))


async def _async_run(
    make: Callable[[argparse.Namespace], StandIn], options: argparse.Namespace
) -> None:
    stand_in = make(options)
    set_switches(stand_in.switches, options.switches)
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await stand_in.async_start(options.listen)
    print(json.dumps(stand_in.addresses()), flush=True)
    await stopped.wait()
    await stand_in.async_stop()
