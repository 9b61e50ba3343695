"""Tests of the ledger changes and the evidence that allows them."""

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
from mangoway.policy.placement.evidence import Evidence
from mangoway.policy.placement.ledgers import (
    clear_mark,
    create_ledger,
    mark_unload,
    reserve_load,
    settle_ledger,
)

A = Artifact.parse("a@1")
LOAD = OrderId("c-1")
UNLOAD = OrderId("c-2")


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
            ResidentArtifact(artifact=one, memory_mb=40, state=Residency.READY)
            for one in shown
        ),
    )


def reserve() -> Ledger:
    ledger = reserve_load(create_ledger(describe(True), 10), A, 40, LOAD)
    assert ledger is not None
    return ledger


def mark(ledger: Ledger) -> Ledger:
    marked = mark_unload(ledger, A, UNLOAD)
    assert marked is not None
    return marked


class TestReserve:
    """A reservation never takes more than there is."""

    def test_refuses_what_does_not_fit(self) -> None:
        other = Artifact.parse("b@1")
        assert reserve_load(reserve(), other, 50, UNLOAD) is not None
        assert reserve_load(reserve(), other, 51, UNLOAD) is None

    def test_same_artifact_is_counted_once(self) -> None:
        again = reserve_load(reserve(), A, 40, UNLOAD)
        assert again is not None
        assert again.committed_mb == 50
        assert again.fence == 2

    def test_runner_that_is_over_takes_nothing(self) -> None:
        assert reserve_load(evolve(reserve(), size_mb=50), A, 40, UNLOAD) is not None
        over = evolve(reserve(), size_mb=49)
        assert reserve_load(over, A, 40, UNLOAD) is None
        assert reserve_load(over, Artifact.parse("b@1"), 1, UNLOAD) is None


class TestSettleChecking:
    """Engines that check fences: a higher fence that was seen ends older orders."""

    @pytest.mark.parametrize(("fence", "left"), [(0, 1), (1, 1), (2, 0)])
    def test_absent_load_is_dropped_after_a_higher_fence(
        self, fence: int, left: int
    ) -> None:
        settled = settle_ledger(
            reserve(), describe(True), report(9.0, fence), Evidence()
        )
        assert len(settled.reserved) == left

    @pytest.mark.parametrize(("fence", "left"), [(1, 1), (2, 0)])
    def test_unload_frees_once_its_fence_was_seen(self, fence: int, left: int) -> None:
        settled = settle_ledger(
            mark(reserve()), describe(True), report(9.0, fence), Evidence()
        )
        assert len(settled.resident) == left

    def test_open_load_is_never_dropped(self) -> None:
        evidence = Evidence()
        evidence.loads.open(A, LOAD)
        settled = settle_ledger(reserve(), describe(True), report(9.0, 5), evidence)
        assert len(settled.reserved) == 1

    @pytest.mark.parametrize(("fence", "resident"), [(0, 0), (1, 1)])
    def test_old_copy_does_not_confirm_a_new_load(
        self, fence: int, resident: int
    ) -> None:
        settled = settle_ledger(
            reserve(), describe(True), report(9.0, fence, A), Evidence()
        )
        assert len(settled.resident) == resident

    @pytest.mark.parametrize(("fence", "cleared"), [(2, False), (3, True)])
    def test_mark_stays_until_the_unload_is_over(
        self, fence: int, cleared: bool
    ) -> None:
        settled = settle_ledger(
            mark(reserve()), describe(True), report(9.0, fence, A), Evidence()
        )
        assert (settled.resident[0].order is None) is cleared


class TestSettleIgnoring:
    """Engines that ignore fences: only time past the lateness bound is evidence."""

    @pytest.mark.parametrize(("at", "left"), [(29.0, 1), (30.0, 0)])
    def test_absent_load_is_dropped_after_the_bound(self, at: float, left: int) -> None:
        evidence = Evidence()
        evidence.loads.open(A, LOAD)
        evidence.loads.close(A, LOAD, 30.0)
        settled = settle_ledger(reserve(), describe(False), report(at, 9), evidence)
        assert len(settled.reserved) == left

    def test_freed_entry_bars_the_runner_while_the_unload_may_come(self) -> None:
        evidence = Evidence()
        evidence.unloads.extend(A, 30.0)
        marked = mark(reserve())
        early = settle_ledger(marked, describe(False), report(20.0, 0), evidence)
        assert [entry.memory_mb for entry in early.resident] == [0]
        late = settle_ledger(early, describe(False), report(30.0, 0), evidence)
        assert late.resident == ()

    def test_foreign_entries_are_waited_for(self) -> None:
        evidence = Evidence()
        evidence.note_read(reserve(), "other-", 50.0)
        settled = settle_ledger(reserve(), describe(False), report(49.0, 0), evidence)
        assert len(settled.reserved) == 1

    def test_own_unsent_entries_are_not_waited_for(self) -> None:
        evidence = Evidence()
        evidence.note_read(reserve(), "c-", 50.0)
        settled = settle_ledger(reserve(), describe(False), report(1.0, 0), evidence)
        assert settled.reserved == ()


class TestMarks:
    """Only the mark of the very order is cleared."""

    def test_clear_mark(self) -> None:
        marked = mark(reserve())
        assert clear_mark(marked, A, LOAD) == marked
        assert clear_mark(marked, A, UNLOAD).resident[0].order is None
