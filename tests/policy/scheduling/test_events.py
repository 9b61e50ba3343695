"""Tests that the core misses no grant that is possible.

At each event, the core checks only the requests and runners that the event affects.
These tests check all of them.
"""

from random import Random

from attrs import define, field
from hypothesis import given, settings
from hypothesis import strategies as st

from mangoway.policy.scheduling.const import BACKLOG_LIMIT_S
from mangoway.policy.scheduling.events import Event, GrantRequest, Tick
from mangoway.policy.scheduling.queue import allows
from mangoway.policy.scheduling.requests import WaitingRequest
from mangoway.policy.scheduling.runners import RunnerState

from ...fakes.fleet import make_grant_request
from .world import World

MODELS = list("abcdefgh")


@define(eq=False)
class CheckedWorld(World):
    """A world that checks all requests and runners after some events."""

    missed: list[tuple[float, str, str]] = field(factory=list, init=False)
    """Requests that a runner could have served: time, request and runner."""

    def send_event(self, event: Event) -> None:
        super().send_event(event)
        if isinstance(event, GrantRequest | Tick):
            self.check()

    def check(self) -> None:
        queue = self.core.state.get_queue("llm")
        for waiting in queue.list_sorted():
            for runner in self.core.state.list_usable("llm", self.now):
                if self.could_serve(runner, waiting):
                    key = (self.now, waiting.grant_request.request_id, runner.runner_id)
                    self.missed.append(key)

    def could_serve(self, runner: RunnerState, waiting: WaitingRequest) -> bool:
        grant_request = waiting.grant_request
        return (
            runner.has_room(1.0, BACKLOG_LIMIT_S, self.now)
            and runner.is_ready(grant_request.model, grant_request.adapter, self.now)
            and allows(grant_request, runner.entry)
            and runner.has_memory(waiting.kv_tokens)
        )


def make_world(seed: int) -> CheckedWorld:
    """Return a world with clustered requests for changing models and adapters."""
    random = Random(seed)
    held = [random.sample(MODELS, 3) for _ in range(random.randint(1, 6))]
    world = CheckedWorld(models=MODELS, runner_models=held, seed=seed)
    at = 0.5
    for number in range(random.randint(10, 120)):
        at += random.expovariate(1.0) * random.choice([0.0, 0.02, 0.1])
        grant_request = make_grant_request(
            f"q{number}",
            random.choice(MODELS[: random.choice([2, 8])]),
            adapter=random.choice(["", "", "x", "y"]),
            tokens=random.randint(50, 3000),
            priority=random.randint(0, 2),
            objective_s=random.choice([0.1, 0.4, 2.0]),
            patience_s=random.choice([1.0, 4.0]),
            excluded=("r0",) if random.random() < 0.1 else (),
        )
        world.add_request(grant_request, at=at)
    return world


class TestEvents:
    """No request waits that a runner with room could serve."""

    @given(st.integers(0, 10_000))
    @settings(max_examples=25, deadline=None)
    def test_no_servable_request_waits(self, seed: int) -> None:
        world = make_world(seed)
        world.run(8.0)
        assert world.missed == []

    @given(st.integers(0, 10_000))
    @settings(max_examples=10, deadline=None)
    def test_copy_index_matches_the_runners(self, seed: int) -> None:
        world = make_world(seed)
        for step in range(1, 9):
            world.run(float(step))
            state = world.core.state
            index = state.get_copies("llm")
            for name in MODELS:
                holders = {
                    each for each, r in state.runners.items() if name in r.models
                }
                assert set(index.loaded.get(name)) == holders
                near = {each for each, r in state.runners.items() if name in r.on_disk}
                assert set(index.on_disk.get(name)) == near
