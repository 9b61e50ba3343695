"""Tests that loads keep to the weight store's rate."""

from random import Random

import pytest
from attrs import evolve

from mangoway.models.routing import EngineProfile
from mangoway.policy.scheduling.core import SchedulingCore
from mangoway.policy.scheduling.events import OrdersAllowed
from mangoway.policy.scheduling.state import SchedulingState
from mangoway.policy.scheduling.store_loads import StoreLoadLimiter

from ...fakes.fleet import make_engine, make_model


class TestConcurrentLoads:
    """Loads that run concurrently at full speed."""

    def test_short_load_may_start_beside_long_ones(self) -> None:
        """A load of 2.6 s must not wait for two of 5.4 s while a runner has room."""
        models = {"a": make_model("a", 2.6), "b": make_model("b", 5.4)}
        engine = evolve(make_engine([]), loads_per_s=1.1, models=models)
        loads = StoreLoadLimiter()
        for started_at in (0.0, 0.5):
            assert loads.can_start(engine, started_at)
            loads.record_load(started_at, started_at + 5.4)
        assert loads.can_start(engine, 1.0)

    def test_rate_is_kept(self) -> None:
        engine = make_engine(["a", "b"], load_s=0.1)
        loads = StoreLoadLimiter()
        started = 0
        for step in range(500):
            if loads.can_start(engine, step / 100):
                loads.record_load(step / 100, step / 100 + 0.1)
                started += 1
        assert started <= 2.0 * 5.0


class TestSchedulerChange:
    """Schedulers that send orders one after the other."""

    def test_two_leaders_within_a_window_keep_to_the_rate_of_the_store(self) -> None:
        engine = evolve(make_engine(["a"], load_s=5.4), loads_per_s=1.8)
        first, second = StoreLoadLimiter(), StoreLoadLimiter()
        first.start(0.0)
        second.start(21.0)
        started = count_loads(first, engine, 20.0) + count_loads(second, engine, 21.0)
        assert started <= engine.loads_per_s * 5.0 * 1.1 + 3

    def test_leader_uses_the_whole_rate_after_a_window(self) -> None:
        engine = evolve(make_engine(["a"], load_s=5.4), loads_per_s=1.8)
        loads = StoreLoadLimiter()
        loads.start(0.0)
        assert count_loads(loads, engine, 5.1) == 8


class TestFirstWindow:
    """A scheduler that must not load in its first window of orders."""

    def test_it_loads_nothing_until_the_window_is_over(self) -> None:
        engine = evolve(make_engine(["a"], load_s=5.4), loads_per_s=1.8)
        loads = StoreLoadLimiter()
        loads.start(0.0, may_load=False)
        assert count_loads(loads, engine, 4.9) == 0
        assert count_loads(loads, engine, 5.1) == 8

    @pytest.mark.parametrize("may_load", [False, True])
    def test_core_applies_it_to_services_that_are_first_used_later(
        self, *, may_load: bool
    ) -> None:
        core = SchedulingCore(SchedulingState(random=Random(1)))
        engine = evolve(make_engine(["a"], load_s=5.4), loads_per_s=1.8)
        before = core.state.get_store_loads("early")
        core.handle(OrdersAllowed(allowed=True, may_load_from_store=may_load), 1.0)
        after = core.state.get_store_loads("late")
        assert before.can_start(engine, 1.5) == may_load
        assert after.can_start(engine, 1.5) == may_load


def count_loads(loads: StoreLoadLimiter, engine: EngineProfile, now: float) -> int:
    """Return how many loads may start at one moment."""
    started = 0
    while loads.can_start(engine, now):
        loads.record_load(now, now + 5.4)
        started += 1
    return started
