"""Tests of which runner serves which request."""

from mangoway.policy.scheduling.const import (
    BACKLOG_LIMIT_S,
    PRESSURE_BACKLOG_LIMIT_S,
)
from mangoway.policy.scheduling.dispatch import get_backlog_limit_s, measure_pressure
from mangoway.policy.scheduling.events import (
    EdgeDisconnected,
    EndKind,
    FirstEventSeen,
    Grant,
    RequestAdopted,
    RequestEnded,
)

from ...fakes.fleet import make_grant_request
from .world import World


def make_world(*held: list[str], models: str = "abcd") -> World:
    return World(models=list(models), runner_models=list(held))


def send_request(world: World, request_id: str, **fields: object) -> list[Grant]:
    grant_request = make_grant_request(request_id, **fields)  # type: ignore[arg-type]
    actions = world.core.handle(grant_request, world.now)
    return [each for each in actions if isinstance(each, Grant)]


class TestPacing:
    """A runner receives one prompt at a time."""

    def test_second_prompt_waits_for_the_first_event(self) -> None:
        world = make_world(["a"])
        assert len(send_request(world, "q1")) == 1
        assert send_request(world, "q2") == []
        actions = world.core.handle(FirstEventSeen(edge="e1", request_id="q1"), 0.03)
        assert [each.request_id for each in actions if isinstance(each, Grant)] == [
            "q2"
        ]

    def test_prompts_spread_over_the_copies(self) -> None:
        world = make_world(["a"], ["a"])
        grants = [*send_request(world, "q1"), *send_request(world, "q2")]
        assert {each.runner_id for each in grants} == {"r0", "r1"}

    def test_pressure_raises_the_limit(self) -> None:
        assert get_backlog_limit_s(measure_pressure(0, 6)) == BACKLOG_LIMIT_S
        assert get_backlog_limit_s(measure_pressure(100, 6)) == PRESSURE_BACKLOG_LIMIT_S
        some = get_backlog_limit_s(measure_pressure(9, 6))
        assert BACKLOG_LIMIT_S < some < PRESSURE_BACKLOG_LIMIT_S

    def test_ended_request_frees_its_runner(self) -> None:
        world = make_world(["a"])
        send_request(world, "q1")
        send_request(world, "q2")
        ended = RequestEnded(edge="e1", request_id="q1", kind=EndKind.LEFT)
        actions = world.core.handle(ended, 0.01)
        assert [each.request_id for each in actions if isinstance(each, Grant)] == [
            "q2"
        ]

    def test_disconnected_edge_frees_its_runners(self) -> None:
        world = make_world(["a"])
        send_request(world, "q1", edge="e1")
        send_request(world, "q2", edge="e2")
        actions = world.core.handle(EdgeDisconnected(edge="e1"), 0.01)
        assert [each.request_id for each in actions if isinstance(each, Grant)] == [
            "q2"
        ]

    def test_adopted_request_counts(self) -> None:
        world = make_world(["a"])
        adopted = RequestAdopted(
            grant_request=make_grant_request("q1"), runner_id="r0", prefilling=True
        )
        world.core.handle(adopted, 0.0)
        assert send_request(world, "q2") == []


class TestChoice:
    """Choice among several runners."""

    def test_model_must_be_held(self) -> None:
        world = make_world(["b"], ["a"])
        assert [each.runner_id for each in send_request(world, "q1")] == ["r1"]

    def test_failed_runner_is_excluded(self) -> None:
        world = make_world(["a"], ["a"])
        grants = send_request(world, "q1", excluded=("r0",))
        assert [each.runner_id for each in grants] == ["r1"]

    def test_request_with_no_attempts_left_stays_at_its_runner(self) -> None:
        world = make_world(["a"], ["a"])
        grants = send_request(world, "q1", only=("r1",), repeat=True)
        assert [each.runner_id for each in grants] == ["r1"]

    def test_same_prompt_goes_where_it_is_cached(self) -> None:
        world = make_world(["a"], ["a"])
        first = make_grant_request("q1", tokens=800)
        [grant] = [
            each for each in world.core.handle(first, 0.0) if isinstance(each, Grant)
        ]
        world.core.handle(FirstEventSeen(edge="e1", request_id="q1"), 0.03)
        again = make_grant_request("q2", tokens=800)
        same = type(again)(
            **{
                name: getattr(again, name)
                for name in (each.name for each in type(again).__attrs_attrs__)
                if name != "prompt"
            },
            prompt=first.prompt,
        )
        [second] = [
            each for each in world.core.handle(same, 0.04) if isinstance(each, Grant)
        ]
        assert second.runner_id == grant.runner_id

    def test_long_prompt_goes_where_few_streams_run(self) -> None:
        world = make_world(["a"], ["a"])
        for number in range(6):
            adopted = RequestAdopted(
                grant_request=make_grant_request(f"s{number}"),
                runner_id="r0",
                prefilling=False,
            )
            world.core.handle(adopted, 0.0)
        grants = send_request(world, "long", tokens=7000)
        assert [each.runner_id for each in grants] == ["r1"]


class TestOrder:
    """Order of the waiting requests."""

    def test_request_that_can_be_on_time_goes_before_one_that_cannot(self) -> None:
        world = make_world(["a"])
        send_request(world, "running")
        send_request(world, "late", objective_s=-0.1)
        send_request(world, "fresh")
        actions = world.core.handle(
            FirstEventSeen(edge="e1", request_id="running"), 0.03
        )
        assert [each.request_id for each in actions if isinstance(each, Grant)] == [
            "fresh"
        ]

    def test_urgent_goes_before_less_urgent(self) -> None:
        world = make_world(["a"])
        send_request(world, "running")
        send_request(world, "patient", priority=2)
        send_request(world, "urgent", priority=0)
        actions = world.core.handle(
            FirstEventSeen(edge="e1", request_id="running"), 0.03
        )
        assert [each.request_id for each in actions if isinstance(each, Grant)] == [
            "urgent"
        ]


class TestRejectedArtifact:
    """A runner that reports that it doesn't hold a model."""

    def test_model_is_used_again_only_after_a_backoff(self) -> None:
        world = make_world(["a"])
        send_request(world, "q1")
        ended = RequestEnded(edge="e1", request_id="q1", kind=EndKind.NOT_HELD)
        world.core.handle(ended, 0.01)
        world.now = 0.02
        assert send_request(world, "q2") == []
        world.now = 0.2
        assert len(send_request(world, "q3")) == 1

    def test_failures_in_a_row_avoid_the_runner(self) -> None:
        world = make_world(["a"], ["a"])
        for number in range(8):
            for grant in send_request(world, f"q{number}"):
                kind = EndKind.FAILED if grant.runner_id == "r0" else EndKind.SERVED
                world.core.handle(
                    RequestEnded(edge="e1", request_id=grant.request_id, kind=kind), 0.0
                )
        grants = [*send_request(world, "x1"), *send_request(world, "x2")]
        assert "r0" not in {each.runner_id for each in grants}

    def test_one_edge_without_a_path_does_not_keep_others_from_a_runner(self) -> None:
        """It tries the runner again every second, and would fail for all each time."""
        world = make_world(["a"], ["b"], ["c"])
        kinds = {"e1": EndKind.SERVED, "e2": EndKind.UNREACHABLE}
        served_at_once = set()
        for number in range(3):
            for edge, at in (("e2", 0.0), ("e1", 0.1), ("e1", 1.05)):
                world.now = 1.1 * number + at
                request_id = f"{edge}-{world.now:.2f}"
                grants = send_request(world, request_id, edge=edge)
                while grants:
                    grant = grants.pop()
                    served_at_once |= {request_id} & {grant.request_id}
                    ended = RequestEnded(
                        edge=grant.edge,
                        request_id=grant.request_id,
                        kind=kinds[grant.edge],
                    )
                    actions = world.core.handle(ended, world.now)
                    grants += [each for each in actions if isinstance(each, Grant)]
        expected = {"e1-1.05", "e1-1.20", "e1-2.15", "e1-2.30", "e1-3.25"}
        assert expected <= served_at_once
