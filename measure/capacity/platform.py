"""What reading the host list and the runners' reports costs a process."""

import asyncio
import time
from collections.abc import Sequence

import aiohttp
import orjson

from mangoway.engines.client import EngineClient
from mangoway.engines.codec import decode_report
from mangoway.engines.control import EngineControl
from mangoway.host_list.parser import parse_listing
from mangoway.models.upstream import Residency
from mangoway.peers import peers_pb2 as pb
from mangoway.peers.demand import decode_demand, encode_demand
from mangoway.policy.dispatch.events import ArtifactDemand
from mangoway.upstreams.session import UpstreamSession

from ..path.child import start_child
from .builders import make_artifact, make_incarnation, make_member, make_upstream
from .fit import Point
from .meter import US_PER_S, find_cpu_us
from .registry import Series, register_measure

ENTRY_SIZES = (18, 90, 185, 370)
"""Entries of the host list; the last is one cell: 62 nodes and 308 runners."""

RESIDENT_SIZES = (1, 6, 20, 60)
PARSES = 20
DEMAND_SIZES = (5, 10, 20, 40)
"""Models asked for in a second; a node has 46 requests a second."""

POLL_SIZES = (50, 100, 200, 400)
CACHE_CHANGES = 16
NODE_EVERY = 6


def write_listing(entries: int) -> bytes:
    """Return a host list; one entry in six is a node of the system."""
    groups = []
    for number in range(entries):
        member, upstream = make_member(number), make_upstream(number)
        is_node = number % NODE_EVERY == 0
        labels = {
            "role": "gateway" if is_node else "runner",
            "host": member.host if is_node else upstream.id,
            "data_centre": upstream.data_centre,
            "state": "live",
        }
        target = member.peer_address if is_node else upstream.address
        groups.append({"targets": [target], "labels": labels})
    return orjson.dumps(groups)


def write_report(residents: int) -> bytes:
    """Return a runner's report as its protocol has it."""
    return orjson.dumps(
        {
            "upstream": make_upstream(1).id,
            "incarnation": make_incarnation(1),
            "age_s": 0.2,
            "running": 117,
            "waiting": 3,
            "kv_cache_used_mb": 31_234,
            "fence": 1234,
            "residents": [
                {
                    "artifact": str(make_artifact(number)),
                    "memory_mb": 20_000,
                    "state": Residency.READY.value,
                }
                for number in range(residents)
            ],
            "cache_changes": [
                {"sequence": 10_000 + n, "added": [(n + 1) << 50], "removed": []}
                for n in range(CACHE_CHANGES)
            ],
            "leaving": False,
        }
    )


async def _async_measure_polls(polls: int, address: str, control: bool) -> float:
    clock = asyncio.get_running_loop().time
    async with aiohttp.ClientSession():
        session = UpstreamSession()
        reader = EngineControl(clock) if control else EngineClient(session, clock)
        for _ in range(10):
            await reader.async_read_report(address)
        began_at = time.process_time()
        for _ in range(polls):
            await reader.async_read_report(address)
        used_us = (time.process_time() - began_at) * US_PER_S
        await session.async_close()
    return used_us


async def async_measure_polls() -> list[tuple[int, float, float]]:
    """Return the microseconds of polls together, by a gateway and a controller."""
    found = []
    async with start_child("measure.path.engine") as engine:
        for polls in POLL_SIZES:
            by_gateway = await _async_measure_polls(polls, engine.address, False)
            by_controller = await _async_measure_polls(polls, engine.address, True)
            found.append((polls, by_gateway, by_controller))
    return found


def make_demands(artifacts: int) -> tuple[ArtifactDemand, ...]:
    """Return what a gateway reports of one second."""
    return tuple(
        ArtifactDemand(
            artifact=make_artifact(number), arrived=2, queued=0, tokens=400, refused=0
        )
        for number in range(artifacts)
    )


def pass_demand(demands: tuple[ArtifactDemand, ...]) -> int:
    """Encode and decode a report of demand; return its bytes."""
    member = make_member(1)
    report = encode_demand(member.host, member.incarnation, 1.0, demands)
    wire = report.SerializeToString()
    decode_demand(pb.DemandReport.FromString(wire))
    return len(wire)


@register_measure("platform and runners")
def measure_platform() -> Sequence[Series]:
    """Measure the host list's and the reports' bytes and processor time."""
    listings = {size: write_listing(size) for size in ENTRY_SIZES}
    reports = {size: write_report(size) for size in RESIDENT_SIZES}
    polls = asyncio.run(async_measure_polls())

    def make(
        name: str, title: str, size_name: str, unit: str, rows: list[tuple[int, float]]
    ) -> Series:
        points = tuple(Point(size, value) for size, value in rows)
        return Series(
            name=name, title=title, size_name=size_name, unit=unit, points=points
        )

    demands = {size: make_demands(size) for size in DEMAND_SIZES}
    return (
        make(
            "demand_bytes",
            "report of a gateway's demand",
            "models",
            "B",
            [(size, float(pass_demand(one))) for size, one in demands.items()],
        ),
        make(
            "demand_us",
            "report of a gateway's demand, made and read",
            "models",
            "µs",
            [
                (size, find_cpu_us(lambda _, one=one: pass_demand(one), 200))  # type: ignore[misc]
                for size, one in demands.items()
            ],
        ),
        make(
            "listing_bytes",
            "host list",
            "entries",
            "B",
            [(size, float(len(body))) for size, body in listings.items()],
        ),
        make(
            "listing_us",
            "parsing the host list",
            "entries",
            "µs",
            [
                (size, find_cpu_us(lambda _, body=body: parse_listing(body), PARSES))  # type: ignore[misc]
                for size, body in listings.items()
            ],
        ),
        make(
            "report_bytes",
            "runner's report, body",
            "residents",
            "B",
            [(size, float(len(body))) for size, body in reports.items()],
        ),
        make(
            "report_decode_us",
            "decoding a runner's report",
            "residents",
            "µs",
            [
                (size, find_cpu_us(lambda _, body=body: decode_report(body, 0.0), 200))  # type: ignore[misc]
                for size, body in reports.items()
            ],
        ),
        make(
            "poll_gateway_us",
            "polls of a runner by a gateway, together",
            "polls",
            "µs",
            [(size, used_us) for size, used_us, _ in polls],
        ),
        make(
            "poll_controller_us",
            "polls of a runner by a controller, together",
            "polls",
            "µs",
            [(size, used_us) for size, _, used_us in polls],
        ),
    )
