"""Tests of the configuration core: fixed cases and a state machine."""

from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mangoway.models.identifiers import ConfigVersion, HostId
from mangoway.models.offer import Configuration
from mangoway.policy.configuration.actions import ApplyConfiguration, FetchFromService
from mangoway.policy.configuration.core import ConfigurationCore
from mangoway.policy.configuration.events import (
    DocumentReceived,
    FetchFailed,
    HeadVersionReceived,
    PeerAdvertised,
    PeersChanged,
    Ticked,
)
from mangoway.policy.configuration.relays import choose_relays

from .fleet import Fleet

HOSTS = [HostId(f"host-{number}") for number in range(6)]
SETTLE_S = 8.0
"""Time after the end of all faults within which a version is in force everywhere."""


def make_fleet(size: int, centres: int, seed: int = 0) -> Fleet:
    hosts = {HostId(f"host-{number}"): number % centres for number in range(size)}
    return Fleet(hosts, Random(seed))


def make_document(version: int, source: str | None) -> DocumentReceived:
    return DocumentReceived(
        configuration=Configuration(version=ConfigVersion(version)),
        source=None if source is None else HostId(source),
    )


class TestRelays:
    """Choice of relays."""

    def test_loss_of_one_host_moves_one_relay(self) -> None:
        relays = choose_relays(HOSTS)
        for lost in relays:
            rest = choose_relays(host for host in HOSTS if host != lost)
            assert len(relays) == len(rest) == 2
            assert len(relays & rest) == 1

    def test_one_host_relays_for_itself(self) -> None:
        assert choose_relays(HOSTS[:1]) == {HOSTS[0]}


class TestConfigurationCore:
    """Fixed cases."""

    def test_older_document_is_never_applied(self) -> None:
        core = ConfigurationCore(HOSTS[0], Random(0))
        core.handle(HeadVersionReceived(version=ConfigVersion(5)), 0.0)
        core.handle(make_document(5, None), 0.1)
        for source in (None, "host-1"):
            actions = core.handle(make_document(4, source), 0.2)
            assert not any(isinstance(act, ApplyConfiguration) for act in actions)
        assert core.version == 5

    def test_peer_document_waits_while_the_service_may_answer(self) -> None:
        core = ConfigurationCore(HOSTS[0], Random(0))
        core.handle(PeersChanged(peers=(HOSTS[1],)), 0.0)
        core.handle(make_document(4, "host-1"), 0.1)
        assert not core.is_ready
        core.handle(HeadVersionReceived(version=ConfigVersion(5)), 0.2)
        assert not core.is_ready
        core.handle(make_document(5, None), 0.3)
        assert core.version == 5

    def test_stale_head_causes_no_fetch(self) -> None:
        core = ConfigurationCore(HOSTS[0], Random(0))
        core.handle(HeadVersionReceived(version=ConfigVersion(5)), 0.0)
        core.handle(make_document(5, None), 0.1)
        actions = core.handle(HeadVersionReceived(version=ConfigVersion(4)), 0.2)
        assert not any(isinstance(action, FetchFromService) for action in actions)

    def test_start_in_an_outage_waits_for_a_version_it_heard_of(self) -> None:
        core = ConfigurationCore(HOSTS[0], Random(0))
        core.handle(PeersChanged(peers=(HOSTS[1], HOSTS[2])), 0.0)
        core.handle(PeerAdvertised(peer=HOSTS[2], version=ConfigVersion(5)), 0.0)
        core.handle(FetchFailed(source=None), 0.1)
        core.handle(make_document(4, "host-1"), 0.2)
        for tenth in range(4, 100):
            core.handle(FetchFailed(source=None), tenth / 10)
            assert not core.is_ready
        core.handle(Ticked(), 11.0)
        assert core.version == 4

    def test_process_without_service_and_peers_is_not_ready(self) -> None:
        core = ConfigurationCore(HOSTS[0], Random(0))
        for second in range(60):
            core.handle(Ticked(), float(second))
        assert not core.is_ready


class TestFleet:
    """Many cores together."""

    @pytest.mark.parametrize("stalled", [False, True])
    def test_edit_is_in_force_everywhere_in_seconds(self, stalled: bool) -> None:
        fleet = make_fleet(62, 1)
        fleet.run(10)
        fleet.watch_stalled = stalled
        fleet.edit()
        fleet.run(5 if stalled else 3)
        versions = {process.core.version for process in fleet.processes.values()}
        assert versions == {2}

    def test_start_in_an_outage_takes_the_highest_of_several_peers(self) -> None:
        fleet = make_fleet(5, 1)
        fleet.run(10)
        fleet.service_down = True
        ahead = make_document(3, "host-1")
        fleet.head = 3
        fleet.cut.update(HOSTS[2:5])
        fleet.deliver(HOSTS[1], ahead)
        fleet.stop(HOSTS[0])
        fleet.run(1)
        fleet.cut.clear()
        fleet.start(HOSTS[0])
        fleet.run(12)
        assert fleet.processes[HOSTS[0]].applied[0] == 3

    def test_only_relays_read_often(self) -> None:
        fleet = make_fleet(20, 1)
        fleet.run(10)
        before = fleet.service_calls
        fleet.run(60)
        assert fleet.service_calls - before <= 2 * 40 + 18 * 3


class FleetMachine(RuleBasedStateMachine):
    """Faults in any order; at the end all processes agree with the service."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = make_fleet(len(HOSTS), 2)
        self.fleet.run(5)

    @rule(edits=st.integers(1, 3))
    def edit(self, edits: int) -> None:
        if not self.fleet.service_down:
            for _ in range(edits):
                self.fleet.edit()

    @rule(seconds=st.sampled_from([0.02, 0.3, 1.0, 5.0, 20.0]))
    def run(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @rule(down=st.booleans(), stalled=st.booleans())
    def disturb_service(self, down: bool, stalled: bool) -> None:
        self.fleet.service_down = down
        self.fleet.watch_stalled = stalled

    @rule(
        loss=st.sampled_from([0.0, 0.3, 0.9]), lateness=st.sampled_from([0.0, 0.5, 5])
    )
    def disturb_network(self, loss: float, lateness: float) -> None:
        self.fleet.loss = loss
        self.fleet.lateness_s = lateness

    @rule(host=st.sampled_from(HOSTS))
    def cut(self, host: HostId) -> None:
        self.fleet.cut ^= {host}

    @rule(host=st.sampled_from(HOSTS))
    def kill_or_start(self, host: HostId) -> None:
        if self.fleet.processes[host].alive:
            self.fleet.stop(host)
        else:
            self.fleet.start(host)

    @rule(host=st.sampled_from(HOSTS))
    def freeze_or_thaw(self, host: HostId) -> None:
        process = self.fleet.processes[host]
        if process.frozen:
            self.fleet.resume(host)
        else:
            process.frozen = True

    @invariant()
    def no_process_reverts(self) -> None:
        for process in self.fleet.processes.values():
            assert process.applied == sorted(set(process.applied))
            assert process.core.version <= self.fleet.head

    def teardown(self) -> None:
        self.fleet.end_faults()
        self.fleet.run(SETTLE_S)
        for host, process in self.fleet.processes.items():
            assert process.core.version == self.fleet.head, host


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = settings(
    max_examples=4 * settings().max_examples, stateful_step_count=30
)
