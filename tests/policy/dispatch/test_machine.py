"""Random faults against the oracle of `world`."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from mangoway.models.identifiers import IncarnationId, UpstreamId
from mangoway.policy.dispatch.options import DispatchOptions

from .builders import make_report
from .world import ENGINES, HOSTS, World

PLACE = st.integers(min_value=0, max_value=9)
OUTCOME = st.sampled_from(
    ["succeed", "busy", "die", "lost", "progress", "cancelled", "lost", "succeed"]
)


class DispatchMachine(RuleBasedStateMachine):
    """Gateways, callers and upstreams under faults."""

    @initialize(preemption=st.booleans())
    def begin(self, preemption: bool) -> None:
        self.world = World(DispatchOptions(preemption=preemption))
        self.world.start_gateway()
        self.world.start_gateway()
        self.spread()

    def spread(self) -> None:
        for identity in list(self.world.gateways):
            self.world.spread_homes(identity)

    def find(self, place: int) -> IncarnationId:
        identities = list(self.world.gateways)
        return identities[place % len(identities)]

    @rule(
        place=PLACE,
        home=PLACE,
        idempotent=st.booleans(),
        kind=st.sampled_from(["none", "plain", "homed", "homed"]),
        skew=st.sampled_from([0.0, -100.0, 20.0]),
        within=st.sampled_from([0.5, 10.0, 200.0]),
    )
    def submit(
        self,
        place: int,
        home: int,
        idempotent: bool,
        kind: str,
        skew: float,
        within: float,
    ) -> None:
        operation = self.world.plan(idempotent, kind, self.find(home), skew)
        self.world.submit(operation, self.find(place), within)

    @rule(place=PLACE, at=PLACE)
    def resubmit(self, place: int, at: int) -> None:
        operations = self.world.operations
        if operations:
            operation = operations[-1 - place % len(operations)]
            self.world.submit(operation, self.find(at), 10.0)

    @rule(place=PLACE)
    def cancel(self, place: int) -> None:
        submissions = list(self.world.submissions.values())
        if submissions:
            self.world.cancel(submissions[-1 - place % len(submissions)])

    @rule(place=PLACE, outcome=OUTCOME)
    def answer(self, place: int, outcome: str) -> None:
        waiting = [item for item in self.world.flights.values() if not item.answered]
        if waiting:
            self.world.answer(waiting[place % len(waiting)], outcome)

    @rule(place=PLACE, outcome=OUTCOME)
    def answer_again(self, place: int, outcome: str) -> None:
        ended = [item for item in self.world.flights.values() if item.answered]
        if ended:
            self.world.answer(ended[-1 - place % len(ended)], outcome)

    @rule(place=PLACE)
    def run_late(self, place: int) -> None:
        """Let an upstream run an attempt that was given up as possibly run."""
        flights = [item for item in self.world.flights.values() if not item.ran]
        if flights:
            self.world.run(flights[-1 - place % len(flights)])

    @rule(place=PLACE)
    def deliver_forward(self, place: int) -> None:
        if self.world.forwards:
            self.world.deliver_forward(place)

    @rule(place=PLACE, outcome=st.sampled_from(["up", "down", "ambiguous"]))
    def settle_claim(self, place: int, outcome: str) -> None:
        if self.world.claiming:
            self.world.settle_claim(place, outcome)

    @rule(seconds=st.sampled_from([0.1, 1.0, 3.0, 12.0, 60.0]))
    def advance(self, seconds: float) -> None:
        self.world.advance(seconds)

    @rule(place=PLACE)
    def kill_and_restart(self, place: int) -> None:
        self.world.kill(self.find(place))
        self.world.start_gateway()

    @rule(place=PLACE)
    def freeze_or_thaw(self, place: int) -> None:
        identity = self.find(place)
        if self.world.gateways[identity].frozen:
            self.world.thaw(identity)
        else:
            self.world.gateways[identity].frozen = True

    @rule(place=PLACE)
    def stop(self, place: int) -> None:
        identity = self.find(place)
        if not self.world.gateways[identity].frozen:
            self.world.stop(identity)

    @rule(place=PLACE, heir=PLACE, lost=st.booleans())
    def retire(self, place: int, heir: int, lost: bool) -> None:
        identity = self.find(place)
        to = self.find(heir)
        if self.world.gateways[identity].stopping and to != identity:
            self.world.retire(identity, to, lost)
            self.world.start_gateway()

    @rule(place=PLACE)
    def spread_homes(self, place: int) -> None:
        self.world.spread_homes(self.find(place))

    @rule(place=PLACE, upstream=st.sampled_from([*ENGINES, *HOSTS]))
    def leave(self, place: int, upstream: str) -> None:
        self.world.tell_leaving(self.find(place), UpstreamId(upstream))

    @rule(place=PLACE, engine=st.sampled_from(ENGINES), load=PLACE, lag=PLACE)
    def report(self, place: int, engine: str, load: int, lag: int) -> None:
        report = make_report(engine, self.world.now - lag, load=load)
        self.world.send(self.find(place), report)

    @invariant()
    def hold(self) -> None:
        if hasattr(self, "world"):
            self.world.check()

    def teardown(self) -> None:
        if hasattr(self, "world"):
            self.world.drain()


TestDispatchMachine = DispatchMachine.TestCase
TestDispatchMachine.settings = settings(max_examples=100, stateful_step_count=50)
