"""State machine test of two active placement cores under faults.

Orders may arrive late, twice or not at all, and both controllers act on old reports.
No load may exceed an engine's memory, no avoidable unload may remove the last ready
copy of an artifact, and all floors must be met after the faults.
"""

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from mangoway.models.artifact import Artifact
from mangoway.models.identifiers import HostId, IncarnationId
from mangoway.policy.placement import events
from mangoway.policy.placement.options import PlacementOptions

from .world import BOUND_S, World, offer_models

SIZES = {"a": 50, "b": 50, "c": 45, "d": 45, "e": 50, "f": 30, "g": 30, "h": 20}
"""Two of the large models fill an engine of 110 MB including its KV cache floor."""

ENGINES = 4
OFFERED = 5
"""Number of models that are offered at a time."""

CHECKS = ["none", "fences", "both"]
"""What an engine checks of an order: nothing, its fence, or its incarnation as well."""

FAULTS = ["lose", "late", "double", "drop_answer", ""]


class PlacementMachine(RuleBasedStateMachine):
    """Two active controllers with faults of orders, engines, reports and the store."""

    @initialize(
        checks=st.lists(st.sampled_from(CHECKS), min_size=ENGINES, max_size=ENGINES),
        seed=st.integers(0, 99),
        hysteresis=st.booleans(),
    )
    def start(self, checks: list[str], seed: int, hysteresis: bool) -> None:
        self.world = World()
        self.world.rng.seed(seed)
        self.offered = sorted(SIZES)[:OFFERED]
        self.versions = ("1",)
        self.configure()
        options = PlacementOptions(hysteresis=hysteresis)
        self.world.start(*[110] * ENGINES, options=options)
        self.world.add_controller(options)
        for engine, checking in zip(self.world.engines.values(), checks, strict=True):
            engine.checks = checking != "none"
            engine.checks_incarnations = checking == "both"
        self.world.run(20.0)

    def configure(self) -> None:
        sizes = {name: SIZES[name] for name in self.offered}
        version = self.world.configuration.version + 1
        configuration = offer_models(
            version=version, versions=self.versions, price=0.01, **sizes
        )
        self.world.configure(configuration)

    @rule(seconds=st.sampled_from([0.03, 0.5, 3.0, 10.0, 40.0]))
    def wait(self, seconds: float) -> None:
        self.world.run(seconds)

    @rule(faults=st.lists(st.sampled_from(FAULTS), min_size=1, max_size=6))
    def disturb_orders(self, faults: list[str]) -> None:
        self.world.order_faults.extend(faults)

    @rule(
        names=st.lists(
            st.sampled_from(sorted(SIZES)),
            min_size=OFFERED,
            max_size=OFFERED,
            unique=True,
        ),
        faults=st.lists(st.sampled_from(FAULTS), max_size=6),
        seconds=st.sampled_from([0.5, 5.0, 15.0]),
    )
    def change_offers(
        self, names: list[str], faults: list[str], seconds: float
    ) -> None:
        self.world.order_faults.extend(faults)
        self.offered = names
        self.configure()
        self.world.run(seconds)

    @rule()
    def change_version(self) -> None:
        self.versions = (str(int(self.versions[0]) + 1),)
        self.configure()

    @rule(
        position=st.integers(0, OFFERED - 1),
        arrived=st.sampled_from([0, 20, 200]),
        seconds=st.sampled_from([1.0, 5.0]),
    )
    def report_demand(self, position: int, arrived: int, seconds: float) -> None:
        artifact = Artifact.parse(f"{self.offered[position]}@{self.versions[0]}")
        rate = events.ArtifactRate(
            artifact=artifact, arrived=arrived, queued=0, tokens=arrived, refused=0
        )
        event = events.DemandReported(
            gateway=HostId("g"),
            incarnation=IncarnationId("g.1"),
            period_s=0.01,
            rates=(rate,),
        )
        for controller in self.world.controllers:
            self.world.send_event(controller, event)
        self.world.run(seconds)

    @rule(number=st.integers(0, ENGINES - 1))
    def restart_engine(self, number: int) -> None:
        list(self.world.engines.values())[number].restart(self.world.now)

    @rule(number=st.integers(0, ENGINES))
    def leave(self, number: int) -> None:
        for position, engine in enumerate(self.world.engines.values()):
            engine.leaving = position == number
        self.world.list_runners()

    @rule(number=st.integers(0, 1))
    def pause_or_resume(self, number: int) -> None:
        controller = self.world.controllers[number]
        if controller.paused:
            self.world.resume(controller)
        else:
            controller.paused = True

    @rule(up=st.booleans(), lost=st.integers(0, 2))
    def disturb_store(self, up: bool, lost: int) -> None:
        self.world.store_up = up
        self.world.lose_answers = lost

    @rule(lag=st.sampled_from([0.0, 1.5]), read=st.sampled_from([0.01, 2.0]))
    def change_lag(self, lag: float, read: float) -> None:
        self.world.report_lag_s = lag
        self.world.read_s = read

    @invariant()
    def check_world(self) -> None:
        if hasattr(self, "world"):
            self.world.check_invariants()

    def teardown(self) -> None:
        """End all faults and check that every floor becomes ready."""
        if not hasattr(self, "world"):
            return
        world = self.world
        world.store_up = True
        world.lose_answers = 0
        world.order_faults.clear()
        world.report_lag_s = 0.0
        world.read_s = 0.01
        for engine in world.engines.values():
            engine.leaving = False
        world.list_runners()
        for controller in world.controllers:
            world.resume(controller)
        world.run(10 * BOUND_S)
        world.check_invariants()
        assert world.list_unmet_floors() == []


TestPlacementMachine = PlacementMachine.TestCase
TestPlacementMachine.settings = settings(phases=(Phase.explicit, Phase.generate))
