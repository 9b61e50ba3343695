"""State machine: memory and reachability under faults, against the fakes' counts."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from mangoway.models.artifact import Artifact
from mangoway.models.identifiers import HostId, IncarnationId
from mangoway.models.offer import Configuration
from mangoway.policy.placement import events

from .world import BOUND_S, World, offer_models

SIZES = {"a": 40, "b": 40, "c": 30, "d": 20}


class PlacementMachine(RuleBasedStateMachine):
    """Two controllers that both believe they are active, and faulty everything."""

    @initialize(checks=st.tuples(*[st.booleans()] * 4), seed=st.integers(0, 99))
    def start(self, checks: tuple[bool, ...], seed: int) -> None:
        self.world = World(configuration=self.make_configuration(("1",), 1))
        self.world.rng.seed(seed)
        self.world.start(130, 110, 110, 110)
        self.world.add_controller()
        for engine, checking in zip(self.world.engines.values(), checks, strict=True):
            engine.checks = checking
        self.versions = 1
        self.world.run(30.0)

    def make_configuration(
        self, versions: tuple[str, ...], number: int
    ) -> Configuration:
        return offer_models(
            version=number, versions=versions, floor=1, price=0.1, **SIZES
        )

    @rule(seconds=st.sampled_from([0.05, 0.5, 2.0, 10.0, 40.0]))
    def wait(self, seconds: float) -> None:
        self.world.run(seconds)

    @rule(
        faults=st.lists(
            st.sampled_from(["lose", "late", "double", "drop_answer", ""]),
            min_size=1,
            max_size=4,
        )
    )
    def disturb_orders(self, faults: list[str]) -> None:
        self.world.order_faults.extend(faults)

    @rule(name=st.sampled_from(sorted(SIZES)), queued=st.sampled_from([0, 5, 100]))
    def demand(self, name: str, queued: int) -> None:
        artifact = Artifact.parse(f"{name}@{max(self.versions, 1)}")
        rate = events.ArtifactRate(
            artifact=artifact, arrived=20, queued=queued, tokens=4000, refused=0
        )
        for controller in self.world.controllers:
            event = events.DemandReported(
                gateway=HostId("g"),
                incarnation=IncarnationId("g.1"),
                period_s=1.0,
                rates=(rate,),
            )
            self.world.give(controller, event)

    @rule(number=st.integers(0, 3))
    def restart_engine(self, number: int) -> None:
        list(self.world.engines.values())[number].restart(self.world.now)

    @rule(number=st.integers(0, 3))
    def leave(self, number: int) -> None:
        for position, engine in enumerate(self.world.engines.values()):
            engine.leaving = position == number
        self.world.list_runners()

    @rule(number=st.integers(0, 1), paused=st.booleans())
    def pause(self, number: int, paused: bool) -> None:
        controller = self.world.controllers[number]
        if paused:
            controller.paused = True
        else:
            self.world.resume(controller)

    @rule(up=st.booleans(), lost=st.integers(0, 2))
    def disturb_store(self, up: bool, lost: int) -> None:
        self.world.store_up = up
        self.world.lose_answers = lost

    @rule(lag=st.sampled_from([0.0, 1.5]))
    def lag_reports(self, lag: float) -> None:
        self.world.report_lag_s = lag

    @rule()
    def change_version(self) -> None:
        self.versions += 1
        number = self.world.configuration.version + 1
        self.world.configure(self.make_configuration((str(self.versions),), number))

    @invariant()
    def hold(self) -> None:
        if hasattr(self, "world"):
            self.world.check()

    def teardown(self) -> None:
        """End all faults; then every floor has to get ready."""
        if not hasattr(self, "world"):
            return
        world = self.world
        world.store_up = True
        world.lose_answers = 0
        world.order_faults.clear()
        world.report_lag_s = 0.0
        for engine in world.engines.values():
            engine.leaving = False
        world.list_runners()
        for controller in world.controllers:
            world.resume(controller)
        world.run(10 * BOUND_S)
        world.check()
        assert world.list_missing() == []


TestPlacementMachine = PlacementMachine.TestCase
TestPlacementMachine.settings = settings(max_examples=40, stateful_step_count=25)
