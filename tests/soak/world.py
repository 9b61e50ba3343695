"""The system's processes with the store, runners and callers around them."""

import asyncio
import time
from collections.abc import Iterator
from itertools import cycle
from random import Random
from typing import Any, Final
from weakref import WeakKeyDictionary

import aiohttp
import orjson
from attrs import define, field

from ..stand_ins.launcher import Launcher, Process, find_free_address
from ..stand_ins.relay import Relay
from .callers import HOST, Caller, CrashingCaller
from .copies import HANDLE_S
from .customers import Customers
from .cuts import RunnerCuts, find_process
from .order import EventIds
from .records import (
    APPLY_S,
    RETRY_RATIO,
    RETRY_SLACK,
    RETRY_WINDOW_S,
    ROUTE_TIMEOUT_S,
    Kind,
    Records,
)
from .runners import RunnerStandIn
from .store import StoreStandIn

EDGES: Final = 3
SCHEDULERS: Final = 2
ENGINES: Final = 3
PLAIN_RUNNERS: Final = 2
CALLERS: Final = 20
MODELS: Final = [f"m{number}" for number in range(10)]
"""One more than the engines have room for."""

ADAPTERS: Final = 8
"""Adapters of each model, twice as many as an engine has slots."""

GRACE_S: Final = 6.0
"""Time from SIGTERM within which a process must have ended."""

RESTART_S: Final = 0.3
"""Delay between the end of a process and its restart, as of a service manager."""

RUNNER_RESTART_S: Final = 1.0
"""Time from a crash that a request caused to the restart of the runner."""

ENTRY_REMOVAL_S: Final = 1.5
"""Time from the restart until the store drops the entry of the crashed incarnation."""

HEARTBEAT_S: Final = 0.5
START_TIMEOUT_S: Final = 15.0
EDGES_STARTED_AT_ONCE: Final = 8
"""Edges that start before the next ones. Each takes almost a second of processor time,
and on one machine they share the processors."""

READY_CHECK_S: Final = 0.05


@define(eq=False)
class Node:
    """One program on one host, across its restarts."""

    name: str
    program: str
    flags: tuple[str, ...]
    store_relay: Relay
    ready_address: str = ""
    """Address for readiness checks; empty for a scheduler."""

    caller_address: str = ""
    """Address for callers; empty for a scheduler."""

    directory_address: str = ""
    """Address that returns the edges' addresses; empty for a scheduler."""

    peer_address: str = ""
    """Address for edges and other schedulers; empty for an edge."""

    metrics_address: str = ""
    """Address that serves metrics; empty if there is none."""

    process: Process | None = None
    restarts: bool = True
    """Whether it is restarted when it ends."""

    stopping: bool = False
    """Whether its end is expected."""

    started_at: float = 0.0


@define(eq=False)
class World:
    """Store, runners, callers and the processes of the system."""

    seed: int
    launcher: Launcher
    edges: int = EDGES
    """Number of edges; the next four fields are numbers as well."""

    schedulers: int = SCHEDULERS
    engines: int = ENGINES
    plain_runners: int = PLAIN_RUNNERS
    callers: int = CALLERS
    software_versions: tuple[str, ...] = ("",)
    """Versions of the software that runners with engines have in turn."""

    engine_models: tuple[str, ...] = ()
    """Models that each runner with an engine holds; empty for others at each."""

    route_timeout_s: float = ROUTE_TIMEOUT_S
    keeps_ids: bool = False
    """Whether callers send a request again under its ID."""

    event_ids: EventIds = EventIds.RISING
    """IDs of the events of streams."""

    resets: bool = False
    """Whether broken connections of runners end with a reset. Unframed responses need
    that, because they are complete if their connections are closed."""

    serves_metrics: bool = False
    """Whether the processes serve metrics."""

    random: Random = field(init=False)
    records: Records = field(factory=Records, init=False)
    store: StoreStandIn = field(init=False)
    nodes: list[Node] = field(factory=list, init=False)
    runners: list[RunnerStandIn] = field(factory=list, init=False)
    cuts: RunnerCuts = field(factory=RunnerCuts, init=False)
    popular_models: list[str] = field(factory=lambda: MODELS[:2], init=False)
    retired: set[str] = field(factory=set, init=False)
    """Models that the next configurations don't offer."""

    version: int = field(default=0, init=False)
    """Newest version of the configuration."""

    _added_versions: list[int] = field(factory=list, init=False)
    """Versions that added a route: all but the first one."""

    _crashing_count: int = field(default=0, init=False)
    """Number of requests that crash runners, so far."""

    _next_versions: Iterator[str] = field(init=False)
    """Versions of the runners with engines that are started, without end."""

    _senders: "WeakKeyDictionary[asyncio.StreamWriter, str]" = field(
        factory=WeakKeyDictionary, init=False
    )
    """Edges by their connections to runners."""

    _tasks: set[asyncio.Task[Any]] = field(factory=set, init=False)

    def __attrs_post_init__(self) -> None:
        self._next_versions = cycle(self.software_versions)
        self.random = Random(self.seed)
        self.store = StoreStandIn(self.random)
        self.records.customers = Customers(Random(self.seed))

    async def async_start(self) -> None:
        """Start all parts, and wait until the edges are ready."""
        await self.store.async_start()
        for number in range(self.engines):
            names = self.engine_models or tuple(
                MODELS[(number * 3 + each) % len(MODELS)] for each in range(3)
            )
            await self.async_add_runner("llm", {name: set() for name in names})
        for _ in range(self.plain_runners):
            await self.async_add_runner("plain", None)
        self.write_configuration()
        for number in range(self.schedulers):
            await self._async_add_node(f"scheduler-{number}", "scheduler")
        for number in range(self.edges):
            await self._async_add_node(f"edge-{number}", "edge")
            if (number + 1) % EDGES_STARTED_AT_ONCE == 0:
                await self.async_wait_ready()
        self.start_task(self._async_send_heartbeats())
        await self.async_wait_ready()
        for number in range(self.callers):
            caller = self.make_caller(number)
            self.start_task(caller.async_run())

    async def async_stop(self) -> None:
        """Stop all parts."""
        for node in self.nodes:
            node.restarts = False
            node.stopping = True
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.launcher.async_end_all()
        for runner in self.runners:
            await runner.async_crash(removed=False)
        for node in self.nodes:
            await node.store_relay.async_stop()
        await self.store.async_stop()

    def start_task(self, run: Any) -> "asyncio.Task[Any]":
        """Run a coroutine in the background, at most until the end of the soak."""
        task = asyncio.get_running_loop().create_task(run)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)
        return task

    async def async_add_runner(
        self,
        service: str,
        models: dict[str, set[str]] | None,
        software_version: str | None = None,
    ) -> RunnerStandIn:
        """Start a runner.

        Args:
            service: Name of its service.
            models: Models that it holds, with their adapters; None for a plain one.
            software_version: Version of its software; None for the next in turn.
        """
        if software_version is None:
            software_version = "" if models is None else next(self._next_versions)
        data_centre = f"dc-{len(self.runners) % 2 + 1}"
        runner = RunnerStandIn(
            service, data_centre, self.store, self.records, self.random, models
        )
        runner.software_version = software_version
        runner.event_ids = self.event_ids
        runner.resets = self.resets
        runner.on_crash = self.crash_runner
        runner.find_sender = self._find_sender
        await runner.async_start()
        assert runner.relay is not None
        runner.relay.refuses = self.cuts.refuses
        self.runners.append(runner)
        return runner

    def send_crashing_requests(self, kind: Kind) -> str:
        """Start a caller that keeps sending a request that crashes its runners.

        Returns:
            The name of the request.
        """
        self._crashing_count += 1
        name = f"{kind.value}-{self._crashing_count}"
        template = self.make_caller(2000 + self._crashing_count)
        caller = CrashingCaller(
            random=template.random,
            records=template.records,
            directories=template.directories,
            models=template.models,
            popular_models=template.popular_models,
            kind=kind,
            name=name,
        )
        self.start_task(caller.async_run())
        return name

    def write_configuration(self) -> None:
        """Write a new version of the configuration; all but the first add a route."""
        self.version += self.random.randrange(1, 4)
        if self.records.accepted:
            self._added_versions.append(self.version)
        document = {
            "version": self.version,
            "routes": [
                {**each, "timeout_ms": int(self.route_timeout_s * 1000)}
                for each in (
                    *(_make_route(kind) for kind in Kind),
                    *(_make_added_route(each) for each in self._added_versions),
                )
            ],
            "services": [_make_engine_service(self.retired), _make_plain_service()],
            "limits": {},
            "tenants": self.records.customers.make_document(),
        }
        self.store.write("op/config", orjson.dumps(document))
        self.records.accepted[self.version] = time.monotonic()
        self.records.customers.record_accepted(time.monotonic())

    async def async_probe_configuration(self) -> None:
        """Send each edge a request for the newest route, once it must have it."""
        if not self._added_versions:
            return
        version = self._added_versions[-1]
        await asyncio.sleep(APPLY_S + 0.3)
        caller = self.make_caller(1000 + version)
        async with aiohttp.ClientSession() as session:
            for node in self.list_nodes("edge"):
                await caller.async_call(
                    session, node.caller_address, Kind.SAFE, version
                )

    def _find_sender(self, client: asyncio.StreamWriter) -> str | None:
        """Return the edge that opened a connection; None if it has ended.

        It isn't the one to which the caller sent the request if that relayed it.
        """
        if client in self._senders:
            return self._senders[client]
        edges = {
            node.process.child.pid: node.caller_address
            for node in self.nodes
            if node.caller_address and node.process is not None
        }
        pid = find_process(client, edges)
        if pid is not None:
            self._senders[client] = edges[pid]
        return self._senders.get(client)

    def crash_runner(self, runner: RunnerStandIn) -> None:
        """Crash a runner, and restart it under another id."""
        if runner in self.runners:
            self.runners.remove(runner)
            self.start_task(self._async_restart_runner(runner))

    async def _async_restart_runner(self, runner: RunnerStandIn) -> None:
        span = self.records.begin(f"crash {runner.runner_id}", caused=True)
        await runner.async_crash(removed=False)
        await asyncio.sleep(RUNNER_RESTART_S)
        models = runner.models
        restarted_models: dict[str, set[str]] | None = None
        if models is not None:
            restarted_models = {name: set() for name in models}
        await self.async_add_runner(
            runner.service, restarted_models, runner.software_version
        )
        span.ended = time.monotonic()
        await asyncio.sleep(ENTRY_REMOVAL_S)
        self.store.remove(f"servers/{runner.runner_id}")

    def list_nodes(self, program: str) -> list[Node]:
        """Return the nodes with a running process of a program."""
        return [
            each
            for each in self.nodes
            if each.program == program
            and each.process is not None
            and each.process.is_running
            and not each.stopping
        ]

    async def async_start_node(self, node: Node) -> None:
        """Start a node's program, and restart it whenever it ends."""
        while node.restarts:
            node.stopping = False
            process = await self.launcher.async_start(
                node.name, "mangoway", node.program, *node.flags
            )
            node.process, node.started_at = process, time.monotonic()
            code = await process.child.wait()
            if not node.stopping:
                self.records.violations.append(
                    f"exit: {node.name} ended unexpectedly with {code}"
                )
            await asyncio.sleep(RESTART_S)

    def make_caller(self, number: int) -> Caller:
        """Return a caller; its number determines its random choices."""
        return Caller(
            random=Random(self.seed * 10_007 + number),
            records=self.records,
            directories=[
                each.directory_address for each in self.nodes if each.directory_address
            ],
            models=MODELS,
            popular_models=self.popular_models,
            keeps_ids=self.keeps_ids,
            event_ids=self.event_ids,
        )

    async def _async_add_node(self, name: str, program: str) -> None:
        relay = Relay(self.store.address)
        await relay.async_start(find_free_address())
        flags = [
            *("--host", name, "--data-centre", f"dc-{len(self.nodes) % 2 + 1}"),
            *("--store", relay.relay_address, "--grace-s", str(GRACE_S)),
        ]
        node = Node(name, program, (), relay)
        if program == "edge":
            node.caller_address, node.directory_address = (
                find_free_address(),
                find_free_address(),
            )
            node.ready_address = find_free_address()
            flags += [
                "--caller-listen",
                node.caller_address,
                "--ready-listen",
                node.ready_address,
            ]
            flags += ["--directory-listen", node.directory_address]
            flags += [
                "--retry-ratio",
                str(RETRY_RATIO),
                "--retry-slack",
                str(RETRY_SLACK),
            ]
            flags += ["--retry-window-s", str(RETRY_WINDOW_S)]
        else:
            node.peer_address = find_free_address()
            flags += ["--peer-listen", node.peer_address]
            flags += ["--runners-check-fences", "true"]
        if self.serves_metrics:
            node.metrics_address = find_free_address()
            flags += ["--metrics-listen", node.metrics_address]
        node.flags = tuple(flags)
        self.nodes.append(node)
        self.start_task(self.async_start_node(node))

    async def async_wait_ready(self) -> None:
        """Wait until all edges are ready."""
        end = time.monotonic() + START_TIMEOUT_S
        async with aiohttp.ClientSession() as session:
            for node in self.nodes:
                while node.ready_address and not await _async_is_ready(session, node):
                    if time.monotonic() > end:
                        raise TimeoutError(f"{node.name} did not get ready in time")
                    await asyncio.sleep(READY_CHECK_S)

    async def _async_send_heartbeats(self) -> None:
        """Write the runners' heartbeats to the store, and let its leases expire.

        A runner whose entry was removed gets no new one.
        """
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.store.expire()
            for runner in self.runners:
                if f"servers/{runner.runner_id}" in self.store.items:
                    runner.announce()

    def _end_task(self, task: "asyncio.Task[Any]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.records.violations.append(f"soak: {task.exception()!r}")


async def _async_is_ready(session: aiohttp.ClientSession, node: Node) -> bool:
    try:
        async with session.get(f"http://{node.ready_address}/v1/ready") as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False


def _make_route(kind: Kind) -> dict[str, Any]:
    stream = kind in (Kind.STREAM, Kind.FIXED_STREAM)
    return {
        "name": kind.value,
        "host": HOST,
        "prefix": {Kind.ONCE: "/once/"}.get(kind, f"/{kind.value}/"),
        "kind": "streaming" if stream else kind.value,
        "target_latency_ms": 300,
        # Streams that can't be resumed are the most urgent, so that they are protected.
        "priority": 1 if kind is Kind.STREAM else 0,
        "service": "llm" if stream else "plain",
        "max_attempts": 1 if kind.runs_once else 2,
        "resumable": kind is Kind.STREAM,
        "gap_target_ms": 300,
    }


def _make_added_route(version: int) -> dict[str, Any]:
    return {
        **_make_route(Kind.SAFE),
        "name": f"added-{version}",
        "prefix": f"/added-{version}/",
    }


def _make_plain_service() -> dict[str, Any]:
    return {"name": "plain", "health_path": "/health", "max_conns": 100}


def _make_engine_service(retired: set[str]) -> dict[str, Any]:
    engine = {
        "slots": 16,
        "kv_capacity": 100_000,
        "weights_mb": 220_000.0,
        "adapter_slots": 4,
        "loads_per_s": 4,
        "moves": True,
        "backups": True,
        "kv_token_bytes": 163_840,
        "stride": 8,
        "handle_s": HANDLE_S,
        "models": [
            {
                "name": name,
                "weights_mb": 70_000.0,
                "load_s": 0.3,
                "warm_s": 0.3,
                "disk_s": 0.3,
                "adapters": ADAPTERS,
                "adapter_mb": 50.0,
            }
            for name in MODELS
            if name not in retired
        ],
    }
    return {**_make_plain_service(), "name": "llm", "engine": engine}
