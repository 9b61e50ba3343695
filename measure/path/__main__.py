"""Measures the data path and prints a table.

All figures come from one run with the same engine process. Requests through the
gateway and direct requests alternate, so that both run under the same host load.
"""

import asyncio
import statistics
import time

import aiohttp
from attrs import frozen

from .child import Child, start_child
from .engine import MODEL, PACE_FIELD

WARM_UP = 200
REQUESTS = 2000
CONCURRENCY = 4
STREAMS = 200
STREAM_TOKENS = 300
STREAM_TOKEN_INTERVAL_S = 0.06
BURST_TOKENS = 2000
BURST_STREAMS = 8
MS_PER_S = 1000
US_PER_S = 1_000_000


@frozen
class Caller:
    """Client that sends completion requests to one address."""

    session: aiohttp.ClientSession
    address: str
    is_direct: bool

    async def complete(self, number: int, tokens: int, pace_s: float = 0.0) -> int:
        """Stream one completion; return the number of events received."""
        body = {
            "model": MODEL,
            "prompt": "a prompt of some words",
            "max_tokens": tokens,
            "stream": True,
            PACE_FIELD: pace_s,
        }
        if self.is_direct:
            body["request_id"] = str(number)
        url = f"http://{self.address}/v1/completions"
        async with self.session.post(
            url, json=body, headers={"X-Caller": "c"}
        ) as response:
            received = await response.read()
            if response.status != 200 or not received.endswith(b"[DONE]\n\n"):
                raise RuntimeError(
                    "completion failed or was cut off: "
                    f"status {response.status}, body {received[:200]!r}"
                )
            return received.count(b"data: ") - 1


async def time_request(caller: Caller, number: int) -> float:
    """Return the duration of a completion of one token in seconds."""
    started_at = time.perf_counter()
    await caller.complete(number, 1)
    return time.perf_counter() - started_at


async def measure_latency(direct: Caller, forwarded: Caller) -> list[list[float]]:
    """Return the durations of alternating direct and forwarded requests."""
    times: list[list[float]] = [[], []]

    async def run_worker(worker: int) -> None:
        for number in range(REQUESTS // CONCURRENCY):
            for kind, caller in enumerate((direct, forwarded)):
                times[kind].append(
                    await time_request(caller, worker * REQUESTS + number)
                )

    await asyncio.gather(*(run_worker(worker) for worker in range(CONCURRENCY)))
    return times


async def measure_streams(
    caller: Caller, streams: int, tokens: int, pace_s: float
) -> tuple[int, float]:
    """Return the number of events of concurrent streams, and their duration."""
    started_at = time.perf_counter()
    events = await asyncio.gather(
        *(caller.complete(number, tokens, pace_s) for number in range(streams))
    )
    return sum(events), time.perf_counter() - started_at


def print_latency(times: list[list[float]]) -> None:
    """Print the quantiles of direct and forwarded requests."""
    print("| request of one token | p50 ms | p99 ms |\n|---|---|---|")
    latencies = []
    for name, values in zip(("engine", "gateway"), times, strict=True):
        percentiles = statistics.quantiles(values, n=100)
        latencies.append((percentiles[49] * MS_PER_S, percentiles[98] * MS_PER_S))
        print(f"| {name} | {latencies[-1][0]:.2f} | {latencies[-1][1]:.2f} |")
    added = [latencies[1][i] - latencies[0][i] for i in range(2)]
    print(f"| added | {added[0]:.2f} | {added[1]:.2f} |\n")


async def report_streams(
    name: str, caller: Caller, gateway: Child, load: tuple[int, int, float]
) -> None:
    """Run streams and print the gateway's processor and memory use."""
    before = gateway.read_cpu_s()
    events, seconds = await measure_streams(caller, *load)
    used_s = gateway.read_cpu_s() - before
    print(
        f"| {name} | {events} | {events / seconds:.0f} | {used_s / seconds:.2f} "
        f"| {used_s / events * US_PER_S:.1f} | {gateway.read_memory_mb():.1f} |"
    )


async def measure(engine: Child, gateway: Child) -> None:
    """Run all measurements and print the results."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        direct = Caller(session, engine.address, True)
        forwarded = Caller(session, gateway.address, False)
        print(f"resident memory at rest: {gateway.read_memory_mb():.1f} MB")
        for number in range(WARM_UP):
            await forwarded.complete(number, 1)
            await direct.complete(number, 1)
        before = gateway.read_cpu_s()
        times = await measure_latency(direct, forwarded)
        used_s = gateway.read_cpu_s() - before
        print_latency(times)
        request_us = used_s / len(times[1]) * US_PER_S
        print(f"processor time per request of one token: {request_us:.0f} us\n")
        print("| streams | events | events/s | cores | us per event | memory MB |")
        print("|---|---|---|---|---|---|")
        paced_load = (STREAMS, STREAM_TOKENS, STREAM_TOKEN_INTERVAL_S)
        await report_streams("one event a read", forwarded, gateway, paced_load)
        burst_load = (BURST_STREAMS, BURST_TOKENS, 0.0)
        await report_streams("as fast as it goes", forwarded, gateway, burst_load)


async def main() -> None:
    """Start the engine and the gateway, and run the measurements."""
    async with (
        start_child("measure.path.engine") as engine,
        start_child("measure.path.gateway", engine.address) as gateway,
    ):
        await measure(engine, gateway)


if __name__ == "__main__":
    asyncio.run(main())
