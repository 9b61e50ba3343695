"""Tests of an edge and a scheduler that are connected over loopback."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

from attrs import evolve

from mangoway.coordination.mirror import Mirror
from mangoway.coordination.store import Change, Changes, Item, Snapshot
from mangoway.coordination.view import FleetView, Leader
from mangoway.models.fleet import Member, Role
from mangoway.models.signals import LeavingReport
from mangoway.policy.limits.const import MAX_WAIT_S
from mangoway.policy.limits.tracker import LimitReport
from mangoway.policy.scheduling.core import SchedulingCore
from mangoway.policy.scheduling.events import (
    EndKind,
    FleetUpdated,
    Grant,
    Refuse,
    SendOrder,
)
from mangoway.policy.scheduling.state import SchedulingState
from mangoway.scheduling.client import RETRY_AFTER_PERMIT_S, SchedulerClient
from mangoway.scheduling.grant_provider import Answer
from mangoway.scheduling.leader_link import CHECK_S, SILENCE_S, LeaderLink
from mangoway.scheduling.local_grant_provider import LocalGrantProvider
from mangoway.scheduling.messages import Hello, RelayedStatement
from mangoway.scheduling.server import SchedulerServer
from mangoway.util.listener import open_listener

from ..fakes.coordination_store import FakeCoordinationStore
from ..fakes.fleet import make_asked, make_runner, make_table
from ..fakes.polling import async_wait_until

RUNNER = make_runner("r1", ("a",))
FLEET = FleetUpdated(table=make_table(), runners=(make_runner("r1", ("a",)),))


class Recorder:
    """Takes what a mirror reads."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}

    def take_snapshot(self, snapshot: Snapshot) -> None:
        self.values = {item.key: item.value for item in snapshot.items}

    def take_changes(self, changes: Changes) -> None:
        for change in changes.changes:
            if change.item is not None:
                self.values[change.key] = change.item.value

    def is_news(self, change: Change) -> bool:
        return True

    def count_processes(self) -> int:
        return 1

    def note_outage_ended(self, retention_s: float | None = None) -> None:
        """Nothing depends on it here."""


def make_core() -> SchedulingCore:
    core = SchedulingCore(SchedulingState(random=Random(1)))
    core.handle(FLEET, 0.0)
    return core


class Scheduler:
    """A scheduler's end, with the orders that it would give."""

    def __init__(self) -> None:
        self.leading = True
        self.told: list[RelayedStatement] = []
        self.orders: list[SendOrder] = []
        clock = asyncio.get_running_loop().time
        self.mirror = Mirror(FakeCoordinationStore(), Recorder(), clock)
        self.mirror.take_snapshot(
            Snapshot(items=(Item(key="k", value=b"1", revision=5),), revision=5)
        )
        self.mirror.answered_at = clock()
        self.server = SchedulerServer(
            core=make_core(),
            clock=clock,
            is_leading=lambda: self.leading,
            give_order=self.orders.append,
            mirror=self.mirror,
            get_retention_s=lambda: 0.0,
        )
        self.mirror.follower = self.server.feed
        self.server.on_statement = self.told.append

    async def async_start(self) -> str:
        listener = open_listener("127.0.0.1", 0)
        host, port = listener.getsockname()
        await self.server.async_start(listener)
        self.task = asyncio.create_task(self.server.async_run())
        return f"{host}:{port}"

    def stop(self) -> None:
        self.task.cancel()
        self.server.stop()


class Edge:
    """An edge's end."""

    def __init__(self, name: str = "e1") -> None:
        clock = asyncio.get_running_loop().time
        self.view = FleetView()
        self.told: list[RelayedStatement] = []
        self.recorder = Recorder()
        mirror = Mirror(FakeCoordinationStore(), self.recorder, clock)
        hello = Hello(
            edge=name, host="h1", data_centre="dc1", requests_grants=True, revision=0
        )
        self.link = LeaderLink(hello=hello, view=self.view, clock=clock, mirror=mirror)
        self.link.on_statement = self.told.append
        self.local = LocalGrantProvider(make_core(), name, clock)
        self.client = SchedulerClient(self.link, self.local, name)
        self.task = asyncio.create_task(self.link.async_run())

    def follow(self, address: str, fence: int = 1) -> None:
        member = Member(
            host="s",
            role=Role.SCHEDULER,
            data_centre="dc1",
            incarnation=f"inc{fence}",
            peer_address=address,
            caller_address="",
        )
        self.view.take_leader(Leader(member=member, fence=fence, lease_id=1))

    async def async_wait_leading(self) -> None:
        await async_wait_until(lambda: self.link.leading)


@asynccontextmanager
async def connect() -> AsyncIterator[tuple[Scheduler, Edge]]:
    scheduler, edge = Scheduler(), Edge()
    try:
        edge.follow(await scheduler.async_start())
        await edge.async_wait_leading()
        yield scheduler, edge
    finally:
        edge.task.cancel()
        edge.link.close()
        scheduler.stop()


async def receive(future: "asyncio.Future[Answer]") -> Answer:
    async with asyncio.timeout(3):
        return await future


class TestPlaces:
    """Places that a scheduler grants."""

    async def test_grant_comes_from_the_scheduler(self) -> None:
        async with connect() as (scheduler, edge):
            answer = await receive(edge.client.ask(make_asked("q1")))
            assert isinstance(answer, Grant)
            assert ("e1", "q1") in scheduler.server.core.state.granted

    async def test_end_frees_the_place(self) -> None:
        async with connect() as (scheduler, edge):
            await receive(edge.client.ask(make_asked("q1")))
            waiting = edge.client.ask(make_asked("q2"))
            edge.client.end("q1", EndKind.SERVED)
            assert isinstance(await receive(waiting), Grant)
            assert ("e1", "q1") not in scheduler.server.core.state.granted

    async def test_first_event_lets_the_next_prompt_go(self) -> None:
        async with connect() as (_, edge):
            await receive(edge.client.ask(make_asked("q1")))
            waiting = edge.client.ask(make_asked("q2"))
            edge.client.note_first_event("q1")
            assert isinstance(await receive(waiting), Grant)

    async def test_waiting_request_is_refused_at_a_stop(self) -> None:
        async with connect() as (_, edge):
            await receive(edge.client.ask(make_asked("q1")))
            waiting = edge.client.ask(make_asked("q2"))
            edge.client.refuse_waiting("this host stops", 0.1)
            assert isinstance(await receive(waiting), Refuse)


SAID = LimitReport(
    runner_id="r1", started_ms=0, limit=0.5, request_age_s=0.02, response_age_s=0.0
)


class TestLimits:
    """What edges and a scheduler tell each other of runners' limits."""

    async def test_scheduler_keeps_to_what_an_edge_has_read(self) -> None:
        async with connect() as (_, edge):
            edge.client.report_signal(SAID)
            waiting = edge.client.ask(make_asked("q1"))
            await asyncio.sleep(0.2)
            assert not waiting.done()

    async def test_other_edges_are_told_once(self) -> None:
        async with connect() as (_, edge):
            other, heard = Edge("e2"), list[LimitReport]()
            other.client.on_limit = heard.append
            other.link.view.take_leader(edge.view.leader)
            await other.async_wait_leading()
            for _ in range(3):
                edge.client.report_signal(SAID)
            await async_wait_until(lambda: bool(heard))
            await asyncio.sleep(0.1)
            other.task.cancel()
            other.link.close()
        assert [(each.runner_id, each.limit) for each in heard] == [("r1", 0.5)]

    async def test_edge_that_comes_is_told_what_is_known(self) -> None:
        async with connect() as (scheduler, edge):
            edge.client.report_signal(SAID)
            await async_wait_until(
                lambda: scheduler.server.core.state.limits.get_limit("r1") == 0.5
            )
            other, heard = Edge("e2"), list[LimitReport]()
            other.client.on_limit = heard.append
            other.link.view.take_leader(edge.view.leader)
            await async_wait_until(lambda: bool(heard))
            other.task.cancel()
            other.link.close()
        assert heard[0].limit == 0.5

    async def test_scheduler_that_begins_is_told_before_it_is_asked(self) -> None:
        async with connect() as (scheduler, edge):
            edge.client.list_limits = lambda: [SAID]
            following = Scheduler()
            edge.follow(await following.async_start(), fence=2)
            scheduler.stop()
            waiting = edge.client.ask(make_asked("q1"))
            limits = following.server.core.state.limits
            await async_wait_until(lambda: limits.get_limit("r1") == 0.5)
            assert not waiting.done()
            following.stop()

    async def test_edge_alone_keeps_to_its_part(self) -> None:
        edge = Edge()
        limits = edge.local.core.state.limits
        limits.get_share = lambda runner_id: 0.0
        limits.note(SAID, edge.link.clock())
        answer = await receive(edge.client.ask(make_asked("q1")))
        edge.task.cancel()
        assert isinstance(answer, Refuse)

    async def test_permit_comes_from_the_scheduler(self) -> None:
        async with connect() as (_, edge):
            assert await edge.client.async_request_permit(RUNNER) == 0.0
            edge.client.report_signal(SAID)
            assert await edge.client.async_request_permit(RUNNER) > 0.0

    async def test_edge_alone_asks_its_own_part_for_a_permit(self) -> None:
        edge = Edge()
        limits = edge.local.core.state.limits
        limits.get_share = lambda runner_id: 0.0
        limits.note(SAID, edge.link.clock())
        wait_s = await edge.client.async_request_permit(RUNNER)
        edge.task.cancel()
        assert wait_s == MAX_WAIT_S

    async def test_permit_that_nobody_answers_is_not_waited_for(self) -> None:
        async with connect() as (_, edge):
            assert edge.link.link is not None
            edge.link.link.send = lambda message: None  # type: ignore[method-assign]
            wait_s = await edge.client.async_request_permit(RUNNER)
        assert wait_s == RETRY_AFTER_PERMIT_S


class TestLeaving:
    """What edges and a scheduler tell each other of runners that leave."""

    LEAVES = LeavingReport(runner_id="r1", started_ms=0)

    async def test_other_edges_and_those_that_come_are_told(self) -> None:
        async with connect() as (scheduler, edge):
            known: list[LeavingReport] = []
            scheduler.server.on_leaving = lambda said: (
                not known and not known.append(said)
            )
            scheduler.server.list_leaving = lambda: known
            heard = [list[LeavingReport](), list[LeavingReport]()]
            others = [Edge("e2"), Edge("e3")]
            for other, got in zip(others, heard, strict=True):
                other.client.on_leaving = got.append
            others[0].link.view.take_leader(edge.view.leader)
            await others[0].async_wait_leading()
            for _ in range(3):
                edge.client.report_signal(self.LEAVES)
            await async_wait_until(lambda: bool(heard[0]))
            others[1].link.view.take_leader(edge.view.leader)
            await async_wait_until(lambda: bool(heard[1]))
            for other in others:
                other.task.cancel()
                other.link.close()
        assert heard == [[self.LEAVES], [self.LEAVES]]

    async def test_scheduler_that_begins_is_told_before_it_is_asked(self) -> None:
        async with connect() as (scheduler, edge):
            edge.client.list_leaving = lambda: [self.LEAVES]
            following = Scheduler()
            told: list[LeavingReport] = []
            following.server.on_leaving = lambda said: not told.append(said)
            edge.follow(await following.async_start(), fence=2)
            scheduler.stop()
            await async_wait_until(lambda: bool(told))
            following.stop()
        assert told == [self.LEAVES]


class TestLoss:
    """A scheduler that is gone, silent or replaced."""

    async def test_lost_scheduler_leaves_the_choice_to_the_edge(self) -> None:
        async with connect() as (scheduler, edge):
            scheduler.server.core.state.runners.clear()
            waiting = edge.client.ask(make_asked("q1"))
            await asyncio.sleep(0.02)
            scheduler.stop()
            assert isinstance(await receive(waiting), Grant)

    async def test_silent_scheduler_is_noticed(self) -> None:
        async with connect() as (scheduler, edge):
            no_runners = FleetUpdated(table=make_table(), runners=())
            scheduler.server.handle(no_runners)
            scheduler.task.cancel()
            waiting = edge.client.ask(make_asked("q1"))
            began = asyncio.get_running_loop().time()
            assert isinstance(await receive(waiting), Grant)
            assert asyncio.get_running_loop().time() - began < 4 * SILENCE_S

    async def test_edge_chooses_alone_without_a_scheduler(self) -> None:
        edge = Edge()
        try:
            answer = await receive(edge.client.ask(make_asked("q1")))
            assert isinstance(answer, Grant)
        finally:
            edge.task.cancel()

    async def test_new_scheduler_hears_what_runs(self) -> None:
        async with connect() as (_, edge):
            await receive(edge.client.ask(make_asked("q1")))
            other = Scheduler()
            try:
                edge.follow(await other.async_start(), fence=2)
                await async_wait_until(lambda: bool(other.server.core.state.granted))
                assert ("e1", "q1") in other.server.core.state.granted
            finally:
                other.stop()

    async def test_lost_edge_frees_its_places(self) -> None:
        async with connect() as (scheduler, edge):
            await receive(edge.client.ask(make_asked("q1")))
            edge.task.cancel()
            edge.link.close()
            await async_wait_until(lambda: not scheduler.server.core.state.granted)


class TestFleet:
    """Runners as the core that chooses alone knows them."""

    async def test_newest_runners_are_taken_before_a_choice(self) -> None:
        clock = asyncio.get_running_loop().time
        fleets = [
            FleetUpdated(table=make_table(), runners=(make_runner("r2", ("a",)),))
        ]
        local = LocalGrantProvider(
            make_core(), "e1", clock, lambda: fleets.pop() if fleets else None
        )
        answer = await receive(local.ask(make_asked("q1")))
        assert isinstance(answer, Grant)
        assert answer.runner_id == "r2"


class TestState:
    """What the scheduler reads in the store reaches the edge."""

    async def test_keys_and_changes_are_passed_on(self) -> None:
        async with connect() as (scheduler, edge):
            assert edge.recorder.values == {"k": b"1"}
            item = Item(key="l", value=b"2", revision=6)
            scheduler.mirror.take_reading(("k", "l"), (item,), 6)
            await async_wait_until(lambda: len(edge.recorder.values) == 2)
            assert edge.recorder.values == {"k": b"1", "l": b"2"}

    async def test_changes_of_a_moment_are_passed_on_together(self) -> None:
        async with connect() as (scheduler, edge):
            taken: list[Changes] = []
            edge.recorder.take_changes = taken.append  # type: ignore[method-assign]
            for revision in (6, 7, 8):
                key = "k" if revision < 8 else "l"
                item = Item(key=key, value=b"%d" % revision, revision=revision)
                change = Change(key=key, revision=revision, item=item)
                scheduler.mirror.take_changes(
                    Changes(changes=(change,), revision=revision)
                )
            await async_wait_until(lambda: bool(taken))
            (changes,) = taken
            assert [(each.key, each.revision) for each in changes.changes] == [
                ("k", 7),
                ("l", 8),
            ]
            assert changes.revision == 8

    async def test_scheduler_without_the_store_is_not_fresh(self) -> None:
        async with connect() as (scheduler, edge):
            assert edge.link.is_fresh()
            scheduler.mirror.answered_at -= 5.0
            await async_wait_until(lambda: not edge.link.is_fresh())

    async def test_scheduler_that_does_not_lead_is_not_fresh(self) -> None:
        """It may follow others itself, so that nobody would read the store."""
        async with connect() as (scheduler, edge):
            scheduler.leading = False
            await async_wait_until(lambda: not edge.link.is_fresh())

    async def test_scheduler_does_not_follow_its_own_earlier_life(self) -> None:
        async with connect() as (_, edge):
            edge.link.hello = evolve(edge.link.hello, host="s", requests_grants=False)
            edge.link.close()
            await asyncio.sleep(3 * CHECK_S)
            assert edge.link.link is None


class TestTold:
    """Statements on crashes, which go to all at once."""

    async def test_all_others_hear_it_without_the_store(self) -> None:
        scheduler = Scheduler()
        address = await scheduler.async_start()
        edges = [Edge(name) for name in ("e1", "e2", "e3")]
        message = RelayedStatement(key="crashes/i-1@0/e1", value=b"{}")
        try:
            for edge in edges:
                edge.follow(address)
                await edge.async_wait_leading()
            edges[0].link.send_statement(message)
            await async_wait_until(
                lambda: [len(each.told) for each in edges] == [0, 1, 1]
            )
            assert scheduler.told == [message]
        finally:
            for edge in edges:
                edge.task.cancel()
                edge.link.close()
            scheduler.stop()

    async def test_without_a_scheduler_the_store_has_to_do(self) -> None:
        edge = Edge()
        edge.link.send_statement(RelayedStatement(key="crashes/i-1@0/e1", value=b"{}"))
        edge.task.cancel()
        assert edge.told == []
