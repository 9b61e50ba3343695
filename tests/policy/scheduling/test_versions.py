"""Tests of requests that only runners of one software version may serve."""

from attrs import evolve

from mangoway.policy.scheduling.dispatch import MAX_EXAMINED_REQUESTS
from mangoway.policy.scheduling.events import (
    Action,
    FirstEventSeen,
    FleetUpdated,
    Grant,
    Reject,
    Tick,
)

from ...fakes.fleet import make_grant_request
from .world import World


def make_world(*versions: str, held: tuple[list[str], ...] = ()) -> World:
    """Return a world with one runner for each version, which all hold the model."""
    runner_models = list(held) or [["a"] for _ in versions]
    world = World(models=["a", "b"], runner_models=runner_models)
    update = FleetUpdated(
        table=world.table,
        runners=tuple(
            evolve(runner.entry, software_version=version)
            for runner, version in zip(
                world.core.state.runners.values(), versions, strict=True
            )
        ),
    )
    world.core.handle(update, world.now)
    return world


def send(world: World, request_id: str, version: str = "") -> list[Action]:
    """Request a grant at runners of a version, or at any."""
    grant_request = make_grant_request(request_id, software_version=version)
    return world.core.handle(grant_request, world.now)


def list_granted(actions: list[Action]) -> list[str]:
    """Return the runners of all grants."""
    return [each.runner_id for each in actions if isinstance(each, Grant)]


class TestGrants:
    """Grants at runners of one version."""

    def test_only_runners_of_the_version_are_granted(self) -> None:
        world = make_world("v1", "v2")
        assert list_granted(send(world, "q1", "v2")) == ["r1"]
        assert list_granted(send(world, "q2", "v2")) == []
        actions = world.core.handle(FirstEventSeen(edge="e1", request_id="q1"), 0.05)
        assert list_granted(actions) == ["r1"]

    def test_waiting_streams_of_a_version_keep_no_other_runner_idle(self) -> None:
        world = make_world("v1", "v2")
        send(world, "q1", "v1")
        send(world, "q2", "v2")
        for number in range(MAX_EXAMINED_REQUESTS + 1):
            send(world, f"waiting-{number}", "v1")
        send(world, "last")
        actions = world.core.handle(FirstEventSeen(edge="e1", request_id="q2"), 0.05)
        assert "r1" in list_granted(actions)


class TestRejections:
    """Requests that no runner of their version can serve."""

    def test_request_is_rejected_at_once_without_runners(self) -> None:
        world = make_world("v1", "v1")
        actions = [*send(world, "q1", "v2"), *world.core.handle(Tick(), 0.05)]
        assert any(isinstance(each, Reject) for each in actions)
        assert list_granted(actions) == []

    def test_request_is_rejected_at_once_without_the_model(self) -> None:
        world = make_world("v1", "v2", held=(["a"], ["b"]))
        actions = [*send(world, "q1", "v2"), *world.core.handle(Tick(), 0.05)]
        assert any(isinstance(each, Reject) for each in actions)
        assert list_granted(actions) == []
