"""Tests of copies that are prefetched while a service is idle."""

from mangoway.policy.scheduling.events import FleetUpdated

from ...fakes.fleet import make_grant_request, make_runner
from .world import World

DISK_MB = 430_000.0
"""Room for six models, three more than a runner holds in memory."""


def make_idle(*held: list[str], disk_mb: float = DISK_MB, models: int = 7) -> World:
    return World(
        models=list("abcdefghijklmnop"[:models]),
        runner_models=list(held),
        load_s=6.0,
        disk_mb=disk_mb,
    )


def list_disk_models(world: World) -> set[str]:
    return {name for each in world.runners.values() for name in each.on_disk}


class TestIdle:
    """Runners before the first request, or after the last."""

    def test_models_without_a_copy_are_prefetched(self) -> None:
        world = make_idle(["a", "b", "c"], ["a", "d", "e"])
        world.run(16.0)
        assert list_disk_models(world) == set("abcdefg")

    def test_first_request_for_a_rare_model_is_served_in_its_patience(self) -> None:
        """A load takes 6 s from the store and 0.6 s from the disk."""
        world = make_idle(["a", "b", "c"], ["a", "d", "e"])
        for number, model in enumerate("bcdefg"):
            at = 20.0 + 4 * number
            world.add_request(
                make_grant_request(f"q{number}", model, patience_s=2.4), at=at
            )
        world.run(50.0)
        assert world.count_first_events_within(2.4) == 6

    def test_popular_model_keeps_its_copies(self) -> None:
        world = make_idle(["a", "b", "c"], ["a", "d", "e"])
        world.run(16.0)
        assert all("a" in each.models for each in world.runners.values())

    def test_no_copy_is_fetched_beyond_the_disk_size(self) -> None:
        """Without a disk, there is no room for any copy."""
        world = make_idle(["a", "b", "c"], ["a", "d", "e"], disk_mb=0.0)
        world.run(16.0)
        assert world.orders == []

    def test_full_disk_evicts_only_for_models_without_a_copy(self) -> None:
        world = make_idle(["a", "b", "c"], ["a", "d", "e"], disk_mb=285_000.0)
        world.run(40.0)
        loads = [each.model for each in world.orders if each.load]
        assert sorted(loads) == ["f", "g"]

    def test_memory_is_never_overfilled(self) -> None:
        world = make_idle(["a", "b", "c"], ["a", "d", "e"])
        world.run(30.0)
        assert sum(each.overfilled for each in world.runners.values()) == 0

    def test_prefetching_ends(self) -> None:
        world = make_idle(["a", "b", "c"], ["a", "d", "e"])
        world.run(60.0)
        orders = len(world.orders)
        world.run(90.0)
        assert len(world.orders) == orders


class TestRequestsMeanwhile:
    """Requests that arrive during prefetches."""

    def test_most_runners_keep_their_models(self) -> None:
        """Not all six runners may unload a model for a load of 6 s at once."""
        world = make_idle(
            ["a"], ["b"], ["c"], ["d"], ["e"], ["f"], disk_mb=DISK_MB, models=12
        )
        world.run(2.0)
        assert sum(len(each.models) for each in world.runners.values()) >= 4


class TestBusy:
    """Runners that serve requests."""

    def test_nothing_is_prefetched(self) -> None:
        world = make_idle(["a", "b", "c"], ["a", "d", "e"])
        for number in range(40):
            world.add_request(make_grant_request(f"q{number}", "a"), at=number / 2)
        world.run(20.0)
        assert [each for each in world.orders if each.model in "fg"] == []

    def test_new_runner_starts_no_prefetch(self) -> None:
        world = make_idle(["a", "b", "c"], ["a", "d", "e"])
        world.add_request(make_grant_request("q0", "a"), at=0.0)
        world.run(4.0)
        world.send_event(
            FleetUpdated(
                table=world.table,
                runners=tuple(
                    make_runner(each.runner_id, tuple(each.models))
                    for each in world.runners.values()
                ),
            )
        )
        world.run(8.0)
        assert world.orders == []
