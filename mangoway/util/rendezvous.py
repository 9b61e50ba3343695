"""Shares work among members without asking them: rendezvous hashing."""

from collections.abc import Iterable

from xxhash import xxh64_intdigest


def is_chosen(own: str, members: Iterable[str], subject: str, count: int) -> bool:
    """Tell whether `own` is one of the `count` members that take a subject.

    Every member that knows the same members comes to the same answer, and a change
    of one member moves only its own subjects.
    """
    rank = _weigh(own, subject)
    higher = sum(
        1 for member in members if member != own and _weigh(member, subject) > rank
    )
    return higher < count


def _weigh(member: str, subject: str) -> tuple[int, str]:
    return xxh64_intdigest(f"{member}\n{subject}".encode()), member
