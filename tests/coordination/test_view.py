"""Tests of a process's view of the fleet."""

import orjson
import pytest

from mangoway.coordination.store import Change, Changes, Item, Snapshot
from mangoway.coordination.view import OUTAGE_RETENTION_S, FleetView
from mangoway.models.signals import LeavingReport
from mangoway.platform.receiver import StoreReceiver
from mangoway.policy.edge.software_versions import MAX_VERSIONS

from ..fakes.fleet import make_runner, make_table
from ..fakes.revisions import at


class TestTable:
    """Updates of the configuration."""

    def test_newer_version_is_applied(self) -> None:
        view = FleetView()
        assert view.apply_table(make_table(version=3))
        assert view.apply_table(make_table(version=7))
        assert view.table is not None
        assert view.table.version == 7

    def test_older_version_is_ignored(self) -> None:
        view = FleetView()
        view.apply_table(make_table(version=7))
        assert not view.apply_table(make_table(version=3))
        assert view.table is not None
        assert view.table.version == 7


class TestRunners:
    """Runners that are added, drain and are removed."""

    def test_draining_runner_is_not_listed(self) -> None:
        view = FleetView()
        view.update_runner(make_runner("r1"))
        view.update_runner(make_runner("r2"))
        view.update_runner(make_runner("r1", draining=True))
        assert [each.runner_id for each in view.list_runners("llm")] == ["r2"]
        assert view.find_open_runner("r1") is None

    def test_late_entry_of_an_earlier_incarnation_is_ignored(self) -> None:
        view = FleetView()
        view.update_runner(make_runner("r1", started_ms=2000))
        view.update_runner(make_runner("r1", ("a",), started_ms=1000))
        assert view.runners["r1"].started_ms == 2000

    def test_runner_with_an_undecodable_entry_is_removed(self) -> None:
        view = FleetView()
        view.update_runner(make_runner("r1"))
        view.update_runner(make_runner("r2"))
        view.record_outage_end(10.0)
        view.withdraw_runner("r1")
        assert [each.runner_id for each in view.list_runners("llm")] == ["r2"]
        view.update_runner(make_runner("r1"))
        assert len(view.list_runners("llm")) == 2

    def test_removal_takes_effect_at_once(self) -> None:
        view = FleetView()
        view.update_runner(make_runner("r1"))
        view.remove_runner("r1", now=10.0)
        assert view.list_runners("llm") == []

    def test_entry_that_expired_in_an_outage_is_kept_for_a_while(self) -> None:
        view = FleetView()
        view.update_runner(make_runner("r1"))
        view.record_outage_end(now=10.0)
        view.remove_runner("r1", now=10.1)
        view.expire_missing(now=10.0 + OUTAGE_RETENTION_S - 0.1)
        assert view.find_open_runner("r1") is not None
        view.expire_missing(now=10.0 + OUTAGE_RETENTION_S)
        assert view.find_open_runner("r1") is None

    def test_entry_removed_late_after_an_outage_is_kept_no_longer(self) -> None:
        """A removal 1.5 s after an outage must take effect within two seconds."""
        view = FleetView()
        view.update_runner(make_runner("r1"))
        view.record_outage_end(now=10.0)
        view.remove_runner("r1", now=11.5)
        view.expire_missing(now=10.0 + OUTAGE_RETENTION_S)
        assert view.find_open_runner("r1") is None

    def test_entry_that_comes_back_is_kept(self) -> None:
        view = FleetView()
        view.update_runner(make_runner("r1"))
        view.record_outage_end(now=10.0)
        view.remove_runner("r1", now=11.0)
        view.update_runner(make_runner("r1"))
        view.expire_missing(now=60.0)
        assert view.find_open_runner("r1") is not None

    def test_runners_missing_in_a_snapshot_are_removed(self) -> None:
        view = FleetView()
        view.update_runner(make_runner("r1"))
        view.update_runner(make_runner("r2"))
        view.keep_only_runners(frozenset({"r2"}), now=10.0)
        assert set(view.runners) == {"r2"}

    def test_unchanged_entry_causes_no_notification(self) -> None:
        view = FleetView()
        notifications: list[int] = []
        view.update_runner(make_runner("r1"))
        view.on_change.append(lambda: notifications.append(1))
        view.update_runner(make_runner("r1"))
        assert notifications == []


class TestNotifications:
    """Number of notifications that listeners receive."""

    @pytest.mark.parametrize("runners", [30, 300, 3000])
    def test_snapshot_causes_one_notification(self, runners: int) -> None:
        """Guard against a notification for each runner.

        Each listener iterates over all runners, so the cost would be quadratic.
        """
        view, notifications = FleetView(), list[int]()
        view.on_change.append(lambda: notifications.append(len(view.runners)))
        items = tuple(
            Item(
                key=f"servers/r{number}",
                value=make_entry(number),
                revision=at(number + 1),
            )
            for number in range(runners)
        )
        receiver = StoreReceiver(view, lambda: 0.0)
        receiver.apply_snapshot(Snapshot(items=items, revision=at(runners)))
        assert notifications == [runners]

    def test_unchanged_snapshot_causes_no_notification(self) -> None:
        view, notifications = FleetView(), list[int]()
        item = Item(key="servers/r0", value=make_entry(0), revision=at(1))
        receiver = StoreReceiver(view, lambda: 0.0)
        receiver.apply_snapshot(Snapshot(items=(item,), revision=at(1)))
        view.on_change.append(lambda: notifications.append(1))
        receiver.apply_snapshot(Snapshot(items=(item,), revision=at(2)))
        assert notifications == []

    def test_single_change_causes_a_notification_at_once(self) -> None:
        view, notifications = FleetView(), list[int]()
        view.on_change.append(lambda: notifications.append(1))
        view.update_runner(make_runner("r1"))
        assert notifications == [1]


def make_entry(number: int) -> bytes:
    return orjson.dumps(
        {
            "service": "llm",
            "address": f"10.0.0.1:{number + 1}",
            "zone": "dc1",
            "slots": 8,
            "state": "ready",
        }
    )


class TestLeavingRunners:
    """Runners that leave and may still run requests."""

    def test_draining_and_signalled_runners_are_listed(self) -> None:
        view = FleetView()
        view.update_runner(make_runner("r1", draining=True))
        view.update_runner(make_runner("r2", started_ms=5))
        view.update_runner(make_runner("r3"))
        view.record_leaving(LeavingReport(runner_id="r2", started_ms=5))
        found = view.list_leaving_runners(frozenset({"llm"}))
        assert [each.runner_id for each in found] == ["r1", "r2"]

    def test_runners_of_other_services_are_not_listed(self) -> None:
        view = FleetView()
        view.update_runner(make_runner("r1", draining=True, service="plain"))
        assert view.list_leaving_runners(frozenset({"llm"})) == ()


class TestLeavingTimes:
    """How long runners have been leaving."""

    def test_time_counts_from_the_first_sign_until_a_new_incarnation(self) -> None:
        """Nothing may reach a runner after its drain, whichever sign came first."""
        now = [10.0]
        view = FleetView(clock=lambda: now[0])
        view.update_runner(make_runner("r1", started_ms=1))
        assert view.measure_closed_s("r1") == 0.0
        view.record_leaving(LeavingReport(runner_id="r1", started_ms=1))
        now[0] = 12.0
        view.update_runner(make_runner("r1", started_ms=1, draining=True))
        assert view.measure_closed_s("r1") == 2.0
        view.update_runner(make_runner("r1", started_ms=2))
        assert view.measure_closed_s("r1") == 0.0


class TestVersionRecords:
    """Software versions that the store lists."""

    def test_first_of_too_many_is_dropped(self) -> None:
        view = FleetView()
        for number in range(MAX_VERSIONS + 1):
            view.update_version_record(f"k{number}", ("llm", f"v{number}"))
        assert len(view.recorded_versions) == MAX_VERSIONS
        assert "k0" not in view.recorded_versions


class TestFailingListeners:
    """A listener that fails keeps no change from others, and gets it again.

    An error in one listener ended the batch of the store's changes, the rest of which
    no other listener ever received.
    """

    def test_other_listeners_are_notified(self) -> None:
        view, notified = FleetView(), []

        def fail() -> None:
            raise KeyError("service")

        view.on_change += [fail, lambda: notified.append(view.table)]
        view.apply_table(make_table(version=3))
        assert notified == [view.table]

    def test_failed_listener_is_notified_again(self) -> None:
        view, errors, notified = FleetView(), [KeyError("service")], []

        def fail_once() -> None:
            if errors:
                raise errors.pop()
            notified.append(view.table)

        view.on_change.append(fail_once)
        view.apply_table(make_table(version=3))
        assert notified == []
        view.repeat_failed_notifications()
        view.repeat_failed_notifications()
        assert notified == [view.table]

    def test_later_changes_of_a_batch_are_applied(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def fail(key: str, value: bytes) -> None:
            raise RuntimeError(key)

        monkeypatch.setattr("mangoway.platform.receiver.decode_runner", fail)
        view = FleetView()
        view.update_runner(make_runner("r1"))
        receiver = StoreReceiver(view, lambda: 0.0)
        document = {"version": 4, "routes": [], "services": [], "limits": {}}
        values = {"servers/r1": b"{}", "op/config": orjson.dumps(document)}
        changes = tuple(
            Change(
                key=key,
                revision=at(2),
                item=Item(key=key, value=value, revision=at(2)),
            )
            for key, value in values.items()
        )
        assert all(receiver.has_effect(each) for each in changes)
        receiver.apply_changes(Changes(changes=changes, revision=at(2)))
        assert view.table is not None
        assert view.runners == {}
