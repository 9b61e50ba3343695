"""Encoding of the members that processes announce in the store."""

from collections.abc import Mapping
from typing import Any, Final

import orjson
from attrs import asdict

from ..models.fleet import Member, Role
from ..platform.fields import DocumentError, read_address, read_name, read_object

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
        fields = read_object(orjson.loads(value), "the member")
        return Member(
            host=read_name(fields, "host"),
            role=Role(read_name(fields, "role")),
            data_centre=read_name(fields, "data_centre"),
            incarnation=read_name(fields, "incarnation"),
            peer_address=_read_optional_address(fields, "peer_address"),
            caller_address=_read_optional_address(fields, "caller_address"),
        )
    except (DocumentError, ValueError) as error:
        raise MemberError(f"cannot decode member: {error}") from error


def _read_optional_address(fields: Mapping[str, Any], name: str) -> str:
    return "" if fields.get(name) == "" else read_address(fields, name)
