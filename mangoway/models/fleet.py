"""Processes of the fleet on the platform."""

from enum import Enum
from typing import Final

from attrs import frozen

MEMBER_KEYS: Final = "members/"
"""Prefix of the keys under which processes announce themselves in the store."""


class Role(Enum):
    """Role of a process."""

    EDGE = "edge"
    SCHEDULER = "scheduler"


@frozen(kw_only=True)
class Member:
    """One incarnation of a process."""

    host: str
    role: Role
    data_centre: str
    incarnation: str
    """Differs with each start of the process."""

    peer_address: str
    """Address for other processes; empty if they do not connect to it."""

    caller_address: str
    """Address for callers; empty if they do not connect to it."""

    @property
    def key(self) -> str:
        """Return the store key of this member, relative to the system's prefix."""
        return f"{MEMBER_KEYS}{self.role.value}/{self.host}"
