"""Stand-in for the host list; changes become visible after a delay."""

import argparse
import time
from typing import Any

from aiohttp import web
from attrs import define, field

from .serving import StandIn, async_drop, run_stand_in


@define
class HostListSwitches:
    """Failures of the host list."""

    down: bool = False
    """Whether connections are closed without a response."""

    garbled: bool = False
    """Whether the response is invalid JSON."""

    empty: bool = False
    """Whether the list has no hosts."""

    lag_s: float = 0.0
    """Time from a change until it is visible."""


@define
class Change:
    """A new state of the list, and the time from which it is visible."""

    visible_at: float
    groups: list[Any] = field(repr=False)


class HostListStandIn(StandIn):
    """GET / returns the list; POST /admin/hosts replaces it."""

    switches: HostListSwitches

    def __init__(self) -> None:
        super().__init__(HostListSwitches())
        self.reads = 0
        self._changes = [Change(0.0, [])]
        self.app.router.add_get("/", self._async_list)
        self.app.router.add_post("/admin/hosts", self._async_set)

    def truth(self) -> dict[str, Any]:
        """Return the number of reads, and the newest list, visible or not."""
        return {"reads": self.reads, "groups": self._changes[-1].groups}

    def set_groups(self, groups: list[Any]) -> None:
        """Replace the list; the new one is visible after the delay."""
        now = time.monotonic()
        self._changes.append(Change(now + self.switches.lag_s, groups))

    async def _async_set(self, request: web.Request) -> web.Response:
        self.set_groups(await request.json())
        return web.json_response({})

    async def _async_list(self, request: web.Request) -> web.StreamResponse:
        self.reads += 1
        if self.switches.down:
            return await async_drop(request)
        if self.switches.garbled:
            return web.Response(text='[{"targets": [')
        if self.switches.empty:
            return web.json_response([])
        now = time.monotonic()
        visible = [change for change in self._changes if change.visible_at <= now]
        return web.json_response(visible[-1].groups)


def make_group(target: str, role: str, host: str, **labels: str) -> dict[str, Any]:
    """Return one entry of the list."""
    all_labels = {"role": role, "host": host, "data_centre": "dc1", **labels}
    return {"targets": [target], "labels": all_labels}


if __name__ == "__main__":
    run_stand_in(lambda options: HostListStandIn(), argparse.ArgumentParser())
