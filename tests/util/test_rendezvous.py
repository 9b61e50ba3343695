"""Tests of sharing work by rendezvous hashing."""

from mangoway.util.rendezvous import is_chosen

MEMBERS = [f"g{number}" for number in range(9)]
SUBJECTS = [f"e{number}" for number in range(200)]


def choose(members: list[str], subject: str, count: int = 3) -> list[str]:
    return [own for own in members if is_chosen(own, members, subject, count)]


class TestIsChosen:
    """Who takes a subject."""

    def test_each_subject_has_its_number_of_takers(self) -> None:
        assert all(len(choose(MEMBERS, subject)) == 3 for subject in SUBJECTS)

    def test_fewer_members_than_takers_all_take_it(self) -> None:
        assert choose(MEMBERS[:2], "e0") == MEMBERS[:2]

    def test_one_that_leaves_moves_only_its_own(self) -> None:
        for subject in SUBJECTS:
            before = set(choose(MEMBERS, subject))
            after = set(choose(MEMBERS[1:], subject))
            assert before - {MEMBERS[0]} <= after

    def test_work_is_spread(self) -> None:
        shares = [
            sum(is_chosen(own, MEMBERS, subject, 3) for subject in SUBJECTS)
            for own in MEMBERS
        ]
        assert min(shares) > 0.5 * max(shares)
