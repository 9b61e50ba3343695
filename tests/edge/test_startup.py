"""Tests of the start of an edge after the store came back from a copy."""

from mangoway.coordination.mirror import Mirror
from mangoway.coordination.store import Snapshot
from mangoway.edge.startup import CONFIRMATION_S, StartupCheck

from ..coordination.test_mirror import Recorder
from ..fakes.coordination_store import FakeCoordinationStore
from ..fakes.revisions import at


class Start:
    """An edge that starts, and the state of its link."""

    def __init__(self) -> None:
        self.now = 100.0
        self.has_scheduler_state = False
        self.mirror = Mirror(FakeCoordinationStore(), Recorder(), lambda: self.now)
        self.check = StartupCheck(
            mirror=self.mirror,
            has_scheduler_state=lambda: self.has_scheduler_state,
            clock=lambda: self.now,
        )

    def read_store(self, era: int) -> None:
        self.mirror.apply_snapshot(Snapshot(items=(), revision=at(3, era)))


class TestStartupCheck:
    """The time from which the configuration may be used."""

    def test_it_may_not_be_used_before_the_store_was_read(self) -> None:
        start = Start()
        start.has_scheduler_state = True
        assert not start.check.is_done()

    def test_it_may_be_used_at_once_if_the_store_was_never_restored(self) -> None:
        start = Start()
        start.read_store(era=0)
        assert start.check.is_done()

    def test_older_configuration_of_the_copy_is_not_used_before_a_scheduler_answers(
        self,
    ) -> None:
        start = Start()
        start.read_store(era=1)
        assert not start.check.is_done()
        start.has_scheduler_state = True
        assert start.check.is_done()

    def test_it_is_used_after_a_while_without_a_scheduler(self) -> None:
        start = Start()
        start.read_store(era=1)
        assert not start.check.is_done()
        start.now += CONFIRMATION_S
        assert start.check.is_done()

    def test_it_stays_in_use_after_a_later_restore(self) -> None:
        start = Start()
        start.read_store(era=0)
        assert start.check.is_done()
        start.read_store(era=1)
        assert start.check.is_done()
