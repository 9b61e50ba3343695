"""Tests of how an edge keeps requests away from runners that they make crash."""

import asyncio

from mangoway.coordination.crashes import (
    ClearedStatement,
    CrashStatement,
    Statement,
)
from mangoway.edge.crash_detector import InterruptedRequest, RunnerCrash
from mangoway.edge.crash_filter import CrashFilter
from mangoway.edge.identity import identify
from mangoway.http1.messages import Request
from mangoway.models.crash import Charge, RequestIdentity, RunnerLife
from mangoway.platform.requests import decode_request
from mangoway.policy.crashes.const import BEGIN_S
from mangoway.policy.crashes.tracker import CrashTracker
from mangoway.policy.scheduling.events import EndKind

from ..fakes.polling import async_wait_until
from ..upstreams.raw_server import RawServer, answer, cut
from .world import (
    EdgeWorld,
    StubTeller,
    make_event,
    make_ok,
    make_stream,
    start_edge,
)

CULPRIT = RequestIdentity("c", "v")
OTHER = RequestIdentity("o", "v")


class Screening:
    """A screen with what it tells."""

    def __init__(self) -> None:
        self.now = 100.0
        self.statement_sender = StubTeller()
        self.tracker = CrashTracker()
        self.crash_filter = CrashFilter(
            edge="e1",
            tracker=self.tracker,
            statement_sender=self.statement_sender,
            clock=lambda: self.now,
        )

    def crash(self, life: str, *requests: RequestIdentity, ran_s: float = 0.0) -> None:
        self.crash_filter.record_crash(
            RunnerCrash(
                life=RunnerLife(runner_id=life, started_ms=0),
                requests=tuple(
                    InterruptedRequest(identity=each, sent_at=self.now, ran_s=ran_s)
                    for each in requests
                ),
            )
        )

    def list_told(self, kind: type[Statement]) -> list[Statement]:
        return [each for each in self.statement_sender.posted if isinstance(each, kind)]


class TestCharges:
    """What a crash is told with."""

    def test_third_crash_holds_back_here_at_once(self) -> None:
        world = Screening()
        for life in ("l1", "l2", "l3"):
            world.crash(life, CULPRIT)
        assert world.crash_filter.is_blocked(CULPRIT)
        assert len(world.list_told(CrashStatement)) == 3

    def test_what_had_run_for_a_while_is_a_weaker_suspect(self) -> None:
        world = Screening()
        for number in range(4):
            world.crash(f"l{number}", CULPRIT, ran_s=BEGIN_S)
        assert not world.crash_filter.is_blocked(CULPRIT)
        world.crash("l4", CULPRIT, ran_s=BEGIN_S)
        assert world.crash_filter.is_blocked(CULPRIT)

    def test_request_that_breaks_later_is_added(self) -> None:
        world = Screening()
        world.crash("l1", CULPRIT)
        world.crash("l1", OTHER)
        last = world.statement_sender.posted[-1]
        assert isinstance(last, CrashStatement)
        assert {each.identity for each in last.charges} == {CULPRIT, OTHER}

    def test_equal_request_that_was_served_of_late_is_not_charged(self) -> None:
        """What many callers ask for alike is at each runner that is killed."""
        world = Screening()
        for life in ("l1", "l2", "l3"):
            world.crash_filter.record_success(OTHER)
            world.crash(life, OTHER)
        assert not world.crash_filter.is_blocked(OTHER)
        assert world.statement_sender.posted == []

    def test_content_that_others_are_served_is_not_held_back_for_all(self) -> None:
        world = Screening()
        world.crash_filter.record_success(RequestIdentity("c", "served"))
        for number in range(9):
            world.crash(f"l{number}", RequestIdentity("c", f"v{number}"))
        assert not world.crash_filter.is_blocked(RequestIdentity("c", "new"))


class TestClearance:
    """Requests that end well in spite of charges."""

    def test_one_charge_is_cleared_without_a_word(self) -> None:
        world = Screening()
        world.crash("l1", OTHER)
        world.crash_filter.record_success(OTHER)
        assert world.tracker.list_crashes(OTHER) == frozenset()
        assert world.list_told(ClearedStatement) == []

    def test_two_charges_are_cleared_for_all(self) -> None:
        world = Screening()
        for life in ("l1", "l2"):
            world.crash(life, OTHER)
        world.crash_filter.record_success(OTHER)
        [told] = world.list_told(ClearedStatement)
        assert isinstance(told, ClearedStatement)
        assert told.clearance.lives == {"l1@0", "l2@0"}

    def test_edge_that_knows_better_objects(self) -> None:
        """Other edges charged what this one has served meanwhile."""
        world = Screening()
        world.crash_filter.record_success(OTHER)
        for life in ("l1", "l2", "l3"):
            world.tracker.add_crash(f"{life}/e2", [Charge(OTHER, life)])
        assert not world.crash_filter.is_blocked(OTHER)
        assert len(world.list_told(ClearedStatement)) >= 1

    def test_edge_that_serves_others_says_nothing_of_one_that_crashes(self) -> None:
        """At 195 edges each would tell all others."""
        world = Screening()
        world.crash_filter.record_success(RequestIdentity("c", "served"))
        for life in ("l1", "l2", "l3"):
            world.tracker.add_crash(f"{life}/e2", [Charge(CULPRIT, life)])
        assert world.crash_filter.is_blocked(CULPRIT)
        assert world.statement_sender.posted == []

    def test_edge_that_serves_the_content_to_others_objects(self) -> None:
        world = Screening()
        world.crash_filter.record_success(RequestIdentity("c", "served"))
        for life in ("l1", "l2", "l3", "l4", "l5"):
            charge = Charge(RequestIdentity("c", life), life)
            world.tracker.add_crash(f"{life}/e2", [charge])
        assert not world.crash_filter.is_blocked(RequestIdentity("c", "new"))


def make_identity(path: str) -> RequestIdentity:
    """Return the identity of what `async_call` sends."""
    request = Request(
        method=b"POST",
        target=path.encode(),
        headers=((b"Host", b"example.test"), (b"X-Model", b"a")),
        body=b"",
    )
    return identify(request, decode_request(request))


def hold(edge: EdgeWorld, path: str) -> None:
    """Let other edges tell of three crashes with a request."""
    identity = make_identity(path)
    for life in ("l1", "l2", "l3"):
        charge = Charge(identity, life)
        edge.forwarder.crash_filter.tracker.add_crash(f"{life}/e9", [charge])


class TestAnswers:
    """What the caller of such a request gets."""

    async def test_it_is_refused_at_once_and_not_sent(self) -> None:
        async with RawServer(answer(make_ok())) as runner, start_edge() as edge:
            edge.add("r1", runner, "plain")
            edge.add("r2", runner, "llm")
            for path in ("/safe/x", "/once/x", "/stream/x", "/fixed/x"):
                hold(edge, path)
                began = asyncio.get_running_loop().time()
                reply = await edge.async_call(path)
                assert reply.status == 503
                assert reply.headers["retry-after"] == "3600.00"
                assert b"makes its runners crash" in reply.body
                assert asyncio.get_running_loop().time() - began < 0.2
        assert runner.requests == []
        assert edge.grant_provider.grant_request == []

    async def test_equal_content_of_others_is_served(self) -> None:
        async with RawServer(answer(make_ok())) as runner, start_edge() as edge:
            edge.add("r1", runner, "plain")
            tracker = edge.forwarder.crash_filter.tracker
            await edge.async_call("/safe/x", headers="Authorization: a\r\n")
            [known] = edge.forwarder.crash_filter.served_requests._served_at
            other = RequestIdentity(known.content, "other")
            for life in ("l1", "l2", "l3"):
                tracker.add_crash(f"{life}/e9", [Charge(other, life)])
            reply = await edge.async_call("/safe/x", headers="Authorization: a\r\n")
        assert reply.status == 200

    async def test_what_waits_is_answered_when_it_becomes_known(self) -> None:
        async with start_edge() as edge:
            edge.grant_provider.hold = True
            call = asyncio.create_task(edge.async_call("/stream/x"))
            await async_wait_until(lambda: len(edge.grant_provider.grant_request) == 1)
            began = asyncio.get_running_loop().time()
            hold(edge, "/stream/x")
            reply = await call
            assert asyncio.get_running_loop().time() - began < 0.2
            assert edge.forwarder.crash_filter._waiting == {}
        assert reply.status == 503
        assert edge.grant_provider.ended == [EndKind.LEFT]

    async def test_what_may_have_run_is_not_called_not_run(self) -> None:
        """The third crash of a request may be that of its present try."""
        async with RawServer() as runner, start_edge() as edge:

            async def end(_: bytes, writer: asyncio.StreamWriter) -> None:
                hold(edge, "/safe/x")
                writer.transport.abort()

            runner._scripts = [end]
            for runner_id in ("r1", "r2"):
                edge.add(runner_id, runner, "plain")
            reply = await edge.async_call("/safe/x")
        assert reply.status == 502
        assert len(runner.requests) == 1

    async def test_started_stream_is_broken_off(self) -> None:
        async with RawServer() as runner, start_edge() as edge:

            async def end(_: bytes, writer: asyncio.StreamWriter) -> None:
                writer.writelines(make_stream(make_event(1), end=False))
                await writer.drain()
                hold(edge, "/stream/x")
                await asyncio.sleep(0.05)
                writer.transport.abort()

            runner._scripts = [end]
            for runner_id in ("r1", "r2"):
                edge.add(runner_id, runner, "llm")
            reply = await edge.async_call("/stream/x")
        assert (reply.status, reply.whole) == (200, False)
        assert len(runner.requests) == 1


class TestEdges:
    """A crash as the edge meets it."""

    async def test_request_that_a_crash_cuts_off_is_charged(self) -> None:
        async with start_edge() as edge:
            async with RawServer() as runner:

                async def crash(_: bytes, writer: asyncio.StreamWriter) -> None:
                    runner._server.close()
                    writer.transport.abort()

                runner._scripts = [crash]
                edge.add("r1", runner, "plain")
                reply = await edge.async_call("/once/x")
            assert reply.status == 502
            await async_wait_until(lambda: len(edge.statement_sender.posted) == 1)
            [told] = edge.statement_sender.posted
            assert isinstance(told, CrashStatement)
            assert (told.life, len(told.charges)) == ("r1@0", 1)

    async def test_third_crash_is_known_before_the_request_is_repeated(self) -> None:
        async with RawServer(answer(make_ok())) as other, start_edge() as edge:
            tracker = edge.forwarder.crash_filter.tracker
            for life in ("l1", "l2"):
                charge = Charge(make_identity("/safe/x"), life)
                tracker.add_crash(f"{life}/e9", [charge])
            async with RawServer() as runner:

                async def crash(_: bytes, writer: asyncio.StreamWriter) -> None:
                    runner._server.close()
                    writer.transport.abort()

                runner._scripts = [crash]
                edge.add("r1", runner, "plain")
                edge.forwarder.plain_grant_provider.in_flight.add("r2")
                edge.add("r2", other, "plain")
                reply = await edge.async_call("/safe/x")
        assert reply.status == 502
        assert other.requests == []

    async def test_answer_that_is_lost_is_no_crash(self) -> None:
        async with RawServer(cut(b"")) as runner, start_edge() as edge:
            edge.add("r1", runner, "plain")
            reply = await edge.async_call("/once/x")
        assert reply.status == 502
        assert edge.statement_sender.posted == []
