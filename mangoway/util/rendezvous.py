"""Rendezvous hashing: assigns work to members without coordination."""

from collections.abc import Iterable

from xxhash import xxh64_intdigest


def is_chosen(own: str, members: Iterable[str], subject: str, count: int) -> bool:
    """Return whether `own` is one of the `count` members assigned to a subject.

    Members that know the same list of members get the same result. When a member joins
    or leaves, only subjects that it gains or loses are assigned differently.
    """
    rank = _rank(own, subject)
    higher = sum(
        1 for member in members if member != own and _rank(member, subject) > rank
    )
    return higher < count


def _rank(member: str, subject: str) -> tuple[int, str]:
    return xxh64_intdigest(f"{member}\n{subject}".encode()), member
