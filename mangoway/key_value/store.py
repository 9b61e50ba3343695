"""The typed interface of the key-value service."""

from collections.abc import AsyncIterator
from enum import IntEnum
from typing import Protocol

from attrs import frozen

from ..models.identifiers import Revision


class CallRank(IntEnum):
    """Importance of a call when the rate budget is short; lower goes first."""

    SAFETY = 0
    CONFIGURATION = 1
    CLAIM = 2
    BACKGROUND = 3


@frozen(kw_only=True)
class StoredValue:
    """A value with the revision of its key; revision 0 and None if absent."""

    key: str
    value: bytes | None
    revision: Revision


@frozen(kw_only=True)
class Put:
    """Write of one key; None deletes it."""

    key: str
    value: bytes | None
    expected: Revision
    """Revision that the key must have (0: absent)."""

    ttl_s: float | None = None
    """Shortest time after which the key may be deleted by itself; None: never. It
    lives for twice that time at most."""


@frozen(kw_only=True)
class TransactionResult:
    """Settled result of a transaction."""

    succeeded: bool
    revision: Revision
    """Revision after success; 0 otherwise."""

    current: tuple[StoredValue, ...] = ()
    """On failure, the keys as they are now, in the order of the puts."""


class KeyValueStore(Protocol):
    """Compare-and-swap, leases and watches.

    Every method raises `MangowayError` with code PLATFORM_UNAVAILABLE or
    PLATFORM_BUDGET; its verdict says whether a write may have taken effect.
    An ambiguous write is settled by reading back before the call returns; only
    if that fails too is the verdict MAY_HAVE_RUN.
    """

    async def async_get(self, key: str, rank: CallRank) -> StoredValue:
        """Read one key."""
        ...

    async def async_list(self, prefix: str, rank: CallRank) -> tuple[StoredValue, ...]:
        """Read all keys with a prefix, in key order."""
        ...

    async def async_commit(
        self, puts: tuple[Put, ...], rank: CallRank
    ) -> TransactionResult:
        """Write all keys if every one still has its expected revision."""
        ...

    async def async_acquire_lease(
        self, key: str, owner: str, ttl_s: float, rank: CallRank
    ) -> bool:
        """Take or renew a lease key; False while another owner holds it.

        The holder may count on it for `ttl_s` from before the call was made, not
        from its answer. An owner's name must never be used by two processes.
        """
        ...

    async def async_release_lease(self, key: str, owner: str, rank: CallRank) -> None:
        """Give up a lease key that this owner holds."""
        ...

    def watch(self, prefix: str) -> AsyncIterator[StoredValue]:
        """Yield changes under a prefix; it may stall or end without notice."""
        ...

    def close(self) -> None:
        """Close the connections; calls under way may end without an answer."""
        ...
