"""Tests of the choice of an upstream, of windows and of prefix affinity."""

from collections import Counter

from mangoway.models.errors import ErrorCode, Failure
from mangoway.models.identifiers import DataCentreId, UpstreamId
from mangoway.models.upstream import CacheChange, Residency
from mangoway.models.verdict import Verdict
from mangoway.policy.dispatch.actions import StartAttempt
from mangoway.policy.dispatch.core import DispatchCore
from mangoway.policy.dispatch.events import (
    AttemptFailed,
    EngineReported,
    GatewayCountChanged,
    UpstreamLeaving,
    UpstreamListChanged,
)
from mangoway.policy.dispatch.options import DispatchOptions
from mangoway.policy.dispatch.prefixes import PrefixIndex
from mangoway.policy.dispatch.windows import Window

from .builders import (
    arrive,
    make_core,
    make_engine,
    make_engine_described,
    make_report,
    make_request,
    select,
    start,
)

PREFIX = (1, 2, 3, 4)


def count_starts(core: DispatchCore, count: int, at: float) -> Counter[str]:
    """Start requests; return how many each upstream received."""
    started: Counter[str] = Counter()
    for number in range(count):
        request = make_request(f"{at}-{number}", at)
        started[start(core, request, at).upstream_id] += 1
    return started


def make_busy_failure(attempt: StartAttempt) -> AttemptFailed:
    verdict = Verdict.NOT_RUN
    failure = Failure(code=ErrorCode.UPSTREAM_BUSY, verdict=verdict, detail="")
    return AttemptFailed(
        attempt_id=attempt.attempt_id, verdict=verdict, failure=failure
    )


class TestChoice:
    """Choice of an upstream for a request."""

    def test_old_report_does_not_concentrate_requests(self) -> None:
        core = make_core(engines=8, max_running=40)
        for number in range(1, 8):
            core.handle(make_report(f"engine{number}", 1.0, load=10), 1.0)
        started = count_starts(core, 80, 1.5)
        assert max(started.values()) <= 24
        assert len(started) == 8

    def test_less_loaded_engine_gets_more_requests(self) -> None:
        core = make_core(engines=2, max_running=40)
        core.handle(make_report("engine0", 1.0, load=30), 1.0)
        started = count_starts(core, 12, 1.5)
        assert started["engine1"] == 12

    def test_own_data_centre_is_preferred_at_equal_load(self) -> None:
        options = DispatchOptions(data_centre=DataCentreId("south"))
        core = make_core(engines=2, max_running=40, options=options)
        near = make_engine("engine1", "south")
        far = make_engine("engine0", "north")
        core.handle(UpstreamListChanged(upstreams=(near, far)), 1.0)
        assert count_starts(core, 1, 1.0) == {"engine1": 1}
        assert set(count_starts(core, 30, 1.5)) == {"engine0", "engine1"}


class TestLeaving:
    """Upstreams that leave, restart or unload."""

    def test_late_report_does_not_undo_leaving(self) -> None:
        core = make_core(engines=1)
        core.handle(UpstreamLeaving(upstream_id="engine0"), 1.0)
        core.handle(UpstreamListChanged(upstreams=(make_engine("engine0"),)), 2.0)
        core.handle(make_report("engine0", 3.0), 3.0)
        assert not select(arrive(core, make_request("a", 4.0), 4.0), StartAttempt)

    def test_new_incarnation_gets_work_and_old_reports_are_ignored(self) -> None:
        core = make_core(engines=1)
        core.handle(make_report("engine0", 1.0, leaving=True), 1.0)
        core.handle(make_engine_described("engine0", incarnation="2"), 2.0)
        core.handle(make_report("engine0", 2.0, incarnation="2"), 2.0)
        core.handle(make_report("engine0", 3.0, leaving=True), 3.0)
        start(core, make_request("a", 4.0), 4.0)

    def test_unloading_artifact_gets_no_requests(self) -> None:
        core = make_core(engines=1)
        report = make_report("engine0", 1.0, state=Residency.UNLOADING)
        core.handle(report, 1.0)
        assert not select(arrive(core, make_request("a", 4.0), 4.0), StartAttempt)


class TestWindow:
    """Number of requests that a gateway may have at a runner at once."""

    def test_gateways_share_a_runner(self) -> None:
        core = make_core(engines=1, max_running=6)
        core.handle(GatewayCountChanged(count=3), 1.0)
        assert count_starts(core, 2, 1.0) == {"engine0": 2}
        assert not select(arrive(core, make_request("a", 1.0), 1.0), StartAttempt)

    def test_borrowing_on_one_report_never_overloads_the_runner(self) -> None:
        for gateways in range(1, 9):
            windows = [Window(size=32) for _ in range(gateways)]
            for window in windows:
                window.apply_report(load=12, own=12 // gateways)
            assert sum(window.compute(gateways) for window in windows) <= 32

    def test_rounding_leaves_no_slot_unused(self) -> None:
        core = make_core(engines=1, max_running=8)
        core.handle(GatewayCountChanged(count=3), 1.0)
        window = core.context.fleet.upstreams[UpstreamId("engine0")].window
        total = 0
        for number in range(300):
            core.handle(make_report("engine0", 2.0 + number), 2.0 + number)
            total += window.compute(3)
        assert 7.7 <= total / 100 <= 8.3

    def test_single_active_gateway_borrows_nearly_all_slots(self) -> None:
        window = Window(size=30)
        for _ in range(12):
            own = window.compute(3)
            window.apply_report(load=own, own=own)
        assert window.compute(3) >= 27

    def test_rejection_as_busy_shrinks_the_window(self) -> None:
        core = make_core(engines=1, max_running=10)
        attempt = start(core, make_request("a", 1.0), 1.0)
        core.handle(make_busy_failure(attempt), 1.0)
        window = core.context.fleet.upstreams[attempt.upstream_id].window
        assert window.compute(1) == 7


class TestPrefix:
    """Prefix affinity and the index of cached prefixes."""

    def report(self, sequence: int, at: float) -> EngineReported:
        change = CacheChange(sequence=sequence, added=PREFIX)
        return make_report("engine3", at, cache_changes=(change,))

    def test_cached_prefix_is_preferred_until_the_load_is_higher(self) -> None:
        core = make_core(engines=8, max_running=20)
        core.handle(self.report(1, 1.0), 1.0)
        first = make_request("a", 2.0, prefix_hashes=PREFIX)
        assert start(core, first, 2.0).upstream_id == "engine3"
        started: Counter[str] = Counter()
        for number in range(60):
            request = make_request(str(number), 2.0, prefix_hashes=PREFIX)
            started[start(core, request, 2.0).upstream_id] += 1
        assert started["engine3"] <= 13

    def test_gap_in_cache_events_drops_known_blocks(self) -> None:
        index = PrefixIndex()
        index.apply("engine", (CacheChange(sequence=1, added=(1, 2)),))
        index.apply("engine", (CacheChange(sequence=3, added=(3,)),))
        assert index.count_cached("engine", (1, 2)) == 0
        assert index.count_cached("engine", (3,)) == 1

    def test_outdated_cache_events_are_ignored(self) -> None:
        index = PrefixIndex()
        index.apply("engine", (CacheChange(sequence=5, added=(1,)),))
        index.apply("engine", (CacheChange(sequence=5, removed=(1,)),))
        assert index.count_cached("engine", (1,)) == 1
