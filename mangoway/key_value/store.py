"""Typed interface of the key-value service."""

from collections.abc import AsyncIterator
from enum import IntEnum
from typing import Protocol

from attrs import frozen

from ..models.identifiers import Revision


class CallRank(IntEnum):
    """Importance of a call for the rate budget; lower values take precedence."""

    SAFETY = 0
    CONFIGURATION = 1
    CLAIM = 2
    BACKGROUND = 3


@frozen(kw_only=True)
class StoredValue:
    """Value and revision of a key; None and revision 0 if the key is absent."""

    key: str
    value: bytes | None
    revision: Revision


@frozen(kw_only=True)
class Put:
    """Write of one key; a value of None deletes the key."""

    key: str
    value: bytes | None
    expected: Revision
    """Revision that the key must have; 0 if it must be absent."""

    ttl_s: float | None = None
    """Minimum time until the key expires, rounded up to whole seconds; the maximum is
    twice that. None if the key never expires."""


@frozen(kw_only=True)
class TransactionResult:
    """Result of a transaction of which it is known whether it took effect."""

    succeeded: bool
    revision: Revision
    """Revision after success; 0 otherwise."""

    current: tuple[StoredValue, ...] = ()
    """On failure, the current values of the keys in the order of the puts."""


class KeyValueStore(Protocol):
    """Interface with compare-and-swap, leases and watches.

    Every `async_` method raises `MangowayError` with code PLATFORM_UNAVAILABLE or
    PLATFORM_BUDGET. If the response to a write is lost, `async_commit` reads the keys
    to determine whether the write took effect. The verdict of its error is MAY_HAVE_RUN
    only if that fails too.
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
        """Write all keys if each of them still has its expected revision."""
        ...

    async def async_acquire_lease(
        self, key: str, owner: str, ttl_s: float, rank: CallRank
    ) -> bool:
        """Acquire or renew a lease key; return False while another owner holds it.

        The lease is valid for `ttl_s` from the start of the call, not from its
        response. An owner's name must never be used by two processes.
        """
        ...

    async def async_release_lease(self, key: str, owner: str, rank: CallRank) -> None:
        """Release a lease key that this owner holds."""
        ...

    def watch(self, prefix: str) -> AsyncIterator[StoredValue]:
        """Yield changes under a prefix; the watch may stall or end without notice."""
        ...

    def close(self) -> None:
        """Close the connections; calls in progress may end without a response."""
        ...
