"""Processes on the users' platform."""

from enum import Enum
from typing import Final

from attrs import frozen

MEMBER_KEYS: Final = "members/"
"""What the keys begin with under which processes announce themselves."""


class Role(Enum):
    """What a process does."""

    EDGE = "edge"
    SCHEDULER = "scheduler"


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
