"""What the data path costs a gateway, and what processes take at rest."""

import asyncio
import tempfile
from collections.abc import Sequence
from pathlib import Path

import aiohttp
from attrs import frozen

from tests.stand_ins.fleet import Fleet
from tests.stand_ins.launcher import Launcher

from ..path.__main__ import US_PER_S, Caller, measure_streams
from ..path.child import Child, start_child
from .fit import Point
from .registry import Series, register_measure

STREAM_SIZES = (50, 100, 200, 400)
STREAM_TOKENS = 50
STREAM_PACE_S = 0.06
REQUEST_SIZES = (100, 200, 400, 800)
LANES = 4
WARM_UP = 200
REST_S = 5.0
KB_PER_MB = 1024


@frozen(kw_only=True)
class RestCost:
    """What the processes of a small cell without traffic use."""

    gateway_mb: float
    controller_mb: float
    standby_mb: float
    gateway_core_share: float
    controller_core_share: float
    standby_core_share: float


async def _async_measure_streams(
    through: Caller, gateway: Child, streams: int
) -> float:
    before = gateway.read_cpu_s()
    events, _ = await measure_streams(through, streams, STREAM_TOKENS, STREAM_PACE_S)
    return (gateway.read_cpu_s() - before) / events * US_PER_S


async def _async_measure_requests(
    through: Caller, gateway: Child, requests: int
) -> float:
    async def async_run_lane(lane: int) -> None:
        for number in range(requests // LANES):
            await through.complete(lane * requests + number, 1)

    before = gateway.read_cpu_s()
    await asyncio.gather(*(async_run_lane(lane) for lane in range(LANES)))
    return (gateway.read_cpu_s() - before) * US_PER_S


async def async_measure_path() -> Sequence[Series]:
    """Measure requests and streams through one gateway process."""
    async with (
        start_child("measure.path.engine") as engine,
        start_child("measure.path.gateway", engine.address) as gateway,
        aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session,
    ):
        through = Caller(session, gateway.address, False)
        await _async_measure_requests(through, gateway, WARM_UP)
        requests: list[Point] = []
        for size in REQUEST_SIZES:
            used_us = await _async_measure_requests(through, gateway, size)
            requests.append(Point(size, used_us))
        rest_mb = gateway.read_memory_mb()
        chunks: list[Point] = []
        memory: list[Point] = []
        for size in STREAM_SIZES:
            used_us = await _async_measure_streams(through, gateway, size)
            chunks.append(Point(size, used_us))
            memory.append(Point(size, (gateway.read_memory_mb() - rest_mb) * KB_PER_MB))
    return (
        Series(
            name="request_us",
            title="requests of one token through a gateway, together",
            size_name="requests",
            unit="µs",
            points=tuple(requests),
        ),
        Series(
            name="chunk_us",
            title="streamed chunk, one token each 60 ms, its request included",
            size_name="streams",
            unit="µs",
            points=tuple(chunks),
        ),
        Series(
            name="stream_memory",
            title="resident memory added since rest, after streams at once",
            size_name="streams",
            unit="KB",
            points=tuple(memory),
        ),
    )


@register_measure("data path")
def measure_data_path() -> Sequence[Series]:
    """Measure the data path in processes of their own."""
    return asyncio.run(async_measure_path())


async def async_measure_rest() -> RestCost:
    """Start a gateway and two controllers without traffic, and read what they use."""
    with tempfile.TemporaryDirectory(prefix="mangoway-capacity-") as folder:
        async with (
            aiohttp.ClientSession() as session,
            Launcher(Path(folder)) as launcher,
        ):
            fleet = Fleet(launcher, session)
            await fleet.async_start_platform()
            await fleet.async_start_engines(1, 160_000)
            gateway = await fleet.async_start_gateway()
            for _ in range(2):
                await fleet.async_start_controller()
            await fleet.async_list_hosts()
            await fleet.async_wait_started()
            active = await fleet.async_find_active_controller()
            standby = next(each for each in fleet.controllers if each is not active)
            children = [
                Child(process.child.pid, process.address)
                for process in (gateway, active, standby)
            ]
            before = [child.read_cpu_s() for child in children]
            await asyncio.sleep(REST_S)
            shares = [
                (child.read_cpu_s() - start) / REST_S
                for child, start in zip(children, before, strict=True)
            ]
            sizes = [child.read_memory_mb() for child in children]
    return RestCost(
        gateway_mb=sizes[0],
        controller_mb=sizes[1],
        standby_mb=sizes[2],
        gateway_core_share=shares[0],
        controller_core_share=shares[1],
        standby_core_share=shares[2],
    )
