"""Tests of a gateway through its interface for callers, with stand-in upstreams."""

import asyncio
from collections.abc import AsyncIterator

import orjson
import pytest
import pytest_asyncio

from mangoway.models.identifiers import ConfigVersion
from mangoway.models.member import MemberState
from tests.stand_ins.answers import make_answer

from .gateway_world import CONFIGURATION, HEADERS, GatewayWorld, open_world


@pytest_asyncio.fixture
async def world() -> AsyncIterator[GatewayWorld]:
    async with open_world() as opened:
        yield opened


def read_events(body: bytes) -> list[bytes]:
    return [part.removeprefix(b"data: ") for part in body.split(b"\n\n") if part]


class TestCompletions:
    """Completions, streamed and not streamed."""

    @pytest.mark.parametrize(
        ("name", "artifact"),
        [("m", "m@1"), ("m@1", "m@1"), ("m+a", "m@1+a"), ("m@1+a", "m@1+a")],
    )
    async def test_not_streamed(
        self, world: GatewayWorld, name: str, artifact: str
    ) -> None:
        response = await world.complete(model=name, max_tokens=5)
        body = await response.json()
        assert response.status == 200, body
        assert body["choices"][0]["text"] == make_answer(artifact, "hi", 5)
        assert body["choices"][0]["finish_reason"] == "length"
        assert body["model"] == name
        assert body["usage"]["completion_tokens"] == 5
        assert body["id"] == response.headers["X-Request-Id"]

    async def test_streamed(self, world: GatewayWorld) -> None:
        response = await world.complete(stream=True, max_tokens=20)
        *events, done = read_events(await response.read())
        assert response.headers["Content-Type"] == "text/event-stream"
        choices = [orjson.loads(event)["choices"][0] for event in events]
        assert "".join(each["text"] for each in choices) == make_answer("m@1", "hi", 20)
        assert choices[-1]["finish_reason"] == "length"
        assert done == b"[DONE]"

    async def test_concurrent_callers_get_their_own_answers(
        self, world: GatewayWorld
    ) -> None:
        async def complete_prompt(number: int) -> str:
            prompt = f"prompt {number}"
            headers = {"X-Caller": "desk" if number % 2 else "lab"}
            response = await world.complete(
                headers, prompt=prompt, max_tokens=number + 1
            )
            return (await response.json())["choices"][0]["text"]

        texts = await asyncio.gather(*(complete_prompt(number) for number in range(12)))
        assert texts == [make_answer("m@1", f"prompt {n}", n + 1) for n in range(12)]

    async def test_cut_stream_is_resumed_and_complete(
        self, world: GatewayWorld
    ) -> None:
        world.engine.switches.cut_streams = 1
        response = await world.complete(stream=True, max_tokens=20)
        events = read_events(await response.read())
        texts = [orjson.loads(event)["choices"][0]["text"] for event in events[:-1]]
        assert "".join(texts) == make_answer("m@1", "hi", 20)
        assert len(world.engine.truth()["runs"]) == 2


class TestPages:
    """Pages about the gateway itself."""

    async def test_addresses(self, world: GatewayWorld) -> None:
        status, answer = await world.get("/v1/addresses")
        assert status == 200
        assert answer["valid_for_s"] == CONFIGURATION.site.address_validity_s
        assert answer["gateways"] == [
            {
                "host": "g0",
                "address": world.url.removeprefix("http://"),
                "incarnation": world.node.settings.incarnation,
                "data_centre": "dc",
            }
        ]

    async def test_addresses_list_the_own_data_centre_first_and_rotate(self) -> None:
        async with open_world(gateways=3) as world:
            world.set_members({1: {"data_centre": "far"}})
            firsts = []
            for _ in range(4):
                _, answer = await world.get("/v1/addresses")
                hosts = [each["host"] for each in answer["gateways"]]
                assert hosts[-1] == "g1"
                firsts.append(hosts[0])
        assert firsts == ["g0", "g2", "g0", "g2"]

    async def test_without_a_ready_gateway_there_are_no_addresses(
        self, world: GatewayWorld
    ) -> None:
        world.set_members({0: {"ready": False}})
        status, problem = await world.get("/v1/addresses")
        assert (status, problem["code"]) == (503, "not_ready")

    async def test_only_a_change_of_live_gateways_reassigns_the_engines(
        self, world: GatewayWorld, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        reassignments: list[None] = []
        monkeypatch.setattr(
            world.node, "_assign_engines", lambda: reassignments.append(None)
        )
        world.set_members({0: {"config_version": ConfigVersion(9)}})
        assert reassignments == []
        world.set_members({0: {"state": MemberState.LEAVING}})
        assert reassignments == [None]

    async def test_status(self, world: GatewayWorld) -> None:
        _, status = await world.get("/v1/status")
        assert status["config_version"] == 1
        assert [each["host"] for each in status["members"]] == ["g0"]
        upstreams = {each["upstream"]: each for each in status["upstreams"]}
        assert upstreams["e1"]["report_age_s"] is not None
        assert upstreams["s1"]["listed"]

    async def test_metrics(self, world: GatewayWorld) -> None:
        await world.complete(max_tokens=3)
        await world.complete(model="x")
        async with world.client.get(world.url + "/metrics") as response:
            lines = (await response.text()).splitlines()
        assert 'mangoway_tokens_total{work_class="urgent"} 3.0' in lines
        assert (
            'mangoway_requests_total{code="unknown_model",outcome="refused",'
            'work_class=""} 1.0' in lines
        )
        assert 'mangoway_upstreams{kind="engine",state="listed"} 1' in lines

    async def test_explanation(self, world: GatewayWorld) -> None:
        body = await (await world.complete()).json()
        _, answer = await world.get(f"/v1/explain/{body['id']}")
        dispatched = answer["decisions"][0]
        assert (dispatched["reason"], dispatched["upstream"]) == ("dispatched", "e1")

    async def test_rejection_before_any_decision_is_explained(
        self, world: GatewayWorld
    ) -> None:
        body = await (await world.complete(model="x")).json()
        _, answer = await world.get(f"/v1/explain/{body['request_id']}")
        (rejected,) = answer["decisions"]
        assert rejected["reason"] == "answered_unknown_model"
        assert rejected["detail"].startswith("not_run: ")

    async def test_trace_continues_from_the_caller(self, world: GatewayWorld) -> None:
        trace_id = "0af7651916cd43dd8448eb211c80319c"
        parent = f"00-{trace_id}-b7ad6b7169203331-01"
        await world.complete(HEADERS | {"traceparent": parent})
        hops = [each.hop for each in world.node.tracing.list_spans(trace_id)]
        assert hops == ["gateway", "engine", "caller"]
