"""Tests of copies for models whose streams occupy the slots of their runners."""

from attrs import evolve

from mangoway.policy.scheduling.slot_times import SlotTimeEstimator

from ...fakes.fleet import make_grant_request
from .world import World


class TestSlotTimes:
    """Time for which a request occupies a slot."""

    def test_unknown_model_takes_the_mean_of_all(self) -> None:
        slot_times = SlotTimeEstimator()
        assert slot_times.estimate("a") == 0.0
        slot_times.add_sample("a", 1.0)
        slot_times.add_sample("b", 3.0)
        assert slot_times.estimate("a") == 1.0
        assert slot_times.estimate("c") == 2.0

    def test_change_is_followed(self) -> None:
        slot_times = SlotTimeEstimator()
        for seconds in [1.0] * 100 + [3.0] * 200:
            slot_times.add_sample("a", seconds)
        assert slot_times.estimate("a") > 2.9


class TestFewSlots:
    """Short prompts and long streams, on runners with 12 slots."""

    def test_model_gets_copies_for_its_streams(self) -> None:
        """By prefill time alone it has two copies, 24 slots of the 45 that it needs."""
        held = [["a", "b", "c"], ["d", "e", "f"], ["d", "e", "f"], ["g", "h", "i"]]
        world = World(models=list("abcdefghi"), runner_models=[*held, *held[1:]])
        service = world.table.services["llm"]
        assert service.engine is not None
        engine = evolve(service.engine, slots=12, loads_per_s=10.0)
        world.table.services["llm"] = evolve(service, engine=engine)
        world.replace_core()
        world.run(0.5)
        for number in range(360):
            grant_request = make_grant_request(f"q{number}", "a", tokens=100)
            world.add_request(grant_request, at=1.0 + number / 30)
        world.run(16.0)
        copies = [each for each in world.runners.values() if "a" in each.models]
        assert len(copies) >= 4
        later = [each for each in world.outcomes.values() if each.requested_at > 6.0]
        on_time = [
            each
            for each in later
            if each.first_at is not None and each.first_at - each.requested_at < 0.4
        ]
        assert len(on_time) >= 0.95 * len(later)
