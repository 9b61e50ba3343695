"""Processes of the system as they announce themselves in the store."""

from enum import Enum
from typing import Final

import orjson
from attrs import asdict, frozen
from attrs import fields as attrs_fields

MEMBER_KEYS: Final = "members/"
LEADER_KEY: Final = "scheduler"


class Role(Enum):
    """What a process does."""

    EDGE = "edge"
    SCHEDULER = "scheduler"


class MemberError(Exception):
    """The announcement of a member can't be read."""


@frozen(kw_only=True)
class Member:
    """One life of a process."""

    host: str
    role: Role
    data_centre: str
    incarnation: str
    """Differs with each start of the process."""

    peer_address: str
    """Where other processes reach it; empty if they don't."""

    caller_address: str
    """Where callers reach it; empty if they don't."""

    @property
    def key(self) -> str:
        """Return the key of this member below the system's own prefix."""
        return f"{MEMBER_KEYS}{self.role.value}/{self.host}"


def encode_member(member: Member) -> bytes:
    """Encode a member for the store."""
    return orjson.dumps({**asdict(member), "role": member.role.value})


def decode_member(value: bytes) -> Member:
    """Decode a member.

    Raises:
        MemberError: If it can't be read.
    """
    try:
        fields = orjson.loads(value)
        known = {each.name: fields[each.name] for each in attrs_fields(Member)}
        return Member(**{**known, "role": Role(fields["role"])})
    except (LookupError, TypeError, ValueError) as error:
        raise MemberError(f"member can't be read: {error!r}") from error
