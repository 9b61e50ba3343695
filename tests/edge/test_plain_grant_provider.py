"""Tests of the provider that chooses among the runners of a plain service."""

from random import Random

from mangoway.coordination.view import FleetView
from mangoway.edge.plain_grant_provider import PlainGrantProvider
from mangoway.policy.scheduling.events import EndKind

from ..fakes.fleet import make_runner, make_table


def make_grant_provider(view: FleetView) -> PlainGrantProvider:
    return PlainGrantProvider(
        data_centre="dc1",
        view=view,
        clock=lambda: 0.0,
        random=Random(1),
    )


class TestHealth:
    """Recorded failures of runners."""

    def test_failures_of_a_removed_runner_are_forgotten(self) -> None:
        view = FleetView()
        view.apply_table(make_table())
        view.update_runner(make_runner("p1", service="plain"))
        grant_provider = make_grant_provider(view)
        grant_provider.record_result("p1", EndKind.UNREACHABLE)
        grant_provider.forget_removed_runners()
        assert not grant_provider.health.record_success("p2")
        view.remove_runner("p1", 0.0)
        grant_provider.forget_removed_runners()
        assert not grant_provider.health.record_success("p1")
