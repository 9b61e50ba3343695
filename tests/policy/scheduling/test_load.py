"""Simulates heavy loads and checks the time to the first event."""

from ...fakes.fleet import make_grant_request
from .world import World


class TestBurst:
    """Simultaneous requests for one model."""

    def test_most_requests_are_on_time(self) -> None:
        world = World(models=list("abcdef"), runner_models=[["a", "b"], ["a", "c"]])
        world.run(0.5)
        for number in range(20):
            world.add_request(make_grant_request(f"q{number}", "a"), at=1.0)
        world.run(4.0)
        # Two runners prefill 20 prompts of 27 ms in 0.4 s, network delays included.
        assert world.count_first_events_within(0.45) >= 18


class TestOverload:
    """Twice as many requests as the runners can prefill."""

    def simulate(self) -> World:
        world = World(models=list("abc"), runner_models=[["a", "b", "c"]])
        world.run(0.5)
        for number in range(400):
            world.add_request(
                make_grant_request(f"q{number}", "a"), at=1.0 + number / 80
            )
        world.run(10.0)
        return world

    def test_throughput_on_time_stays_near_the_capacity(self) -> None:
        world = self.simulate()
        # A runner prefills at most 187 prompts of 27 ms in 5 s.
        assert world.count_first_events_within(0.45) >= 100

    def test_no_request_waits_until_its_caller_leaves(self) -> None:
        world = self.simulate()
        for outcome in world.outcomes.values():
            assert outcome.first_at is not None or outcome.rejected_at is not None
            if outcome.rejected_at is not None:
                assert outcome.rejected_at - outcome.requested_at < 2.4

    def test_retry_times_are_spread(self) -> None:
        world = self.simulate()
        times = {
            each.rejection.retry_after_s
            for each in world.outcomes.values()
            if each.rejection is not None
        }
        assert len(times) > 10


class TestSlowFirstEvents:
    """An engine whose first events arrive long after the end of the prefill."""

    def test_runner_prefills_meanwhile(self) -> None:
        world = World(
            models=["a"],
            runner_models=[["a"]],
            prefill_s_per_token=1 / 60_000,
            first_event_s=0.08,
        )
        world.run(0.5)
        for number in range(300):
            grant_request = make_grant_request(
                f"q{number}", "a", objective_s=0.8, patience_s=5.0
            )
            world.add_request(grant_request, at=1.0 + number / 30)
        world.run(16.0)
        # 30 prompts of 13 ms per second take a share of 0.4 of the runner. Waiting for
        # the first event of each prompt would take 2.9 s per second.
        assert world.count_first_events_within(0.8) >= 285


class TestShift:
    """Demand that moves to a model with one copy."""

    def test_new_demand_is_served_within_seconds(self) -> None:
        world = World(
            models=list("abcdefghi"),
            runner_models=[["a", "b", "c"], ["a", "d", "e"], ["a", "f", "g"]],
        )
        world.run(0.5)
        for number in range(200):
            world.add_request(
                make_grant_request(f"a{number}", "a"), at=1.0 + number / 40
            )
            world.add_request(
                make_grant_request(f"b{number}", "b"), at=6.0 + number / 40
            )
        world.run(14.0)
        late = [
            key
            for key, each in world.outcomes.items()
            if key.startswith("b")
            and each.requested_at > 8.5
            and (each.first_at is None or each.first_at - each.requested_at > 0.45)
        ]
        assert len(late) <= 10


class TestLongTail:
    """More models than the runners can hold, with occasional requests for each."""

    def test_no_model_goes_unserved(self) -> None:
        names = list("abcdefghijkl")
        world = World(
            models=names,
            runner_models=[["a", "b", "c"], ["d", "e", "f"], ["g", "h", "i"]],
        )
        world.run(0.5)
        for turn in range(4):
            for index, name in enumerate(names):
                at = 1.0 + 8 * turn + 0.6 * index
                world.add_request(
                    make_grant_request(f"{name}{turn}", name, patience_s=6.0), at=at
                )
        world.run(45.0)
        served = {
            key[0] for key, each in world.outcomes.items() if each.first_at is not None
        }
        assert served == set(names)
        assert all(each.overfilled == 0 for each in world.runners.values())
