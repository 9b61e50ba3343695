"""Tests of requests that an edge without runners sends through a peer."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from attrs import define, evolve

from mangoway.edge.identity import identify_stream
from mangoway.edge.relay import RELAY_FIELD
from mangoway.models.streams import StreamOrigin
from mangoway.policy.scheduling.events import EndKind

from ..fakes.fleet import make_runner
from ..fakes.polling import async_wait_until
from ..fakes.version_records import record_current_versions
from ..upstreams.raw_server import RawServer, Script, answer, cut, make_response
from .unreachable import (
    RUNNERS,
    add_runners,
    introduce,
    make_member,
    reserve_refusing_address,
    stop_accepting,
)
from .world import (
    SIGNED,
    EdgeWorld,
    make_event,
    make_not_run,
    make_ok,
    make_stream,
    start_edge,
)

RELAYED = RELAY_FIELD.decode()
EVENTS = make_stream(make_event(1), make_event(2), make_event(3))


@define
class RelayingFleet:
    """An edge without runners, its peer, and the runner behind the peer."""

    edge: EdgeWorld
    peer: EdgeWorld
    runner: RawServer

    async def async_lose_reach(self) -> None:
        """Let the edge notice that it reaches no runner."""
        self.edge.forwarder.connector.start_check(0.0)
        await self.edge.forwarder.connector.async_settle()
        assert self.edge.forwarder.connector.reach.is_lost


@asynccontextmanager
async def start_relaying_fleet(
    *scripts: Script, peer_reaches: bool = True
) -> AsyncIterator[RelayingFleet]:
    """Start the fleet; the runner's responses are the scripts."""
    with reserve_refusing_address() as refusing:
        async with (
            RawServer(*scripts) as runner,
            start_edge() as edge,
            start_edge(incarnation="e2") as peer,
        ):
            introduce(edge, peer)
            add_runners(edge, refusing)
            add_runners(peer, runner.address if peer_reaches else refusing)
            record_current_versions(peer.view)
            yield RelayingFleet(edge, peer, runner)


@asynccontextmanager
async def start_edge_with_peer(
    script: Script,
) -> AsyncIterator[tuple[EdgeWorld, RawServer]]:
    """Start an edge that reaches no runner, and a scripted peer."""
    with reserve_refusing_address() as refusing:
        async with RawServer(script) as peer, start_edge() as edge:
            add_runners(edge, refusing)
            member = evolve(make_member("e2", edge), caller_address=peer.address)
            edge.view.update_member("members/edge/e2", member)
            yield edge, peer


def cut_off_while_silent(edge: EdgeWorld, silent: RawServer) -> None:
    """Leave a plain runner that soon accepts no further connections."""
    for number in range(RUNNERS):
        edge.view.remove_runner(f"plain-{number}", 0.0)
    entry = make_runner("plain-0", service="plain", address=silent.address)
    edge.view.update_runner(entry)
    asyncio.get_running_loop().call_later(0.1, silent._server.close)


def count_requests(edge: EdgeWorld) -> int:
    """Return the requests that an edge has counted for its retry budget."""
    return edge.forwarder.retry_budgets.get("plain").requests


class TestRelayedRequest:
    """What the runner receives, and what is counted at which edge."""

    async def test_runner_receives_the_request_without_the_mark(self) -> None:
        async with start_relaying_fleet(answer(make_ok())) as fleet:
            await fleet.async_lose_reach()
            headers = "X-Deadline-Ms: 900\r\nX-Other: 1\r\n"
            reply = await fleet.edge.async_call("/safe/x?a=b", b"body", headers)
        assert (reply.status, reply.body) == (200, b"whole")
        received = fleet.runner.requests[0].decode()
        assert received.startswith("POST /safe/x?a=b HTTP/1.1\r\n")
        assert received.endswith("\r\n\r\nbody")
        assert "X-Other: 1\r\n" in received
        assert RELAYED not in received.lower()
        deadline = received.lower().partition("x-deadline-ms: ")[2].partition("\r")[0]
        assert 0 < int(deadline) <= 900

    async def test_request_is_counted_once_for_the_retry_budget(self) -> None:
        async with start_relaying_fleet(answer(make_ok())) as fleet:
            before = count_requests(fleet.edge) + count_requests(fleet.peer)
            await fleet.edge.async_call("/safe/x")
            assert count_requests(fleet.edge) + count_requests(fleet.peer) == before + 1
            await fleet.async_lose_reach()
            await fleet.edge.async_call("/safe/x")
            assert count_requests(fleet.edge) + count_requests(fleet.peer) == before + 2

    async def test_no_grant_is_requested_by_the_first_edge(self) -> None:
        async with start_relaying_fleet(answer(*EVENTS)) as fleet:
            await fleet.async_lose_reach()
            reply = await fleet.edge.async_call("/stream/x")
        assert (reply.status, reply.complete) == (200, True)
        assert fleet.edge.grant_provider.grant_requests == []
        assert fleet.peer.grant_provider.end_kinds == [EndKind.SERVED]


class TestErrors:
    """Requests that the peer or the runner doesn't serve."""

    @pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x", "/fixed/x"])
    async def test_request_is_rejected_at_once_if_nobody_reaches_a_runner(
        self, path: str
    ) -> None:
        async with start_relaying_fleet(answer(make_ok()), peer_reaches=False) as fleet:
            async with asyncio.timeout(1.0):
                reply = await fleet.edge.async_call(path)
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        assert RELAYED not in reply.headers

    async def test_edge_without_peers_rejects(self) -> None:
        with reserve_refusing_address() as refusing:
            async with start_edge() as edge:
                add_runners(edge, refusing)
                reply = await edge.async_call("/safe/x")
        assert reply.status == 503

    async def test_relayed_request_is_not_relayed_again(self) -> None:
        async with start_relaying_fleet(answer(make_ok())) as fleet:
            await fleet.async_lose_reach()
            headers = f"{RELAYED}: uncounted\r\n"
            reply = await fleet.edge.async_call("/safe/x", headers=headers)
        assert (reply.status, reply.headers[RELAYED]) == (503, "unreachable")
        assert fleet.runner.requests == []

    async def test_request_that_must_not_be_retried_is_sent_once(self) -> None:
        """The peer's connection to the runner breaks, so that it may have run."""
        async with start_relaying_fleet(cut(b"")) as fleet:
            await fleet.async_lose_reach()
            reply = await fleet.edge.async_call("/once/x")
        assert reply.status == 502
        assert len(fleet.runner.requests) == 1

    async def test_rejection_of_the_peer_is_passed_on(self) -> None:
        async with start_relaying_fleet(answer(make_not_run())) as fleet:
            await fleet.async_lose_reach()
            reply = await fleet.edge.async_call("/once/x")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0

    async def test_rejections_on_a_kept_connection_are_passed_on(self) -> None:
        """Peers do not name the request that they reject."""
        rejection = make_response(503, b"", "Retry-After: 0.5\r\n")
        async with start_edge_with_peer(answer(rejection)) as (edge, peer):
            replies = [await edge.async_call("/once/x") for _ in range(2)]
        assert [each.status for each in replies] == [503, 503]
        assert (len(peer.requests), peer.connections) == (2, 1)

    async def test_failure_of_the_runner_is_passed_on_with_its_signature(self) -> None:
        failure = make_response(500, b"broken", f"X-Request-Id: q1\r\n{SIGNED}")
        async with start_relaying_fleet(answer(failure)) as fleet:
            await fleet.async_lose_reach()
            reply = await fleet.edge.async_call("/once/x")
        assert (reply.status, reply.body) == (500, b"broken")
        assert reply.headers["x-response-signature"] == "s1"

    async def test_rejection_of_the_peer_may_name_a_date(self) -> None:
        date = "Fri, 04 Dec 2026"
        rejection = make_response(503, b"later", f"Retry-After: {date}\r\n")
        async with start_edge_with_peer(answer(rejection)) as (edge, _):
            reply = await edge.async_call("/once/x")
        assert (reply.status, reply.body) == (503, b"later")
        assert reply.headers["retry-after"] == date

    async def test_failure_of_the_runner_promises_nothing(self) -> None:
        headers = f"X-Request-Id: q1\r\n{SIGNED}Retry-After: Fri, 04 Dec 2026\r\n"
        failure = make_response(503, b"later", headers)
        async with start_relaying_fleet(answer(failure)) as fleet:
            await fleet.async_lose_reach()
            reply = await fleet.edge.async_call("/once/x")
        assert reply.status == 502
        assert "x-response-signature" not in reply.headers

    async def test_stream_that_breaks_at_the_peer_does_not_look_complete(self) -> None:
        broken = cut(*make_stream(make_event(1), end=False))
        async with start_relaying_fleet(broken) as fleet:
            await fleet.async_lose_reach()
            reply = await fleet.edge.async_call("/fixed/x")
        assert not reply.complete

    async def test_lost_peer_ends_the_wait_for_its_response(self) -> None:
        async with start_edge_with_peer(answer()) as (edge, peer):
            call = asyncio.create_task(edge.async_call("/once/x"))
            await async_wait_until(lambda: bool(peer.requests))
            async with stop_accepting(peer), asyncio.timeout(3.0):
                edge.view.remove_member("members/edge/e2")
                reply = await call
        assert reply.status == 502

    async def test_announced_peer_that_accepts_nothing_may_still_respond(self) -> None:
        """A busy peer accepts no connections for a while."""

        async def respond_late(_: bytes, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(1.5)
            writer.write(make_ok())

        async with start_edge_with_peer(respond_late) as (edge, peer):
            call = asyncio.create_task(edge.async_call("/once/x"))
            await async_wait_until(lambda: bool(peer.requests))
            async with stop_accepting(peer):
                reply = await call
        assert (reply.status, reply.body) == (200, b"whole")

    async def test_peer_without_an_announcement_may_still_respond(self) -> None:
        """A peer that the store does not hear of for a while loses only its lease."""

        async def respond_late(_: bytes, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(1.5)
            writer.write(make_ok())

        async with start_edge_with_peer(respond_late) as (edge, peer):
            call = asyncio.create_task(edge.async_call("/once/x"))
            await async_wait_until(lambda: bool(peer.requests))
            edge.view.remove_member("members/edge/e2")
            reply = await call
        assert (reply.status, reply.body) == (200, b"whole")


class TestCutWhileRunning:
    """Requests that an edge has sent to a runner before it is cut off."""

    async def test_stream_is_resumed_through_a_peer(self) -> None:
        first = cut(*make_stream(make_event(1), end=False))
        async with (
            RawServer(first) as before,
            start_relaying_fleet(answer(*EVENTS)) as fleet,
        ):
            entry = make_runner("llm-0", service="llm", address=before.address)
            fleet.edge.view.update_runner(entry)
            reply = await fleet.edge.async_call("/stream/x")
        assert (reply.status, reply.complete) == (200, True)
        assert reply.body == b"".join(map(make_event, (1, 2, 3)))
        assert b"last-event-id: 1" in fleet.runner.requests[0].lower()

    async def test_peer_is_told_which_request_began_the_stream(self) -> None:
        first = cut(*make_stream(make_event(1), end=False))
        async with (
            RawServer(first) as before,
            start_relaying_fleet(answer(*EVENTS)) as fleet,
        ):
            entry = make_runner("llm-0", service="llm", address=before.address)
            fleet.edge.view.update_runner(entry)
            peer = fleet.peer
            for number, each in enumerate(list(peer.view.runners.values())):
                at_edge = fleet.edge.view.runners[each.runner_id]
                fleet.edge.view.update_runner(evolve(at_edge, software_version="v1"))
                version = f"v{number % 2}"
                peer.view.update_runner(evolve(each, software_version=version))
            origin = StreamOrigin(service="llm", software_version="v1", runner_id="")
            digest = identify_stream(None, "q1")
            peer.forwarder.stream_origins.records.add(digest, origin, 0.0, is_own=False)
            reply = await fleet.edge.async_call("/stream/x")
        assert (reply.status, reply.complete) == (200, True)
        assert peer.grant_provider.grant_requests[-1].software_version == "v1"
        assert b"resumes: q1" in fleet.runner.requests[0].lower()

    async def test_request_at_a_silent_runner_goes_to_a_peer(self) -> None:
        async with (
            RawServer(answer()) as silent,
            start_relaying_fleet(answer(make_ok())) as fleet,
        ):
            edge = fleet.edge
            cut_off_while_silent(edge, silent)
            reply = await edge.async_call("/safe/x")
        assert reply.status == 200

    async def test_request_that_must_not_be_retried_waits_for_its_runner(self) -> None:
        async with (
            RawServer(answer()) as silent,
            start_relaying_fleet(answer(make_ok())) as fleet,
        ):
            edge = fleet.edge
            cut_off_while_silent(edge, silent)
            headers = "X-Deadline-Ms: 1500\r\n"
            reply = await edge.async_call("/once/x", headers=headers)
        assert reply.status == 504
        assert fleet.runner.requests == []


class TestReturn:
    """An edge that reaches the runners again."""

    async def test_requests_go_to_the_runner_itself_again(self) -> None:
        async with (
            RawServer(answer(make_ok())) as reachable,
            start_relaying_fleet(answer(make_ok())) as fleet,
        ):
            await fleet.async_lose_reach()
            await fleet.edge.async_call("/safe/x")
            assert len(fleet.runner.requests) == 1
            add_runners(fleet.edge, reachable.address)
            async with asyncio.timeout(1.0):
                while fleet.edge.forwarder.connector.reach.is_lost:  # noqa: ASYNC110
                    await asyncio.sleep(0.05)
            reply = await fleet.edge.async_call("/safe/x")
        assert reply.status == 200
        assert (len(fleet.runner.requests), len(reachable.requests)) == (1, 1)

    async def test_reach_is_regained_though_the_first_runners_stay_away(self) -> None:
        async with (
            RawServer(answer(make_ok())) as reachable,
            start_relaying_fleet(answer(make_ok())) as fleet,
        ):
            await fleet.async_lose_reach()
            entry = make_runner("llm-3", service="llm", address=reachable.address)
            fleet.edge.view.update_runner(entry)
            async with asyncio.timeout(3.0):
                while fleet.edge.forwarder.connector.reach.is_lost:  # noqa: ASYNC110
                    await asyncio.sleep(0.05)
