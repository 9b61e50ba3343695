"""Tests of the ledger changes and of the order tracker that permits them."""

import pytest
from attrs import evolve

from mangoway.models.artifact import Artifact
from mangoway.models.identifiers import FenceNumber, IncarnationId, OrderId, UpstreamId
from mangoway.models.order import Ledger
from mangoway.models.upstream import (
    EngineDescription,
    EngineReport,
    Residency,
    ResidentArtifact,
)
from mangoway.policy.placement.ledgers import (
    clear_mark,
    create_ledger,
    mark_unload,
    reconcile_ledger,
    reserve_load,
)
from mangoway.policy.placement.order_tracker import OrderTracker

ARTIFACT = Artifact.parse("a@1")
FIRST_ORDER = OrderId("c-1")
SECOND_ORDER = OrderId("c-2")


def describe(checks: bool) -> EngineDescription:
    return EngineDescription(
        upstream=UpstreamId("r"),
        incarnation=IncarnationId("r.1"),
        memory_mb=100,
        checks_fences=checks,
    )


def report(at: float, fence: int, *shown: Artifact) -> EngineReport:
    return EngineReport(
        upstream=UpstreamId("r"),
        incarnation=IncarnationId("r.1"),
        reported_at=at,
        running=0,
        waiting=0,
        fence=FenceNumber(fence),
        residents=tuple(
            ResidentArtifact(artifact=each, memory_mb=40, state=Residency.READY)
            for each in shown
        ),
    )


def reserve() -> Ledger:
    ledger = reserve_load(create_ledger(describe(True), 10), ARTIFACT, 40, FIRST_ORDER)
    assert ledger is not None
    return ledger


def mark(ledger: Ledger) -> Ledger:
    marked = mark_unload(ledger, ARTIFACT, SECOND_ORDER)
    assert marked is not None
    return marked


class TestReserve:
    """A reservation never exceeds the free memory."""

    def test_rejects_load_that_does_not_fit(self) -> None:
        other = Artifact.parse("b@1")
        assert reserve_load(reserve(), other, 50, SECOND_ORDER) is not None
        assert reserve_load(reserve(), other, 51, SECOND_ORDER) is None

    def test_same_artifact_is_counted_once(self) -> None:
        again = reserve_load(reserve(), ARTIFACT, 40, SECOND_ORDER)
        assert again is not None
        assert again.committed_mb == 50
        assert again.fence == 2

    def test_runner_over_its_size_gets_no_load(self) -> None:
        assert (
            reserve_load(evolve(reserve(), size_mb=50), ARTIFACT, 40, SECOND_ORDER)
            is not None
        )
        over = evolve(reserve(), size_mb=49)
        assert reserve_load(over, ARTIFACT, 40, SECOND_ORDER) is None
        assert reserve_load(over, Artifact.parse("b@1"), 1, SECOND_ORDER) is None


class TestReconcileWithFences:
    """Engines that check fences: a report of a higher fence ends older orders."""

    @pytest.mark.parametrize(("fence", "left"), [(0, 1), (1, 1), (2, 0)])
    def test_absent_load_is_dropped_after_a_higher_fence(
        self, fence: int, left: int
    ) -> None:
        reconciled = reconcile_ledger(
            reserve(), describe(True), report(9.0, fence), OrderTracker()
        )
        assert len(reconciled.reserved) == left

    @pytest.mark.parametrize(("fence", "left"), [(1, 1), (2, 0)])
    def test_unload_frees_memory_after_a_higher_fence(
        self, fence: int, left: int
    ) -> None:
        reconciled = reconcile_ledger(
            mark(reserve()), describe(True), report(9.0, fence), OrderTracker()
        )
        assert len(reconciled.resident) == left

    def test_open_load_is_never_dropped(self) -> None:
        order_tracker = OrderTracker()
        order_tracker.loads.record_sent(ARTIFACT, FIRST_ORDER)
        reconciled = reconcile_ledger(
            reserve(), describe(True), report(9.0, 5), order_tracker
        )
        assert len(reconciled.reserved) == 1

    @pytest.mark.parametrize(("fence", "resident"), [(0, 0), (1, 1)])
    def test_old_copy_does_not_confirm_a_new_load(
        self, fence: int, resident: int
    ) -> None:
        reconciled = reconcile_ledger(
            reserve(), describe(True), report(9.0, fence, ARTIFACT), OrderTracker()
        )
        assert len(reconciled.resident) == resident

    @pytest.mark.parametrize(("fence", "cleared"), [(2, False), (3, True)])
    def test_mark_stays_until_the_unload_is_over(
        self, fence: int, cleared: bool
    ) -> None:
        reconciled = reconcile_ledger(
            mark(reserve()),
            describe(True),
            report(9.0, fence, ARTIFACT),
            OrderTracker(),
        )
        assert (reconciled.resident[0].order is None) is cleared


class TestReconcileWithoutFences:
    """Engines that ignore fences: only the lateness bound ends older orders."""

    @pytest.mark.parametrize(("at", "left"), [(29.0, 1), (30.0, 0)])
    def test_absent_load_is_dropped_after_the_bound(self, at: float, left: int) -> None:
        order_tracker = OrderTracker()
        order_tracker.loads.record_sent(ARTIFACT, FIRST_ORDER)
        order_tracker.loads.record_closed(ARTIFACT, FIRST_ORDER, 30.0)
        reconciled = reconcile_ledger(
            reserve(), describe(False), report(at, 9), order_tracker
        )
        assert len(reconciled.reserved) == left

    def test_freed_entry_stays_while_the_unload_may_arrive(self) -> None:
        order_tracker = OrderTracker()
        order_tracker.unloads.extend(ARTIFACT, 30.0)
        marked = mark(reserve())
        early = reconcile_ledger(
            marked, describe(False), report(20.0, 0), order_tracker
        )
        assert [entry.memory_mb for entry in early.resident] == [0]
        late = reconcile_ledger(early, describe(False), report(30.0, 0), order_tracker)
        assert late.resident == ()

    def test_entries_of_others_stay_until_the_bound(self) -> None:
        order_tracker = OrderTracker()
        order_tracker.record_read(reserve(), "other-", 50.0)
        reconciled = reconcile_ledger(
            reserve(), describe(False), report(49.0, 0), order_tracker
        )
        assert len(reconciled.reserved) == 1

    def test_own_unsent_entries_are_dropped_at_once(self) -> None:
        order_tracker = OrderTracker()
        order_tracker.record_read(reserve(), "c-", 50.0)
        reconciled = reconcile_ledger(
            reserve(), describe(False), report(1.0, 0), order_tracker
        )
        assert reconciled.reserved == ()


class TestMarks:
    """Only the mark of the given order is cleared."""

    def test_clear_mark(self) -> None:
        marked = mark(reserve())
        assert clear_mark(marked, ARTIFACT, FIRST_ORDER) == marked
        assert clear_mark(marked, ARTIFACT, SECOND_ORDER).resident[0].order is None
