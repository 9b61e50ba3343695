"""Stand-in for a model engine: `EngineModel` of the fakes, served over HTTP."""

import argparse
import asyncio
import json
import os
import time
import uuid
from collections import deque
from typing import Any

import attrs
from aiohttp import web
from attrs import define

from mangoway.callers.const import CHARACTERS_PER_TOKEN
from mangoway.callers.prefixes import hash_prefixes
from mangoway.models.artifact import Artifact
from mangoway.models.identifiers import (
    AttemptId,
    FenceNumber,
    IncarnationId,
    OrderId,
    UpstreamId,
)
from mangoway.models.order import Order, OrderKind, OrderOutcome
from mangoway.models.upstream import EngineReport, Residency
from tests.fakes.engine import (
    AttemptFinished,
    EngineModel,
    EngineOutput,
    EngineSettings,
    SubmitOutcome,
)
from tests.fakes.weight_store import WeightStoreModel, WeightStoreSettings

from .answers import make_token
from .serving import StandIn, async_drop, run_stand_in

NOT_RUN = {"X-Verdict": "not_run"}
STEP_S = 0.005
REPORTS_KEPT = 4000
LOADS_PER_SECOND = 1000.0
"""Rate limit of the weight store, too high to delay a load at one engine."""


@define
class EngineSwitches:
    """Failures of an engine; counters refer to future events."""

    checks_fences: bool = True
    describes_fences: bool = True
    """Whether the description contains whether fences are checked."""

    lose_orders: int = 0
    """Number of orders that have no effect and get no response."""

    lose_order_answers: int = 0
    """Number of orders that take effect and get no response."""

    late_orders: int = 0
    """Number of orders that lose their connection and take effect `late_s` later."""

    double_orders: int = 0
    """Number of orders that take effect at once, and again `late_s` later."""

    late_s: float = 2.0
    die_after_tokens: int = 0
    """Number of outputs, mostly of one token each, with the last of which the process
    exits; 0 for never."""

    cut_streams: int = 0
    """Number of streams that are cut after `cut_after` tokens."""

    cut_after: int = 3
    refuse: int = 0
    """Number of requests that are rejected as not run."""

    report_lag_s: float = 0.0
    """Least age of the report that is returned, once there is one that old."""

    gap_cache_changes: bool = False
    """Whether every second cache change is left out of the reports."""

    leaving: bool = False
    """Whether requests are rejected as not run, and reports contain that it leaves."""


class EngineStandIn(StandIn):
    """Model engine with the protocol of docs/DESIGN.md."""

    switches: EngineSwitches

    def __init__(self, settings: EngineSettings, store_mb_per_second: float) -> None:
        super().__init__(EngineSwitches())
        store = WeightStoreSettings(
            loads_per_second=LOADS_PER_SECOND, mb_per_second=store_mb_per_second
        )
        incarnation = IncarnationId(uuid.uuid4().hex)
        self.model = EngineModel(settings, WeightStoreModel(store), incarnation)
        self.orders: list[dict[str, Any]] = []
        # Requests that arrived while the engine was leaving.
        self.after_leaving = 0
        # Requests whose connections ended before their responses did.
        self.hung_up = 0
        # Outputs by attempt; None for a cancelled one.
        self._outputs: dict[str, asyncio.Queue[EngineOutput | None]] = {}
        self._reports: deque[EngineReport] = deque(maxlen=REPORTS_KEPT)
        self._stepping: asyncio.Task[None] | None = None
        router = self.app.router
        router.add_post("/v1/completions", self._async_complete)
        router.add_post("/v1/cancel", self._async_cancel)
        router.add_get("/v1/description", self._async_describe)
        router.add_get("/v1/report", self._async_report)
        router.add_post("/v1/orders", self._async_order)

    def truth(self) -> dict[str, Any]:
        """Return the actual memory, the runs by attempt, the orders and counters."""
        model = self.model
        residents = self._report().residents
        return {
            "upstream": model.settings.upstream,
            "incarnation": model.incarnation,
            "memory_mb": model.settings.memory_mb,
            "used_mb": model.memory_mb,
            "peak_mb": model.peak_memory_mb,
            "over_size": model.over_size,
            "loads": model.loads,
            "unloads": model.unloads,
            "loaded": sorted(str(each.artifact) for each in residents),
            "ready": sorted(
                str(each.artifact)
                for each in residents
                if each.state is Residency.READY
            ),
            "runs": dict(model.runs),
            "orders": self.orders,
            "after_leaving": self.after_leaving,
            "hung_up": self.hung_up,
        }

    # Advancing the engine model.

    def _advance(self) -> float:
        """Advance the model to now, and pass its outputs to their requests."""
        now = time.monotonic()
        for output in self.model.advance(now):
            if outputs := self._outputs.get(output.attempt_id):
                outputs.put_nowait(output)
        return now

    async def _async_step(self) -> None:
        """Advance the model periodically while there are attempts."""
        while self._outputs:
            await asyncio.sleep(STEP_S)
            self._advance()

    def _keep_stepping(self) -> None:
        if self._stepping is None or self._stepping.done():
            self._stepping = asyncio.create_task(self._async_step())

    # Completions.

    async def _async_complete(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        attempt = AttemptId(body["request_id"])
        if rejection := self._submit(attempt, body):
            return web.json_response({"error": rejection}, status=503, headers=NOT_RUN)
        self._outputs[attempt] = asyncio.Queue()
        self._keep_stepping()
        try:
            if body.get("stream"):
                return await self._async_stream(request, body)
            return await self._async_answer(request, body)
        except (ConnectionError, asyncio.CancelledError):
            self.hung_up += 1
            raise
        finally:
            self.model.cancel(self._advance(), attempt)
            self._outputs.pop(attempt, None)

    def _submit(self, attempt: AttemptId, body: dict[str, Any]) -> str | None:
        """Submit an attempt; return the reason of a rejection, None if accepted."""
        switches = self.switches
        if switches.leaving:
            self.after_leaving += 1
            return "leaving"
        if switches.refuse:
            switches.refuse -= 1
            return "refused"
        prompt = body["prompt"]
        outcome = self.model.submit(
            self._advance(),
            attempt,
            Artifact.parse(body["model"]),
            prompt_tokens=len(prompt) // CHARACTERS_PER_TOKEN + 1,
            prefix_hashes=hash_prefixes(body["model"], prompt),
            max_tokens=body["max_tokens"],
            priority=body.get("priority", 0),
            resume_from=body.get("resume_from", 0),
        )
        return None if outcome is SubmitOutcome.ACCEPTED else outcome.value

    async def _async_stream(
        self, request: web.Request, body: dict[str, Any]
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        cut_at = self._pop_cut_offset(body)
        sent_tokens = body.get("resume_from", 0)
        reason = None
        while reason is None:
            output = await self._outputs[body["request_id"]].get()
            await self._async_apply_failures(request)
            tokens = sent_tokens if output is None else output.tokens
            if tokens >= cut_at:
                await async_drop(request)
            reason = find_finish_reason(output)
            await response.write(make_event(body, sent_tokens, tokens, reason))
            sent_tokens = tokens
        await response.write(b"data: [DONE]\n\n")
        return response

    async def _async_answer(
        self, request: web.Request, body: dict[str, Any]
    ) -> web.StreamResponse:
        output: EngineOutput | None = None
        while not isinstance(output, AttemptFinished):
            output = await self._outputs[body["request_id"]].get()
            await self._async_apply_failures(request)
            if output is None:
                return web.json_response({"error": "cancelled"}, status=499)
        first = body.get("resume_from", 0)
        text = make_text(body, first, output.tokens)
        return web.json_response(
            {
                "request_id": body["request_id"],
                "choices": [{"index": 0, "text": text, "finish_reason": "length"}],
                "usage": {"completion_tokens": output.tokens - first},
            }
        )

    def _pop_cut_offset(self, body: dict[str, Any]) -> float:
        """Return the offset at which to cut a stream; infinite for one left whole."""
        if not self.switches.cut_streams:
            return float("inf")
        self.switches.cut_streams -= 1
        return float(body.get("resume_from", 0) + self.switches.cut_after)

    async def _async_apply_failures(self, request: web.Request) -> None:
        """Hang if the connection is silent; exit after the last output allowed."""
        await self.async_block_if_silent(request)
        if self.switches.die_after_tokens:
            self.switches.die_after_tokens -= 1
            if not self.switches.die_after_tokens:
                os._exit(1)

    async def _async_cancel(self, request: web.Request) -> web.Response:
        attempt = AttemptId((await request.json())["request_id"])
        self.model.cancel(self._advance(), attempt)
        outputs = self._outputs.get(attempt)
        if outputs is not None:
            outputs.put_nowait(None)
        return web.json_response({"cancelled": outputs is not None})

    # Description and report.

    async def _async_describe(self, request: web.Request) -> web.Response:
        description = attrs.asdict(self.model.describe())
        del description["checks_fences"]
        if self.switches.describes_fences:
            description["checks_fences"] = self.switches.checks_fences
        return web.json_response(description)

    def _report(self) -> EngineReport:
        return self.model.report(self._advance())

    async def _async_report(self, request: web.Request) -> web.Response:
        newest = self._report()
        self._reports.append(newest)
        latest_at = newest.reported_at - self.switches.report_lag_s
        due_reports = [
            report for report in self._reports if report.reported_at <= latest_at
        ]
        report = due_reports[-1] if due_reports else self._reports[0]
        age_s = newest.reported_at - report.reported_at
        return web.json_response({**self._encode(report), "age_s": age_s})

    def _encode(self, report: EngineReport) -> dict[str, Any]:
        fields = attrs.asdict(report, recurse=False)
        del fields["reported_at"]
        residents = [
            {
                "artifact": str(resident.artifact),
                "memory_mb": resident.memory_mb,
                "state": resident.state.value,
            }
            for resident in report.residents
        ]
        changes = [
            attrs.asdict(change)
            for change in report.cache_changes
            if not (self.switches.gap_cache_changes and change.sequence % 2)
        ]
        fields.update(residents=residents, cache_changes=changes)
        return {**fields, "leaving": self.switches.leaving}

    # Orders.

    async def _async_order(self, request: web.Request) -> web.Response:
        body = await request.json()
        switches = self.switches
        if switches.lose_orders:
            switches.lose_orders -= 1
            return await async_drop(request)
        if switches.late_orders:
            switches.late_orders -= 1
            self._execute_order_later(body)
            return await async_drop(request)
        if switches.double_orders:
            switches.double_orders -= 1
            self._execute_order_later(body)
        outcome = self._execute_order(body)
        if switches.lose_order_answers:
            switches.lose_order_answers -= 1
            return await async_drop(request)
        answer = {"order_id": body["order_id"], "outcome": outcome.value}
        return web.json_response({**answer, "fence": self.model.fence})

    def _execute_order_later(self, body: dict[str, Any]) -> None:
        asyncio.get_running_loop().call_later(
            self.switches.late_s, self._execute_order, body
        )

    def _execute_order(self, body: dict[str, Any]) -> OrderOutcome:
        outcome = self._submit_order(body)
        self.orders.append({**body, "outcome": outcome.value})
        return outcome

    def _submit_order(self, body: dict[str, Any]) -> OrderOutcome:
        model = self.model
        model.settings = attrs.evolve(
            model.settings, checks_fences=self.switches.checks_fences
        )
        order = Order(
            id=OrderId(body["order_id"]),
            upstream=model.settings.upstream,
            incarnation=IncarnationId(body["incarnation"]),
            fence=FenceNumber(body["fence"]),
            kind=OrderKind(body["kind"]),
            artifact=Artifact.parse(body["artifact"]),
            memory_mb=body["memory_mb"],
            role=body.get("role"),
        )
        outcome = model.order(self._advance(), order)
        assert outcome is not None
        return outcome


def find_finish_reason(output: EngineOutput | None) -> str | None:
    """Return the finish reason; None while the answer is incomplete."""
    if output is None:
        return "cancelled"
    return "length" if isinstance(output, AttemptFinished) else None


def make_text(body: dict[str, Any], first: int, end: int) -> str:
    """Return the part of the answer from token `first` up to `end`."""
    model, prompt = body["model"], body["prompt"]
    return "".join(make_token(model, prompt, offset) for offset in range(first, end))


def make_event(
    body: dict[str, Any], sent_tokens: int, tokens: int, reason: str | None
) -> bytes:
    """Return one server-sent event."""
    choice = {"index": 0, "text": make_text(body, sent_tokens, tokens)}
    event = {
        "request_id": body["request_id"],
        "offset": tokens,
        "choices": [{**choice, "finish_reason": reason}],
    }
    return b"data: " + json.dumps(event).encode() + b"\n\n"


def _make(options: argparse.Namespace) -> EngineStandIn:
    settings = EngineSettings(
        upstream=UpstreamId(options.name),
        memory_mb=options.memory_mb,
        kv_cache_floor_mb=options.kv_cache_floor_mb,
        stream_tokens_per_second=options.stream_tokens_per_second,
        tokens_per_second=options.tokens_per_second,
    )
    return EngineStandIn(settings, options.store_mb_per_second)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", default="engine-1")
    parser.add_argument("--memory-mb", type=int, default=80_000)
    parser.add_argument("--kv-cache-floor-mb", type=int, default=4096)
    parser.add_argument("--stream-tokens-per-second", type=float, default=100.0)
    parser.add_argument("--tokens-per-second", type=float, default=800.0)
    parser.add_argument("--store-mb-per-second", type=float, default=100_000.0)
    run_stand_in(_make, parser)
