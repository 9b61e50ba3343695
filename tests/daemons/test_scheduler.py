"""Tests of what a scheduler does by itself."""

import socket

import pytest
from attrs import evolve

from mangoway.daemons.fleet_process import FleetProcess
from mangoway.daemons.scheduler import (
    QUIET_REPORT_S,
    REPORT_S,
    URGENT_REPORT_S,
    SchedulerProcess,
    choose_report_period,
)
from mangoway.models.fleet import Role
from mangoway.policy.scheduling.prefixes import PrefixMemory
from mangoway.policy.scheduling.runners import RunnerState
from mangoway.settings.fleet import SchedulerSettings

from ..fakes.fleet import make_runner
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


def make_state(**fields: object) -> RunnerState:
    state = RunnerState(make_runner("r1"), None, PrefixMemory(0))
    for name, value in fields.items():
        setattr(state, name, value)
    return state


class TestTasks:
    """What a scheduler does all the time."""

    async def test_all_its_tasks_run(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """What is held back stands in the store only if the keeper looks after it."""
        scheduler = SchedulerProcess(make_settings())
        kept: list[object] = []

        def keep(_: FleetProcess, task: object) -> None:
            kept.append(task)

        monkeypatch.setattr(FleetProcess, "keep_running", keep)
        await scheduler.async_start()
        scheduler.server.stop()
        for task in (
            scheduler.process.presence.async_run,
            scheduler.leadership.async_run,
            scheduler.server.async_run,
            scheduler.absent.async_run,
            scheduler.keeper.async_run,
        ):
            assert task in kept


class TestQuotas:
    """What part of each quota it grants."""

    async def test_it_grants_for_the_edges_that_it_hears(self) -> None:
        scheduler = SchedulerProcess(make_settings())
        for number in range(8):
            member = make_member(f"h{number}", "")
            scheduler.process.view.take_member(
                f"m/{number}", evolve(member, role=Role.EDGE)
            )
        assert scheduler._measure_share() == 1 / 8
        scheduler.server._asking.update(f"e{number}" for number in range(6))
        assert scheduler._measure_share() == 0.75
        scheduler.server._asking.update(f"e{number}" for number in range(9))
        assert scheduler._measure_share() == 1.0

    async def test_it_starts_with_nothing(self) -> None:
        quotas = SchedulerProcess(make_settings()).server.core.state.quotas
        assert not quotas.starts_full
        assert quotas.slack == 1700.0


class TestReports:
    """How often a runner's report is read."""

    def test_unknown_state_is_urgent(self) -> None:
        assert choose_report_period(make_state(), 10.0) == URGENT_REPORT_S

    def test_long_load_is_not_urgent_before_its_end(self) -> None:
        state = make_state(ordered_at=10.0, changing_until=16.0)
        assert choose_report_period(state, 12.0) == REPORT_S
        assert choose_report_period(state, 15.5) == URGENT_REPORT_S

    def test_runner_without_orders_is_quiet(self) -> None:
        state = make_state(state_known=True, ordered_at=10.0)
        assert choose_report_period(state, 10.5) == REPORT_S
        assert choose_report_period(state, 12.0) == QUIET_REPORT_S
