"""Tests of rendezvous hashing."""

from mangoway.util.rendezvous import is_chosen

MEMBERS = [f"g{number}" for number in range(9)]
SUBJECTS = [f"e{number}" for number in range(200)]


def choose(members: list[str], subject: str, count: int = 3) -> list[str]:
    return [own for own in members if is_chosen(own, members, subject, count)]


class TestIsChosen:
    """Assignment of subjects to members."""

    def test_each_subject_has_the_requested_number_of_members(self) -> None:
        assert all(len(choose(MEMBERS, subject)) == 3 for subject in SUBJECTS)

    def test_too_few_members_are_all_assigned(self) -> None:
        assert choose(MEMBERS[:2], "e0") == MEMBERS[:2]

    def test_removed_member_moves_only_its_own_subjects(self) -> None:
        for subject in SUBJECTS:
            before = set(choose(MEMBERS, subject))
            after = set(choose(MEMBERS[1:], subject))
            assert before - {MEMBERS[0]} <= after

    def test_subjects_are_spread_over_members(self) -> None:
        shares = [
            sum(is_chosen(own, MEMBERS, subject, 3) for subject in SUBJECTS)
            for own in MEMBERS
        ]
        assert min(shares) > 0.5 * max(shares)
