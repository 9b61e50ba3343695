"""Tests of runners that keep copies of other runners' streams."""

import pytest
from attrs import evolve

from mangoway.policy.scheduling.backups import OWN_KV_SHARE, SPARE_KV_SHARE
from mangoway.policy.scheduling.events import (
    Action,
    EdgeDisconnected,
    EndKind,
    FirstEventSeen,
    Grant,
    GrantRequest,
    StreamMoved,
)
from mangoway.policy.scheduling.features import Features

from .moving import EDGE, make_live, make_patient
from .test_transfers import Desk

CAPACITY = 60_000
OUTPUT_TOKENS = 800
KV_TOKENS = 800 + OUTPUT_TOKENS
HANDLE_S = 5.0


def make_desk() -> Desk:
    """Return a desk whose runner `r1` is in another data centre."""
    desk = Desk(features=Features(stream_transfers=False))
    desk.entries["r1"] = evolve(desk.entries["r1"], data_centre="dc2")
    desk.update_fleet()
    return desk


def grant(desk: Desk, grant_request: GrantRequest) -> Grant:
    """Return the grant of a request at `r0`."""
    actions = desk.handle(evolve(grant_request, only=("r0",)))
    return find_grant(actions)


def find_grant(actions: list[Action]) -> Grant:
    """Return the only action, a grant."""
    assert len(actions) == 1
    assert isinstance(actions[0], Grant)
    return actions[0]


class TestChoice:
    """Which streams get a backup, and where."""

    def test_runner_in_another_data_centre_is_preferred(self) -> None:
        """One data centre may be lost at once."""
        desk = make_desk()
        assert grant(desk, make_live("s0")).backup_runner_id == "r1"
        assert desk.get("r1").backups.tokens == 800 + 400

    def test_another_runner_of_the_same_data_centre_is_used(self) -> None:
        desk = make_desk()
        desk.drop("r1")
        assert grant(desk, make_live("s0")).backup_runner_id == "r2"

    def test_runner_of_another_software_version_is_not_used(self) -> None:
        desk = make_desk()
        for name, version in (("r0", "v1"), ("r1", "v2"), ("r2", "v1")):
            desk.entries[name] = evolve(desk.entries[name], software_version=version)
        desk.update_fleet()
        assert grant(desk, make_live("s0")).backup_runner_id == "r2"

    def test_none_without_another_runner_of_the_software_version(self) -> None:
        desk = make_desk()
        desk.entries["r0"] = evolve(desk.entries["r0"], software_version="v1")
        desk.update_fleet()
        assert grant(desk, make_live("s0")).backup_runner_id == ""

    def test_only_holder_has_no_backup(self) -> None:
        desk = make_desk()
        desk.drop("r1")
        desk.drop("r2")
        assert grant(desk, make_live("s0")).backup_runner_id == ""

    @pytest.mark.parametrize(
        "grant_request",
        [
            make_patient("s0", "a", OUTPUT_TOKENS),
            evolve(make_live("s0", "a", OUTPUT_TOKENS), streaming=False),
            make_live("s0", "a", 100),
        ],
        ids=["resumable", "not streamed", "short"],
    )
    def test_other_requests_get_none(self, grant_request: GrantRequest) -> None:
        """Copies are billed: each must be able to save a stream."""
        desk = make_desk()
        assert grant(desk, grant_request).backup_runner_id == ""

    def test_excluded_runner_is_not_used(self) -> None:
        """It has failed the request before."""
        desk = make_desk()
        request = evolve(make_live("s0"), excluded=("r1",))
        assert grant(desk, request).backup_runner_id == "r2"

    def test_edge_of_the_previous_release_gets_none(self) -> None:
        desk = make_desk()
        desk.core.state.transferring_edges.clear()
        assert grant(desk, make_live("s0")).backup_runner_id == ""

    def test_setting_switches_backups_off(self) -> None:
        desk = Desk(features=Features(stream_backups=False))
        assert grant(desk, make_live("s0")).backup_runner_id == ""

    def test_runner_without_the_adapter_is_not_used(self) -> None:
        desk = make_desk()
        for name in ("r0", "r2"):
            desk.get(name).models["a"].adapters["x"] = 0.0
        request = evolve(make_live("s0"), adapter="x")
        assert grant(desk, request).backup_runner_id == "r2"

    def test_none_while_requests_wait_for_room_there(self) -> None:
        """A copy must not take the memory that a waiting request needs."""
        desk = make_desk()
        desk.handle(evolve(make_live("waits"), only=("nowhere",)))
        assert grant(desk, make_live("s0")).backup_runner_id == ""

    def test_runner_without_a_free_slot_is_not_used(self) -> None:
        desk = make_desk()
        for number in range(61):
            desk.get("r1").reservations.add(("x", str(number)), 1)
        assert grant(desk, make_live("s0")).backup_runner_id == "r2"


class TestMemory:
    """The memory of copies."""

    def test_copies_leave_the_share_of_own_runs(self) -> None:
        desk = make_desk()
        desk.drop("r2")
        desk.get("r1").backups.add(("x", "1"), int((1 - OWN_KV_SHARE) * CAPACITY))
        assert grant(desk, make_live("s0")).backup_runner_id == ""

    def test_copies_leave_spare_memory(self) -> None:
        """Outputs may be longer than expected."""
        desk = make_desk()
        desk.drop("r2")
        desk.get("r1").kv_tokens = int((1 - SPARE_KV_SHARE) * CAPACITY)
        assert grant(desk, make_live("s0")).backup_runner_id == ""

    def test_copy_counts_for_requests_at_its_runner(self) -> None:
        desk = make_desk()
        grant(desk, make_live("s0", "a", OUTPUT_TOKENS))
        runner = desk.get("r1")
        rest = int(0.92 * CAPACITY) - KV_TOKENS
        assert runner.has_memory(rest)
        assert not runner.has_memory(rest + 1)

    def test_end_releases_the_copy(self) -> None:
        desk = make_desk()
        grant(desk, make_live("s0"))
        desk.end("s0")
        assert desk.get("r1").backups.tokens == 0
        assert len(desk.core.state.backups) == 0

    @pytest.mark.parametrize("kind", [EndKind.NOT_RUN, EndKind.NOT_HELD])
    def test_request_that_has_not_run_releases_it_at_once(self, kind: EndKind) -> None:
        desk = make_desk()
        grant(desk, make_live("s0"))
        desk.end("s0", kind)
        assert desk.get("r1").backups.tokens == 0

    @pytest.mark.parametrize("kind", [EndKind.FAILED, EndKind.LEFT])
    def test_copy_of_a_broken_stream_counts_until_it_is_dropped(
        self, kind: EndKind
    ) -> None:
        """The runner keeps it for the time of a handle, and crashes if overfilled."""
        desk = make_desk()
        grant(desk, make_live("s0"))
        desk.end("s0", kind)
        desk.tick(HANDLE_S - 0.1)
        assert desk.get("r1").backups.tokens > 0
        desk.tick(0.2)
        assert desk.get("r1").backups.tokens == 0
        assert len(desk.core.state.backups) == 0

    def test_disconnected_edge_releases_its_copies(self) -> None:
        desk = make_desk()
        grant(desk, make_live("s0"))
        desk.handle(EdgeDisconnected(edge=EDGE))
        desk.tick(HANDLE_S + 0.1)
        assert desk.get("r1").backups.tokens == 0

    def test_backup_runner_that_restarts_has_no_copy(self) -> None:
        desk = make_desk()
        grant(desk, make_live("s0"))
        desk.entries["r1"] = evolve(desk.entries["r1"], started_ms=2_000)
        desk.update_fleet()
        assert desk.get("r1").backups.tokens == 0
        desk.end("s0")
        assert desk.get("r1").backups.tokens == 0


class TestUse:
    """A stream that goes on from its backup after its runner crashed."""

    def test_stream_takes_the_place_of_its_copy(self) -> None:
        desk = make_desk()
        grant(desk, make_live("s0", "a", OUTPUT_TOKENS))
        desk.drop("r0")
        desk.handle(StreamMoved(edge=EDGE, request_id="s0", runner_id="r1"))
        assert desk.get("r1").backups.tokens == 0
        assert desk.count("r1") == (1, KV_TOKENS)
        desk.end("s0")
        assert desk.count("r1") == (0, 0)

    def test_runner_that_restarted_is_no_longer_charged(self) -> None:
        desk = make_desk()
        grant(desk, make_live("s0", "a", OUTPUT_TOKENS))
        desk.entries["r0"] = evolve(desk.entries["r0"], started_ms=2_000)
        desk.update_fleet()
        desk.handle(StreamMoved(edge=EDGE, request_id="s0", runner_id="r1"))
        assert desk.count("r0") == (0, 0)
        assert desk.count("r1") == (1, KV_TOKENS)


class TestTransferToBackupRunner:
    """A stream that is transferred to the runner that keeps its copy."""

    def test_unused_copy_counts_until_it_is_dropped(self) -> None:
        """The runner has the memory of the transfer and that of the copy."""
        desk = Desk(features=Features())
        desk.drop("r2")
        assert grant(desk, make_live("s0", "a", OUTPUT_TOKENS)).backup_runner_id == "r1"
        desk.handle(FirstEventSeen(edge=EDGE, request_id="s0"))
        order = desk.leave("r0", 1.0)[0]
        assert order.target_runner_id == "r1"
        assert desk.count("r1") == (1, 2 * KV_TOKENS)
        desk.move(order)
        assert desk.count("r1") == (1, 2 * KV_TOKENS)
        desk.tick(HANDLE_S + 0.1)
        assert desk.count("r1") == (1, KV_TOKENS)
        desk.end("s0")
        assert desk.count("r1") == (0, 0)


class TestRepeatedRequests:
    """Requests that are granted again while a copy of their first run is kept."""

    def test_copies_at_two_runners_are_both_released(self) -> None:
        """The copy of the first run would take memory for ever."""
        desk = make_desk()
        assert grant(desk, make_live("s0")).backup_runner_id == "r1"
        desk.end("s0", EndKind.FAILED)
        again = evolve(make_live("s0"), excluded=("r1",))
        assert grant(desk, again).backup_runner_id == "r2"
        desk.end("s0", EndKind.FAILED)
        desk.tick(HANDLE_S + 0.1)
        assert [desk.count(name) for name in ("r1", "r2")] == [(0, 0), (0, 0)]

    def test_end_of_the_first_copy_does_not_release_the_second(self) -> None:
        """The runner would accept more than its memory."""
        desk = make_desk()
        grant(desk, make_live("s0"))
        desk.end("s0", EndKind.FAILED)
        desk.tick(HANDLE_S - 0.1)
        assert grant(desk, make_live("s0")).backup_runner_id == "r1"
        desk.tick(0.2)
        assert desk.get("r1").backups.tokens == 800 + 400
        desk.end("s0")
        assert desk.count("r1") == (0, 0)
