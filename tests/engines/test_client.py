"""Tests of the client of model engines."""

import orjson
import pytest

from mangoway.engines.client import EngineClient
from mangoway.engines.messages import CompletionAttempt, OrderAnswer
from mangoway.models.artifact import Artifact
from mangoway.models.errors import ErrorCode, MangowayError
from mangoway.models.identifiers import (
    AttemptId,
    FenceNumber,
    IncarnationId,
    ModelName,
    OrderId,
    UpstreamId,
    VersionName,
)
from mangoway.models.order import Order, OrderKind, OrderOutcome
from mangoway.models.verdict import Verdict
from mangoway.upstreams.session import UpstreamSession

from ..upstreams.raw_server import RawServer, Script, answer, cut, make_response
from .test_stream import DONE, make_event

ARTIFACT = Artifact(ModelName("m"), VersionName("1"))
NOW = 100.0
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


def make_attempt(silence_s: float = 5.0) -> CompletionAttempt:
    return CompletionAttempt(
        id=AttemptId("a-1"),
        artifact=ARTIFACT,
        prompt="hello",
        max_tokens=8,
        priority=3,
        resume_from=1,
        resume_text="x",
        parameters={"temperature": 0.5, "stream": False},
        timeout_s=30.0,
        silence_s=silence_s,
    )


def make_order() -> Order:
    return Order(
        id=OrderId("o-1"),
        upstream=UpstreamId("r1"),
        incarnation=IncarnationId("i1"),
        fence=FenceNumber(7),
        kind=OrderKind.LOAD,
        artifact=ARTIFACT,
        memory_mb=10,
    )


async def complete(script: Script, silence_s: float = 5.0) -> tuple[str, bytes]:
    """Return the streamed text and the request that the engine received."""
    async with RawServer(script) as server, UpstreamSession() as session:
        client = EngineClient(session, lambda: NOW)
        stream = client.async_complete(server.address, make_attempt(silence_s))
        text = "".join([chunk.text async for chunks in stream for chunk in chunks])
        return text, server.requests[0]


async def send_order(*scripts: Script) -> OrderAnswer:
    async with RawServer(*scripts) as server, UpstreamSession() as session:
        client = EngineClient(session, lambda: NOW)
        return await client.async_send_order(server.address, make_order(), 0.5)


class TestComplete:
    """Tests of the stream of one completion attempt."""

    async def test_text_is_streamed_and_the_request_is_complete(self) -> None:
        events = make_event("b", 2) + make_event("c", 3) + DONE
        text, request = await complete(cut(STREAM_HEAD, events))
        assert text == "bc"
        body = orjson.loads(request.partition(b"\r\n\r\n")[2])
        assert body == {
            "model": "m@1",
            "prompt": "hello",
            "max_tokens": 8,
            "stream": True,
            "priority": 3,
            "request_id": "a-1",
            "resume_from": 1,
            "resume_text": "x",
            "prefix_hashes": [],
            "temperature": 0.5,
        }

    async def test_stream_without_its_end_mark_fails(self) -> None:
        with pytest.raises(MangowayError) as caught:
            await complete(cut(STREAM_HEAD, make_event("b", 2)))
        assert caught.value.failure.verdict is Verdict.MAY_HAVE_RUN

    async def test_stream_that_goes_silent_fails(self) -> None:
        with pytest.raises(MangowayError) as caught:
            await complete(answer(STREAM_HEAD, make_event("b", 2)), silence_s=0.1)
        assert caught.value.code is ErrorCode.UPSTREAM_SILENT

    async def test_answer_of_another_attempt_fails(self) -> None:
        event = make_event("b", 2, attempt="a-2")
        with pytest.raises(MangowayError) as caught:
            await complete(cut(STREAM_HEAD, event, DONE))
        assert "a-2" in caught.value.failure.detail


class TestControl:
    """Tests of descriptions and reports."""

    async def test_missing_checks_fences_means_false(self) -> None:
        body = b'{"upstream": "r1", "incarnation": "i1", "memory_mb": 80}'
        async with (
            RawServer(answer(make_response(200, body))) as server,
            UpstreamSession() as session,
        ):
            client = EngineClient(session, lambda: NOW)
            description = await client.async_describe(server.address)
        assert description.memory_mb == 80
        assert description.checks_fences is False

    async def test_report_time_is_computed_from_its_age(self) -> None:
        body = orjson.dumps(
            {
                "upstream": "r1",
                "incarnation": "i1",
                "age_s": 2.5,
                "running": 1,
                "waiting": 0,
                "residents": [
                    {"artifact": "m@1+a", "memory_mb": 5, "state": "loading"}
                ],
                "cache_changes": [{"sequence": 4, "added": [1], "removed": []}],
            }
        )
        async with (
            RawServer(answer(make_response(200, body))) as server,
            UpstreamSession() as session,
        ):
            client = EngineClient(session, lambda: NOW)
            report = await client.async_read_report(server.address)
        assert report.reported_at == NOW - 2.5
        assert str(report.residents[0].artifact) == "m@1+a"
        assert report.cache_changes[0].added == (1,)

    @pytest.mark.parametrize("body", [b"[]", b"{", b"{}", b'{"running": "x"}'])
    async def test_malformed_report_fails(self, body: bytes) -> None:
        async with (
            RawServer(answer(make_response(200, body))) as server,
            UpstreamSession() as session,
        ):
            client = EngineClient(session, lambda: NOW)
            with pytest.raises(MangowayError):
                await client.async_read_report(server.address)


class TestOrder:
    """Tests of orders and their answers."""

    async def test_answer_is_decoded(self) -> None:
        body = b'{"order_id": "o-1", "outcome": "refused_stale_fence", "fence": 9}'
        result = await send_order(answer(make_response(200, body)))
        assert result.outcome is OrderOutcome.REJECTED_STALE_FENCE
        assert result.fence == 9

    async def test_answer_to_another_order_fails(self) -> None:
        body = b'{"order_id": "o-0", "outcome": "accepted", "fence": 9}'
        with pytest.raises(MangowayError) as caught:
            await send_order(answer(make_response(200, body)))
        assert caught.value.failure.verdict is Verdict.MAY_HAVE_RUN

    async def test_lost_answer_may_have_run(self) -> None:
        with pytest.raises(MangowayError) as caught:
            await send_order(answer())
        assert caught.value.failure.verdict is Verdict.MAY_HAVE_RUN
