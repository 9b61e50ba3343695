"""Stand-in for one host of a plain service; it counts the runs of each body id."""

import argparse
import asyncio
import os
from collections import Counter
from typing import Any

from aiohttp import web
from attrs import define

from .serving import StandIn, async_drop, run_stand_in


@define
class ServiceSwitches:
    """Failures of a plain service; counters refer to future requests."""

    slow_s: float = 0.0
    """Time from a run to its response."""

    die_before_run: int = 0
    """If above 0, the process exits at the next request, before it runs."""

    die_after_run: int = 0
    """If above 0, the process exits at the next request, after it ran."""

    drop_before_run: int = 0
    """Number of requests whose connection is closed before they run."""

    drop_after_run: int = 0
    """Number of requests whose connection is closed after they ran."""

    silent_after_run: int = 0
    """Number of requests that run and get no response."""

    refuse: int = 0
    """Number of requests that are rejected as not run."""

    leaving: bool = False
    """Whether all requests are rejected as not run."""


class ServiceStandIn(StandIn):
    """Plain service whose calls each have a side effect."""

    switches: ServiceSwitches

    def __init__(self, name: str) -> None:
        super().__init__(ServiceSwitches())
        self.name = name
        self.runs: Counter[str] = Counter()
        self.attempts: Counter[str] = Counter()
        self.after_leaving = 0
        self.app.router.add_post("/{call}", self._async_call)

    def truth(self) -> dict[str, Any]:
        """Return the runs by call and body id, those by attempt, and late requests.

        Late requests are those that arrived while the service was leaving.
        """
        return {
            "upstream": self.name,
            "runs": dict(self.runs),
            "attempts": dict(self.attempts),
            "after_leaving": self.after_leaving,
        }

    def _consume_switch(self, switch: str) -> bool:
        """Decrement a counter switch; return whether it was above 0."""
        count = getattr(self.switches, switch)
        setattr(self.switches, switch, max(0, count - 1))
        return bool(count)

    async def _async_call(self, request: web.Request) -> web.Response:
        call = request.match_info["call"]
        body = await request.json()
        if self.switches.leaving or self._consume_switch("refuse"):
            self.after_leaving += self.switches.leaving
            return web.json_response({}, status=503, headers={"X-Verdict": "not_run"})
        if self._consume_switch("die_before_run"):
            os._exit(1)
        if self._consume_switch("drop_before_run"):
            return await async_drop(request)
        run = self._run(call, body, request.headers.get("X-Request-Id", ""))
        if self._consume_switch("die_after_run"):
            os._exit(1)
        if self._consume_switch("drop_after_run"):
            return await async_drop(request)
        if self._consume_switch("silent_after_run"):
            await asyncio.Event().wait()
        await asyncio.sleep(self.switches.slow_s)
        await self.async_block_if_silent(request)
        return web.json_response({"call": call, "echo": body, "run": run})

    def _run(self, call: str, body: Any, attempt: str) -> int:
        """Perform the side effect, and return how many times this body ran."""
        key = f"{call}/{body.get('id')}"
        self.runs[key] += 1
        self.attempts[attempt] += 1
        return self.runs[key]


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", default="service-1")
    run_stand_in(lambda options: ServiceStandIn(options.name), parser)
