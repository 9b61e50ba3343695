"""Stand-in for the host list; what it is told shows after a lag."""

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
    garbled: bool = False
    empty: bool = False
    lag_s: float = 0.0
    """Time from a change to its showing."""


@define
class Change:
    """A new state of the list, and when it shows."""

    shows_at: float
    groups: list[Any] = field(repr=False)


class HostListStandIn(StandIn):
    """GET / answers the list; POST /admin/hosts replaces it."""

    switches: HostListSwitches

    def __init__(self) -> None:
        super().__init__(HostListSwitches())
        self.reads = 0
        self._changes = [Change(0.0, [])]
        self.app.router.add_get("/", self._async_list)
        self.app.router.add_post("/admin/hosts", self._async_set)

    def truth(self) -> dict[str, Any]:
        """Return the list as it is, without the lag."""
        return {"reads": self.reads, "groups": self._changes[-1].groups}

    def set_groups(self, groups: list[Any]) -> None:
        """Replace the list; it shows after the lag."""
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
        shown = [change for change in self._changes if change.shows_at <= now]
        return web.json_response(shown[-1].groups)


def make_group(target: str, role: str, host: str, **labels: str) -> dict[str, Any]:
    """Return one entry of the list."""
    all_labels = {"role": role, "host": host, "data_centre": "dc1", **labels}
    return {"targets": [target], "labels": all_labels}


if __name__ == "__main__":
    run_stand_in(lambda options: HostListStandIn(), argparse.ArgumentParser())
