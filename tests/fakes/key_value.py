"""An in-memory key-value service with switches for its failures."""

import asyncio
from collections.abc import AsyncIterator

from attrs import define, field

from mangoway.key_value.store import (
    CallRank,
    Put,
    StoredValue,
    TransactionResult,
)
from mangoway.models.errors import ErrorCode, MangowayError
from mangoway.models.identifiers import Revision
from mangoway.models.verdict import Verdict

WATCH_POLL_S = 0.05


@define
class Lease:
    """Owner of a lease key, and its expiry time."""

    owner: str
    expires_at: float


@define
class FakeKeyValueStore:
    """In-memory `KeyValueStore`; its public attributes are the switches."""

    down: bool = False
    """Whether every call fails without having run."""

    delay_s: float = 0.0
    """Duration of each call."""

    lost_answers: int = 0
    """Number of future commits that take effect but get no response."""

    failed_commits: int = 0
    """Number of future commits that fail ambiguously without taking effect."""

    stalled: bool = False
    """Whether watches stay open and yield nothing."""

    calls: int = 0
    """Number of calls so far, for measurements."""

    writes: int = 0
    _values: dict[str, StoredValue] = field(factory=dict)
    _changes: list[StoredValue] = field(factory=list)
    _leases: dict[str, Lease] = field(factory=dict)
    _revision: int = 0

    async def async_get(self, key: str, rank: CallRank) -> StoredValue:
        """Read one key."""
        await self._async_start()
        return self._find(key)

    async def async_list(self, prefix: str, rank: CallRank) -> tuple[StoredValue, ...]:
        """Read all keys with a prefix, in key order."""
        await self._async_start()
        found = sorted(key for key in self._values if key.startswith(prefix))
        return tuple(self._values[key] for key in found)

    async def async_commit(
        self, puts: tuple[Put, ...], rank: CallRank
    ) -> TransactionResult:
        """Write all keys if every one still has its expected revision."""
        await self._async_start()
        if self.failed_commits:
            self.failed_commits -= 1
            raise make_unavailable_error(Verdict.MAY_HAVE_RUN)
        current = tuple(self._find(put.key) for put in puts)
        if any(p.expected != c.revision for p, c in zip(puts, current, strict=True)):
            return TransactionResult(
                succeeded=False, revision=Revision(0), current=current
            )
        self._write(puts)
        if self.lost_answers:
            self.lost_answers -= 1
            raise make_unavailable_error(Verdict.MAY_HAVE_RUN)
        return TransactionResult(succeeded=True, revision=Revision(self._revision))

    async def async_acquire_lease(
        self, key: str, owner: str, ttl_s: float, rank: CallRank
    ) -> bool:
        """Acquire or renew a lease key; return False while another owner has it."""
        await self._async_start()
        now = asyncio.get_running_loop().time()
        lease = self._leases.get(key)
        if lease and lease.owner != owner and lease.expires_at > now:
            return False
        self._leases[key] = Lease(owner, now + ttl_s)
        return True

    async def async_release_lease(self, key: str, owner: str, rank: CallRank) -> None:
        """Release a lease key of this owner."""
        await self._async_start()
        lease = self._leases.get(key)
        if lease and lease.owner == owner:
            del self._leases[key]

    async def watch(self, prefix: str) -> AsyncIterator[StoredValue]:
        """Yield changes under a prefix; may stall, or end without an error."""
        position = len(self._changes)
        while not self.down:
            while not self.stalled and position < len(self._changes):
                change = self._changes[position]
                position += 1
                if change.key.startswith(prefix):
                    yield change
            await asyncio.sleep(WATCH_POLL_S)

    def close(self) -> None:
        """Do nothing; there are no connections."""

    def expire_lease(self, key: str) -> None:
        """Expire a lease now, as if its owner had been paused."""
        self._leases.pop(key, None)

    async def _async_start(self) -> None:
        self.calls += 1
        await asyncio.sleep(self.delay_s)
        if self.down:
            raise make_unavailable_error(Verdict.NOT_RUN)

    def _find(self, key: str) -> StoredValue:
        absent = StoredValue(key=key, value=None, revision=Revision(0))
        return self._values.get(key, absent)

    def _write(self, puts: tuple[Put, ...]) -> None:
        self._revision += 1
        self.writes += 1
        for put in puts:
            if put.value is None:
                self._values.pop(put.key, None)
                change = StoredValue(key=put.key, value=None, revision=Revision(0))
            else:
                change = StoredValue(
                    key=put.key, value=put.value, revision=Revision(self._revision)
                )
                self._values[put.key] = change
            self._changes.append(change)


def make_unavailable_error(verdict: Verdict) -> MangowayError:
    """Return the error of a call without a response."""
    return MangowayError(ErrorCode.PLATFORM_UNAVAILABLE, "no answer", verdict)
