"""State machine test that faulty orders and new schedulers overfill no runner.

An order may be lost or arrive late, and its response may be lost. A scheduler that is
wrong about the state of a runner could load more than fits its memory.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from ...fakes.fleet import make_grant_request
from .world import World

MODELS = list("abcdefgh")
FAULTS = ["lose", "late", "no_answer", ""]
RUN_ON_S = 5.0
LEAVES_AFTER_S = 0.5


class PlacementMachine(RuleBasedStateMachine):
    """Requests for changing models, with faulty orders and replaced schedulers."""

    @initialize(seed=st.integers(0, 99))
    def start(self, seed: int) -> None:
        self.world = World(
            models=MODELS, runner_models=[["a", "b", "c"], ["d", "e"]], seed=seed
        )
        self.added = 0
        self.world.run(0.5)

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 4.0]))
    def wait(self, seconds: float) -> None:
        self.world.run(self.world.now + seconds)

    @rule(
        model=st.sampled_from(MODELS),
        many=st.integers(1, 8),
        adapter=st.booleans(),
        leaving=st.booleans(),
    )
    def add_requests(self, model: str, many: int, adapter: bool, leaving: bool) -> None:
        """Add requests; runners go on with those whose callers leave."""
        for number in range(many):
            self.added += 1
            if leaving:
                request_id = f"q{self.added}"
                self.world.stream_s[request_id] = RUN_ON_S
                self.world.leave(request_id, at=self.world.now + LEAVES_AFTER_S)
            grant_request = make_grant_request(
                f"q{self.added}",
                model,
                adapter=f"x{number}" if adapter else "",
                patience_s=6.0,
            )
            self.world.add_request(grant_request, at=self.world.now + number / 50)

    @rule(faults=st.lists(st.sampled_from(FAULTS), min_size=1, max_size=5))
    def inject_faults(self, faults: list[str]) -> None:
        self.world.faults.extend(faults)

    @rule()
    def replace_scheduler(self) -> None:
        self.world.run(self.world.now + 1.0)
        self.world.replace_core()

    @invariant()
    def no_runner_is_overfilled(self) -> None:
        if hasattr(self, "world"):
            assert all(each.overfilled == 0 for each in self.world.runners.values())


TestPlacementMachine = PlacementMachine.TestCase
TestPlacementMachine.settings = settings(max_examples=30, stateful_step_count=25)
