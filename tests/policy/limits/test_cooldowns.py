"""Tests of the rests that runners ask for."""

from mangoway.policy.limits.cooldowns import CooldownReport, CooldownTracker


def say(rest_s: float, edge: str = "e1", started_ms: int = 0) -> CooldownReport:
    """Return what the runner r1 asks an edge for."""
    return CooldownReport(
        edge=edge, runner_id="r1", started_ms=started_ms, rest_s=rest_s
    )


def measure(
    book: CooldownTracker, now: float, edge: str = "e1", started_ms: int = 0
) -> float:
    return book.measure_wait(edge, "r1", started_ms, now)


class TestRests:
    """How long a runner is left alone."""

    def test_runner_is_left_alone_until_the_end(self) -> None:
        book = CooldownTracker()
        assert book.update(say(3.0), 10.0)
        assert [measure(book, now) for now in (10.0, 12.0, 13.0)] == [3.0, 1.0, 0.0]

    def test_other_edges_go_on(self) -> None:
        book = CooldownTracker()
        book.update(say(3.0), 10.0)
        assert measure(book, 10.0, "e2") == 0.0

    def test_second_refusal_makes_it_longer(self) -> None:
        book = CooldownTracker()
        book.update(say(3.0), 10.0)
        assert book.update(say(3.0), 11.0)
        assert measure(book, 11.0) == 3.0

    def test_second_refusal_with_a_shorter_rest_ends_no_longer_one(self) -> None:
        book = CooldownTracker()
        book.update(say(3.0), 10.0)
        assert not book.update(say(0.5), 11.0)
        assert measure(book, 12.0) == 1.0

    def test_new_life_owes_nothing(self) -> None:
        book = CooldownTracker()
        book.update(say(60.0, started_ms=1000), 10.0)
        assert measure(book, 11.0, started_ms=1000) == 59.0
        assert measure(book, 11.0, started_ms=2000) == 0.0

    def test_late_word_of_an_earlier_life_changes_nothing(self) -> None:
        book = CooldownTracker()
        book.update(say(3.0, started_ms=2000), 10.0)
        assert not book.update(say(60.0, started_ms=1000), 10.5)
        assert measure(book, 11.0, started_ms=2000) == 2.0

    def test_what_is_left_is_told_to_who_grants_next(self) -> None:
        book = CooldownTracker()
        book.update(say(3.0), 10.0)
        book.update(say(1.0, "e2"), 10.0)
        assert book.list_reports("e1", 12.0) == [say(1.0)]
        assert book.list_reports("e2", 12.0) == []

    def test_edge_that_is_gone_is_forgotten(self) -> None:
        book = CooldownTracker()
        book.update(say(3.0), 10.0)
        book.forget_edge("e1")
        assert measure(book, 10.0) == 0.0

    def test_long_rests_of_most_edges_count_for_placement(self) -> None:
        book = CooldownTracker()
        for now in (10.0, 11.0, 12.0):
            book.update(say(3.0), now)
            book.update(say(3.0, "e2"), now)
        assert book.list_long_cooldowns(1.0, 2.0, 12.0) == {"r1"}
        assert book.list_long_cooldowns(1.0, 3.0, 12.0) == set()
        assert book.list_long_cooldowns(5.0, 2.0, 12.0) == set()
        assert book.list_long_cooldowns(1.0, 2.0, 16.0) == set()
