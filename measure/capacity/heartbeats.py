"""What heartbeats cost: of members, of runners' reports, and on the wire."""

import asyncio
import time
from collections.abc import Callable, Sequence
from itertools import count
from random import Random

from attrs import define, evolve, field

from mangoway.models.upstream import EngineReport
from mangoway.peers import peers_pb2 as pb
from mangoway.peers.client import PeerClient
from mangoway.peers.const import MAX_REPORTS_PER_HEARTBEAT
from mangoway.peers.heartbeat import HeartbeatCodec
from mangoway.peers.reports import ReportBook
from mangoway.peers.server import PeerReceivers, PeerServer

from .builders import make_member, make_report
from .cell import MODELS, CellCost, CellSimulation
from .fit import Point
from .meter import US_PER_S, find_cpu_us
from .registry import Series, register_measure

MEMBER_SIZES = (10, 20, 40, 62)
CELL_SIZES = ((10, 50), (20, 100), (40, 200), (62, 308))
"""Nodes and runners, in the proportion of the target size; the last is one cell."""

DIGEST_SIZES = (10, 30, 60, MAX_REPORTS_PER_HEARTBEAT)
MEMBER_WARM_UP_S = 60.0
MEMBER_SECONDS = 20.0
CELL_WARM_UP_S = 20.0
CELL_SECONDS = 8.0
DIGEST_ROUNDS = 60
EXCHANGES = 400
LOOPBACK = "127.0.0.1"


@register_measure("heartbeats of members")
def measure_members() -> Sequence[Series]:
    """Measure a cell without runners."""
    costs = [
        (size, CellSimulation(size, 0).run(MEMBER_WARM_UP_S, MEMBER_SECONDS))
        for size in MEMBER_SIZES
    ]
    return (
        _make_cell_series(
            "members_bytes",
            "heartbeats, members only",
            costs,
            "B/s",
            lambda cost: cost.lasting_bytes,
        ),
        _make_cell_series(
            "members_us",
            "heartbeats, members only",
            costs,
            "µs/s",
            lambda cost: cost.cpu_share * US_PER_S,
        ),
        _make_cell_series(
            "exchanges",
            "exchanges begun by a node",
            costs,
            "1/s",
            lambda cost: cost.exchanges,
        ),
    )


def measure_cell(nodes: int, runners: int) -> CellCost:
    """Return what heartbeats cost a node in a whole cell."""
    return CellSimulation(nodes, runners).run(CELL_WARM_UP_S, CELL_SECONDS)


def make_cell_series(costs: Sequence[tuple[int, CellCost]]) -> tuple[Series, ...]:
    """Return the series of whole cells, by their nodes."""
    title = "whole cell, 5 runners a node"
    return (
        _make_cell_series(
            "cell_bytes",
            f"{title}: sent once all have met",
            costs,
            "B/s",
            lambda cost: cost.lasting_bytes,
        ),
        _make_cell_series(
            "cell_reports",
            f"{title}: reports sent",
            costs,
            "1/s",
            lambda cost: cost.reports_sent,
        ),
        _make_cell_series(
            "cell_news",
            f"{title}: reports received that were news",
            costs,
            "1/s",
            lambda cost: cost.reports_new,
        ),
        _make_cell_series(
            "cell_age",
            f"{title}: mean age of a report",
            costs,
            "s",
            lambda cost: cost.mean_age_s,
        ),
    )


def _make_cell_series(
    name: str,
    title: str,
    costs: Sequence[tuple[int, CellCost]],
    unit: str,
    read: Callable[[CellCost], float],
) -> Series:
    points = tuple(Point(size, read(cost)) for size, cost in costs)
    return Series(name=name, title=title, size_name="nodes", unit=unit, points=points)


@define(eq=False)
class DigestPair:
    """Two codecs that have met; one passes reports of runners to the other."""

    runners: int
    _sender: HeartbeatCodec = field(init=False)
    _receiver: HeartbeatCodec = field(init=False)
    _now: float = field(default=0.0, init=False)
    _random: Random = field(factory=lambda: Random(3), init=False)
    _reports: list[EngineReport] = field(init=False)

    def __attrs_post_init__(self) -> None:
        sessions = count(1)
        self._sender, self._receiver = (
            HeartbeatCodec(
                make_member(number).incarnation, ReportBook(), lambda: next(sessions)
            )
            for number in range(2)
        )
        self._reports = [
            make_report(number, MODELS, 0.0) for number in range(self.runners)
        ]

    def renew(self) -> None:
        """Give the sender a new report of every runner."""
        self._now += 2.0
        for report in self._reports:
            running = self._random.randrange(256)
            self._sender.book.offer(
                evolve(
                    report,
                    reported_at=self._now - 1.0,
                    running=running,
                    kv_cache_used_mb=3000 + 40 * running,
                )
            )

    def encode(self) -> bytes:
        """Return the sender's next heartbeat."""
        return self._sender.encode(2, (), self._now).SerializeToString()

    def decode(self, wire: bytes) -> None:
        """Take a heartbeat."""
        self._receiver.decode(pb.Heartbeat.FromString(wire), self._now)


def measure_digest(runners: int) -> tuple[float, float, float]:
    """Return the bytes and microseconds of a heartbeat, and the bytes of the first."""
    pair = DigestPair(runners)
    pair.renew()
    first = pair.encode()
    pair.decode(first)
    sizes: list[int] = []

    def pass_on(_: int) -> None:
        wire = pair.encode()
        sizes.append(len(wire))
        pair.decode(wire)

    used_us = 0.0
    for _ in range(DIGEST_ROUNDS):
        pair.renew()
        used_us += find_cpu_us(pass_on, 1)
    return sum(sizes) / len(sizes), used_us / DIGEST_ROUNDS, float(len(first))


@register_measure("runner load digests")
def measure_digests() -> Sequence[Series]:
    """Measure heartbeats with reports that all are news."""
    found = [(size, *measure_digest(size)) for size in DIGEST_SIZES]
    title = "heartbeat with reports, sent and taken in"
    size_name = "reports"

    def make(name: str, title: str, unit: str, column: int) -> Series:
        points = tuple(Point(row[0], row[column]) for row in found)
        return Series(
            name=name, title=title, size_name=size_name, unit=unit, points=points
        )

    return (
        make("digest_bytes", title, "B", 1),
        make("digest_us", title, "µs", 2),
        make("digest_first_bytes", "first heartbeat to a peer", "B", 3),
    )


@define(eq=False)
class Wire:
    """A relay before a port that counts the bytes both ways."""

    port: int
    bytes_passed: int = 0
    _server: asyncio.Server | None = None
    _tasks: list["asyncio.Task[None]"] = field(factory=list)

    async def async_start(self) -> str:
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._async_accept, LOOPBACK, 0)
        return f"{LOOPBACK}:{self._server.sockets[0].getsockname()[1]}"

    async def async_stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(LOOPBACK, self.port)
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            self._tasks.append(asyncio.create_task(self._async_copy(source, sink)))

    async def _async_copy(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter
    ) -> None:
        while data := await source.read(65536):
            self.bytes_passed += len(data)
            sink.write(data)


class Echo:
    """Answers a heartbeat with itself."""

    def async_receive_heartbeat(self, heartbeat: pb.Heartbeat) -> pb.Heartbeat:
        """Return the heartbeat."""
        return heartbeat


async def async_measure_wire(reports: int) -> tuple[float, float]:
    """Return microseconds of both ends of an exchange, and its bytes beside bodies."""
    pair = DigestPair(max(1, reports))
    pair.renew()
    pair.encode()
    pair.renew()
    body = pair.encode() if reports else b""
    heartbeat = pb.Heartbeat.FromString(body)
    server = PeerServer(PeerReceivers(heartbeats=Echo()))
    await server.async_start(LOOPBACK, 0)
    wire = Wire(server.port)
    relayed = PeerClient(await wire.async_start())
    client = PeerClient(f"{LOOPBACK}:{server.port}")
    try:
        used_us = await _async_time(client, heartbeat)
        await relayed.async_exchange(heartbeat)
        before = wire.bytes_passed
        for _ in range(EXCHANGES // 4):
            await relayed.async_exchange(heartbeat)
        passed = (wire.bytes_passed - before) / (EXCHANGES // 4)
    finally:
        client.close()
        relayed.close()
        await wire.async_stop()
        await server.async_stop()
    return used_us, passed - 2 * len(body)


async def _async_time(client: PeerClient, heartbeat: pb.Heartbeat) -> float:

    for _ in range(EXCHANGES // 4):
        await client.async_exchange(heartbeat)
    began_at = time.process_time()
    for _ in range(EXCHANGES):
        await client.async_exchange(heartbeat)
    return (time.process_time() - began_at) / EXCHANGES * US_PER_S


@register_measure("exchange over gRPC")
def measure_wire() -> Sequence[Series]:
    """Measure the calls that carry heartbeats, both ends in this process."""
    found = [(size, *asyncio.run(async_measure_wire(size))) for size in DIGEST_SIZES]
    return tuple(
        Series(
            name=name,
            title=title,
            size_name="reports",
            unit=unit,
            points=tuple(Point(row[0], row[column]) for row in found),
        )
        for name, title, unit, column in (
            ("wire_us", "call that carries an exchange, both ends", "µs", 1),
            ("wire_bytes", "bytes of the call beside both bodies", "B", 2),
        )
    )
