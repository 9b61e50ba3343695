"""Tests of the engine stand-in, which other tests rely on."""

import json
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import pytest

from mangoway.models.identifiers import UpstreamId
from tests.fakes.engine import EngineSettings

from .answers import make_answer
from .engine import EngineStandIn

MODEL = "escort@1"


class Client:
    """Client of one engine stand-in."""

    def __init__(self, engine: EngineStandIn, session: aiohttp.ClientSession) -> None:
        self.engine = engine
        self.session = session

    async def async_post(self, path: str, **body: Any) -> tuple[int, Any]:
        url = f"http://{self.engine.address}{path}"
        async with self.session.post(url, json=body) as response:
            text = await response.text()
            is_json = response.content_type == "application/json"
            return response.status, json.loads(text) if is_json else text

    async def async_order(self, kind: str, fence: int, **other: Any) -> str:
        _, answer = await self.async_post(
            "/v1/orders",
            order_id=f"order-{fence}",
            incarnation=self.engine.model.incarnation,
            fence=fence,
            kind=kind,
            **{"artifact": MODEL, "memory_mb": 600, **other},
        )
        return str(answer["outcome"])

    async def async_complete(self, **other: Any) -> tuple[int, Any]:
        body = {"model": MODEL, "prompt": "p", "max_tokens": 5, "request_id": "a"}
        return await self.async_post("/v1/completions", **{**body, **other})


@pytest.fixture
async def client() -> AsyncIterator[Client]:
    settings = EngineSettings(
        upstream=UpstreamId("engine-1"), memory_mb=1000, kv_cache_floor_mb=0
    )
    engine = EngineStandIn(settings, store_mb_per_second=1e9)
    await engine.async_start()
    async with aiohttp.ClientSession() as session:
        yield Client(engine, session)
    await engine.async_stop()


class TestAnswers:
    """Answers are complete, deterministic, and counted."""

    async def test_complete_answer(self, client: Client) -> None:
        await client.async_order("load", 1)
        status, answer = await client.async_complete()
        assert status == 200
        assert answer["choices"][0]["text"] == make_answer(MODEL, "p", 5)
        assert client.engine.truth()["runs"] == {"a": 1}

    async def test_resumed_stream_continues(self, client: Client) -> None:
        await client.async_order("load", 1)
        _, text = await client.async_complete(stream=True, resume_from=2)
        lines = [line[6:] for line in text.split("\n") if line.startswith("data: ")]
        pieces = [json.loads(line)["choices"][0]["text"] for line in lines[:-1]]
        assert lines[-1] == "[DONE]"
        expected = make_answer(MODEL, "p", 5)
        assert make_answer(MODEL, "p", 2) + "".join(pieces) == expected

    async def test_not_resident_is_not_run(self, client: Client) -> None:
        status, _ = await client.async_complete()
        assert status == 503
        assert client.engine.truth()["runs"] == {}

    async def test_cut_stream_raises_at_the_client(self, client: Client) -> None:
        await client.async_order("load", 1)
        client.engine.switches.cut_streams = 1
        with pytest.raises(aiohttp.ClientError):
            await client.async_complete(stream=True)


class TestMemory:
    """Memory is counted, exceeding it is recorded, and orders can get lost."""

    async def test_records_over_size(self, client: Client) -> None:
        await client.async_order("load", 1)
        assert client.engine.truth()["over_size"] is False
        await client.async_order("load", 2, artifact="slips@1")
        assert client.engine.truth()["over_size"] is True

    async def test_checks_fences_only_if_switched_on(self, client: Client) -> None:
        await client.async_order("load", 5)
        assert await client.async_order("unload", 4) == "refused_stale_fence"
        client.engine.switches.checks_fences = False
        assert await client.async_order("unload", 4) == "accepted"

    async def test_lost_order_has_no_effect(self, client: Client) -> None:
        client.engine.switches.lose_orders = 1
        with pytest.raises(aiohttp.ClientError):
            await client.async_order("load", 1)
        assert client.engine.truth()["loaded"] == []

    async def test_lost_answer_has_effect(self, client: Client) -> None:
        client.engine.switches.lose_order_answers = 1
        with pytest.raises(aiohttp.ClientError):
            await client.async_order("load", 1)
        assert client.engine.truth()["loaded"] == [MODEL]


class TestSilence:
    """Open connections hang while new ones work."""

    async def test_old_connection_hangs_and_new_one_works(self, client: Client) -> None:
        await client.async_order("load", 1)
        async with aiohttp.ClientSession() as other:
            await other.post(f"http://{client.engine.address}/admin/silence")
        timeout = aiohttp.ClientTimeout(total=0.2)
        with pytest.raises(TimeoutError):
            url = f"http://{client.engine.address}/v1/report"
            await client.session.get(url, timeout=timeout)
        async with aiohttp.ClientSession() as new:
            assert (await new.get(url)).status == 200
