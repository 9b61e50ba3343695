"""Steps of the scenarios on memory and reachability."""

from attrs import define, evolve, field
from pytest_bdd import given, parsers, scenarios, then, when

from mangoway.models.artifact import Artifact
from mangoway.models.identifiers import (
    ConfigVersion,
    HostId,
    IncarnationId,
    ModelName,
    VersionName,
)
from mangoway.models.offer import Configuration, ModelOffer, VersionOffer
from mangoway.policy.placement import events
from tests.policy.placement.world import Engine, World, offer_models

SETTLE_S = 30.0
DEMAND_PERIOD_S = 1.0
MONITOR_PERIOD_S = 0.1
FAULTS = {
    "lost": "lose",
    "late": "late",
    "doubled": "double",
    "unanswered": "drop_answer",
}

scenarios("memory.feature", "reachability.feature")


@define
class Demand:
    """Demand for one model, reported by a gateway once per period."""

    world: World
    model: str

    def report(self) -> None:
        rate = events.ArtifactRate(
            artifact=find_artifact(self.world, self.model),
            arrived=20,
            queued=50,
            tokens=4000,
            refused=0,
        )
        for controller in self.world.controllers:
            event = events.DemandReported(
                gateway=HostId("gateway"),
                incarnation=IncarnationId("gateway.1"),
                period_s=DEMAND_PERIOD_S,
                rates=(rate,),
            )
            self.world.send_event(controller, event)
        self.world.call_later(DEMAND_PERIOD_S, self.report)


@define
class AvailabilityMonitor:
    """Records each check at which a model has no ready copy of any version."""

    world: World
    unavailable: list[str] = field(factory=list)

    def check(self) -> None:
        engines = self.world.engines.values()
        ready = {artifact.model for engine in engines for artifact in engine.ready}
        for model in sorted(set(self.world.configuration.models) - ready):
            self.unavailable.append(f"{model} at {self.world.now:.1f} s")
        self.world.call_later(MONITOR_PERIOD_S, self.check)


def find_artifact(world: World, model: str) -> Artifact:
    name = ModelName(model)
    return Artifact(name, world.configuration.models[name].default_version)


def find_runner(world: World, number: int) -> Engine:
    return list(world.engines.values())[number]


def change_model(world: World, model: str, offer: ModelOffer) -> Configuration:
    models = {**world.configuration.models, ModelName(model): offer}
    version = ConfigVersion(world.configuration.version + 1)
    return evolve(world.configuration, models=models, version=version)


@given("the models", target_fixture="world")
def make_world(datatable: list[list[str]]) -> World:
    world = World(configuration=offer_models(price=0.1))
    for model, memory_mb, floor in datatable[1:]:
        version = VersionOffer(memory_mb=int(memory_mb), floor=int(floor))
        versions = {VersionName("1"): version}
        offer = ModelOffer(default_version=VersionName("1"), versions=versions)
        world.configuration = change_model(world, model, offer)
    return world


@given(parsers.parse("{count:d} runners of {size_mb:d} MB that {manner} fences"))
def add_runners(world: World, count: int, size_mb: int, manner: str) -> None:
    for number in range(count):
        world.add_engine(f"r{number}", size_mb=size_mb, checks=manner == "check")


@given("an active controller", target_fixture="monitor")
def start_controller(world: World) -> AvailabilityMonitor:
    world.start()
    world.run(SETTLE_S)
    assert world.list_unmet_floors() == []
    monitor = AvailabilityMonitor(world)
    monitor.check()
    return monitor


@when("a second controller takes over")
def add_controller(world: World) -> None:
    world.add_controller()


@when(parsers.parse("controller {number:d} is paused"))
def pause(world: World, number: int) -> None:
    world.controllers[number].paused = True


@when(parsers.parse("controller {number:d} is resumed"))
def resume(world: World, number: int) -> None:
    world.resume(world.controllers[number])


@when(parsers.parse("the demand for model {model} is high"))
def raise_demand(world: World, model: str) -> None:
    Demand(world, model).report()


@when(parsers.parse("the next {count:d} orders are {fault}"))
def break_orders(world: World, count: int, fault: str) -> None:
    world.order_faults.extend([FAULTS[fault]] * count)


@when(parsers.parse("the responses to the next {count:d} writes are lost"))
def lose_responses(world: World, count: int) -> None:
    world.lose_answers = count


@when(parsers.parse("the key-value service is {state}"))
def switch_store(world: World, state: str) -> None:
    world.store_up = state == "up"


@when(parsers.parse("runner {number:d} restarts without models"))
def restart(world: World, number: int) -> None:
    find_runner(world, number).restart(world.now)


@when(parsers.parse("runner {number:d} leaves"))
def leave(world: World, number: int) -> None:
    find_runner(world, number).leaving = True
    world.list_runners()


@when(parsers.parse("runner {number:d} no longer leaves"))
def cancel_leaving(world: World, number: int) -> None:
    find_runner(world, number).leaving = False
    world.list_runners()


@when(parsers.parse("model {model} changes to version {version}"))
def change_version(world: World, model: str, version: str) -> None:
    offer = world.configuration.models[ModelName(model)]
    name = VersionName(version)
    versions = {name: offer.versions[offer.default_version]}
    changed = evolve(offer, default_version=name, versions=versions)
    world.configure(change_model(world, model, changed))


@when(parsers.parse("{seconds:d} seconds pass"))
def run(world: World, seconds: int) -> None:
    world.run(float(seconds))


@then("no runner ever exceeded its memory size")
def check_memory(world: World) -> None:
    assert [
        engine.overruns for engine in world.engines.values() if engine.overruns
    ] == []


@then("every model had a ready copy all the time")
def check_available(monitor: AvailabilityMonitor) -> None:
    assert monitor.unavailable == []


@then("every model has its floor")
def check_floors(world: World) -> None:
    assert world.list_unmet_floors() == []


@then(parsers.parse("every model has its floor without runner {number:d}"))
def check_floors_without(world: World, number: int) -> None:
    assert find_runner(world, number).leaving
    assert world.list_unmet_floors() == []


@then(parsers.parse("model {model} has {count:d} ready copies"))
def check_copies(world: World, model: str, count: int) -> None:
    assert len(world.list_ready(str(find_artifact(world, model)))) == count


@then(parsers.parse("version {version} of model {model} is not loaded anywhere"))
def check_not_loaded(world: World, version: str, model: str) -> None:
    assert world.list_ready(f"{model}@{version}") == []


@then(parsers.parse("no order was sent in the last {seconds:d} seconds"))
def check_no_orders(world: World, seconds: int) -> None:
    since = world.now - seconds
    assert [order for at, order in world.sent if at >= since] == []
