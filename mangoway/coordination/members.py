"""Encoding of the members that processes announce in the store."""

from typing import Final

import orjson
from attrs import asdict
from attrs import fields as attrs_fields

from ..models.fleet import Member, Role

LEADER_KEY: Final = "scheduler"
"""Key that the leading scheduler holds, without the prefix of the system's keys."""

SHORT_TERM_KEY: Final = "short-term"
"""Key that exists until the latest leader has led for a whole window of the weight
store, without the prefix of the system's keys."""

ANNOUNCEMENTS_PER_S: Final = 100.0
"""Rate at which all processes together rewrite keys that were lost when the store came
back from a copy. Each takes two writing calls, and the stores of small fleets allow 400
of these a second."""


class MemberError(Exception):
    """The announcement of a member can't be decoded."""


def encode_member(member: Member) -> bytes:
    """Encode a member for the store."""
    return orjson.dumps({**asdict(member), "role": member.role.value})


def decode_member(value: bytes) -> Member:
    """Decode a member.

    Raises:
        MemberError: If it can't be decoded.
    """
    try:
        fields = orjson.loads(value)
        known = {each.name: fields[each.name] for each in attrs_fields(Member)}
        return Member(**{**known, "role": Role(fields["role"])})
    except (LookupError, TypeError, ValueError) as error:
        raise MemberError(f"cannot decode member: {error!r}") from error
