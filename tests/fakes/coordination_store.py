"""An in-memory coordination store in the time of the running event loop."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from attrs import evolve, frozen

from mangoway.coordination.store import (
    NO_REVISION,
    Change,
    Changes,
    CommitResult,
    HistoryLostError,
    Item,
    LeaseEndedError,
    Precondition,
    Snapshot,
    StoreRevision,
    StoreUnavailableError,
    Write,
)

ResultT = TypeVar("ResultT")

RESPONSE_S = 0.004
"""Duration of each call, without the time for which a watch waits."""


@frozen(kw_only=True)
class StoreCopy:
    """State of a store that it can come back with."""

    items: dict[str, Item]
    leases: dict[int, float]
    ttls: dict[int, float]
    revision: int
    history: tuple[Change, ...]


class FakeCoordinationStore:
    """Keys, leases and watches, with faults that tests switch on."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.leases: dict[int, float] = {}
        """Expiry time of each lease."""

        self.revision = 0
        self.current_era = 0
        """Number of times that the store has come back from a copy."""

        self.era = 0
        """Highest era that the client knows."""

        self.calls: list[str] = []
        self.down = False
        self.lose_answers = 0
        """Number of commits that take effect and get no response."""

        self.silent_watches = False
        """Whether watches get no response, and fail some time after their wait."""

        self.watch_delay_s = 0.0
        """Time for which each watch gets no response, whatever has changed."""

        self.stale_list = False
        """Whether lists that may be stale are empty."""

        self.discarded_revision = 0
        """Revision up to which the store no longer knows the changes."""

        self._ttls: dict[int, float] = {}
        self._history: list[Change] = []
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease_id: int = 0) -> None:
        """Write a key, as another client would."""
        self.revision += 1
        revision = self.make_revision()
        item = Item(key=key, value=value, revision=revision, lease_id=lease_id)
        self.items[key] = item
        self._add_change(Change(key=key, revision=revision, item=item))

    def remove(self, key: str) -> None:
        """Remove a key, as another client would."""
        self.revision += 1
        del self.items[key]
        self._add_change(Change(key=key, revision=self.make_revision(), item=None))

    def make_revision(self) -> StoreRevision:
        """Return the current revision."""
        return StoreRevision(self.current_era, self.revision)

    def learn_era(self, era: int) -> None:
        """Learn of an era, as the client does."""
        self.era = max(self.era, era)

    def copy(self) -> StoreCopy:
        """Return a copy of the current state."""
        return StoreCopy(
            items=dict(self.items),
            leases=dict(self.leases),
            ttls=dict(self._ttls),
            revision=self.revision,
            history=tuple(self._history),
        )

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy; revisions and lease IDs since are given out again."""
        self.current_era += 1
        self.items = {key: self._move(item) for key, item in copy.items.items()}
        self.leases = dict(copy.leases)
        self._ttls, self.revision = dict(copy.ttls), copy.revision
        self._history = [
            evolve(
                each,
                revision=StoreRevision(self.current_era, each.revision.number),
                item=None if each.item is None else self._move(each.item),
            )
            for each in copy.history
        ]
        self._changed.set()
        self._changed = asyncio.Event()

    def discard_history(self) -> None:
        """Discard all changes so far."""
        self.discarded_revision = self.revision
        self._history.clear()

    def end_lease(self, lease_id: int) -> None:
        """End a lease, and remove its keys."""
        self.leases.pop(lease_id, None)
        lease_items = [
            each for each in self.items.values() if each.lease_id == lease_id
        ]
        for item in lease_items:
            self.remove(item.key)

    async def async_read(self, key: str) -> Item | None:
        await self._async_begin("read")
        return self.items.get(key)

    async def async_list(self, prefix: str, *, exact: bool = True) -> Snapshot:
        await self._async_begin("list")
        if not exact and self.stale_list:
            return Snapshot(items=(), revision=StoreRevision(self.current_era, 0))
        items = tuple(
            item for key, item in sorted(self.items.items()) if key.startswith(prefix)
        )
        return Snapshot(items=items, revision=self.make_revision())

    async def async_watch(
        self, prefix: str, revision: StoreRevision, wait_s: float
    ) -> Changes:
        await self._async_begin("watch")
        await asyncio.sleep(self.watch_delay_s)
        if not self.discarded_revision <= revision.number <= self.revision:
            raise HistoryLostError(revision)
        end = self._now() + wait_s
        while True:
            self._expire()
            found = tuple(
                each
                for each in self._history
                if each.revision.number > revision.number
                and each.key.startswith(prefix)
            )
            if self.silent_watches:
                await asyncio.sleep(wait_s + 0.6)
                raise StoreUnavailableError("no answer")
            if found or self._now() >= end:
                return Changes(changes=found, revision=self.make_revision())
            await self._async_wait_change(end)
            if self.down:
                raise StoreUnavailableError("cut")
            self.era = max(self.era, self.current_era)

    async def async_commit(
        self,
        preconditions: tuple[Precondition, ...],
        writes: tuple[Write, ...],
        deletes: tuple[str, ...] = (),
    ) -> CommitResult:
        await self._async_begin("commit")
        for each in preconditions:
            item = self.items.get(each.key)
            if (item.revision.number if item else 0) != each.revision.number:
                return CommitResult(committed=False, revision=NO_REVISION)
        for write in writes:
            if write.lease_id and write.lease_id not in self.leases:
                raise LeaseEndedError(write.lease_id)
            self.put(write.key, write.value, write.lease_id)
        for key in deletes:
            if key in self.items:
                self.remove(key)
        if self.lose_answers:
            self.lose_answers -= 1
            raise StoreUnavailableError("the answer was lost")
        return CommitResult(committed=True, revision=self.make_revision())

    async def async_grant_lease(self, ttl_s: float) -> int:
        await self._async_begin("grant")
        return self.grant_lease(ttl_s)

    def grant_lease(self, ttl_s: float) -> int:
        """Create a lease at once."""
        lease_id = 1000 + len(self._ttls)
        self._ttls[lease_id] = ttl_s
        self.leases[lease_id] = self._now() + ttl_s
        return lease_id

    async def async_renew_lease(self, lease_id: int) -> None:
        await self._async_begin("renew")
        if lease_id not in self.leases:
            raise LeaseEndedError(lease_id)
        self.leases[lease_id] = self._now() + self._ttls[lease_id]

    async def async_end_lease(self, lease_id: int) -> None:
        await self._async_begin("end")
        self.end_lease(lease_id)

    def close(self) -> None:
        """Do nothing; there are no connections."""

    async def _async_begin(self, call: str) -> None:
        self.calls.append(call)
        await asyncio.sleep(RESPONSE_S)
        if self.down:
            raise StoreUnavailableError("down")
        self.era = max(self.era, self.current_era)
        self._expire()

    def _expire(self) -> None:
        for lease_id, ends_at in list(self.leases.items()):
            if self._now() >= ends_at:
                self.end_lease(lease_id)

    def _add_change(self, change: Change) -> None:
        self._history.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _async_wait_change(self, end: float) -> None:
        next_end = min([end, *self.leases.values()])
        try:
            async with asyncio.timeout_at(next_end + 0.001):
                await self._changed.wait()
        except TimeoutError:
            return

    def _move(self, item: Item) -> Item:
        """Return an item of a copy in the current era."""
        return evolve(
            item, revision=StoreRevision(self.current_era, item.revision.number)
        )

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


def loop_clock() -> Callable[[], float]:
    """Return the clock of the running event loop."""
    return asyncio.get_running_loop().time


class FakeStoreClient:
    """Client of one process; several clients of a store know eras independently."""

    def __init__(self, store: FakeCoordinationStore) -> None:
        self.store = store
        self.era = 0
        self.cut_off = False

    def learn_era(self, era: int) -> None:
        self.era = max(self.era, era)

    async def async_read(self, key: str) -> Item | None:
        return await self._async_call(self.store.async_read(key))

    async def async_list(self, prefix: str, *, exact: bool = True) -> Snapshot:
        return await self._async_call(self.store.async_list(prefix, exact=exact))

    async def async_watch(
        self, prefix: str, revision: StoreRevision, wait_s: float
    ) -> Changes:
        return await self._async_call(self.store.async_watch(prefix, revision, wait_s))

    async def async_commit(
        self,
        preconditions: tuple[Precondition, ...],
        writes: tuple[Write, ...],
        deletes: tuple[str, ...] = (),
    ) -> CommitResult:
        for each in preconditions:
            if each.revision != NO_REVISION and each.revision.era < self.era:
                return CommitResult(committed=False, revision=NO_REVISION)
        call = self.store.async_commit(preconditions, writes, deletes)
        return await self._async_call(call)

    async def async_grant_lease(self, ttl_s: float) -> int:
        return await self._async_call(self.store.async_grant_lease(ttl_s))

    async def async_renew_lease(self, lease_id: int) -> None:
        await self._async_call(self.store.async_renew_lease(lease_id))

    async def async_end_lease(self, lease_id: int) -> None:
        await self._async_call(self.store.async_end_lease(lease_id))

    def close(self) -> None:
        """Do nothing; there are no connections."""

    async def _async_call(self, call: Coroutine[Any, Any, ResultT]) -> ResultT:
        """Make a call, and learn the era of its response unless there is none."""
        if self.cut_off:
            call.close()
            await asyncio.sleep(RESPONSE_S)
            raise StoreUnavailableError("cut off")
        try:
            result = await call
        except (HistoryLostError, LeaseEndedError):
            self.era = max(self.era, self.store.current_era)
            raise
        self.era = max(self.era, self.store.current_era)
        return result
