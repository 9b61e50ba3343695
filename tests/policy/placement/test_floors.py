"""Tests of the check that all floors fit the declared runners."""

from attrs import evolve

from mangoway.models.identifiers import AdapterName, DataCentreId, ModelName
from mangoway.models.offer import AdapterOffer, Configuration, RunnerGroup
from mangoway.policy.placement.floors import check_floors_fit

from .world import offer_models


def declare(configuration: Configuration, *sizes: int) -> Configuration:
    groups = tuple(
        RunnerGroup(data_centre=DataCentreId(f"dc{number}"), count=1, memory_mb=size)
        for number, size in enumerate(sizes)
    )
    return evolve(configuration, runner_groups=groups)


class TestCheckFloorsFit:
    """Packing respects adapters, KV cache floor, spread and replacement memory."""

    def test_fits_with_memory_for_a_replacement(self) -> None:
        assert check_floors_fit(declare(offer_models(a=40, b=40), 100, 50)) == []

    def test_memory_for_a_replacement_is_required(self) -> None:
        [shortage] = check_floors_fit(declare(offer_models(a=40, b=40), 50, 50))
        assert str(shortage.artifact) == "a@1"
        assert shortage.reason == "no_room_to_replace"

    def test_kv_cache_floor_counts(self) -> None:
        assert check_floors_fit(declare(offer_models(a=40), 89, 10)) != []
        assert check_floors_fit(declare(offer_models(a=40), 90, 10)) == []

    def test_spread_needs_room_in_another_data_centre(self) -> None:
        offer = offer_models(a=40, floor=2, data_centres=2)
        group = RunnerGroup(data_centre=DataCentreId("dc0"), count=2, memory_mb=200)
        [shortage] = check_floors_fit(evolve(offer, runner_groups=(group,)))
        assert shortage.reason == "no_room_in_another_data_centre"
        assert check_floors_fit(declare(offer, 200, 50)) == []

    def test_adapters_are_packed_beside_their_base(self) -> None:
        offer = offer_models(a=40)
        model = offer.models[ModelName("a")]
        adapters = {AdapterName("x"): AdapterOffer(memory_mb=15)}
        models = {ModelName("a"): evolve(model, adapters=adapters)}
        offer = evolve(offer, models=models)
        [shortage] = check_floors_fit(declare(offer, 50, 64))
        assert shortage.memory_mb == 55
        assert check_floors_fit(declare(offer, 65, 64)) == []

    def test_nothing_is_checked_without_declared_runners(self) -> None:
        assert check_floors_fit(offer_models(a=10**9)) == []
