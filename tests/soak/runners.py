"""Stand-ins for runners: plain ones, and engines with loaded models."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from itertools import count
from random import Random
from typing import Any

import orjson
from aiohttp import web
from attrs import define, field

from ..stand_ins.launcher import find_free_address
from ..stand_ins.relay import Relay, reset
from ..upstreams.pouring import POURS, UNFRAMED
from .copies import Copier, LiveRun
from .endings import UnframedResponse
from .extras import ExtraResponses
from .order import EVENT_COUNT, Event, EventIds, encode_event
from .records import Records, Run, make_record_id
from .signals import Leaving, LimitPeriod
from .store import StoreStandIn
from .streams import Segment, get_run_number

EVENT_INTERVAL_S = 0.04
WORK_S = 0.03
LOAD_S = 0.3
DISK_LOAD_S = 0.15
MODEL_CAPACITY = 3
"""Number of models that fit an engine's memory."""

ADAPTER_SLOTS = 4
CRASH_MARK = b"crash:"
"""Prefix of the body of a request that crashes its runner."""

CRASHING_PART = "dead"
"""Prefix of the ID of a prompt part that crashes each runner that begins to write an
answer on it."""

CRASH_AFTER_S = 0.05
"""Time from the start of such a request to the crash."""

PAUSE_S = 1.3
"""Pause of a preempted stream, below the two seconds after which callers leave."""

UNNAMED_SHARE = 0.3
"""Share of these failures that don't name their request."""

TRY_FIELD = "X-Try"
"""Header field with the number of times that the caller has sent the ID before."""

OWN_FAILURES = (408, 429, 503)
"""Statuses with which a runner fails a request, though they promise "not run"."""

POUR_BLOCK_BYTES = 65_536
POUR_POLL_S = 0.005

DRAIN_SERVING_S = 4.0
"""Time for which a draining runner still serves."""

_unique_numbers = count(1)


@define(eq=False)
class RunnerStandIn:
    """One incarnation of a runner, announced in the store and reached by a relay."""

    service: str
    data_centre: str
    store: StoreStandIn
    records: Records
    random: Random
    models: dict[str, set[str]] | None = None
    """Models and their adapters; None for a plain service."""

    software_version: str = ""
    """Version of its software, which its events name; empty for one that they don't."""

    on_crash: "Callable[[RunnerStandIn], None]" = lambda runner: None
    """Called when a request crashes the runner."""

    find_sender: Callable[[asyncio.StreamWriter], str | None] = lambda client: None
    """Returns the edge that opened a connection; None if it isn't known."""

    runner_id: str = field(factory=lambda: f"i-{next(_unique_numbers):04d}", init=False)
    relay: Relay | None = field(default=None, init=False)
    draining: bool = field(default=False, init=False)
    fail_share: float = field(default=0.0, init=False)
    """Share of the requests that fail, or lose their responses, after they ran."""

    reject_share: float = field(default=0.0, init=False)
    """Share of the requests that it rejects as not run."""

    cooldown_s: float = field(default=0.0, init=False)
    """Cooldown that it sends when it rejects a request; 0 for none."""

    limit: LimitPeriod | None = field(default=None, init=False)
    """Limit on its requests a second that its responses carry."""

    leaving: Leaving | None = field(default=None, init=False)
    """Leaving signal that its responses carry."""

    pour_share: float = field(default=0.0, init=False)
    """Share of the requests that it answers with bytes without end."""

    own_failure_share: float = field(default=0.0, init=False)
    """Share of the requests that it runs, and then fails with a status that promises
    the opposite."""

    unframed_share: float = field(default=0.0, init=False)
    """Share of the responses that have no length and end with their connections."""

    resets: bool = field(default=False, init=False)
    """Whether connections that it aborts or that are cut end with a reset."""

    event_ids: EventIds = field(default=EventIds.RISING, init=False)
    """IDs of the events of its streams."""

    runs_on: bool = field(default=False, init=False)
    """Whether it goes on with the stream of a client that has disconnected."""

    work_s: float = field(default=0.0, init=False)
    """Duration of its calls; 0 for short ones of different lengths."""

    pauses: bool = field(default=False, init=False)
    """Whether it preempts its streams once, in their middle."""

    copier: Copier = field(init=False)
    extras: ExtraResponses = field(init=False)
    """Responses that it sends beside the due ones."""

    _uses: Counter[tuple[str, str]] = field(factory=Counter, init=False)
    """Number of runs by model and adapter."""

    _unloading: set[tuple[str, str]] = field(factory=set, init=False)
    """Adapters whose unload waits for their runs; they keep their slots."""

    _site: web.AppRunner | None = field(default=None, init=False)
    _order_count: int = field(default=0, init=False)
    """Number of accepted orders; an order may name the one that it expects."""

    _busy_until: float = field(default=0.0, init=False)
    """Time at which the load of a model ends."""

    _fence: tuple[int, str] = field(default=(0, ""), init=False)
    """Highest fence number of an order, and the scheduler that holds it."""

    _heartbeat_count: int = field(default=0, init=False)
    _active: int = field(default=0, init=False)
    _crashed: bool = field(default=False, init=False)

    async def async_start(self) -> None:
        """Start to listen, and announce the runner."""
        self.extras = ExtraResponses(self.random)
        app = web.Application(middlewares=[self.extras.async_precede])
        self.copier = Copier(self.records.copies, "")
        self.copier.add_routes(app)
        app.router.add_get("/v1/report", self._async_report)
        app.router.add_post("/v1/order", self._async_order)
        app.router.add_get("/health", self._async_report_health)
        app.router.add_route("*", "/{path:.*}", self._async_serve)
        self._site = web.AppRunner(app, shutdown_timeout=0.1)
        await self._site.setup()
        await web.TCPSite(self._site, "127.0.0.1", 0).start()
        self.relay = Relay("{}:{}".format(*self._site.addresses[0][:2]))
        self.relay.resets = self.resets
        await self.relay.async_start(find_free_address())
        self.copier.address = self.relay.relay_address
        if self.models is not None:
            self.records.copies.runners.add(self.copier.address)
        self.announce()

    async def async_crash(self, *, removed: bool = True) -> None:
        """Stop at once, and abort all requests.

        Args:
            removed: Whether to remove the runner's entry from the store as well.
        """
        if removed:
            self.store.remove(f"servers/{self.runner_id}")
            self.records.leaving.setdefault(self.runner_id, time.monotonic())
        self.records.copies.remove_runner(self.copier.address)
        if self.relay is not None:
            await self.relay.async_stop()
        if self._site is not None:
            await self._site.cleanup()

    def kill(self) -> None:
        """Stop listening and close all connections, within responses too.

        The kernel does so for a killed process that has read all that it received.
        """
        if self.relay is not None:
            self.relay.close()

    async def async_drain(self) -> None:
        """Announce that the runner leaves, serve for some more time, and stop."""
        self.draining = True
        self.announce()
        self.records.leaving[self.runner_id] = time.monotonic()
        await asyncio.sleep(DRAIN_SERVING_S)
        await self.async_crash()

    async def async_leave_unannounced(self) -> None:
        """Remove the runner's entry, serve for some more time, and stop.

        Its streams are preempted before and meanwhile.
        """
        self.pauses = self.runs_on = True
        await asyncio.sleep(PAUSE_S)
        self.store.remove(f"servers/{self.runner_id}")
        self.records.leaving[self.runner_id] = time.monotonic()
        await asyncio.sleep(DRAIN_SERVING_S)
        await self.async_crash()

    def announce(self) -> None:
        """Write the runner's entry to the store."""
        assert self.relay is not None
        self._heartbeat_count += 1
        fields: dict[str, Any] = {
            "service": self.service,
            "address": self.relay.relay_address,
            "zone": self.data_centre,
            "version": self.software_version or 1,
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "seq": self._heartbeat_count,
        }
        if self.models is not None:
            fields |= {"phase": "colocated", "models": self._list_models()}
        self.store.write(f"servers/{self.runner_id}", orjson.dumps(fields))

    def _list_models(self) -> list[dict[str, Any]]:
        return [
            {"name": name, "version": 1, "adapters": sorted(adapters)}
            for name, adapters in (self.models or {}).items()
        ]

    async def _async_report_health(self, request: web.Request) -> web.Response:
        if request.headers.get("X-Expect-Instance", self.runner_id) != self.runner_id:
            return self._reject(request.headers.get("X-Request-Id", ""))
        return web.Response(headers={"X-Instance-Id": self.runner_id})

    async def _async_report(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "phase": "colocated",
                "models": self._list_models(),
                "busy": time.monotonic() < self._busy_until,
                "seq": self._order_count,
                "queued": 0,
                "active": self._active,
                "kv_used": 0,
                "kv_total": 100_000,
                "handles": 0,
            }
        )

    async def _async_order(self, request: web.Request) -> web.Response:
        order = await request.json()
        status = self._find_rejection(request, order)
        if status is not None:
            return web.json_response({}, status=status)
        self._order_count += 1
        return web.json_response({}, status=self._execute_order(order))

    def _find_rejection(self, request: web.Request, order: Any) -> int | None:
        """Return the status of a rejected order; None if it is accepted."""
        if request.headers.get("X-Expect-Instance") != self.runner_id:
            return 421
        fence, holder = int(order["fence"]), str(order["holder"])
        if fence < self._fence[0]:
            self.records.fence_rejections.append(time.monotonic())
            return 412
        if fence == self._fence[0] and holder != self._fence[1]:
            self.records.violations.append(
                f"one: two schedulers use the fence number {fence}"
            )
        self._fence = (fence, holder)
        if time.monotonic() < self._busy_until:
            return 409
        expected_count = order.get("precondition")
        return 409 if expected_count not in (None, self._order_count) else None

    def _execute_order(self, order: Any) -> int:
        """Execute an accepted order, and return the status of the response."""
        models = self.models if self.models is not None else {}
        name, adapter = order["model"], order.get("adapter")
        is_load = order["operation"] == "model_load"
        if adapter:
            adapters = models.get(name)
            if adapters is None:
                return 400
            if is_load:
                adapters.add(adapter)
            elif self._uses[name, adapter]:
                self._unloading.add((name, adapter))
                return 202
            else:
                adapters.discard(adapter)
        elif is_load:
            self._busy_until = time.monotonic() + LOAD_S
            models[name] = set()
        else:
            models.pop(name, None)
        adapter_count = sum(len(each) for each in models.values())
        if len(models) > MODEL_CAPACITY or adapter_count > ADAPTER_SLOTS:
            self.records.violations.append(
                f"limit: {self.runner_id} holds more than fits: {models}"
            )
        return 202 if is_load or not adapter else 200

    def start_limit(self, limit: float) -> None:
        """Send a limit with all responses from now on."""
        self.limit = self.records.signals.begin_limit(self.runner_id, limit)

    def end_limit(self) -> None:
        """Stop sending the limit."""
        if self.limit is not None:
            self.limit.ended = time.monotonic()
            self.limit = None

    def start_leaving(self) -> None:
        """Send the leaving signal with all responses from now on."""
        self.leaving = self.records.signals.begin_leaving(self.runner_id)

    def _make_signal_headers(self) -> dict[str, str]:
        """Return the response headers with the signals of the runner."""
        fields = {}
        if self.limit is not None:
            fields["Server-Limit"] = f"{self.limit.limit:g}"
        if self.leaving is not None:
            fields["Server-Leaving"] = "1"
        return fields

    async def _async_serve(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        request_id = request.headers.get("X-Request-Id", "")
        tries = int(request.headers.get(TRY_FIELD) or 0)
        record_id = make_record_id(request_id, tries)
        sender = self._find_sender(request, record_id)
        self.records.record_arrival(self.service, self.runner_id, record_id, sender)
        if self.random.random() < self.reject_share:
            return self._reject(request_id, 503, sender)
        if self.pour_share and self.random.random() < self.pour_share:
            return await self._async_pour(request, request_id)
        model, _, adapter = request.headers.get("X-Model", "").partition("/")
        if request.headers.get("X-Expect-Instance") != self.runner_id:
            return self._reject(request_id)
        if self.models is not None:
            loaded_adapters = self.models.get(model)
            loading = time.monotonic() < self._busy_until
            if (
                loaded_adapters is None
                or loading
                or (adapter and adapter not in loaded_adapters)
                or (model, adapter) in self._unloading
            ):
                return self._reject(request_id)
        signature = f"{self.runner_id}.{request_id}.{next(_unique_numbers)}"
        if self.models is not None and "Kv-From" in request.headers:
            return await self._async_stream(request, record_id, signature)
        crashing_part = find_crashing_part(request)
        run = Run(
            runner_id=self.runner_id,
            at=time.monotonic(),
            signature=signature,
            customer=",".join(request.headers.getall("X-Tenant", [])),
            received_key="Authorization" in request.headers,
            crashing=body.removeprefix(CRASH_MARK).decode()
            if body.startswith(CRASH_MARK)
            else crashing_part,
        )
        self.records.record_run(record_id, run)
        if run.crashing:
            return await self._async_crash_on_request(request, run)
        if self.own_failure_share and self.random.random() < self.own_failure_share:
            return await self._async_fail(request_id, signature)
        if self.models is None:
            headers = self._make_headers(request_id, signature)
            return await self._async_respond(request, headers, body)
        return await self._async_stream(request, record_id, signature)

    async def _async_fail(self, request_id: str, signature: str) -> web.Response:
        """Fail a request that was run, with a status that promises the opposite."""
        await asyncio.sleep(WORK_S)
        self.records.own_failures += 1
        headers = self._make_headers(request_id, signature)
        if self.random.random() < UNNAMED_SHARE:
            del headers["X-Request-Id"]
        return web.Response(status=self.random.choice(OWN_FAILURES), headers=headers)

    def _make_headers(self, request_id: str, signature: str) -> dict[str, str]:
        """Return the headers of a successful response."""
        headers = {"X-Request-Id": request_id, "X-Response-Signature": signature}
        return headers | self._make_signal_headers()

    async def _async_crash_on_request(
        self, request: web.Request, run: Run
    ) -> web.Response:
        """Crash the runner because of a request."""
        if self.models is not None:
            response = web.StreamResponse(
                headers={"X-Response-Signature": run.signature}
            )
            await response.prepare(request)
        await asyncio.sleep(CRASH_AFTER_S)
        self.records.crashes.setdefault(run.crashing, []).append(time.monotonic())
        if not self._crashed:
            self._crashed = True
            self.on_crash(self)
        # The crash aborts the connection meanwhile, so that no response is sent.
        await asyncio.sleep(DRAIN_SERVING_S)
        return web.Response()

    def _find_sender(self, request: web.Request, request_id: str) -> str:
        """Return the edge that sent a request; empty if nobody asked for it."""
        client, transport = None, request.transport
        if self.relay is not None and transport is not None:
            client = self.relay.find_client(transport.get_extra_info("peername")[1])
        sender = None if client is None else self.find_sender(client)
        return sender or self.records.find_edge(request_id)

    def _reject(
        self, request_id: str, status: int = 421, sender: str = ""
    ) -> web.Response:
        """Return the response to a request that is rejected as not run."""
        headers = {"X-Request-Id": request_id, "X-Not-Executed": "1"}
        headers |= self._make_signal_headers()
        if status == 503 and self.cooldown_s:
            headers["Retry-After"] = f"{self.cooldown_s:g}"
            self.records.signals.record_rejection(
                self.runner_id, sender, self.cooldown_s
            )
        return web.Response(status=status, headers=headers)

    async def _async_respond(
        self, request: web.Request, headers: dict[str, str], body: bytes
    ) -> web.Response:
        await asyncio.sleep(self.work_s or WORK_S * self.random.uniform(0.5, 4))
        if self.random.random() < self.fail_share:
            self._abort(request)
        text = f"{headers['X-Request-Id']} {len(body)}"
        if self._is_unframed():
            await self._async_respond_unframed(request, headers, text.encode())
        return web.Response(text=text, headers=headers)

    def _is_unframed(self) -> bool:
        """Decide whether a response is unframed."""
        return bool(self.unframed_share) and self.random.random() < self.unframed_share

    async def _async_respond_unframed(
        self, request: web.Request, headers: dict[str, str], body: bytes
    ) -> None:
        """Write an unframed response in two parts, and close the connection."""
        response = UnframedResponse(request, headers)
        self.records.unframed += 1
        with suppress(ConnectionResetError):
            await response.prepare(request)
            await response.write(body[: len(body) // 2])
            await asyncio.sleep(WORK_S)
            await response.write(body[len(body) // 2 :])
            await response.write_eof()
        self.records.cut_unframed += response.is_cut

    async def _async_stream(
        self, request: web.Request, record_id: str, signature: str
    ) -> web.StreamResponse:
        """Generate a stream, of a new run or of one that is continued."""
        request_id = request.headers.get("X-Request-Id", "")
        run = self.copier.begin(request, signature)
        if run is None:
            return self._reject(request_id, 503)
        is_continued = run.signature != signature
        after = self._find_last_event(request)
        segment = Segment(self.runner_id, run.signature, is_continued, after=after)
        self.records.streams.begin(record_id, segment)
        headers = self._make_headers(request_id, run.signature)
        response: web.StreamResponse | UnframedResponse
        if self._is_unframed():
            response = UnframedResponse(request, headers)
            self.records.unframed += 1
        else:
            response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        self._active += 1
        model, _, adapter = request.headers.get("X-Model", "").partition("/")
        self._uses[model, adapter] += 1
        is_whole = False
        try:
            await response.prepare(request)
            is_whole = await self._async_write_events(request, response, run)
        except ConnectionResetError:
            # The client has disconnected; the check of its call covers that.
            pass
        finally:
            self._active -= 1
            self._end_use(model, adapter)
            segment.ended = time.monotonic()
            self.copier.end(run, well=is_whole)
        if isinstance(response, UnframedResponse):
            self.records.cut_unframed += response.is_cut
            return web.Response()
        return response

    def _find_last_event(self, request: web.Request) -> int:
        """Return the number of the event after which a request wants the stream."""
        return self.event_ids.find(request.headers.get("Last-Event-Id", ""))

    def _end_use(self, model: str, adapter: str) -> None:
        """Count the end of a run, and carry out an unload that waits for it."""
        self._uses[model, adapter] -= 1
        if (model, adapter) in self._unloading and not self._uses[model, adapter]:
            self._unloading.discard((model, adapter))
            (self.models or {}).get(model, set()).discard(adapter)

    async def _async_pour(
        self, request: web.Request, request_id: str
    ) -> web.StreamResponse:
        """Send bytes without end, until the client closes the connection."""
        transport = request.transport
        # A crash ends the unframed one with its connection, as if it were whole.
        names = [name for name in POURS if name != UNFRAMED]
        beginning, repeated = POURS[self.random.choice(names)]
        beginning = beginning.replace(b"q1", request_id.encode())
        block = repeated * (POUR_BLOCK_BYTES // len(repeated))
        self.records.pours.append(request_id)
        if transport is not None:
            transport.write(beginning)
        while transport is not None and not transport.is_closing():
            if transport.get_write_buffer_size() < POUR_BLOCK_BYTES:
                transport.write(block)
            await asyncio.sleep(POUR_POLL_S)
        return web.Response()

    async def _async_write_events(
        self,
        request: web.Request,
        response: web.StreamResponse | UnframedResponse,
        run: LiveRun,
    ) -> bool:
        """Write the events of a run; return whether it has reached its end."""
        first_event = self._find_last_event(request) + 1
        is_cut = self.random.random() < self.fail_share
        cut_at = EVENT_COUNT // 2 if is_cut else EVENT_COUNT + 1
        for number in range(first_event, EVENT_COUNT + 1):
            is_preempted = self.pauses and number == EVENT_COUNT // 2
            interval_s = PAUSE_S if is_preempted else EVENT_INTERVAL_S
            if await run.async_is_stopped_within(interval_s):
                self._abort(request)
                return False
            event = encode_event(
                run.request_id,
                Event(
                    number,
                    run=get_run_number(run.signature),
                    version=self.software_version,
                    event_id=self.event_ids.make(number),
                ),
            ).encode()
            if number >= cut_at:
                await response.write(event[: len(event) // 2])
                self._abort(request)
                return False
            self.copier.record_event(run, number)
            try:
                await response.write(event)
            except ConnectionResetError:
                if not self.runs_on:
                    raise
        await response.write_eof()
        return True

    def _abort(self, request: web.Request) -> None:
        """Abort the connection of a request unless its client has disconnected."""
        if request.transport is not None and self.resets:
            reset(request.transport)
        elif request.transport is not None:
            request.transport.abort()


def find_crashing_part(request: web.Request) -> str:
    """Return the shared part of a prompt that crashes runners; empty if none does."""
    parts = request.headers.get("X-Prompt-Prefix", "").split(",")[:-1]
    part_ids = [each.partition(":")[0] for each in parts]
    return next((each for each in part_ids if each.startswith(CRASHING_PART)), "")
