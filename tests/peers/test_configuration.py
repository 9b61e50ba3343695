"""Tests of the configuration's spread between processes, in virtual time."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import pytest
from attrs import define, field

from mangoway.models.errors import ErrorCode, MangowayError
from mangoway.models.identifiers import (
    ConfigVersion,
    DataCentreId,
    HostId,
    IncarnationId,
)
from mangoway.models.member import Member, ProcessRole
from mangoway.models.offer import Configuration
from mangoway.models.verdict import Verdict
from mangoway.observability.journal import Journal, JournalQuery
from mangoway.operators.follower import ConfigurationFollower
from mangoway.operators.repository import ConfigurationRepository
from mangoway.peers import peers_pb2 as pb
from mangoway.peers.configuration import ConfigurationDriver
from mangoway.peers.configuration_log import ConfigurationLog
from mangoway.peers.directory import Directory
from mangoway.policy.configuration.core import ConfigurationCore
from mangoway.util.tasks import Tasks

from ..fakes.key_value import FakeKeyValueStore
from ..operators.conftest import make_base, make_edit

pytestmark = pytest.mark.looptime

SITE = "s1"


@define
class Net:
    """Processes that call each other directly; a cut one can't be reached."""

    store: FakeKeyValueStore = field(factory=FakeKeyValueStore)
    nodes: dict[str, "Node"] = field(factory=dict)
    cut: set[str] = field(factory=set)
    errors: list[BaseException] = field(factory=list)

    def get(self, address: str) -> "Link":
        return Link(self, address)

    def spread(self) -> None:
        """Let every process know all others and their versions."""
        members = tuple(node.member for node in self.nodes.values())
        for node in self.nodes.values():
            node.directory.set_members(members)
            node.driver.async_set_members()

    async def async_edit(self, memory_mb: int) -> None:
        repository = ConfigurationRepository(self.store)
        edit = make_edit(make_base(memory_mb=memory_mb), f"n{memory_mb}")
        await repository.async_apply(edit, "operator")

    def list_versions(self) -> set[int]:
        return {node.version for node in self.nodes.values()}


@define
class Link:
    """Stands in for `PeerClient`."""

    net: Net
    address: str

    async def async_fetch_configuration(
        self, request: pb.FetchConfigurationRequest
    ) -> pb.ConfigurationDocument:
        return (await self._async_reach()).async_read_document(request)

    async def async_push_configuration(
        self, document: pb.ConfigurationDocument
    ) -> pb.PushConfigurationReply:
        return (await self._async_reach()).async_receive_document(document)

    async def _async_reach(self) -> ConfigurationDriver:
        await asyncio.sleep(0.002)
        if self.address in self.net.cut:
            raise MangowayError(ErrorCode.PEER_SILENT, "cut", Verdict.MAY_HAVE_RUN)
        return self.net.nodes[self.address].driver


class Node:
    """One process of the test."""

    def __init__(self, net: Net, name: str) -> None:
        self.applied: list[Configuration] = []
        self.name = name
        self.journal = Journal()
        self.directory = Directory(IncarnationId(f"{name}.1"))
        self.tasks = Tasks(net.errors.append)
        self.driver = ConfigurationDriver(
            core=ConfigurationCore(HostId(name), Random(name)),
            store=net.store,
            follower=ConfigurationFollower(SITE),
            clients=net,  # type: ignore[arg-type]
            directory=self.directory,
            data_centre=DataCentreId("dc1"),
            tasks=self.tasks,
            on_applied=self.applied.append,
            log=ConfigurationLog(self.journal),
        )
        net.nodes[name] = self

    async def async_stop(self) -> None:
        self.driver.async_stop()
        await self.tasks.async_cancel()

    @property
    def version(self) -> int:
        return self.applied[-1].version if self.applied else 0

    @property
    def member(self) -> Member:
        return Member(
            host=HostId(self.name),
            role=ProcessRole.GATEWAY,
            incarnation=IncarnationId(f"{self.name}.1"),
            started_at=0.0,
            data_centre=DataCentreId("dc1"),
            peer_address=self.name,
            caller_address=None,
            config_version=ConfigVersion(self.version),
        )


@asynccontextmanager
async def run_net(*started: str) -> AsyncIterator[Net]:
    """Run four processes that know each other; only the named ones start.

    This is no fixture, since fixtures run outside of the virtual time.
    """
    net = Net()
    for number in range(4):
        Node(net, f"n{number}")
    net.spread()
    for name in started or net.nodes:
        net.nodes[name].driver.async_start()
    await net.async_edit(5)
    await asyncio.sleep(8)
    yield net
    for node in net.nodes.values():
        await node.async_stop()
    assert net.errors == []


class TestSpread:
    """Versions reach every process and never go back."""

    async def test_edit_comes_in_force_everywhere(self) -> None:
        async with run_net() as net:
            for memory_mb in (6, 7):
                await net.async_edit(memory_mb)
                await asyncio.sleep(8)
            assert net.list_versions() == {3}
            for node in net.nodes.values():
                assert [each.version for each in node.applied] == [1, 2, 3]
                query = JournalQuery(config_version=ConfigVersion(3))
                assert [each.reason for each in node.journal.find(query)] == ["applied"]

    async def test_process_that_missed_the_push_asks_a_peer(self) -> None:
        async with run_net() as net:
            net.cut.add("n0")
            net.store.stalled = True
            await net.async_edit(6)
            await asyncio.sleep(2)
            net.cut.clear()
            for _ in range(6):
                net.spread()
                await asyncio.sleep(1)
            assert net.list_versions() == {2}

    async def test_new_process_in_an_outage_takes_what_its_peers_have(self) -> None:
        async with run_net("n0", "n1", "n2") as net:
            net.spread()
            net.store.down = True
            net.nodes["n3"].driver.async_start()
            await asyncio.sleep(20)
            assert net.nodes["n3"].version == 1

    async def test_older_document_changes_nothing(self) -> None:
        async with run_net() as net:
            node = net.nodes["n0"]
            old = node.driver.async_read_document(pb.FetchConfigurationRequest())
            old.source = "n1"
            await net.async_edit(6)
            await asyncio.sleep(8)
            assert node.driver.async_receive_document(old).version == 2
            assert [each.version for each in node.applied] == [1, 2]

    async def test_document_that_cannot_be_read_changes_nothing(self) -> None:
        async with run_net() as net:
            document = pb.ConfigurationDocument(
                version=9, document=b"z???", source="n1"
            )
            node = net.nodes["n0"]
            assert node.driver.async_receive_document(document).version == 1
            query = JournalQuery(config_version=ConfigVersion(9))
            (entry,) = node.journal.find(query)
            assert entry.reason == "refused"
            assert entry.detail.startswith("source n1: config_malformed")
