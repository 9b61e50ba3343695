"""Tests of streams whose runner goes silent while another one rejects them."""

import asyncio

import pytest

from mangoway.edge.crash_filter import CrashFilter
from mangoway.edge.request_log import RequestLog
from mangoway.models.signals import LeavingReport, RunnerSignals
from mangoway.policy.edge.const import MAX_KEPT_SILENT_S, SAVED_SHARE
from mangoway.policy.edge.retry_budget import RetryLimits
from mangoway.policy.scheduling.events import EndKind

from ..fakes.fleet import make_route
from ..fakes.polling import async_wait_until
from ..upstreams.raw_server import RawServer, Script, answer, cut
from .continuation_world import start_world
from .copying_runner import CopyingRunner
from .world import (
    RETRY_LIMITS,
    EdgeWorld,
    Reply,
    make_call,
    make_event,
    make_not_run,
    make_stream,
    start_edge,
)

PAUSE_S = 1.3
"""Pause of a runner, longer than one silence of a route with an objective of 0.4 s."""

LONG_PAUSE_S = 2.6
"""Pause of a runner that is longer than two such silences."""

MAX_OVERLAP_S = 0.4
"""Time after which a run must have ended at its former runner."""

ONE_CREDIT = RetryLimits(ratio=0.2, slack=1.2 / SAVED_SHARE, window_s=1e9)
"""Limits that allow a single retry."""

HEAD, FIRST, SECOND, END = make_stream(make_event(1), make_event(2))
WHOLE = make_event(1) + make_event(2)
STAYS_SILENT = answer(HEAD, FIRST)
RESUMES = answer(*make_stream(make_event(2)))


def pause(
    *rest: bytes, pause_s: float = PAUSE_S, parts: tuple[bytes, ...] = (HEAD, FIRST)
) -> Script:
    """Return a script that writes the first parts, pauses, and writes the rest."""

    async def run(_: bytes, writer: asyncio.StreamWriter) -> None:
        writer.writelines(parts)
        await asyncio.sleep(pause_s)
        writer.writelines(rest)

    return run


def reject_late(paused: asyncio.Event) -> Script:
    """Return a script that rejects a request after an event."""

    async def run(_: bytes, writer: asyncio.StreamWriter) -> None:
        await paused.wait()
        # The data of the other runner arrives before.
        await asyncio.sleep(0.05)
        writer.write(make_not_run(421))

    return run


async def break_off(_: bytes, writer: asyncio.StreamWriter) -> None:
    """Write an event, pause, and close the connection."""
    writer.writelines([HEAD, FIRST])
    await asyncio.sleep(PAUSE_S)
    writer.close()


async def async_call(edge: EdgeWorld, paused: RawServer, other: RawServer) -> Reply:
    """Call with a runner that pauses, and another one."""
    edge.add("r1", paused, "llm")
    edge.add("r2", other, "llm")
    return await edge.async_call("/stream/x")


async def async_begin(
    edge: EdgeWorld, paused: RawServer, other: RawServer
) -> asyncio.StreamWriter:
    """Send a request, and return once the other runner has received it."""
    edge.add("r1", paused, "llm")
    edge.add("r2", other, "llm")
    _, writer = await asyncio.open_connection("127.0.0.1", edge.port)
    writer.write(make_call("/stream/x"))
    await async_wait_until(lambda: bool(other.requests))
    return writer


class TestRejectedAlternative:
    """Streams that go back to their silent runner."""

    @pytest.mark.parametrize("status", [421, 503])
    async def test_stream_is_not_broken_off_without_another_credit(
        self, status: int
    ) -> None:
        async with (
            RawServer(pause(SECOND, END)) as paused,
            RawServer(answer(make_not_run(status))) as other,
            start_edge(limits=ONE_CREDIT) as edge,
        ):
            reply = await async_call(edge, paused, other)
        assert (reply.body, reply.complete) == (WHOLE, True)
        assert (len(paused.requests), len(other.requests)) == (1, 1)
        budget = edge.forwarder.retry_budgets.get("llm")
        assert (budget.repeats, budget.held) == (1, 0)
        rejected = EndKind.NOT_HELD if status == 421 else EndKind.NOT_RUN
        assert edge.grant_provider.end_kinds == [rejected, EndKind.SERVED]

    async def test_stream_is_not_broken_off_if_the_alternative_is_unreachable(
        self,
    ) -> None:
        async with (
            RawServer(pause(SECOND, END)) as paused,
            start_edge(limits=ONE_CREDIT) as edge,
        ):
            async with RawServer() as gone:
                edge.add("r2", gone, "llm")
            edge.add("r1", paused, "llm")
            edge.grant_provider.runner_ids.reverse()
            reply = await edge.async_call("/stream/x")
        assert (reply.body, reply.complete) == (WHOLE, True)
        assert len(paused.requests) == 1

    async def test_stream_is_not_broken_off_if_the_alternative_leaves(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Its leaving becomes known after it was found."""
        async with (
            RawServer(pause(SECOND, END)) as paused,
            RawServer(RESUMES) as other,
            start_edge(limits=ONE_CREDIT) as edge,
        ):
            tracker = edge.forwarder.signal_tracker
            report = LeavingReport(runner_id="r2", started_ms=0)
            monkeypatch.setattr(
                RequestLog,
                "log_failed_attempt",
                lambda *_: tracker.handle_relayed_leaving(report),
            )
            reply = await async_call(edge, paused, other)
        assert (reply.body, reply.complete) == (WHOLE, True)
        assert other.requests == []
        budget = edge.forwarder.retry_budgets.get("llm")
        assert (budget.repeats, budget.held) == (1, 0)
        assert budget.balance > 1
        assert edge.grant_provider.end_kinds == [EndKind.LEFT, EndKind.SERVED]

    async def test_stream_is_not_broken_off_if_its_request_is_blocked(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """No other runner may get it, so that the one that was found is released."""
        is_blocked = False

        def block(*_: object) -> None:
            nonlocal is_blocked
            is_blocked = True

        monkeypatch.setattr(CrashFilter, "is_blocked", lambda *_: is_blocked)
        monkeypatch.setattr(CrashFilter, "try_probe", lambda *_: False)
        monkeypatch.setattr(RequestLog, "log_failed_attempt", block)
        async with (
            RawServer(pause(SECOND, END)) as paused,
            RawServer(RESUMES) as other,
            start_edge(limits=ONE_CREDIT) as edge,
        ):
            reply = await async_call(edge, paused, other)
        assert (reply.body, reply.complete) == (WHOLE, True)
        assert other.requests == []
        assert edge.grant_provider.end_kinds == [EndKind.LEFT, EndKind.SERVED]

    async def test_data_that_arrives_before_the_rejection_is_delivered(self) -> None:
        has_gone_on = asyncio.Event()

        async def go_on(_: bytes, writer: asyncio.StreamWriter) -> None:
            writer.writelines([HEAD, FIRST, SECOND[:5]])
            await async_wait_until(lambda: bool(other.requests))
            writer.writelines([SECOND[5:], END])
            has_gone_on.set()

        async with (
            RawServer(go_on) as paused,
            RawServer(reject_late(has_gone_on)) as other,
            start_edge(limits=ONE_CREDIT) as edge,
        ):
            reply = await async_call(edge, paused, other)
        assert (reply.body, reply.complete) == (WHOLE, True)

    async def test_runner_that_rejected_is_asked_again_after_another_silence(
        self,
    ) -> None:
        """A runner that stays silent would otherwise end the stream."""
        async with (
            RawServer(STAYS_SILENT) as paused,
            RawServer(answer(make_not_run()), RESUMES) as other,
            start_edge() as edge,
        ):
            reply = await async_call(edge, paused, other)
            assert (reply.body, reply.complete) == (WHOLE, True)
            assert (len(paused.requests), len(other.requests)) == (1, 2)
            assert b"Last-Event-Id: 1\r\n" in other.requests[1]
            await asyncio.wait_for(paused.lost.wait(), 0.5)
        assert edge.forwarder.retry_budgets.get("llm").repeats == 2

    async def test_rejecting_runner_is_asked_again_if_there_is_no_further_one(
        self,
    ) -> None:
        """The stream waited until its deadline if further attempts were allowed."""
        routes = (make_route(prefix="/stream/", max_attempts=3),)
        async with (
            RawServer(STAYS_SILENT) as paused,
            RawServer(answer(make_not_run()), RESUMES) as other,
            start_edge(routes) as edge,
        ):
            async with asyncio.timeout(8):
                reply = await async_call(edge, paused, other)
        assert (reply.body, reply.complete) == (WHOLE, True)
        assert (len(paused.requests), len(other.requests)) == (1, 2)

    async def test_search_ends_at_a_further_runner(self) -> None:
        """A second grant would be requested, and the first one not released."""
        routes = (make_route(prefix="/stream/", max_attempts=4),)
        async with (
            RawServer(STAYS_SILENT) as paused,
            RawServer(answer(make_not_run()), RESUMES) as rejecting,
            RawServer(RESUMES) as further,
            start_edge(routes) as edge,
        ):
            edge.add("r1", paused, "llm")
            edge.add("r2", rejecting, "llm")
            edge.add("r3", further, "llm")
            reply = await edge.async_call("/stream/x")
        assert (reply.body, reply.complete) == (WHOLE, True)
        assert (len(rejecting.requests), len(further.requests)) == (1, 1)
        assert len(edge.grant_provider.grant_requests) == 3

    async def test_break_after_the_return_is_handled_as_any_other(self) -> None:
        async with (
            RawServer(break_off) as paused,
            RawServer(answer(make_not_run())) as other,
            start_edge(limits=ONE_CREDIT) as edge,
        ):
            reply = await async_call(edge, paused, other)
        assert (reply.body, reply.complete) == (make_event(1), False)
        assert edge.grant_provider.end_kinds == [EndKind.NOT_RUN, EndKind.FAILED]

    async def test_break_after_the_return_goes_on_at_the_runner_that_rejected(
        self,
    ) -> None:
        """Such a stream was broken off, as all allowed runners had been tried."""
        async with (
            RawServer(break_off) as paused,
            RawServer(answer(make_not_run()), RESUMES) as other,
            start_edge() as edge,
        ):
            reply = await async_call(edge, paused, other)
        assert (reply.body, reply.complete) == (WHOLE, True)
        assert (len(paused.requests), len(other.requests)) == (1, 2)

    async def test_runner_that_rejected_and_broke_later_is_not_searched_again(
        self,
    ) -> None:
        """The stream would wait for a runner that it may not use."""
        async with (
            RawServer(STAYS_SILENT) as paused,
            RawServer(answer(make_not_run()), cut(HEAD)) as other,
            start_edge() as edge,
        ):
            reply = await async_call(edge, paused, other)
        assert (reply.body, reply.complete) == (make_event(1), False)
        assert len(edge.grant_provider.grant_requests) == 3

    async def test_request_without_an_event_is_not_repeated_at_a_rejecting_runner(
        self,
    ) -> None:
        """Its failure has a status, so that the caller can decide."""

        async def reject(_: bytes, writer: asyncio.StreamWriter) -> None:
            edge.grant_provider.runner_ids.reverse()
            writer.write(make_not_run())

        async with (
            RawServer(reject, RESUMES) as rejecting,
            RawServer(cut(HEAD)) as other,
            start_edge() as edge,
        ):
            reply = await async_call(edge, rejecting, other)
        assert reply.status == 502
        assert (len(rejecting.requests), len(other.requests)) == (1, 1)

    async def test_silent_runner_that_rejected_before_is_no_alternative_to_itself(
        self,
    ) -> None:
        """It would get the request again beside its own run."""
        async with (
            RawServer(STAYS_SILENT) as paused,
            RawServer(
                answer(make_not_run()),
                pause(END, parts=(HEAD, SECOND)),
                answer(*make_stream()),
            ) as other,
            start_edge() as edge,
        ):
            reply = await async_call(edge, paused, other)
        assert (reply.body, reply.complete) == (WHOLE, True)
        assert (len(paused.requests), len(other.requests)) == (1, 2)


class TestAcceptedAlternative:
    """Streams that go on at another runner."""

    async def test_only_the_other_run_is_delivered(self) -> None:
        """The first runner goes on just before the other one responds."""
        events = [make_event(number) for number in range(1, 4)]
        accepts = asyncio.Event()

        async def go_on(_: bytes, writer: asyncio.StreamWriter) -> None:
            head, first, second, *_ = make_stream(*events)
            writer.writelines([head, first])
            await async_wait_until(lambda: bool(other.requests))
            writer.write(second)
            accepts.set()

        async def accept(_: bytes, writer: asyncio.StreamWriter) -> None:
            await accepts.wait()
            await asyncio.sleep(0.05)
            writer.writelines(make_stream(*events[1:]))

        async with (
            RawServer(go_on) as paused,
            RawServer(accept) as other,
            start_edge(limits=ONE_CREDIT) as edge,
        ):
            reply = await async_call(edge, paused, other)
            await asyncio.wait_for(paused.lost.wait(), 0.5)
        assert (reply.body, reply.complete) == (b"".join(events), True)
        assert edge.grant_provider.end_kinds == [EndKind.FAILED, EndKind.SERVED]

    async def test_first_runner_is_left_once_the_other_one_responds(self) -> None:
        async with (
            RawServer(STAYS_SILENT) as paused,
            RawServer(answer(*make_stream(make_event(2), end=False))) as other,
            start_edge() as edge,
        ):
            edge.add("r1", paused, "llm")
            edge.add("r2", other, "llm")
            reader, writer = await asyncio.open_connection("127.0.0.1", edge.port)
            writer.write(make_call("/stream/x"))
            async with asyncio.timeout(5):
                await reader.readuntil(b"piece 2")
            assert edge.grant_provider.end_kinds == [EndKind.FAILED]
            writer.close()
            await asyncio.wait_for(paused.lost.wait(), 0.5)

    async def test_first_runner_is_left_before_two_runs_overlap(self) -> None:
        """The other runner may run the request for long before it responds."""
        async with (
            RawServer(STAYS_SILENT) as paused,
            RawServer(pause(*make_stream(make_event(2)), parts=())) as other,
            start_edge() as edge,
        ):
            writer = await async_begin(edge, paused, other)
            assert not paused.lost.is_set()
            await asyncio.wait_for(paused.lost.wait(), MAX_OVERLAP_S)
            writer.close()

    async def test_rejection_after_that_time_is_handled_as_any_other(self) -> None:
        async def reject(_: bytes, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(2 * MAX_KEPT_SILENT_S)
            writer.write(make_not_run())

        async with (
            RawServer(pause(SECOND, END, pause_s=LONG_PAUSE_S)) as paused,
            RawServer(reject, RESUMES) as other,
            start_edge() as edge,
        ):
            reply = await async_call(edge, paused, other)
        assert (reply.body, reply.complete) == (WHOLE, True)
        assert (len(paused.requests), len(other.requests)) == (1, 2)

    async def test_alternative_that_may_have_run_leaves_nothing_to_return_to(
        self,
    ) -> None:
        """Two runs might go on at once."""
        async with (
            RawServer(pause(SECOND, END)) as paused,
            RawServer(cut(b"")) as other,
            start_edge(limits=ONE_CREDIT) as edge,
        ):
            reply = await async_call(edge, paused, other)
            await asyncio.wait_for(paused.lost.wait(), 0.5)
        assert (reply.body, reply.complete) == (make_event(1), False)


class TestLimits:
    """Limits of runners beside a silent runner whose response names none."""

    async def test_limit_of_an_unreachable_alternative_is_kept(self) -> None:
        """The silent runner's head was taken for one of the other runner."""
        async with RawServer(pause(SECOND, END)) as paused, start_edge() as edge:
            async with RawServer() as gone:
                edge.add("r2", gone, "llm")
            edge.add("r1", paused, "llm")
            edge.grant_provider.runner_ids.reverse()
            tracker = edge.forwarder.signal_tracker
            now = asyncio.get_running_loop().time()
            for runner in edge.view.list_runners("llm"):
                tracker.handle_signals(runner, RunnerSignals(limit=5.0), now)
            reply = await edge.async_call("/stream/x")
            limits = tracker.limits
            assert (reply.body, reply.complete) == (WHOLE, True)
            assert limits.get_limit("r2", started_ms=0) == 5.0
            # The whole response of the silent runner ends its own limit.
            assert limits.get_limit("r1", started_ms=0) is None


class TestRelease:
    """Connections of silent runners that are not kept."""

    async def test_caller_that_leaves_frees_both_runners(self) -> None:
        async with (
            RawServer(STAYS_SILENT) as paused,
            RawServer(answer()) as other,
            start_edge(limits=RETRY_LIMITS) as edge,
        ):
            writer = await async_begin(edge, paused, other)
            writer.close()
            await asyncio.wait_for(paused.lost.wait(), MAX_KEPT_SILENT_S / 2)
            await asyncio.wait_for(other.lost.wait(), 0.5)
            await asyncio.sleep(0.05)
        assert sorted(each.value for each in edge.grant_provider.end_kinds) == sorted(
            [EndKind.FAILED.value, EndKind.LEFT.value]
        )

    async def test_runner_without_an_event_is_left_at_once(self) -> None:
        """Its room would be taken for a stream that begins elsewhere."""
        async with (
            RawServer(answer(HEAD)) as paused,
            RawServer(answer()) as other,
            start_edge() as edge,
        ):
            writer = await async_begin(edge, paused, other)
            await asyncio.wait_for(paused.lost.wait(), MAX_KEPT_SILENT_S / 2)
            writer.close()


class TestContinuations:
    """Streams that would be moved or go on at their backups."""

    async def test_run_that_is_being_copied_is_left_at_once(self) -> None:
        """Its transfer ends when another runner gets the request."""
        source = CopyingRunner()
        async with (
            RawServer(answer()) as other,
            start_world(source) as world,
        ):
            source.may_answer.clear()
            call = await world.async_begin("/stream/x")
            world.order()
            await source.on_call.wait()
            world.edge.grant_provider.runner_ids.remove("r2")
            world.edge.add("r3", other, "llm")
            await async_wait_until(lambda: bool(other.requests))
            assert world.edge.grant_provider.end_kinds == [EndKind.FAILED]
            call.cancel()

    async def test_run_has_no_backup_after_the_return(self) -> None:
        """The other runner was told a backup, which has no copy of the run."""
        source = CopyingRunner()
        async with (
            RawServer(answer(make_not_run())) as other,
            start_world(source) as world,
        ):
            world.edge.grant_provider.runner_ids.remove("r2")
            call = await world.async_begin("/stream/x")
            world.edge.grant_provider.backup_runner_id = "r2"
            world.edge.add("r3", other, "llm")
            await async_wait_until(lambda: bool(other.requests))
            await asyncio.sleep(0.05)
            source.break_off(listens=False)
            await call
        assert b"X-Kv-Backup: " in other.requests[0]
        assert not any("Kv-From" in each for each in world.target.streams)
