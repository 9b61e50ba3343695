"""Tests that an unexpected error of the core costs the event that it came from alone.

An error in the plan of one model ended the tick of the scheduler for half a second and
closed the link of each edge that requested a grant, so that its followers left it.
"""

import asyncio
from typing import Any

import pytest
from attrs import define

from mangoway.policy.scheduling.core import SchedulingCore
from mangoway.policy.scheduling.events import (
    Action,
    Grant,
    GrantRequest,
    OrdersAllowed,
    Tick,
)
from mangoway.policy.scheduling.placement import PlacementPlanner
from mangoway.scheduling.leader_link import SILENCE_S

from ..fakes.fleet import make_grant_request
from .test_client import Scheduler, connect, make_core, receive


def fail(*_: Any) -> Any:
    raise KeyError("a")


@define(eq=False)
class FailingCore(SchedulingCore):
    """A core that fails after events of a class, or after a request of this class."""

    kind: type = Tick
    request_id: str = ""

    def handle(self, event: Any, now: float) -> list[Action]:
        actions = super().handle(event, now)
        if isinstance(event, self.kind):
            if not self.request_id or event.request_id == self.request_id:
                raise KeyError("a")
        return actions


def fail_on(scheduler: Scheduler, kind: type, request_id: str = "") -> None:
    """Let the core of a scheduler fail."""
    state = scheduler.server.core.state
    scheduler.server.core = FailingCore(state, kind=kind, request_id=request_id)


class TestPlans:
    """Plans of models that fail."""

    @pytest.fixture
    def core(self, monkeypatch: pytest.MonkeyPatch) -> SchedulingCore:
        monkeypatch.setattr(PlacementPlanner, "plan", fail)
        core = make_core()
        core.handle(OrdersAllowed(allowed=True), 0.0)
        return core

    def test_requests_are_granted_all_the_same(self, core: SchedulingCore) -> None:
        errors: list[Exception] = []
        core.on_plan_failed = errors.append
        # The model of the first request is at no runner, so that it needs a plan.
        core.handle(make_grant_request("q1", "b"), 0.1)
        actions = core.handle(make_grant_request("q2", "a"), 0.2)
        assert [type(each) for each in actions] == [Grant]
        assert errors

    def test_error_is_raised_where_nobody_logs_it(self, core: SchedulingCore) -> None:
        with pytest.raises(KeyError):
            core.handle(make_grant_request("q1", "b"), 0.1)


class TestLinks:
    """Links of edges to a scheduler whose core fails."""

    async def test_failing_ticks_stop_no_heartbeats(self) -> None:
        async with connect() as (scheduler, edge):
            link = edge.link.link
            fail_on(scheduler, Tick)
            await asyncio.sleep(3 * SILENCE_S)
            assert edge.link.link is link
            assert isinstance(
                await receive(edge.client.request_grant(make_grant_request("q1"))),
                Grant,
            )

    async def test_failing_request_is_granted_by_its_edge(self) -> None:
        async with connect() as (scheduler, edge):
            link = edge.link.link
            fail_on(scheduler, GrantRequest, "q1")
            failing = edge.client.request_grant(make_grant_request("q1"))
            assert isinstance(await receive(failing), Grant)
            assert ("e1", "q1") not in scheduler.server.core.state.granted
            assert ("e1", "q1") in edge.local.core.state.granted
            other = edge.client.request_grant(make_grant_request("q2"))
            assert isinstance(await receive(other), Grant)
            assert edge.link.link is link
