"""Tests of the membership core: fixed cases and a state machine.

Callers must not be sent to a host that has left, and no live host may be missing from
the answers, although processes learn of each other by heartbeats that may be lost.
"""

from random import Random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mangoway.models.identifiers import DataCentreId, HostId, IncarnationId
from mangoway.models.member import MemberState, ProcessRole
from mangoway.policy.membership.actions import ReplyHeartbeat
from mangoway.policy.membership.addresses import build_address_answer
from mangoway.policy.membership.const import GONE_RETENTION_S, SILENCE_S
from mangoway.policy.membership.core import MembershipCore
from mangoway.policy.membership.events import (
    HeartbeatReceived,
    HostListUpdated,
    ListedHost,
    Ticked,
)

from .cell import Cell, make_member

HOSTS = [f"host-{number}" for number in range(6)]
LEAVE_S = 3.0
"""Time after a departure, or the last fault, until no answer lists a host that left."""

SETTLE_S = 25.0
"""Time after the end of all faults within which all processes agree."""


def make_cell(size: int, seed: int = 0) -> Cell:
    cell = Cell([f"host-{number}" for number in range(size)], Random(seed))
    cell.run(10)
    return cell


class TestAddresses:
    """Gateways in an address answer, and their order."""

    def test_ready_live_gateways_with_local_ones_first(self) -> None:
        remote = DataCentreId("dc-2")
        members = [
            make_member("a", data_centre=remote),
            make_member("b"),
            make_member("c", ready=False),
            make_member("d", state=MemberState.LEAVING),
            make_member("e", role=ProcessRole.CONTROLLER, caller_address=None),
            make_member("f"),
        ]
        for rotation, expected in enumerate(["bfa", "fba", "bfa"]):
            answer = build_address_answer(members, DataCentreId("dc-1"), 5, rotation)
            assert "".join(gateway.host for gateway in answer.gateways) == expected


class TestMembershipCore:
    """Fixed cases with one process."""

    def receive(self, core: MembershipCore, now: float, **changes: object) -> None:
        member = make_member("b", **changes)  # type: ignore[arg-type]
        core.handle(HeartbeatReceived(sender=HostId("b"), members=(member,)), now)

    def find_state(self, core: MembershipCore) -> MemberState:
        (found,) = [member for member in core.members if member.host == "b"]
        return found.state

    def test_leaving_state_is_not_reverted(self) -> None:
        core = MembershipCore(make_member("a"), Random(0))
        self.receive(core, 0, beat=5, state=MemberState.LEAVING)
        self.receive(core, 0, beat=4)
        self.receive(core, 0, beat=6)
        assert self.find_state(core) is MemberState.LEAVING

    def test_later_incarnation_replaces_earlier_one(self) -> None:
        core = MembershipCore(make_member("a"), Random(0))
        self.receive(core, 0, start_number=1, beat=5, state=MemberState.LEAVING)
        self.receive(core, 0, start_number=2)
        self.receive(core, 0, start_number=1, beat=9, state=MemberState.LEAVING)
        assert self.find_state(core) is MemberState.LIVE

    def test_frozen_process_does_not_expire_others_at_once(self) -> None:
        core = MembershipCore(make_member("a"), Random(0))
        self.receive(core, 0, beat=1)
        core.handle(Ticked(), 100)
        assert self.find_state(core) is MemberState.LIVE
        for second in range(101, 112):
            core.handle(Ticked(), second)
        assert self.find_state(core) is MemberState.GONE

    def test_gone_process_is_kept_then_dropped(self) -> None:
        core = MembershipCore(make_member("a"), Random(0))
        successor_id = IncarnationId("a.0")
        self.receive(core, 0, state=MemberState.LEAVING, successor=successor_id)
        for second in range(int(GONE_RETENTION_S)):
            core.handle(Ticked(), float(second))
        (gone,) = [member for member in core.members if member.host == "b"]
        assert (gone.state, gone.successor) == (MemberState.GONE, successor_id)
        core.handle(Ticked(), GONE_RETENTION_S + 1)
        assert len(core.members) == 1

    def test_process_listed_as_leaving_until_restart(self) -> None:
        core = MembershipCore(make_member("a"), Random(0))
        self.receive(core, 0, start_number=1)
        listing = HostListUpdated(hosts=(ListedHost(peer_address="b:1", leaving=True),))
        core.handle(listing, 0)
        assert self.find_state(core) is MemberState.LEAVING
        self.receive(core, 0, start_number=2)
        core.handle(listing, 0)
        assert self.find_state(core) is MemberState.LIVE

    def test_silent_entry_is_not_relayed(self) -> None:
        core = MembershipCore(make_member("a"), Random(0))
        self.receive(core, 0, beat=1)
        for second in range(12):
            core.handle(Ticked(), float(second))
        heartbeat = HeartbeatReceived(
            sender=HostId("c"), members=(make_member("c"),), wants_reply=True
        )
        replies = [
            action
            for action in core.handle(heartbeat, 12.0)
            if isinstance(action, ReplyHeartbeat)
        ]
        assert [m.host for m in replies[0].members] == ["a"]

    def test_replaced_process_detects_it(self) -> None:
        core = MembershipCore(make_member("b", start_number=1), Random(0))
        core.handle(Ticked(), 0)
        assert not core.is_replaced
        self.receive(core, 0, start_number=2)
        assert core.is_replaced


class TestCell:
    """Many cores in one cell."""

    @pytest.mark.parametrize("seed", range(2))
    def test_no_live_host_is_lost_at_full_size(self, seed: int) -> None:
        cell = make_cell(62, seed)
        for _ in range(30):
            cell.run(1)
            assert all(len(cell.list_live(host)) == 62 for host in cell.hosts)

    def test_leaving_host_is_not_answered_with_outdated_list(self) -> None:
        cell = make_cell(62)
        cell.list_is_outdated = True
        cell.leave("host-7")
        cell.run(0.1)
        assert not any(
            "host-7" in cell.list_address_answer(host) for host in cell.hosts
        )

    def test_killed_host_is_detected(self) -> None:
        cell = make_cell(62)
        cell.stop("host-7")
        cell.run(SILENCE_S + 6)
        assert not any(
            "host-7" in cell.list_address_answer(host) for host in cell.processes
        )

    def test_resumed_host_keeps_all_others_live(self) -> None:
        cell = make_cell(20)
        cell.processes["host-3"].is_frozen = True
        cell.run(60)
        cell.resume("host-3")
        for _ in range(10):
            cell.run(0.5)
            assert len(cell.list_live("host-3")) == 20


class CellMachine(RuleBasedStateMachine):
    """Faults in any order; after their end all live processes agree."""

    def __init__(self) -> None:
        super().__init__()
        self.cell = make_cell(len(HOSTS))
        self.last_fault_at = self.cell.now

    @rule(seconds=st.sampled_from([0.3, 1.0, 4.0, 20.0]))
    def run(self, seconds: float) -> None:
        self.cell.run(seconds)

    @rule(loss_rate=st.sampled_from([0.0, 0.2, 0.8]), is_outdated=st.booleans())
    def disturb(self, loss_rate: float, is_outdated: bool) -> None:
        self.last_fault_at = self.cell.now
        self.cell.loss_rate = loss_rate
        self.cell.list_is_outdated = is_outdated

    @rule(host=st.sampled_from(HOSTS))
    def cut(self, host: str) -> None:
        self.last_fault_at = self.cell.now
        self.cell.disconnected ^= {host}

    @rule(host=st.sampled_from(HOSTS))
    def kill_or_start(self, host: str) -> None:
        self.last_fault_at = self.cell.now
        if host in self.cell.processes:
            self.cell.stop(host)
        else:
            self.cell.start(host)

    @rule(host=st.sampled_from(HOSTS))
    def restart(self, host: str) -> None:
        self.last_fault_at = self.cell.now
        self.cell.stop(host)
        self.cell.start(host)

    @rule(host=st.sampled_from(HOSTS))
    def leave(self, host: str) -> None:
        self.cell.leave(host)

    @rule(host=st.sampled_from(HOSTS))
    def freeze_or_thaw(self, host: str) -> None:
        self.last_fault_at = self.cell.now
        process = self.cell.processes.get(host)
        if process is None:
            return
        if process.is_frozen:
            self.cell.resume(host)
        else:
            process.is_frozen = True

    @invariant()
    def leaving_hosts_are_not_answered(self) -> None:
        cell = self.cell
        if cell.loss_rate or cell.now - self.last_fault_at < LEAVE_S:
            return
        left = {host for host, at in cell.left_at.items() if cell.now - at >= LEAVE_S}
        for host, process in cell.processes.items():
            if not process.is_frozen and not {host, *left} & cell.disconnected:
                assert not left & cell.list_address_answer(host), host

    def teardown(self) -> None:
        cell = self.cell
        cell.end_faults()
        cell.run(SETTLE_S)
        expected = set(cell.processes) - set(cell.left_at)
        for host, process in cell.processes.items():
            assert cell.list_address_answer(host) == expected, host
            assert not process.core.is_replaced


class TestLeavingHosts:
    """Hosts that leave while they are disconnected."""

    def test_host_that_left_while_disconnected_is_not_answered(self) -> None:
        """It leaves and is killed before it is connected again."""
        machine = CellMachine()
        machine.cut(HOSTS[0])
        machine.run(5.0)
        machine.leave(HOSTS[0])
        machine.kill_or_start(HOSTS[0])
        machine.cut(HOSTS[0])
        machine.run(4.0)
        machine.leaving_hosts_are_not_answered()


TestCellMachine = CellMachine.TestCase
