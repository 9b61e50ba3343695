"""Tests of writes that a restored store may lack."""

from mangoway.coordination.lost_writes import LostWrites


class TestLostWrites:
    """Times up to which all writes are known."""

    def test_all_known_writes_are_certain_without_a_restore(self) -> None:
        assert LostWrites(5.0).find_certain_at(known_at=9.0, now=10.0) == 9.0

    def test_writes_are_certain_up_to_the_restore_until_they_are_repeated(self) -> None:
        lost = LostWrites(5.0)
        lost.record_restore(known_at=9.0, now=10.0)
        assert lost.find_certain_at(known_at=14.9, now=14.9) == 9.0
        assert lost.find_certain_at(known_at=15.0, now=15.0) == 15.0

    def test_restore_before_they_are_repeated_extends_the_first(self) -> None:
        lost = LostWrites(5.0)
        lost.record_restore(known_at=9.0, now=10.0)
        lost.record_restore(known_at=13.0, now=14.0)
        assert lost.find_certain_at(known_at=18.9, now=18.9) == 9.0

    def test_later_restore_is_one_of_its_own(self) -> None:
        lost = LostWrites(5.0)
        lost.record_restore(known_at=9.0, now=10.0)
        lost.record_restore(known_at=15.0, now=15.0)
        assert lost.find_certain_at(known_at=16.0, now=16.0) == 15.0
