"""Tests of the configuration core: fixed cases and a state machine.

No process may go back to an older version, and all must apply the newest one soon after
the service and the network work again.
"""

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
"""Time after the end of all faults within which all processes apply the version."""


def make_fleet(size: int, data_centre_count: int, seed: int = 0) -> Fleet:
    hosts = {
        HostId(f"host-{number}"): number % data_centre_count for number in range(size)
    }
    return Fleet(hosts, Random(seed))


def make_document(version: int, source: str | None) -> DocumentReceived:
    return DocumentReceived(
        configuration=Configuration(version=ConfigVersion(version)),
        source=None if source is None else HostId(source),
    )


class TestRelays:
    """Selection of relays."""

    def test_loss_of_one_host_moves_one_relay(self) -> None:
        relays = choose_relays(HOSTS)
        for lost in relays:
            remaining = choose_relays(host for host in HOSTS if host != lost)
            assert len(relays) == len(remaining) == 2
            assert len(relays & remaining) == 1

    def test_single_host_is_relay(self) -> None:
        assert choose_relays(HOSTS[:1]) == {HOSTS[0]}


class TestConfigurationCore:
    """Fixed cases with one process."""

    def test_older_document_is_never_applied(self) -> None:
        core = ConfigurationCore(HOSTS[0], Random(0))
        core.handle(HeadVersionReceived(version=ConfigVersion(5)), 0.0)
        core.handle(make_document(5, None), 0.1)
        for source in (None, "host-1"):
            actions = core.handle(make_document(4, source), 0.2)
            assert not any(isinstance(action, ApplyConfiguration) for action in actions)
        assert core.version == 5

    def test_peer_document_waits_while_service_may_respond(self) -> None:
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

    def test_start_in_outage_waits_for_advertised_version(self) -> None:
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
    """Many cores in one fleet."""

    @pytest.mark.parametrize("is_stalled", [False, True])
    def test_new_version_is_applied_everywhere_in_seconds(
        self, is_stalled: bool
    ) -> None:
        fleet = make_fleet(62, 1)
        fleet.run(10)
        fleet.watch_stalled = is_stalled
        fleet.edit()
        fleet.run(5 if is_stalled else 3)
        versions = {process.core.version for process in fleet.processes.values()}
        assert versions == {2}

    def test_start_in_outage_applies_highest_version_of_several_peers(self) -> None:
        fleet = make_fleet(5, 1)
        fleet.run(10)
        fleet.service_down = True
        ahead = make_document(3, "host-1")
        fleet.head = 3
        fleet.disconnected.update(HOSTS[2:5])
        fleet.deliver(HOSTS[1], ahead)
        fleet.stop(HOSTS[0])
        fleet.run(1)
        fleet.disconnected.clear()
        fleet.start(HOSTS[0])
        fleet.run(12)
        assert fleet.processes[HOSTS[0]].applied[0] == 3

    def test_only_relays_read_often(self) -> None:
        fleet = make_fleet(20, 1)
        fleet.run(10)
        before = fleet.service_calls
        fleet.run(60)
        # In 60 s, two relays read every 2 s and 18 other hosts every 30 s; some further
        # reads are allowed.
        assert fleet.service_calls - before <= 2 * 40 + 18 * 3


class FleetMachine(RuleBasedStateMachine):
    """Faults in any order; after their end all processes have the newest version."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = make_fleet(len(HOSTS), 2)
        self.fleet.run(5)

    @rule(versions=st.integers(1, 3))
    def edit(self, versions: int) -> None:
        if not self.fleet.service_down:
            for _ in range(versions):
                self.fleet.edit()

    @rule(seconds=st.sampled_from([0.02, 0.3, 1.0, 5.0, 20.0]))
    def run(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @rule(is_down=st.booleans(), is_stalled=st.booleans())
    def disturb_service(self, is_down: bool, is_stalled: bool) -> None:
        self.fleet.service_down = is_down
        self.fleet.watch_stalled = is_stalled

    @rule(
        loss=st.sampled_from([0.0, 0.3, 0.9]), lateness=st.sampled_from([0.0, 0.5, 5])
    )
    def disturb_network(self, loss: float, lateness: float) -> None:
        self.fleet.loss = loss
        self.fleet.lateness_s = lateness

    @rule(host=st.sampled_from(HOSTS))
    def disconnect(self, host: HostId) -> None:
        self.fleet.disconnected ^= {host}

    @rule(host=st.sampled_from(HOSTS))
    def kill_or_start(self, host: HostId) -> None:
        if self.fleet.processes[host].alive:
            self.fleet.stop(host)
        else:
            self.fleet.start(host)

    @rule(host=st.sampled_from(HOSTS))
    def freeze_or_resume(self, host: HostId) -> None:
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
