"""Tests of streams that are transferred to another runner, with each failure."""

import asyncio

import pytest

from mangoway.models.transfers import MoveAnswer
from mangoway.policy.scheduling.events import EndKind

from ..fakes.fleet import make_runner
from ..fakes.polling import async_wait_until
from .continuation_world import PART, WHOLE, start_world
from .copying_runner import CopyingRunner
from .test_cooldowns import start_cooldown
from .test_leaving import report_leaving
from .test_limits import limit_runner

FAILURES = [MoveAnswer.NO_RUN, MoveAnswer.BUSY, MoveAnswer.NO_ROOM]


class TestMove:
    """Transfers that succeed."""

    async def test_stream_goes_on_at_the_target_without_a_gap(self) -> None:
        async with start_world() as world:
            call = await world.async_begin()
            world.order()
            reply = await call
            provider = world.edge.grant_provider
            assert (reply.status, reply.body, reply.complete) == (200, WHOLE, True)
            assert world.get_copy(world.target) == f"{world.source.address}/h2"
            assert "Last-Event-Id: 3\r\n" in world.target.streams[0]
            assert "X-Request-Id: q1\r\n" in world.target.streams[0]
            assert world.source.calls == ["copy", "stop"]
            assert len(world.source.streams) == 1
            assert provider.moves == ["r2"]
            assert provider.failed_transfers == []
            assert provider.end_kinds == [EndKind.SERVED]
            assert len(provider.grant_requests) == 1
            assert world.count_credits() == 1

    async def test_source_that_keeps_the_stream_open_is_closed(self) -> None:
        """The run has stopped, so nothing can follow on the connection."""
        async with start_world(CopyingRunner(closes_stream=False)) as world:
            call = await world.async_begin()
            world.order()
            reply = await call
            assert (reply.body, reply.complete) == (WHOLE, True)
            assert world.edge.grant_provider.moves == ["r2"]

    async def test_stopped_stream_without_a_length_is_not_complete(self) -> None:
        """Its closed connection looks like the end of the stream."""
        async with start_world(CopyingRunner(has_length=False)) as world:
            call = await world.async_begin()
            world.order()
            assert (await call).body == WHOLE
            assert world.edge.grant_provider.moves == ["r2"]

    async def test_two_transfers_use_no_further_attempt(self) -> None:
        """The whole is one run, so a resumable stream has its second attempt left."""
        target, third = (CopyingRunner(waits_again=True) for _ in range(2))
        async with start_world(target=target) as world, third:
            world.edge.add("r3", third.server, "llm")
            provider = world.edge.grant_provider
            call = await world.async_begin("/stream/x")
            world.order()
            await async_wait_until(lambda: provider.moves == ["r2"])
            world.order("r3", "r2")
            await async_wait_until(lambda: provider.moves == ["r2", "r3"])
            third.break_off()
            reply = await call
            assert (reply.body, reply.complete) == (WHOLE, True)
            assert provider.end_kinds == [EndKind.FAILED, EndKind.SERVED]

    async def test_order_for_another_source_is_rejected(self) -> None:
        """A scheduler may not know yet where the stream runs."""
        async with start_world() as world:
            call = await world.async_begin()
            world.order(source_runner_id="r2", target_runner_id="r1")
            assert world.edge.grant_provider.failed_transfers == ["r1"]
            world.source.go_on.set()
            assert (await call).complete

    async def test_repeated_order_is_ignored(self) -> None:
        """A new scheduler may order the transfer that is in progress already."""
        async with start_world() as world:
            call = await world.async_begin()
            world.order()
            world.order()
            assert (await call).body == WHOLE
            assert world.edge.grant_provider.failed_transfers == []


class TestStay:
    """Transfers that end before the run is stopped."""

    async def test_engine_that_offers_no_moves(self) -> None:
        """A scheduler may not have the current configuration yet."""
        async with start_world() as world:
            world.offer(moves=False)
            call = await world.async_begin()
            world.order()
            assert world.edge.grant_provider.failed_transfers == ["r2"]
            world.source.go_on.set()
            assert (await call).complete
            assert world.source.calls == []

    @pytest.mark.parametrize("answer", [*FAILURES, MoveAnswer.NO_ANSWER])
    async def test_failure_of_the_first_call(self, answer: MoveAnswer) -> None:
        async with start_world(CopyingRunner(copy_answer=answer)) as world:
            call = await world.async_begin()
            world.order()
            provider = world.edge.grant_provider
            await async_wait_until(lambda: provider.failed_transfers == ["r2"])
            world.source.go_on.set()
            reply = await call
            assert (reply.body, reply.complete) == (WHOLE, True)
            assert world.source.calls == ["copy"]
            assert world.target.streams == []
            assert [each.was_served for each in provider.end_kinds] == [True]

    async def test_target_that_leaves_before_the_stop(self) -> None:
        async with start_world() as world:
            call = await world.async_begin()
            world.source.may_answer.clear()
            world.order()
            await world.source.on_call.wait()
            report_leaving(world.edge, "r2")
            world.source.may_answer.set()
            provider = world.edge.grant_provider
            await async_wait_until(lambda: provider.failed_transfers == ["r2"])
            await async_wait_until(lambda: "free h1" in world.source.calls)
            world.source.go_on.set()
            assert (await call).complete
            assert world.source.calls == ["copy", "free h1"]
            assert world.target.streams == []

    async def test_target_that_leaves_already(self) -> None:
        async with start_world() as world:
            call = await world.async_begin()
            report_leaving(world.edge, "r2")
            world.order()
            assert world.edge.grant_provider.failed_transfers == ["r2"]
            world.source.go_on.set()
            assert (await call).complete
            assert world.source.calls == []

    async def test_target_of_another_software_version(self) -> None:
        async with start_world() as world:
            world.set_versions("v1", "v2")
            call = await world.async_begin()
            world.order()
            assert world.edge.grant_provider.failed_transfers == ["r2"]
            world.source.go_on.set()
            assert (await call).complete
            assert world.source.calls == []

    async def test_target_of_unstated_version_beside_a_stated_one(self) -> None:
        async with start_world() as world:
            stated = make_runner("r3", software_version="v1")
            world.edge.view.update_runner(stated)
            call = await world.async_begin()
            world.order()
            assert world.edge.grant_provider.failed_transfers == ["r2"]
            world.source.go_on.set()
            assert (await call).complete

    async def test_target_that_is_the_source(self) -> None:
        async with start_world() as world:
            call = await world.async_begin()
            world.order("r1")
            assert world.edge.grant_provider.failed_transfers == ["r1"]
            world.source.go_on.set()
            assert (await call).complete
            assert world.source.calls == []

    async def test_no_credit(self) -> None:
        """Continuations count in the retry budget of the fleet."""
        async with start_world() as world:
            call = await world.async_begin()
            budgets = world.edge.forwarder.retry_budgets
            while budgets.try_acquire("llm") is not None:
                pass
            world.order()
            assert world.edge.grant_provider.failed_transfers == ["r2"]
            world.source.go_on.set()
            assert (await call).complete
            assert world.source.calls == []

    async def test_stream_that_ends_during_the_first_call(self) -> None:
        async with start_world() as world:
            call = await world.async_begin()
            world.source.may_answer.clear()
            world.order()
            await world.source.on_call.wait()
            world.source.go_on.set()
            assert (await call).complete
            assert world.edge.grant_provider.failed_transfers == ["r2"]
            assert world.target.streams == []


class TestStop:
    """Failures of the call that stops the run."""

    async def test_no_room_with_a_handle_continues_at_the_source(self) -> None:
        source = CopyingRunner(stop_answer=MoveAnswer.NO_ROOM)
        async with start_world(source) as world:
            call = await world.async_begin()
            world.order()
            reply = await call
            assert (reply.body, reply.complete) == (WHOLE, True)
            assert world.get_copy(world.source) == f"{world.source.address}/h2"
            assert world.target.streams == []
            assert world.edge.grant_provider.moves == []
            assert world.edge.grant_provider.failed_transfers == ["r2"]

    async def test_no_answer_and_a_closed_stream_continues_at_the_target(self) -> None:
        source = CopyingRunner(stop_answer=MoveAnswer.NO_ANSWER)
        async with start_world(source) as world:
            call = await world.async_begin()
            world.order()
            reply = await call
            assert (reply.body, reply.complete) == (WHOLE, True)
            assert world.get_copy(world.target) == f"{world.source.address}/h1"
            assert world.edge.grant_provider.moves == ["r2"]

    async def test_crash_of_the_source_is_recorded(self) -> None:
        """A request that crashes its runners must not escape by being transferred."""
        source = CopyingRunner(stop_answer=MoveAnswer.NO_ANSWER, closes_stream=False)
        async with start_world(source) as world:
            call = await world.async_begin()
            world.order()
            await async_wait_until(lambda: "stop" in world.source.calls)
            world.source.break_off(listens=False)
            assert (await call).body == WHOLE
            metrics = world.edge.forwarder.metrics
            await async_wait_until(lambda: metrics.runner_crashes.get("llm") == 1)

    @pytest.mark.parametrize("answer", [*FAILURES, MoveAnswer.NO_ANSWER])
    async def test_no_stop_and_an_open_stream_is_read_on(
        self, answer: MoveAnswer
    ) -> None:
        """The source may still be at work, so that nothing goes to the target."""
        source = CopyingRunner(stop_answer=answer, stop_handle="", closes_stream=False)
        async with start_world(source) as world:
            call = await world.async_begin()
            world.order()
            provider = world.edge.grant_provider
            await async_wait_until(lambda: provider.failed_transfers == ["r2"])
            world.source.go_on.set()
            reply = await call
            assert (reply.body, reply.complete) == (WHOLE, True)
            assert world.target.streams == []
            assert len(world.source.streams) == 1

    async def test_silent_stream_is_resumed_while_the_stop_is_unclear(self) -> None:
        """The source has not closed the stream, so the copy must not be used."""
        source = CopyingRunner(
            stop_answer=MoveAnswer.NO_ANSWER, stop_handle="", closes_stream=False
        )
        async with start_world(source) as world:
            world.offer(handle_s=5.0)
            call = await world.async_begin("/stream/x")
            world.order()
            reply = await call
            assert (reply.body, reply.complete) == (WHOLE, True)
            [resumed] = world.target.streams
            assert "Kv-From" not in resumed
            assert world.edge.grant_provider.moves == []
            await async_wait_until(lambda: "free h1" in world.source.calls)


class TestTarget:
    """Targets that do not continue a run."""

    async def test_source_is_tried_once(self) -> None:
        target = CopyingRunner(accepts_copies=False)
        async with start_world(target=target) as world:
            call = await world.async_begin()
            world.order()
            reply = await call
            assert (reply.body, reply.complete) == (WHOLE, True)
            assert len(world.target.streams) == 1
            assert world.get_copy(world.source) == f"{world.source.address}/h2"
            assert world.edge.grant_provider.failed_transfers == ["r2"]
            assert world.edge.grant_provider.moves == []
            assert world.count_credits() == 2

    async def test_stream_breaks_off_if_the_source_rejects_it_too(self) -> None:
        runners = [CopyingRunner(accepts_copies=False) for _ in range(2)]
        async with start_world(*runners) as world:
            call = await world.async_begin()
            world.order()
            reply = await call
            assert (reply.body, reply.complete) == (PART, False)
            assert len(world.source.streams) == 2
            assert len(world.target.streams) == 1
            assert world.edge.grant_provider.end_kinds == [EndKind.FAILED]
            assert len(world.edge.grant_provider.grant_requests) == 1

    async def test_resumable_stream_is_resumed_then(self) -> None:
        runners = [CopyingRunner(accepts_copies=False) for _ in range(2)]
        async with start_world(*runners) as world:
            call = await world.async_begin("/stream/x")
            world.order()
            reply = await call
            assert (reply.body, reply.complete) == (WHOLE, True)
            assert "Kv-From" not in world.target.streams[-1]
            assert world.edge.grant_provider.grant_requests[-1].excluded == ("r1",)

    async def test_source_that_leaves_for_long_receives_nothing(self) -> None:
        """Nothing may reach a runner after its drain."""
        target = CopyingRunner(accepts_copies=False)
        async with start_world(target=target) as world:
            world.edge.forwarder.drain_s = 0.0
            call = await world.async_begin()
            report_leaving(world.edge, "r1")
            world.order()
            reply = await call
            assert (reply.body, reply.complete) == (PART, False)
            assert len(world.source.streams) == 1

    async def test_source_without_an_entry_receives_nothing(self) -> None:
        """How long it has been leaving is not known."""
        target = CopyingRunner(accepts_copies=False)
        async with start_world(target=target) as world:
            call = await world.async_begin()
            world.order()
            world.edge.view.remove_runner("r1", 0.0)
            reply = await call
            assert (reply.body, reply.complete) == (PART, False)
            assert len(world.source.streams) == 1

    async def test_source_in_a_cooldown_receives_nothing(self) -> None:
        target = CopyingRunner(accepts_copies=False)
        async with start_world(target=target) as world:
            call = await world.async_begin()
            start_cooldown(world.edge, "r1")
            world.order()
            reply = await call
            assert (reply.body, reply.complete) == (PART, False)
            assert len(world.source.streams) == 1

    @pytest.mark.parametrize(("wait_s", "is_sent"), [(0.0, True), (0.4, False)])
    async def test_limited_source_receives_nothing_without_a_permit(
        self, wait_s: float, is_sent: bool
    ) -> None:
        """The scheduler has counted the run at the target only."""
        target = CopyingRunner(accepts_copies=False)
        async with start_world(target=target) as world:
            call = await world.async_begin()
            limit_runner(world.edge, "r1", wait_s)
            world.order()
            assert (await call).complete == is_sent
            assert len(world.source.streams) == 1 + is_sent
            assert world.edge.grant_provider.permits == ["r1"]


class TestCaller:
    """Callers that leave during a transfer."""

    async def test_copy_is_freed(self) -> None:
        source = CopyingRunner(
            stop_answer=MoveAnswer.NO_ANSWER, stop_handle="", closes_stream=False
        )
        async with start_world(source) as world:
            writer = await world.async_begin_abandoned()
            world.order()
            await async_wait_until(lambda: "stop" in world.source.calls)
            writer.close()
            await async_wait_until(lambda: "free h1" in world.source.calls)
            await asyncio.sleep(0.05)
            assert world.target.streams == []
            assert world.edge.grant_provider.end_kinds == [EndKind.LEFT]

    async def test_copy_is_freed_whose_call_has_no_answer_yet(self) -> None:
        """Otherwise the copy would take memory and a slot until it expires."""
        async with start_world() as world:
            writer = await world.async_begin_abandoned()
            world.source.may_answer.clear()
            world.order()
            await world.source.on_call.wait()
            writer.close()
            provider = world.edge.grant_provider
            await async_wait_until(lambda: provider.end_kinds == [EndKind.LEFT])
            world.source.may_answer.set()
            await async_wait_until(lambda: "free h1" in world.source.calls)
            assert world.source.calls == ["copy", "free h1"]
            assert provider.failed_transfers == ["r2"]
