"""Stand-ins for runners that send unframed responses and end in the middle of them.

The failure: a soak whose killed runners reset their connections never showed that an
early end passes for a complete response.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import pytest

from .order import EVENT_COUNT, parse_events
from .records import Records
from .runners import EVENT_INTERVAL_S, RunnerStandIn
from .store import StoreStandIn

MODEL = "m0"
MIDDLE_S = EVENT_INTERVAL_S * EVENT_COUNT / 2


@asynccontextmanager
async def start_runner(*, is_plain: bool = False) -> AsyncIterator[RunnerStandIn]:
    """Start a runner all of whose responses are unframed."""
    random = Random(1)
    store = StoreStandIn(random)
    service = "plain" if is_plain else "llm"
    models: dict[str, set[str]] | None = None if is_plain else {MODEL: set()}
    runner = RunnerStandIn(service, "dc-1", store, Records(), random, models)
    runner.resets = True
    runner.unframed_share = 1.0
    await runner.async_start()
    try:
        yield runner
    finally:
        await runner.async_crash()


async def async_connect(
    runner: RunnerStandIn,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    assert runner.relay is not None
    host, _, port = runner.relay.relay_address.partition(":")
    return await asyncio.open_connection(host, int(port))


Ends = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def async_send(runner: RunnerStandIn) -> Ends:
    """Send the request of a stream."""
    reader, writer = await async_connect(runner)
    writer.write(
        f"POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q\r\nX-Model: {MODEL}\r\n"
        f"X-Expect-Instance: {runner.runner_id}\r\nContent-Length: 0\r\n\r\n".encode()
    )
    return reader, writer


async def async_count_events(reader: asyncio.StreamReader) -> int:
    """Return the number of events until the connection is closed."""
    head, _, body = (await reader.read(-1)).partition(b"\r\n\r\n")
    assert b"Length" not in head and b"Encoding" not in head
    events, _ = parse_events(body.decode())
    return len(events)


class TestUnframedResponses:
    """Responses that end with their connections."""

    async def test_whole_stream_ends_when_it_is_closed(self) -> None:
        async with start_runner() as runner:
            reader, _writer = await async_send(runner)
            assert await async_count_events(reader) == EVENT_COUNT
            assert (runner.records.unframed, runner.records.cut_unframed) == (1, 0)

    async def test_killed_runner_closes_and_no_longer_listens(self) -> None:
        async with start_runner() as runner:
            reader, _writer = await async_send(runner)
            await asyncio.sleep(MIDDLE_S)
            runner.kill()
            assert 0 < await async_count_events(reader) < EVENT_COUNT
            with pytest.raises(ConnectionRefusedError):
                await async_connect(runner)
            await asyncio.sleep(MIDDLE_S)
            assert runner.records.cut_unframed == 1

    async def test_runner_that_is_cut_off_resets(self) -> None:
        async with start_runner() as runner:
            reader, _writer = await async_send(runner)
            await asyncio.sleep(MIDDLE_S)
            assert runner.relay is not None
            runner.relay.cut()
            with pytest.raises(ConnectionResetError):
                await reader.read(-1)

    async def test_runner_that_fails_resets(self) -> None:
        async with start_runner() as runner:
            runner.fail_share = 1.0
            reader, _writer = await async_send(runner)
            with pytest.raises(ConnectionResetError):
                await reader.read(-1)


class TestHealth:
    """Checks of a runner's health, with which edges ask which runner answers."""

    async def async_check(self, runner: RunnerStandIn, expected: str) -> bytes:
        """Return the head of the response to a check for a runner."""
        reader, writer = await async_connect(runner)
        writer.write(
            f"GET /health HTTP/1.1\r\nHost: h\r\nX-Expect-Instance: {expected}\r\n"
            "Connection: close\r\n\r\n".encode()
        )
        return (await reader.read(-1)).partition(b"\r\n\r\n")[0]

    async def test_check_is_no_run(self) -> None:
        """The soak reported a request that ran though no caller had sent it."""
        async with start_runner(is_plain=True) as runner:
            head = await self.async_check(runner, runner.runner_id)
            assert f"X-Instance-Id: {runner.runner_id}".encode() in head
            assert runner.records.runs == {}

    async def test_check_of_another_runner_is_rejected(self) -> None:
        async with start_runner(is_plain=True) as runner:
            assert b" 421 " in await self.async_check(runner, "other")
