"""Tests of the scheduler process."""

import math
import socket

import pytest
from attrs import evolve

from mangoway.coordination.leadership import Leadership
from mangoway.daemons.fleet_process import FleetProcess
from mangoway.daemons.scheduler import SchedulerProcess
from mangoway.models.fleet import Role
from mangoway.models.routing import RoutingTable
from mangoway.models.signals import LeavingReport, RunnerSignals
from mangoway.policy.customers.const import SCHEDULER_STARTUP_S
from mangoway.settings.fleet import SchedulerSettings

from ..fakes.fleet import make_runner, make_table
from ..policy.scheduling.moving import protect
from ..scheduling.test_standby import make_member


def make_settings() -> SchedulerSettings:
    """Return settings with a free port."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    return SchedulerSettings(
        host="h1",
        data_centre="dc1",
        store="127.0.0.1:1",
        peer_listen=f"127.0.0.1:{port}",
        quota_slack=1700.0,
    )


class TestTasks:
    """Background tasks of a scheduler."""

    async def test_all_tasks_are_started(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guard against a statement maintainer that does not run.

        Without it, no block statement is written to the store.
        """
        scheduler = SchedulerProcess(make_settings())
        started: list[object] = []

        def record_task(_: FleetProcess, task: object) -> None:
            started.append(task)

        monkeypatch.setattr(FleetProcess, "keep_running", record_task)
        await scheduler.async_start()
        scheduler.server.stop()
        for task in (
            scheduler.process.presence.async_run,
            scheduler.leadership.async_run,
            scheduler.server.async_run,
            scheduler.absent.async_run,
            scheduler.statement_maintainer.async_run,
            scheduler.version_recorder.async_run,
            scheduler.reports.async_run,
        ):
            assert task in started


class TestVersions:
    """The list of software versions in the store."""

    async def test_leader_writes_it_at_once_and_a_standby_never(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        scheduler = SchedulerProcess(make_settings())
        assert scheduler.version_recorder.choose_delay_s() == math.inf
        monkeypatch.setattr(Leadership, "fence", property(lambda _: 7))
        assert scheduler.version_recorder.choose_delay_s() == 0.0

    async def test_changes_of_the_runners_are_seen(self) -> None:
        scheduler = SchedulerProcess(make_settings())
        recorder = scheduler.version_recorder
        assert recorder.handle_view_change in scheduler.process.view.on_change


class TestQuotas:
    """Share of each quota that a scheduler grants."""

    async def test_share_is_that_of_the_connected_edges(self) -> None:
        scheduler = SchedulerProcess(make_settings())
        for number in range(8):
            member = make_member(f"h{number}", "")
            scheduler.process.view.update_member(
                f"m/{number}", evolve(member, role=Role.EDGE)
            )
        assert scheduler._measure_share() == 1 / 8
        scheduler.server._edges.update(f"e{number}" for number in range(6))
        assert scheduler._measure_share() == 0.75
        scheduler.server._edges.update(f"e{number}" for number in range(9))
        assert scheduler._measure_share() == 1.0

    async def test_share_is_whole_during_startup(self) -> None:
        """Edges connect one by one; requests of the first must not be rejected."""
        scheduler = SchedulerProcess(make_settings())
        for number in range(8):
            member = make_member(f"h{number}", "")
            scheduler.process.view.update_member(
                f"m/{number}", evolve(member, role=Role.EDGE)
            )
        scheduler._granting_changed_at = scheduler.process.clock()
        assert scheduler._measure_share() == 1.0
        scheduler._granting_changed_at -= SCHEDULER_STARTUP_S
        assert scheduler._measure_share() == 1 / 8

    async def test_quotas_start_empty(self) -> None:
        quotas = SchedulerProcess(make_settings()).server.core.state.quotas
        assert not quotas.starts_full
        assert quotas.slack == 1700.0


class TestLeaving:
    """Runners that report that they are leaving."""

    LEAVING = LeavingReport(runner_id="r1", started_ms=0)

    async def test_leaving_signal_with_a_report_is_applied(self) -> None:
        scheduler = SchedulerProcess(make_settings())
        scheduler.process.view.update_runner(make_runner("r1"))
        scheduler.control.on_signals("r1", RunnerSignals(leaving=True))
        assert scheduler.process.view.find_open_runner("r1") is None
        assert scheduler.server.list_leaving() == [self.LEAVING]

    async def test_standby_applies_a_leaving_report_of_the_leader(self) -> None:
        scheduler = SchedulerProcess(make_settings())
        scheduler.process.view.update_runner(make_runner("r1"))
        scheduler.process.leader_link.on_message(self.LEAVING)
        assert scheduler.process.view.find_open_runner("r1") is None

    async def test_leaving_runner_is_removed_from_the_core(self) -> None:
        scheduler = SchedulerProcess(make_settings())
        scheduler.process.view.apply_table(make_table())
        scheduler.process.view.update_runner(make_runner("r1", ("a",)))
        state = scheduler.server.core.state
        assert "r1" in state.runners
        scheduler.server.handle_leaving(self.LEAVING)
        assert "r1" not in state.runners


class TestLimits:
    """Runners that report a rate limit."""

    async def test_report_can_set_a_limit_but_not_end_it(self) -> None:
        scheduler = SchedulerProcess(make_settings())
        scheduler.process.view.update_runner(make_runner("r1"))
        limits = scheduler.server.core.state.limits
        scheduler.control.on_signals("r1", RunnerSignals(limit=1.5))
        assert limits.get_limit("r1") == 1.5
        scheduler.control.on_signals("r1", RunnerSignals())
        assert limits.get_limit("r1") == 1.5

    async def test_limits_use_the_share_of_the_connected_edges(self) -> None:
        scheduler = SchedulerProcess(make_settings())
        scheduler.server.core.state.quotas.share = 0.25
        assert scheduler.server.core.state.limits.get_share("r1") == 0.25


class TestLeavingRunners:
    """Runners that leave, as the core learns of them."""

    def pass_leaving(self, table: RoutingTable, settings: SchedulerSettings) -> int:
        """Return the number of leaving runners that the core keeps."""
        scheduler = SchedulerProcess(settings)
        view = scheduler.process.view
        view.apply_table(table)
        view.update_runner(make_runner("r1", ("a",), draining=True))
        return len(scheduler.server.core.state.leaving)

    async def test_core_keeps_those_of_protected_services(self) -> None:
        """Otherwise their streams would break off when the runner ends."""
        assert self.pass_leaving(protect(make_table()), make_settings()) == 1

    async def test_core_keeps_none_of_other_services(self) -> None:
        assert self.pass_leaving(make_table(), make_settings()) == 0

    async def test_setting_switches_it_off(self) -> None:
        settings = evolve(make_settings(), stream_transfers=False)
        assert self.pass_leaving(protect(make_table()), settings) == 0
