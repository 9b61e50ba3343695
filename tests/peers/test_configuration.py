"""Tests of the propagation of configurations between processes, in virtual time."""

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
class FakeNetwork:
    """Processes that call each other directly; some can be made unreachable."""

    store: FakeKeyValueStore = field(factory=FakeKeyValueStore)
    processes: dict[str, "Process"] = field(factory=dict)
    unreachable: set[str] = field(factory=set)
    errors: list[BaseException] = field(factory=list)

    def get(self, address: str) -> "FakePeerClient":
        return FakePeerClient(self, address)

    def update_directories(self) -> None:
        """Update every process's directory with all processes and versions."""
        members = tuple(process.member for process in self.processes.values())
        for process in self.processes.values():
            process.directory.set_members(members)
            process.driver.async_update_members()

    async def async_edit(self, memory_mb: int) -> None:
        repository = ConfigurationRepository(self.store)
        edit = make_edit(make_base(memory_mb=memory_mb), f"n{memory_mb}")
        await repository.async_apply(edit, "operator")

    def list_versions(self) -> set[int]:
        return {process.version for process in self.processes.values()}


@define
class FakePeerClient:
    """Simulated `PeerClient`."""

    network: FakeNetwork
    address: str

    async def async_fetch_configuration(
        self, request: pb.FetchConfigurationRequest
    ) -> pb.ConfigurationDocument:
        return (await self._async_connect()).async_read_document(request)

    async def async_push_configuration(
        self, document: pb.ConfigurationDocument
    ) -> pb.PushConfigurationReply:
        return (await self._async_connect()).async_receive_document(document)

    async def _async_connect(self) -> ConfigurationDriver:
        await asyncio.sleep(0.002)
        if self.address in self.network.unreachable:
            raise MangowayError(ErrorCode.PEER_SILENT, "cut", Verdict.MAY_HAVE_RUN)
        return self.network.processes[self.address].driver


class Process:
    """One process of the test."""

    def __init__(self, network: FakeNetwork, name: str) -> None:
        self.applied: list[Configuration] = []
        self.name = name
        self.journal = Journal()
        self.directory = Directory(IncarnationId(f"{name}.1"))
        self.tasks = Tasks(network.errors.append)
        self.driver = ConfigurationDriver(
            core=ConfigurationCore(HostId(name), Random(name)),
            store=network.store,
            follower=ConfigurationFollower(SITE),
            clients=network,  # type: ignore[arg-type]
            directory=self.directory,
            data_centre=DataCentreId("dc1"),
            tasks=self.tasks,
            on_applied=self.applied.append,
            log=ConfigurationLog(self.journal),
        )
        network.processes[name] = self

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
async def run_network(*started: str) -> AsyncIterator[FakeNetwork]:
    """Run four processes that know each other; start the named ones, or all.

    This isn't a fixture, since fixtures don't run in virtual time.
    """
    network = FakeNetwork()
    for number in range(4):
        Process(network, f"n{number}")
    network.update_directories()
    for name in started or network.processes:
        network.processes[name].driver.async_start()
    await network.async_edit(5)
    await asyncio.sleep(8)
    yield network
    for process in network.processes.values():
        await process.async_stop()
    assert network.errors == []


class TestPropagation:
    """Versions reach every process and are never replaced by older ones."""

    async def test_edit_is_applied_everywhere(self) -> None:
        async with run_network() as network:
            for memory_mb in (6, 7):
                await network.async_edit(memory_mb)
                await asyncio.sleep(8)
            assert network.list_versions() == {3}
            for process in network.processes.values():
                assert [each.version for each in process.applied] == [1, 2, 3]
                query = JournalQuery(config_version=ConfigVersion(3))
                assert [each.reason for each in process.journal.find(query)] == [
                    "applied"
                ]

    async def test_process_that_missed_the_push_fetches_from_a_peer(self) -> None:
        async with run_network() as network:
            network.unreachable.add("n0")
            network.store.stalled = True
            await network.async_edit(6)
            await asyncio.sleep(2)
            network.unreachable.clear()
            for _ in range(6):
                network.update_directories()
                await asyncio.sleep(1)
            assert network.list_versions() == {2}

    async def test_new_process_in_an_outage_fetches_from_a_peer(self) -> None:
        async with run_network("n0", "n1", "n2") as network:
            network.update_directories()
            network.store.down = True
            network.processes["n3"].driver.async_start()
            await asyncio.sleep(20)
            assert network.processes["n3"].version == 1

    async def test_older_document_changes_nothing(self) -> None:
        async with run_network() as network:
            process = network.processes["n0"]
            old = process.driver.async_read_document(pb.FetchConfigurationRequest())
            old.source = "n1"
            await network.async_edit(6)
            await asyncio.sleep(8)
            assert process.driver.async_receive_document(old).version == 2
            assert [each.version for each in process.applied] == [1, 2]

    async def test_unreadable_document_changes_nothing(self) -> None:
        async with run_network() as network:
            document = pb.ConfigurationDocument(
                version=9, document=b"z???", source="n1"
            )
            process = network.processes["n0"]
            assert process.driver.async_receive_document(document).version == 1
            query = JournalQuery(config_version=ConfigVersion(9))
            (entry,) = process.journal.find(query)
            assert entry.reason == "refused"
            assert entry.detail.startswith("source n1: config_malformed")
