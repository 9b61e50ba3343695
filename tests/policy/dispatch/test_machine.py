"""State machine test of gateways that retry, hand over keys and fail in any order.

A request that is not idempotent must not run twice, even if it is submitted again under
its key at another gateway. A request that has run must not be rejected as not run, and
each request must end once.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from mangoway.models.identifiers import IncarnationId, UpstreamId
from mangoway.policy.dispatch.options import DispatchOptions

from .builders import make_report
from .world import ENGINES, HOSTS, World

PLACE = st.integers(min_value=0, max_value=9)
"""A small number, mostly an index that is taken modulo the number of items."""

OUTCOME = st.sampled_from(
    ["succeed", "busy", "die", "lost", "progress", "cancelled", "lost", "succeed"]
)
"""Outcome of an attempt; those that are listed twice are drawn more often."""

RARE = st.integers(min_value=0, max_value=3)
"""A rule with this argument acts only if it is 0."""


class DispatchMachine(RuleBasedStateMachine):
    """Random operations of gateways, callers and upstreams with faults."""

    @initialize(preemption=st.booleans())
    def begin(self, preemption: bool) -> None:
        self.world = World(DispatchOptions(preemption=preemption))
        self.world.start_gateway()
        self.world.start_gateway()
        self.spread_all_homes()

    def spread_all_homes(self) -> None:
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
        operation = self.world.add_operation(idempotent, kind, self.find(home), skew)
        self.world.submit(operation, self.find(place), within)

    @rule(
        kind=st.sampled_from(["plain", "homed"]),
        home=PLACE,
        places=st.lists(PLACE, min_size=2, max_size=4),
    )
    def submit_repeatedly(self, kind: str, home: int, places: list[int]) -> None:
        operation = self.world.add_operation(False, kind, self.find(home), 0.0)
        for place in places:
            self.world.submit(operation, self.find(place), 60.0)

    @rule(place=PLACE, at=PLACE)
    def resubmit(self, place: int, at: int) -> None:
        operations = [item for item in self.world.operations if item.key is not None]
        if operations:
            operation = operations[-1 - place % len(operations)]
            self.world.submit(operation, self.find(at), 10.0)

    @rule(at=PLACE)
    def resubmit_last(self, at: int) -> None:
        self.resubmit(0, at)

    @rule(place=PLACE)
    def cancel(self, place: int) -> None:
        submissions = list(self.world.submissions.values())
        if submissions:
            self.world.cancel(submissions[-1 - place % len(submissions)])

    @rule(place=PLACE, outcome=OUTCOME)
    def answer(self, place: int, outcome: str) -> None:
        waiting = [
            item for item in self.world.sent_attempts.values() if not item.answered
        ]
        if waiting:
            self.world.answer(waiting[place % len(waiting)], outcome)

    @rule(place=PLACE, outcome=OUTCOME)
    def answer_again(self, place: int, outcome: str) -> None:
        ended = [item for item in self.world.sent_attempts.values() if item.answered]
        if ended:
            self.world.answer(ended[-1 - place % len(ended)], outcome)

    @rule(place=PLACE, outcome=OUTCOME, seconds=st.sampled_from([0.0, 100.0, 160.0]))
    def answer_all_and_resubmit(self, place: int, outcome: str, seconds: float) -> None:
        for sent in list(self.world.sent_attempts.values()):
            if not sent.answered:
                self.world.answer(sent, outcome)
        self.world.advance(seconds)
        self.resubmit(0, place)
        self.resubmit(1, place)

    @rule(place=PLACE)
    def run_late(self, place: int) -> None:
        """Run an attempt at its upstream, even if the gateway has abandoned it."""
        sent_attempts = [
            item for item in self.world.sent_attempts.values() if not item.ran
        ]
        if sent_attempts:
            self.world.run(sent_attempts[-1 - place % len(sent_attempts)])

    @rule(place=PLACE)
    def deliver_forward(self, place: int) -> None:
        if self.world.forwards:
            self.world.deliver_forward(place)

    @rule(place=PLACE, outcome=st.sampled_from(["up", "up", "down", "ambiguous"]))
    def settle_claim(self, place: int, outcome: str) -> None:
        if self.world.claiming:
            self.world.settle_claim(place, outcome)

    @rule(seconds=st.sampled_from([0.1, 1.0, 3.0, 12.0, 60.0]))
    def advance(self, seconds: float) -> None:
        self.world.advance(seconds)

    @rule(place=PLACE, rare=RARE)
    def kill_and_restart(self, place: int, rare: int) -> None:
        if rare:
            return
        self.world.kill(self.find(place))
        self.world.start_gateway()

    @rule(place=PLACE)
    def pause_or_resume(self, place: int) -> None:
        identity = self.find(place)
        if self.world.gateways[identity].paused:
            self.world.resume(identity)
        else:
            self.world.gateways[identity].paused = True

    @rule(place=PLACE, rare=RARE)
    def stop(self, place: int, rare: int) -> None:
        identity = self.find(place)
        if not rare and not self.world.gateways[identity].paused:
            self.world.stop(identity)

    @rule(
        place=PLACE,
        rare=RARE,
        lost=st.booleans(),
        known=st.booleans(),
        keeps_running=st.booleans(),
    )
    def retire(
        self, place: int, rare: int, lost: bool, known: bool, keeps_running: bool
    ) -> None:
        """Stop a gateway, hand over its keys and resubmit recent operations."""
        identity = self.find(place)
        if rare or self.world.gateways[identity].paused:
            return
        self.world.stop(identity)
        self.world.retire(identity, self.find(place + 1), lost)
        if not keeps_running:
            self.world.kill(identity)
            self.world.start_gateway()
        if known:
            self.spread_all_homes()
        self.resubmit(0, place)
        self.resubmit(1, place + 1)

    @rule(place=PLACE)
    def spread_homes(self, place: int) -> None:
        self.world.spread_homes(self.find(place))

    @rule(place=PLACE, upstream=st.sampled_from([ENGINES[0], HOSTS[0]]))
    def leave(self, place: int, upstream: str) -> None:
        self.world.notify_leaving(self.find(place), UpstreamId(upstream))

    @rule(place=PLACE, engine=st.sampled_from(ENGINES), load=PLACE, lag=PLACE)
    def report(self, place: int, engine: str, load: int, lag: int) -> None:
        report = make_report(engine, self.world.now - lag, load=load)
        self.world.send(self.find(place), report)

    @invariant()
    def check_world(self) -> None:
        if hasattr(self, "world"):
            self.world.check()

    def teardown(self) -> None:
        if hasattr(self, "world"):
            self.world.drain()


TestDispatchMachine = DispatchMachine.TestCase
TestDispatchMachine.settings = settings(max_examples=100, stateful_step_count=50)
