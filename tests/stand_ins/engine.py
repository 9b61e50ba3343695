"""Stand-in for a model engine: streams known answers and counts its memory."""

import argparse
import asyncio
import json
import os
import time
import uuid
from collections import Counter, deque
from typing import Any

import attrs
from aiohttp import web
from attrs import define, field

from mangoway.models.artifact import Artifact
from mangoway.models.order import OrderKind, OrderOutcome

from .answers import make_token
from .engine_memory import EngineMemory
from .serving import StandIn, async_drop, run_stand_in

NOT_RUN = {"X-Verdict": "not_run"}
SLOTS = 8
REPORTS_KEPT = 4000


@define
class EngineSwitches:
    """Failures of an engine; counts are of events yet to come."""

    checks_fences: bool = True
    describes_fences: bool = True
    """False: the description does not say whether fences are checked."""

    lose_orders: int = 0
    """Orders that never take effect and are never answered."""

    lose_order_answers: int = 0
    """Orders that take effect and are never answered."""

    late_orders: int = 0
    """Orders whose connection dies, and which take effect `late_s` later."""

    double_orders: int = 0
    """Orders that take effect at once, and again `late_s` later."""

    late_s: float = 2.0
    load_s: float = 0.2
    token_s: float = 0.005
    die_after_tokens: int = 0
    """The process dies after this many more tokens; 0: it does not."""

    cut_streams: int = 0
    """Streams to be cut after `cut_after` tokens."""

    cut_after: int = 3
    refuse: int = 0
    report_lag_s: float = 0.0
    lose_cache_changes: bool = False
    leaving: bool = False


@define
class Running:
    """One completion in progress or waiting."""

    priority: int
    cancelled: bool = False
    started: asyncio.Event = field(factory=asyncio.Event)


class EngineStandIn(StandIn):
    """Model engine that speaks the protocol of docs/DESIGN.md."""

    switches: EngineSwitches

    def __init__(self, name: str, memory_mb: int, kv_cache_floor_mb: int = 0) -> None:
        super().__init__(EngineSwitches())
        self.name = name
        self.incarnation = uuid.uuid4().hex
        self.memory = EngineMemory(memory_mb, kv_cache_floor_mb, time.monotonic)
        self.fence = 0
        self.runs: Counter[str] = Counter()
        self.orders: list[dict[str, Any]] = []
        self.after_leaving = 0
        self.hung_up = 0
        self._work: dict[str, Running] = {}
        self._reports: deque[tuple[float, dict[str, Any]]] = deque(maxlen=REPORTS_KEPT)
        self._changes: list[dict[str, Any]] = []
        self._sequence = 0
        self._late: set[asyncio.TimerHandle] = set()
        router = self.app.router
        router.add_post("/v1/completions", self._async_complete)
        router.add_post("/v1/cancel", self._async_cancel)
        router.add_get("/v1/description", self._async_describe)
        router.add_get("/v1/report", self._async_report)
        router.add_post("/v1/orders", self._async_order)

    def truth(self) -> dict[str, Any]:
        """Return memory, runs by attempt, and orders, as they really were."""
        return {
            "upstream": self.name,
            "incarnation": self.incarnation,
            "memory_mb": self.memory.size_mb,
            "used_mb": self.memory.used_mb,
            "over_size": [attrs.asdict(over) for over in self.memory.over_size],
            "loads": self.memory.loads,
            "unloads": self.memory.unloads,
            "loaded": sorted(map(str, self.memory.loaded)),
            "runs": dict(self.runs),
            "orders": self.orders,
            "after_leaving": self.after_leaving,
            "hung_up": self.hung_up,
        }

    # Completions.

    async def _async_complete(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        artifact = Artifact.parse(body["model"])
        if refusal := self._find_refusal(artifact):
            return web.json_response({"error": refusal}, status=503, headers=NOT_RUN)
        attempt = body["request_id"]
        self.runs[attempt] += 1
        work = Running(body.get("priority", 0))
        self._work[attempt] = work
        self._start_waiting()
        try:
            await work.started.wait()
            if body.get("stream"):
                return await self._async_stream(request, body, work)
            return await self._async_answer(request, body, work)
        except ConnectionError:
            self.hung_up += 1
            raise
        finally:
            self._work.pop(attempt, None)
            self._start_waiting()

    def _find_refusal(self, artifact: Artifact) -> str | None:
        switches = self.switches
        if switches.leaving:
            self.after_leaving += 1
            return "leaving"
        if switches.refuse:
            switches.refuse -= 1
            return "refused"
        return None if self.memory.is_ready(artifact) else "not resident"

    def _start_waiting(self) -> None:
        """Start the waiting work of the highest priority, as slots are free."""
        waiting = [work for work in self._work.values() if not work.started.is_set()]
        free = SLOTS - (len(self._work) - len(waiting))
        waiting.sort(key=lambda work: -work.priority)
        for work in waiting[: max(0, free)]:
            work.started.set()

    async def _async_stream(
        self, request: web.Request, body: dict[str, Any], work: Running
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        cut_at = self._take_cut(body)
        for offset in range(body.get("resume_from", 0), body["max_tokens"]):
            await self._async_step(request)
            if offset == cut_at:
                return await async_drop(request)
            if work.cancelled:
                break
            token = make_token(body["model"], body["prompt"], offset)
            await response.write(self._make_event(body, token, offset + 1, None))
        reason = "cancelled" if work.cancelled else "length"
        await response.write(self._make_event(body, "", None, reason))
        await response.write(b"data: [DONE]\n\n")
        return response

    async def _async_answer(
        self, request: web.Request, body: dict[str, Any], work: Running
    ) -> web.StreamResponse:
        text = ""
        first = body.get("resume_from", 0)
        for offset in range(first, body["max_tokens"]):
            await self._async_step(request)
            if work.cancelled:
                return web.json_response({"error": "cancelled"}, status=499)
            text += make_token(body["model"], body["prompt"], offset)
        return web.json_response(
            {
                "request_id": body["request_id"],
                "choices": [{"index": 0, "text": text, "finish_reason": "length"}],
                "usage": {"completion_tokens": body["max_tokens"] - first},
            }
        )

    def _take_cut(self, body: dict[str, Any]) -> int:
        """Return the offset at which to cut this stream; -1 for none."""
        if not self.switches.cut_streams:
            return -1
        self.switches.cut_streams -= 1
        return int(body.get("resume_from", 0) + self.switches.cut_after)

    async def _async_step(self, request: web.Request) -> None:
        """Take the time of one token, and fail as the switches say."""
        await asyncio.sleep(self.switches.token_s)
        await self.async_pass(request)
        if self.switches.die_after_tokens:
            self.switches.die_after_tokens -= 1
            if not self.switches.die_after_tokens:
                os._exit(1)

    def _make_event(
        self, body: dict[str, Any], text: str, offset: int | None, reason: str | None
    ) -> bytes:
        event = {
            "request_id": body["request_id"],
            "offset": body["max_tokens"] if offset is None else offset,
            "choices": [{"index": 0, "text": text, "finish_reason": reason}],
        }
        return b"data: " + json.dumps(event).encode() + b"\n\n"

    async def _async_cancel(self, request: web.Request) -> web.Response:
        work = self._work.get((await request.json())["request_id"])
        if work is not None:
            work.cancelled = True
            work.started.set()
        return web.json_response({"cancelled": work is not None})

    # What it says of itself.

    async def _async_describe(self, request: web.Request) -> web.Response:
        description = {
            "upstream": self.name,
            "incarnation": self.incarnation,
            "memory_mb": self.memory.size_mb,
            "accelerators": 1,
            "max_running": SLOTS,
            "tokens_per_second": SLOTS / max(self.switches.token_s, 1e-4),
        }
        if self.switches.describes_fences:
            description["checks_fences"] = self.switches.checks_fences
        return web.json_response(description)

    async def _async_report(self, request: web.Request) -> web.Response:
        now = time.monotonic()
        self._reports.append((now, self._make_report()))
        due = [entry for entry in self._reports if entry[0] <= now - self._lag]
        taken_at, report = due[-1] if due else self._reports[0]
        return web.json_response({**report, "age_s": now - taken_at})

    @property
    def _lag(self) -> float:
        return self.switches.report_lag_s

    def _make_report(self) -> dict[str, Any]:
        running = sum(work.started.is_set() for work in self._work.values())
        residents = [
            {
                "artifact": str(resident.artifact),
                "memory_mb": resident.memory_mb,
                "state": resident.state.value,
            }
            for resident in self.memory.list_residents()
        ]
        return {
            "upstream": self.name,
            "incarnation": self.incarnation,
            "running": running,
            "waiting": len(self._work) - running,
            "kv_cache_used_mb": 0,
            "fence": self.fence if self.switches.checks_fences else 0,
            "residents": residents,
            "cache_changes": [],
            "leaving": self.switches.leaving,
        }

    # Orders.

    async def _async_order(self, request: web.Request) -> web.Response:
        body = await request.json()
        switches = self.switches
        if switches.lose_orders:
            switches.lose_orders -= 1
            return await async_drop(request)
        if switches.late_orders:
            switches.late_orders -= 1
            self._obey_later(body)
            return await async_drop(request)
        if switches.double_orders:
            switches.double_orders -= 1
            self._obey_later(body)
        outcome = self._obey(body)
        if switches.lose_order_answers:
            switches.lose_order_answers -= 1
            return await async_drop(request)
        answer = {"order_id": body["order_id"], "outcome": outcome.value}
        return web.json_response({**answer, "fence": self.fence})

    def _obey_later(self, body: dict[str, Any]) -> None:
        asyncio.get_running_loop().call_later(self.switches.late_s, self._obey, body)

    def _obey(self, body: dict[str, Any]) -> OrderOutcome:
        outcome = self._decide(body)
        self.orders.append({**body, "outcome": outcome.value})
        return outcome

    def _decide(self, body: dict[str, Any]) -> OrderOutcome:
        if body["incarnation"] != self.incarnation:
            return OrderOutcome.REFUSED_INCARNATION
        if self.switches.checks_fences and body["fence"] < self.fence:
            return OrderOutcome.REFUSED_STALE_FENCE
        self.fence = max(self.fence, body["fence"])
        return self.memory.obey(
            OrderKind(body["kind"]),
            Artifact.parse(body["artifact"]),
            body["memory_mb"],
            self.switches.load_s,
        )


def _make(options: argparse.Namespace) -> EngineStandIn:
    return EngineStandIn(options.name, options.memory_mb, options.kv_cache_floor_mb)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", default="engine-1")
    parser.add_argument("--memory-mb", type=int, default=80_000)
    parser.add_argument("--kv-cache-floor-mb", type=int, default=4096)
    run_stand_in(_make, parser)
