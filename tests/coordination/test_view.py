"""Tests of what a process knows of the fleet."""

import orjson
import pytest

from mangoway.coordination.store import Item, Snapshot
from mangoway.coordination.view import OUTAGE_RETENTION_S, FleetView
from mangoway.platform.receiver import StoreReceiver

from ..fakes.fleet import make_runner, make_table


class TestTable:
    """The configuration in force."""

    def test_newer_version_is_taken(self) -> None:
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
    """Runners that come, drain and go."""

    def test_draining_runner_gets_nothing_more(self) -> None:
        view = FleetView()
        view.update_runner(make_runner("r1"))
        view.update_runner(make_runner("r2"))
        view.update_runner(make_runner("r1", draining=True))
        assert [each.runner_id for each in view.list_runners("llm")] == ["r2"]
        assert view.find_open_runner("r1") is None

    def test_late_entry_of_an_earlier_life_is_ignored(self) -> None:
        view = FleetView()
        view.update_runner(make_runner("r1", started_ms=2000))
        view.update_runner(make_runner("r1", ("a",), started_ms=1000))
        assert view.runners["r1"].started_ms == 2000

    def test_runner_with_an_unreadable_entry_is_not_used(self) -> None:
        view = FleetView()
        view.update_runner(make_runner("r1"))
        view.update_runner(make_runner("r2"))
        view.record_outage_end(10.0)
        view.withdraw_runner("r1")
        assert [each.runner_id for each in view.list_runners("llm")] == ["r2"]
        view.update_runner(make_runner("r1"))
        assert len(view.list_runners("llm")) == 2

    def test_removed_runner_is_gone_at_once(self) -> None:
        view = FleetView()
        view.update_runner(make_runner("r1"))
        view.remove_runner("r1", now=10.0)
        assert view.list_runners("llm") == []

    def test_entry_that_lapsed_in_an_outage_is_kept_until_it_can_be_back(self) -> None:
        view = FleetView()
        view.update_runner(make_runner("r1"))
        view.record_outage_end(now=10.0)
        view.remove_runner("r1", now=10.1)
        view.expire_missing(now=10.0 + OUTAGE_RETENTION_S - 0.1)
        assert view.find_open_runner("r1") is not None
        view.expire_missing(now=10.0 + OUTAGE_RETENTION_S)
        assert view.find_open_runner("r1") is None

    def test_entry_removed_late_after_an_outage_is_not_kept_longer(self) -> None:
        """What goes 1.5 s after an outage must be obeyed within two seconds."""
        view = FleetView()
        view.update_runner(make_runner("r1"))
        view.record_outage_end(now=10.0)
        view.remove_runner("r1", now=11.5)
        view.expire_missing(now=10.0 + OUTAGE_RETENTION_S)
        assert view.find_open_runner("r1") is None

    def test_entry_that_comes_back_stays(self) -> None:
        view = FleetView()
        view.update_runner(make_runner("r1"))
        view.record_outage_end(now=10.0)
        view.remove_runner("r1", now=11.0)
        view.update_runner(make_runner("r1"))
        view.expire_missing(now=60.0)
        assert view.find_open_runner("r1") is not None

    def test_full_reading_takes_away_what_it_does_not_show(self) -> None:
        view = FleetView()
        view.update_runner(make_runner("r1"))
        view.update_runner(make_runner("r2"))
        view.keep_only_runners(frozenset({"r2"}), now=10.0)
        assert set(view.runners) == {"r2"}

    def test_heartbeat_without_change_notifies_nobody(self) -> None:
        view = FleetView()
        told: list[int] = []
        view.update_runner(make_runner("r1"))
        view.on_change.append(lambda: told.append(1))
        view.update_runner(make_runner("r1"))
        assert told == []


class TestGathering:
    """Who is told of changes, and how often."""

    @pytest.mark.parametrize("runners", [30, 300, 3000])
    def test_reading_is_told_once(self, runners: int) -> None:
        """Each listener looks at all runners: told of each, it took their square."""
        view, told = FleetView(), list[int]()
        view.on_change.append(lambda: told.append(len(view.runners)))
        items = tuple(
            Item(
                key=f"servers/r{number}",
                value=make_entry(number),
                revision=number + 1,
            )
            for number in range(runners)
        )
        receiver = StoreReceiver(view, lambda: 0.0)
        receiver.apply_snapshot(Snapshot(items=items, revision=runners))
        assert told == [runners]

    def test_reading_without_news_is_not_told(self) -> None:
        view, told = FleetView(), list[int]()
        item = Item(key="servers/r0", value=make_entry(0), revision=1)
        receiver = StoreReceiver(view, lambda: 0.0)
        receiver.apply_snapshot(Snapshot(items=(item,), revision=1))
        view.on_change.append(lambda: told.append(1))
        receiver.apply_snapshot(Snapshot(items=(item,), revision=2))
        assert told == []

    def test_change_outside_of_a_reading_is_told_at_once(self) -> None:
        view, told = FleetView(), list[int]()
        view.on_change.append(lambda: told.append(1))
        view.update_runner(make_runner("r1"))
        assert told == [1]


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
