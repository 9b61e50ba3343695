"""Tests of what processes tell each other of crashes through the store."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from mangoway.coordination.crash_reporter import (
    MAX_PENDING,
    MAX_WRITES_PER_CALL,
    CrashReporter,
)
from mangoway.coordination.crashes import (
    BlockStatement,
    ClearanceStatement,
    CrashStatement,
    Statement,
    StatementError,
    decode_statement,
    encode_statement,
)
from mangoway.coordination.mirror import Mirror
from mangoway.coordination.statement_maintainer import StatementMaintainer
from mangoway.coordination.view import FleetView
from mangoway.models.crash import Charge, Clearance, RequestIdentity, RunStage
from mangoway.platform.receiver import StoreReceiver
from mangoway.policy.crashes.const import BLOCK_S, CRASH_RETENTION_S
from mangoway.policy.crashes.tracker import CrashTracker

from ..fakes.coordination_store import FakeCoordinationStore
from ..fakes.polling import async_wait_until

PREFIX = "mangoway/"
CULPRIT = RequestIdentity("c" * 24, "v" * 24)


def make_crash(
    life: str, edge: str = "e1", identity: RequestIdentity = CULPRIT
) -> CrashStatement:
    return CrashStatement(life=life, edge=edge, charges=(Charge(identity, life),))


def make_cleared(*lives: str) -> ClearanceStatement:
    clearance = Clearance(identity=CULPRIT, lives=frozenset(lives))
    return ClearanceStatement(clearance=clearance)


class TestCodec:
    """Statements as the store keeps them."""

    @pytest.mark.parametrize(
        "statement",
        [
            make_crash("i-1@0"),
            make_cleared("i-1@0", "i-2@5"),
            BlockStatement(
                content=CULPRIT.content,
                charges=(Charge(CULPRIT, "i-1@0", RunStage.BEGUN, True),),
            ),
        ],
        ids=lambda each: type(each).__name__,
    )
    def test_statement_is_read_as_it_was_written(self, statement: Statement) -> None:
        value = encode_statement(statement)
        assert decode_statement(statement.key, value) == statement
        assert len(PREFIX + statement.key) <= 200

    @pytest.mark.parametrize(
        ("key", "value"),
        [
            ("crashes/i-1@0/e1", b"\xff"),
            ("crashes/i-1@0", b"[]"),
            ("crashes/i-1@0/e1", b'[["x"]]'),
            ("cleared/x", b"[]"),
            ("held/x", b"[]"),
        ],
    )
    def test_what_cannot_be_read_is_said(self, key: str, value: bytes) -> None:
        with pytest.raises(StatementError):
            decode_statement(key, value)


class Node:
    """A process that follows the store, as an edge without a leader does."""

    def __init__(self, store: FakeCoordinationStore) -> None:
        self.clock = asyncio.get_running_loop().time
        self.tracker = CrashTracker()
        receiver = StoreReceiver(FleetView(), self.clock, self.tracker)
        self.mirror = Mirror(store, receiver, self.clock)
        self.reporter = CrashReporter(store, PREFIX)
        self.shift_s = 0.0
        self.leads = True
        self.keeper = StatementMaintainer(
            store=store,
            mirror=self.mirror,
            tracker=self.tracker,
            clock=lambda: self.clock() + self.shift_s,
            may_write=lambda: self.leads,
            prefix=PREFIX,
        )
        self.tasks = [
            asyncio.create_task(self.mirror.async_run()),
            asyncio.create_task(self.reporter.async_run()),
        ]

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()


@asynccontextmanager
async def start_nodes(
    store: FakeCoordinationStore, count: int
) -> AsyncIterator[list[Node]]:
    nodes = [Node(store) for _ in range(count)]
    try:
        yield nodes
    finally:
        for node in nodes:
            node.stop()


class TestSpread:
    """What all processes know, whoever saw it."""

    async def test_crashes_at_three_hosts_hold_back_at_all(self) -> None:
        async with start_nodes(FakeCoordinationStore(), 4) as nodes:
            began = nodes[0].clock()
            for number, node in enumerate(nodes[:3]):
                node.reporter.post(make_crash(f"i-{number}@0", f"e{number}"))
            await async_wait_until(
                lambda: all(each.tracker.is_blocked(CULPRIT) for each in nodes)
            )
            assert nodes[0].clock() - began < 1.0

    async def test_host_that_has_just_joined_knows_it(self) -> None:
        store = FakeCoordinationStore()
        for number in range(3):
            statement = make_crash(f"i-{number}@0")
            store.put(PREFIX + statement.key, encode_statement(statement))
        async with start_nodes(store, 1) as [node]:
            await async_wait_until(lambda: node.tracker.is_blocked(CULPRIT))

    async def test_clearance_reaches_all(self) -> None:
        async with start_nodes(FakeCoordinationStore(), 2) as nodes:
            for number in range(3):
                nodes[0].reporter.post(make_crash(f"i-{number}@0"))
            await async_wait_until(lambda: nodes[1].tracker.is_blocked(CULPRIT))
            nodes[0].reporter.post(make_cleared("i-0@0", "i-1@0", "i-2@0"))
            await async_wait_until(lambda: not nodes[1].tracker.is_blocked(CULPRIT))

    async def test_unreadable_statement_leaves_the_others(self) -> None:
        store = FakeCoordinationStore()
        store.put(PREFIX + "crashes/i-0@0/e9", b"\xff")
        async with start_nodes(store, 1) as [node]:
            for number in range(3):
                node.reporter.post(make_crash(f"i-{number}@0"))
            await async_wait_until(lambda: node.tracker.is_blocked(CULPRIT))


class TestReporter:
    """How an edge writes what it knows."""

    async def test_what_breaks_together_takes_one_call(self) -> None:
        store = FakeCoordinationStore()
        async with start_nodes(store, 1) as [node]:
            for number in range(10):
                node.reporter.post(make_crash(f"i-{number}@0"))
            await async_wait_until(lambda: len(store.items) == 10)
        assert store.calls.count("commit") == 1

    async def test_outage_is_outlasted(self) -> None:
        store = FakeCoordinationStore()
        store.down = True
        async with start_nodes(store, 1) as [node]:
            node.reporter.post(make_crash("i-0@0"))
            await asyncio.sleep(0.3)
            store.down = False
            await async_wait_until(lambda: len(store.items) == 1)

    async def test_lost_answer_does_no_harm(self) -> None:
        store = FakeCoordinationStore()
        store.lose_answers = 1
        async with start_nodes(store, 1) as [node]:
            node.reporter.post(make_crash("i-0@0"))
            await async_wait_until(lambda: not node.reporter._pending)
        assert len(store.items) == 1

    @pytest.mark.parametrize("down", [True, False])
    async def test_others_are_told_once_if_the_store_is_away(self, down: bool) -> None:
        store = FakeCoordinationStore()
        store.down = down
        told: list[str] = []
        async with start_nodes(store, 1) as [node]:
            node.reporter.send_to_peers = lambda key, value: not told.append(key)
            node.reporter.post(make_crash("i-0@0"))
            await asyncio.sleep(0.6)
        assert told == (["crashes/i-0@0/e1"] if down else [])

    async def test_all_that_waits_is_told(self) -> None:
        """Also what is beyond one call of the store."""
        store = FakeCoordinationStore()
        store.down = True
        told: list[str] = []
        async with start_nodes(store, 1) as [node]:
            node.reporter.send_to_peers = lambda key, value: not told.append(key)
            for number in range(3 * MAX_WRITES_PER_CALL):
                node.reporter.post(make_crash(f"i-{number}@0"))
            await async_wait_until(lambda: len(told) == 3 * MAX_WRITES_PER_CALL)

    async def test_without_a_link_nobody_is_told(self) -> None:
        """It is told once there is one."""
        store = FakeCoordinationStore()
        store.down = True
        told: list[str] = []
        linked = False

        def tell(key: str, value: bytes) -> bool:
            if linked:
                told.append(key)
            return linked

        async with start_nodes(store, 1) as [node]:
            node.reporter.send_to_peers = tell
            node.reporter.post(make_crash("i-0@0"))
            await asyncio.sleep(0.4)
            linked = True
            await async_wait_until(lambda: told == ["crashes/i-0@0/e1"])

    async def test_call_at_its_largest_fits_a_frame_of_the_links(self) -> None:
        """Twelve requests a runner: 200 hosts are told of each."""
        charges = [
            Charge(
                RequestIdentity(f"{number:012}", "v" * 12), "i-7f3a91c2@1700000000000"
            )
            for number in range(12)
        ]
        statement = CrashStatement(
            life="i-7f3a91c2@1700000000000", edge="e" * 12, charges=tuple(charges)
        )
        assert len(statement.key + encode_statement(statement).decode()) < 500

    async def test_what_waits_is_bounded(self) -> None:
        reporter = CrashReporter(FakeCoordinationStore(), PREFIX)
        for number in range(MAX_PENDING + 50):
            reporter.post(make_crash(f"i-{number}@0"))
        assert len(reporter._pending) == MAX_PENDING


class TestKeeper:
    """What the leader looks after."""

    async def async_hold(self, node: Node) -> None:
        for number in range(3):
            node.reporter.post(make_crash(f"i-{number}@0"))
        await async_wait_until(lambda: node.tracker.is_blocked(CULPRIT))
        await async_wait_until(lambda: len(node.mirror.items) == 3)

    async def test_leader_looks_by_itself(self) -> None:
        """Nobody else writes down what is held back."""
        store = FakeCoordinationStore()
        async with start_nodes(store, 1) as [node]:
            task = asyncio.create_task(node.keeper.async_run())
            await self.async_hold(node)
            await async_wait_until(lambda: len(node.mirror.items) == 4)
            task.cancel()

    async def test_what_is_held_back_outlasts_the_charges(self) -> None:
        store = FakeCoordinationStore()
        async with start_nodes(store, 1) as [node]:
            await self.async_hold(node)
            await node.keeper.async_check()
            await async_wait_until(lambda: len(node.mirror.items) == 4)
            await node.keeper.async_check()
            node.shift_s = CRASH_RETENTION_S + 1
            await node.keeper.async_check()
            await async_wait_until(lambda: len(node.mirror.items) == 1)
            assert node.tracker.is_blocked(CULPRIT)
            node.shift_s = BLOCK_S + CRASH_RETENTION_S + 2
            await node.keeper.async_check()
            await async_wait_until(lambda: not node.mirror.items)
            assert not node.tracker.is_blocked(CULPRIT)

    async def test_charges_stay_until_what_they_hold_is_written(self) -> None:
        store = FakeCoordinationStore()
        async with start_nodes(store, 1) as [node]:
            await self.async_hold(node)
            await node.keeper.async_check()
            held = PREFIX + BlockStatement(content=CULPRIT.content, charges=()).key
            await async_wait_until(lambda: held in store.items)
            store.remove(held)
            await async_wait_until(lambda: held not in node.mirror.items)
            node.shift_s = CRASH_RETENTION_S + 1
            await node.keeper.async_check()
            assert held in store.items
            assert len(store.items) == 4

    async def test_cleared_request_is_not_kept_held_back(self) -> None:
        store = FakeCoordinationStore()
        async with start_nodes(store, 1) as [node]:
            await self.async_hold(node)
            await node.keeper.async_check()
            node.reporter.post(make_cleared("i-0@0", "i-1@0", "i-2@0"))
            await async_wait_until(lambda: len(node.mirror.items) == 5)
            await node.keeper.async_check()
            assert len(store.items) == 4

    async def test_variant_that_follows_is_written_as_well(self) -> None:
        store = FakeCoordinationStore()
        other = RequestIdentity(CULPRIT.content, "w")
        async with start_nodes(store, 1) as [node]:
            await self.async_hold(node)
            await node.keeper.async_check()
            for number in range(3):
                statement = make_crash(f"j-{number}@0", identity=other)
                node.reporter.post(statement)
            await async_wait_until(lambda: len(node.mirror.items) == 7)
            await node.keeper.async_check()
            calls = store.calls.count("commit")
            await async_wait_until(lambda: node.mirror.revision == store.revision)
            await node.keeper.async_check()
            assert store.calls.count("commit") == calls
            node.shift_s = CRASH_RETENTION_S + 1
            await node.keeper.async_check()
            await async_wait_until(lambda: len(node.mirror.items) == 1)
            assert node.tracker.is_blocked(CULPRIT)
            assert node.tracker.is_blocked(other)

    async def test_only_a_leader_changes_the_store(self) -> None:
        store = FakeCoordinationStore()
        async with start_nodes(store, 1) as [node]:
            await self.async_hold(node)
            node.leads = False
            await node.keeper.async_check()
            node.shift_s = CRASH_RETENTION_S + 1
            await node.keeper.async_check()
            assert len(store.items) == 3

    async def test_outage_is_borne(self) -> None:
        store = FakeCoordinationStore()
        async with start_nodes(store, 1) as [node]:
            await self.async_hold(node)
            store.down = True
            await node.keeper.async_check()
            store.down = False
            await node.keeper.async_check()
            assert len(store.items) == 4
