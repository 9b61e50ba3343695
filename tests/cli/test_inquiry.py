"""Tests of operators' queries: status and explain."""

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from mangoway.cli.explain import format_entries
from mangoway.cli.inquiry import FleetStatus, async_explain, async_read_fleet
from mangoway.cli.status import format_status
from mangoway.models.artifact import Artifact
from mangoway.models.errors import ErrorCode, MangowayError
from mangoway.models.identifiers import HostId, UpstreamId
from mangoway.observability.journal import DecisionKind, Journal, JournalEntry
from mangoway.peers import peers_pb2 as pb
from mangoway.peers.server import PeerReceivers, PeerServer
from mangoway.peers.status import explain

GONE_ADDRESS = "127.0.0.1:9"


class Process:
    """Process that responds to queries with the status and journal of a test."""

    def __init__(self, name: str) -> None:
        self.reply = pb.StatusReply()
        self.reply.self.host = name
        self.reply.self.incarnation = f"{name}.1"
        self.reply.self.state = "live"
        self.journal = Journal()

    def async_read_status(self) -> pb.StatusReply:
        return self.reply

    def async_explain(self, request: pb.ExplainRequest) -> pb.ExplainReply:
        return explain(self.journal, request, HostId(self.reply.self.host))

    def add_decision(self, at: float, reason: str) -> None:
        self.journal.add(
            JournalEntry(
                at=at,
                kind=DecisionKind.PLACEMENT,
                reason=reason,
                artifact=Artifact.parse("chat@1"),
                upstream=UpstreamId("r1"),
            )
        )


@asynccontextmanager
async def run_processes(*processes: Process) -> AsyncIterator[str]:
    """Run servers of processes that know each other and one that is down."""
    servers = [PeerServer(PeerReceivers(status=process)) for process in processes]
    for process, server in zip(processes, servers, strict=True):
        await server.async_start("127.0.0.1", 0)
        process.reply.self.peer_address = f"127.0.0.1:{server.port}"
    for process in processes:
        process.reply.hosts.extend(each.reply.self for each in processes)
        process.reply.hosts.add(
            host="down", incarnation="down.1", state="live", peer_address=GONE_ADDRESS
        )
    yield processes[0].reply.self.peer_address
    for server in servers:
        await server.async_stop()


def _make_planner() -> Process:
    planner = Process("c1")
    planner.reply.active = True
    planner.reply.cell = "cell-1"
    runner = planner.reply.runners.add(
        runner="r1", incarnation="e.1", size_mb=800, committed_mb=700, fence=4
    )
    runner.entries.add(artifact="chat@1", memory_mb=600, state="resident")
    runner.entries.add(artifact="chat@2", memory_mb=100, state="reserved")
    planner.reply.models.add(
        artifact="chat@1", floor=1, ready=["r1"], reason="floor", detail="1 of 1"
    )
    return planner


class TestStatus:
    """Tests of `mangoway status`."""

    async def test_status_of_all_processes_is_read_from_any_peer(self) -> None:
        gateway, planner = Process("g1"), _make_planner()
        gateway.reply.queues.add(target="chat@1", urgent=2, patient=1)
        planner.reply.queues.add(target="chat@1", urgent=3)
        async with run_processes(gateway, planner) as address:
            status = await async_read_fleet([GONE_ADDRESS, address])
        assert [host.host for host in status.hosts] == ["c1", "down", "g1"]
        assert status.unreachable == (GONE_ADDRESS,)
        assert status.planner is not None
        assert [(each.urgent, each.patient) for each in status.queues] == [(5, 1)]

    async def test_no_response_is_an_error_with_a_code(self) -> None:
        with pytest.raises(MangowayError) as raised:
            await async_read_fleet([GONE_ADDRESS])
        assert raised.value.code is ErrorCode.PEER_UNREACHABLE

    def test_tables_show_ledgers_copies_and_reasons(self) -> None:
        status = FleetStatus(replies=(_make_planner().reply,), unreachable=("x:1",))
        text = format_status(status)
        assert "700 MB" in text and "800 MB" in text
        assert "chat@1, chat@2 (reserved)" in text
        assert "floor 1 of 1" in text
        assert "4 not checked" in text
        assert "No answer from x:1." in text

    def test_missing_planner_is_reported(self) -> None:
        status = FleetStatus(replies=(Process("g1").reply,), unreachable=())
        assert "No controller plans now" in format_status(status)


class TestExplain:
    """Tests of `mangoway explain`."""

    async def test_entries_of_all_processes_are_in_order(self) -> None:
        first, second = Process("c1"), Process("c2")
        now = time.time()
        first.add_decision(now + 2, "loaded")
        second.add_decision(now + 1, "wanted")
        async with run_processes(first, second) as address:
            entries = await async_explain(
                [address], pb.ExplainRequest(kind="model", id="chat")
            )
        assert [(each.host, each.name) for each in entries] == [
            ("c2", "placement.wanted"),
            ("c1", "placement.loaded"),
        ]
        assert "upstream=r1" in format_entries(entries)

    async def test_unknown_kind_is_rejected(self) -> None:
        with pytest.raises(MangowayError) as raised:
            explain(Journal(), pb.ExplainRequest(kind="cable", id="1"), HostId("c1"))
        assert raised.value.code is ErrorCode.MALFORMED_REQUEST

    def test_no_entries_are_reported(self) -> None:
        assert "Nothing is known" in format_entries(())
