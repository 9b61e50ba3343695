"""Tests of answers to callers when they or an upstream misbehave."""

import asyncio
import socket
from collections.abc import AsyncIterator
from typing import Any

import orjson
import pytest
import pytest_asyncio

from mangoway.models.verdict import Verdict

from .gateway_world import HEADERS, GatewayWorld, open_world, wait_until


@pytest_asyncio.fixture
async def world() -> AsyncIterator[GatewayWorld]:
    async with open_world() as opened:
        yield opened


async def assert_problem(response: Any, status: int, code: str, verdict: str) -> Any:
    """Assert that a response is the expected problem document; return its body."""
    assert response.headers["Content-Type"] == "application/problem+json"
    body = await response.json(content_type=None)
    seen = (response.status, body["status"], body["code"], body["verdict"])
    assert seen == (status, status, code, verdict), body
    assert body["detail"]
    return body


class TestRejections:
    """Requests that are rejected before they run."""

    @pytest.mark.parametrize(
        ("headers", "status", "code"),
        [
            ({}, 403, "unknown_caller"),
            ({"X-Caller": "nobody"}, 403, "unknown_caller"),
            (HEADERS | {"X-Work-Class": "soon"}, 400, "unknown_class"),
            (HEADERS | {"X-Deadline-Seconds": "x"}, 400, "malformed_request"),
            (HEADERS | {"X-Deadline-Seconds": "-1"}, 400, "malformed_request"),
            (HEADERS | {"X-Deadline-Seconds": "nan"}, 400, "malformed_request"),
            (HEADERS | {"X-Idempotent": "maybe"}, 400, "malformed_request"),
            (HEADERS | {"Idempotency-Key": ""}, 400, "malformed_request"),
        ],
    )
    async def test_wrong_headers(
        self, world: GatewayWorld, headers: dict[str, str], status: int, code: str
    ) -> None:
        response = await world.complete(headers)
        body = await assert_problem(response, status, code, "not_run")
        assert body["request_id"] == response.headers["X-Request-Id"]

    @pytest.mark.parametrize(
        ("fields", "status", "code"),
        [
            ({"model": "x"}, 404, "unknown_model"),
            ({"model": "m@2"}, 404, "unknown_model"),
            ({"model": "m@"}, 404, "unknown_model"),
            ({"model": "m+b"}, 404, "unknown_model"),
            ({"model": 1}, 400, "malformed_request"),
            ({"prompt": None}, 400, "malformed_request"),
            ({"max_tokens": 0}, 400, "malformed_request"),
            ({"max_tokens": True}, 400, "malformed_request"),
            ({"stream": "yes"}, 400, "malformed_request"),
            ({"n": 2}, 400, "malformed_request"),
            ({"request_id": "mine"}, 400, "malformed_request"),
            ({"caller": 5}, 400, "malformed_request"),
            ({"deadline_s": True}, 400, "malformed_request"),
            ({"idempotent": "no"}, 400, "malformed_request"),
        ],
    )
    async def test_wrong_fields(
        self, world: GatewayWorld, fields: dict[str, Any], status: int, code: str
    ) -> None:
        headers = {} if "caller" in fields else HEADERS
        response = await world.complete(headers, **fields)
        await assert_problem(response, status, code, "not_run")

    @pytest.mark.parametrize("body", [b"", b"{", b"[]", b'"x"', b"\xff\xfe"])
    async def test_malformed_body(self, world: GatewayWorld, body: bytes) -> None:
        url = f"{world.url}/v1/completions"
        response = await world.client.post(url, data=body, headers=HEADERS)
        await assert_problem(response, 400, "malformed_request", "not_run")

    @pytest.mark.parametrize("chunked", [False, True])
    async def test_oversized_body(self, world: GatewayWorld, chunked: bool) -> None:
        async def make_parts() -> AsyncIterator[bytes]:
            for _ in range(3):
                yield b" " * (1 << 19)

        data = make_parts() if chunked else b" " * ((1 << 20) + 1)
        url = f"{world.url}/v1/completions"
        response = await world.client.post(url, data=data, headers=HEADERS)
        await assert_problem(response, 413, "body_too_large", "not_run")
        request_id = response.headers["x-request-id"]
        _, answer = await world.get(f"/v1/explain/{request_id}")
        assert answer["decisions"][0]["reason"] == "answered_body_too_large"

    @pytest.mark.parametrize(
        ("method", "path", "status", "code"),
        [
            ("GET", "/v1/completions", 405, "method_not_allowed"),
            ("POST", "/v1/addresses", 405, "method_not_allowed"),
            ("GET", "/nothing", 404, "not_found"),
            ("POST", "/v1/services/records", 404, "not_found"),
            ("POST", "/v1/services/records/erase", 404, "unknown_service"),
            ("POST", "/v1/services/other/read", 404, "unknown_service"),
            ("GET", "/v1/explain/none", 404, "not_found"),
        ],
    )
    async def test_wrong_path(
        self, world: GatewayWorld, method: str, path: str, status: int, code: str
    ) -> None:
        url = world.url + path
        response = await world.client.request(method, url, headers=HEADERS, json={})
        await assert_problem(response, status, code, "not_run")

    async def test_body_fields_replace_headers(self, world: GatewayWorld) -> None:
        fields = {"caller": "lab", "work_class": "patient", "deadline_s": 30}
        response = await world.complete({}, **fields)
        assert response.status == 200


class TestHangUp:
    """Callers that hang up before their answer is complete."""

    async def test_hang_up_while_streaming_cancels_at_the_engine(self) -> None:
        async with open_world(tokens_per_second=50.0) as world:
            response = await world.complete(stream=True, max_tokens=1000)
            await response.content.readany()
            response.close()
            await world.wait_until_idle()
            await wait_until(lambda: world.engine.hung_up == 1)

    async def test_hang_up_while_waiting_cancels_at_the_engine(self) -> None:
        async with open_world(tokens_per_second=50.0) as world:
            task = asyncio.ensure_future(world.complete(max_tokens=1000))
            await wait_until(lambda: bool(world.engine.truth()["runs"]))
            task.cancel()
            await world.wait_until_idle()
            await wait_until(lambda: world.engine.hung_up == 1)

    async def test_hang_up_in_the_body_leaves_no_request_open(
        self, world: GatewayWorld
    ) -> None:
        host, port = world.url.removeprefix("http://").split(":")
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(
                b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                b"Content-Length: 100\r\n\r\n{"
            )
            await asyncio.sleep(0.05)
        await world.wait_until_idle()
        assert (await world.complete()).status == 200


class TestUpstreamFaults:
    """Upstreams that fail, and how the failures are reported."""

    async def test_request_on_silent_connection_is_retried(
        self, world: GatewayWorld
    ) -> None:
        assert (await world.complete()).status == 200
        url = f"http://{world.engine.address}/admin/silence"
        await world.client.post(url)
        response = await world.complete(max_tokens=4)
        body = await response.json(content_type=None)
        assert response.status == 200, body
        explanation = await world.get(f"/v1/explain/{body['id']}")
        assert "retried" in [each["reason"] for each in explanation[1]["decisions"]]

    async def test_cut_stream_without_retries_ends_with_an_error_event(self) -> None:
        headers = HEADERS | {"X-Idempotent": "false"}
        async with open_world(tokens_per_second=20.0) as world:
            world.engine.switches.cut_streams = 1
            response = await world.complete(headers, stream=True, max_tokens=30)
            body = await response.read()
        assert response.status == 200
        assert b"[DONE]" not in body
        *_, last = [part for part in body.split(b"\n\n") if part]
        name, data = last.split(b"\n")
        assert name == b"event: error"
        error = orjson.loads(data.removeprefix(b"data: "))["error"]
        assert error["code"] == "upstream_failed"
        assert error["verdict"] == Verdict.MAY_HAVE_RUN.value
        assert error["request_id"] == response.headers["X-Request-Id"]

    async def test_report_of_unlisted_runner_is_removed(
        self, world: GatewayWorld
    ) -> None:
        report_tracker = world.node.report_tracker
        (upstream,) = (
            entry.report.upstream for entry in report_tracker.list_since(0, 9)
        )
        world.node.set_upstreams([])
        assert report_tracker.get(upstream) is None

    async def test_rejection_has_a_retry_delay(self, world: GatewayWorld) -> None:
        world.node.set_upstreams([])
        response = await world.call("confirm", {"id": 1}, X_Deadline_Seconds="0.2")
        body = await assert_problem(response, 503, "no_upstream", "not_run")
        assert int(response.headers["Retry-After"]) >= 1
        assert body["retry_after_s"] > 0


class TestServices:
    """Calls of plain services."""

    async def test_passes_through(self, world: GatewayWorld) -> None:
        response = await world.call("read", {"id": 7})
        assert response.status == 200
        body = await response.json()
        assert body == {"call": "read", "echo": {"id": 7}, "run": 1}

    async def test_call_with_lost_answer_is_retried_only_if_idempotent(
        self, world: GatewayWorld
    ) -> None:
        world.service.switches.drop_after_run = 1
        response = await world.call("confirm", {"id": 1})
        await assert_problem(response, 502, "upstream_failed", "may_have_run")
        assert world.service.runs["confirm/1"] == 1

        world.service.switches.drop_after_run = 1
        response = await world.call("read", {"id": 1})
        assert response.status == 200
        assert world.service.runs["read/1"] == 2

    async def test_caller_can_forbid_retries(self, world: GatewayWorld) -> None:
        world.service.switches.drop_after_run = 1
        response = await world.call("read", {"id": 1}, X_Idempotent="false")
        await assert_problem(response, 502, "upstream_failed", "may_have_run")
        assert world.service.runs["read/1"] == 1

    async def test_caller_cannot_allow_retries(self, world: GatewayWorld) -> None:
        world.service.switches.drop_after_run = 1
        response = await world.call("confirm", {"id": 1}, X_Idempotent="true")
        await assert_problem(response, 502, "upstream_failed", "may_have_run")

    async def test_rejected_call_is_retried(self, world: GatewayWorld) -> None:
        world.service.switches.refuse = 1
        response = await world.call("confirm", {"id": 1})
        assert response.status == 200
        assert world.service.runs["confirm/1"] == 1
