"""The store calls that coordination needs, and what they return.

`mangoway.key_value` speaks of compare-and-swap with read-back; this interface is
narrower and closer to one call each, since every call of the platform is paid for.
"""

from typing import Protocol

from attrs import frozen

from ..models.errors import ErrorCode, MangowayError


class StoreUnavailableError(MangowayError):
    """A call got no usable answer; a write may still have taken effect."""

    def __init__(self, detail: str) -> None:
        super().__init__(ErrorCode.PLATFORM_UNAVAILABLE, detail)


class LeaseEndedError(MangowayError):
    """The lease of a call does not exist any more."""

    def __init__(self, lease_id: int) -> None:
        super().__init__(ErrorCode.PLATFORM_UNAVAILABLE, f"lease {lease_id} has ended")


class HistoryLostError(MangowayError):
    """The changes after a revision are no longer kept; read everything again."""

    def __init__(self, revision: int) -> None:
        super().__init__(
            ErrorCode.PLATFORM_UNAVAILABLE, f"no history after revision {revision}"
        )


@frozen(kw_only=True)
class Item:
    """A key with its value and the revision of its last change."""

    key: str
    value: bytes
    revision: int
    lease_id: int = 0


@frozen(kw_only=True)
class Snapshot:
    """All items under a prefix, and the revision from which to follow changes."""

    items: tuple[Item, ...]
    revision: int


@frozen(kw_only=True)
class Change:
    """A write or a removal of one key."""

    key: str
    revision: int
    item: Item | None
    """The item as it was written; None if the key was removed."""


@frozen(kw_only=True)
class Changes:
    """Changes in order, and the revision from which to continue."""

    changes: tuple[Change, ...]
    revision: int


@frozen(kw_only=True)
class Precondition:
    """A key that must have this revision; 0: it must not exist."""

    key: str
    revision: int


@frozen(kw_only=True)
class Write:
    """A key to set, bound to a lease unless that is 0."""

    key: str
    value: bytes
    lease_id: int = 0


@frozen(kw_only=True)
class CommitResult:
    """Whether the preconditions held, and the revision of the change."""

    committed: bool
    revision: int


class CoordinationStore(Protocol):
    """One call of the platform's store each; all raise `StoreUnavailableError`."""

    async def async_read(self, key: str) -> Item | None:
        """Read one key."""
        ...

    async def async_list(self, prefix: str, *, exact: bool = True) -> Snapshot:
        """Read all keys with a prefix; pages are read one after the other.

        Args:
            prefix: What their names begin with.
            exact: Whether the reading must show all that was written before the call;
                one that may be some seconds old costs a tenth.
        """
        ...

    async def async_watch(self, prefix: str, revision: int, wait_s: float) -> Changes:
        """Wait for changes after a revision.

        Raises:
            HistoryLostError: If the store has forgotten some of them.
        """
        ...

    async def async_commit(
        self,
        preconditions: tuple[Precondition, ...],
        writes: tuple[Write, ...],
        deletes: tuple[str, ...] = (),
    ) -> CommitResult:
        """Write and delete keys if all preconditions hold.

        Raises:
            LeaseEndedError: If a lease of the writes has ended.
        """
        ...

    async def async_grant_lease(self, ttl_s: float) -> int:
        """Make a lease and return its id."""
        ...

    async def async_renew_lease(self, lease_id: int) -> None:
        """Renew a lease.

        Raises:
            LeaseEndedError: If it has ended.
        """
        ...

    async def async_end_lease(self, lease_id: int) -> None:
        """End a lease; its keys are removed."""
        ...

    def close(self) -> None:
        """Close the connections."""
        ...
