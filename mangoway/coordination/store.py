"""Interface of the store for coordination, and the data that its calls return.

`mangoway.key_value` offers compare-and-swap with read-back. This interface is narrower,
and each method maps to about one call, since every call of the platform is billed.
"""

from typing import Final, Protocol

from attrs import frozen

from ..models.errors import ErrorCode, MangowayError


class StoreUnavailableError(MangowayError):
    """A call received no usable response; a write may still have taken effect."""

    def __init__(self, detail: str) -> None:
        super().__init__(ErrorCode.PLATFORM_UNAVAILABLE, detail)


class LeaseEndedError(MangowayError):
    """The lease of a call no longer exists."""

    def __init__(self, lease_id: int) -> None:
        super().__init__(ErrorCode.PLATFORM_UNAVAILABLE, f"lease {lease_id} has ended")


@frozen(order=True)
class StoreRevision:
    """Position in the sequence of the store's states.

    When the store comes back from a copy, a new era begins: the writes since the copy
    are lost, and their revision numbers are given out again.
    """

    era: int
    """0 for a store that does not state its era."""

    number: int

    def __str__(self) -> str:
        return f"{self.number} of era {self.era}" if self.era else str(self.number)


NO_REVISION: Final = StoreRevision(0, 0)
"""Before all revisions; as a precondition, the key must not exist."""


class HistoryLostError(MangowayError):
    """The store no longer keeps the changes after a revision; a snapshot is needed."""

    def __init__(self, revision: StoreRevision) -> None:
        super().__init__(
            ErrorCode.PLATFORM_UNAVAILABLE, f"no history after revision {revision}"
        )


class OutdatedResponseError(StoreUnavailableError):
    """A response is from an earlier era than a known one, so it shows a lost state."""

    def __init__(self, era: int, known_era: int) -> None:
        super().__init__(f"response of era {era} though era {known_era} is known")


@frozen(kw_only=True)
class Item:
    """A key with its value and the revision of its last change."""

    key: str
    value: bytes
    revision: StoreRevision
    lease_id: int = 0


@frozen(kw_only=True)
class Snapshot:
    """All items under a prefix, and the revision after which to follow changes."""

    items: tuple[Item, ...]
    revision: StoreRevision


@frozen(kw_only=True)
class Change:
    """A write or a removal of one key."""

    key: str
    revision: StoreRevision
    item: Item | None
    """The written item; None if the key was removed."""


@frozen(kw_only=True)
class Changes:
    """Changes in order, and the revision after which to continue."""

    changes: tuple[Change, ...]
    revision: StoreRevision


@frozen(kw_only=True)
class Precondition:
    """A revision that a key must have; with `NO_REVISION` the key must not exist."""

    key: str
    revision: StoreRevision


@frozen(kw_only=True)
class Write:
    """A key to set; it is bound to a lease unless the id is 0."""

    key: str
    value: bytes
    lease_id: int = 0


@frozen(kw_only=True)
class CommitResult:
    """Whether the preconditions were met, and the revision of the change."""

    committed: bool
    revision: StoreRevision


class CoordinationStore(Protocol):
    """Store of the platform; all calls may raise `StoreUnavailableError`."""

    era: int
    """Highest era that is known to this process. Responses of earlier eras are dropped
    with `OutdatedResponseError`."""

    def learn_era(self, era: int) -> None:
        """Learn of an era, from a response or from another process."""
        ...

    async def async_read(self, key: str) -> Item | None:
        """Read one key."""
        ...

    async def async_list(self, prefix: str, *, exact: bool = True) -> Snapshot:
        """Return a snapshot of all keys with a prefix; pages are read one by one.

        Args:
            prefix: Prefix of the keys.
            exact: Whether the snapshot must include all earlier writes. One that may
                be some seconds old costs a tenth.
        """
        ...

    async def async_watch(
        self, prefix: str, revision: StoreRevision, wait_s: float
    ) -> Changes:
        """Wait for changes after a revision.

        If the result is of a later era than the revision, the changes do not follow
        it, and a snapshot is needed.

        Raises:
            HistoryLostError: If the store no longer keeps some of them.
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
        """Create a lease and return its id."""
        ...

    async def async_renew_lease(self, lease_id: int) -> None:
        """Renew a lease.

        Raises:
            LeaseEndedError: If the lease has ended.
        """
        ...

    async def async_end_lease(self, lease_id: int) -> None:
        """End a lease, which removes its keys."""
        ...

    def close(self) -> None:
        """Close the connections."""
        ...
