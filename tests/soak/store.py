"""A stand-in for the platform's store with its published calls, and with faults."""

import asyncio
import base64
import time
from collections.abc import Callable
from enum import Enum
from random import Random
from typing import Any, Final

from aiohttp import web
from attrs import define, evolve, field, frozen

MAX_WAIT_S = 30.0
"""Longest wait of a watch for a change, and delay of each call to a silent store."""

ERA_HEADER: Final = "Store-Era"
OWN_PREFIX: Final = "mangoway/"
"""Prefix of the keys that the system writes."""

SLOW_S = 0.2
"""Delay of each call to a slow store."""


class StoreFault(Enum):
    """Fault of the store."""

    NONE = "none"
    REJECTING = "refusing"
    """Responds with 503, without any effect."""

    SILENT = "silent"
    """Handles calls only after `MAX_WAIT_S`, when their clients have given up."""

    SLOW = "slow"
    LOSING = "losing"
    """Executes writes, and loses half of their responses."""


@define
class StoredItem:
    """A key with its value."""

    key: str
    value: bytes
    revision: int
    created: int
    lease: int

    def encode(self) -> dict[str, Any]:
        """Return the item as calls return it."""
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        }


@frozen(kw_only=True)
class StoreCopy:
    """State that the store can come back with."""

    items: dict[str, StoredItem]
    leases: dict[int, tuple[float, float]]
    revision: int
    next_lease: int
    history: tuple[tuple[int, dict[str, Any]], ...]
    discarded_revision: int
    taken_at: float


@frozen(kw_only=True)
class LostWrites:
    """Writes of the operator and the runners that a restore has undone."""

    items: dict[str, StoredItem]
    """Their items before the restore."""

    removed_keys: frozenset[str]
    """Their keys that had been removed, and that are in the copy."""

    copied_revision: int


@define(eq=False)
class StoreStandIn:
    """Keys, leases and watches in memory, served over HTTP."""

    random: Random
    clock: Callable[[], float] = time.monotonic
    fault: StoreFault = field(default=StoreFault.NONE, init=False)
    absence: StoreFault = field(default=StoreFault.NONE, init=False)
    """How it behaves while it is away before a restore, apart from other faults."""

    items: dict[str, StoredItem] = field(factory=dict, init=False)
    history: list[tuple[int, dict[str, Any]]] = field(factory=list, init=False)
    """Changes with their revisions."""

    revision: int = field(default=1, init=False)
    era: int = field(default=0, init=False)
    """Number of times that the store has come back from a copy."""

    address: str = field(default="", init=False)
    _leases: dict[int, tuple[float, float]] = field(factory=dict, init=False)
    """Time to live and expiry time of each lease."""

    _next_lease: int = field(default=1, init=False)
    _discarded_revision: int = field(default=0, init=False)
    """Revision of the last change that was discarded."""

    _changed: asyncio.Event = field(factory=asyncio.Event, init=False)
    _site: web.AppRunner | None = field(default=None, init=False)

    async def async_start(self) -> None:
        """Listen on a free loopback port."""
        app = web.Application(middlewares=[self._async_apply_fault])
        app.router.add_get("/v1/kv-key", self._async_get)
        app.router.add_get("/v1/kv-range", self._async_range)
        app.router.add_get("/v1/kv-watch", self._async_watch)
        app.router.add_post("/v1/kv-txn", self._async_commit)
        app.router.add_post("/v1/kv-lease", self._async_grant)
        app.router.add_post("/v1/kv-keep/{id}", self._async_renew)
        app.router.add_delete("/v1/kv-lease-end/{id}", self._async_end)
        self._site = web.AppRunner(app, shutdown_timeout=0.1)
        await self._site.setup()
        await web.TCPSite(self._site, "127.0.0.1", 0).start()
        self.address = "{}:{}".format(*self._site.addresses[0][:2])

    async def async_stop(self) -> None:
        """Close all connections."""
        if self._site is not None:
            await self._site.cleanup()

    def expire(self) -> None:
        """Remove expired leases and their keys."""
        for lease, (_, ends_at) in list(self._leases.items()):
            if ends_at < self.clock():
                self._drop_lease(lease)

    def discard_history(self) -> None:
        """Discard the changes so far, so that watches must start from a snapshot."""
        self.history.clear()
        self._discarded_revision = self.revision

    def copy(self) -> StoreCopy:
        """Return a copy of the current state."""
        return StoreCopy(
            items={key: evolve(item) for key, item in self.items.items()},
            leases=dict(self._leases),
            revision=self.revision,
            next_lease=self._next_lease,
            history=tuple(self.history),
            discarded_revision=self._discarded_revision,
            taken_at=self.clock(),
        )

    def restore(self, copy: StoreCopy) -> LostWrites:
        """Come back from a copy: later writes and leases are gone.

        Revisions and lease IDs since the copy are given out again. The leases of the
        copy have as much time left as when it was taken.

        Returns:
            The writes that the operator and the runners make again.
        """
        foreign = {
            key: item
            for key, item in self.items.items()
            if not key.startswith(OWN_PREFIX)
        }
        lost = LostWrites(
            items={
                key: item
                for key, item in foreign.items()
                if key not in copy.items or copy.items[key].value != item.value
            },
            removed_keys=frozenset(
                key
                for key in copy.items
                if key not in foreign and not key.startswith(OWN_PREFIX)
            ),
            copied_revision=copy.revision,
        )
        self.era += 1
        age_s = self.clock() - copy.taken_at
        self.items = {key: evolve(item) for key, item in copy.items.items()}
        self._leases = {
            lease: (ttl_s, ends_at + age_s)
            for lease, (ttl_s, ends_at) in copy.leases.items()
        }
        self.revision, self._next_lease = copy.revision, copy.next_lease
        self.history = list(copy.history)
        self._discarded_revision = copy.discarded_revision
        self._changed.set()
        self._changed = asyncio.Event()
        return lost

    def write_again(self, lost: LostWrites) -> None:
        """Make lost writes again, unless their keys were written since the restore."""
        for key, item in lost.items.items():
            if self._is_unchanged(key, lost):
                self.write(key, item.value)
        for key in lost.removed_keys:
            if self._is_unchanged(key, lost):
                self.remove(key)

    def _is_unchanged(self, key: str, lost: LostWrites) -> bool:
        known = self.items.get(key)
        return known is None or known.revision <= lost.copied_revision

    def write(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key, and return the new revision."""
        self.revision += 1
        known = self.items.get(key)
        created = self.revision if known is None else known.created
        item = StoredItem(key, value, self.revision, created, lease)
        self.items[key] = item
        self._add_change(item.encode())
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add_change({"key": key, "revision": self.revision, "removed": True})

    def _add_change(self, event: dict[str, Any]) -> None:
        self.history.append((self.revision, event))
        self._changed.set()
        self._changed = asyncio.Event()

    def _drop_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [each.key for each in self.items.values() if each.lease == lease]:
            self.remove(key)

    @web.middleware
    async def _async_apply_fault(self, request: web.Request, handler: Any) -> Any:
        self.expire()
        faults = (self.fault, self.absence)
        if StoreFault.REJECTING in faults:
            return web.json_response(
                {}, status=503, headers={ERA_HEADER: str(self.era)}
            )
        if StoreFault.SILENT in faults:
            await asyncio.sleep(MAX_WAIT_S)
        if self.fault is StoreFault.SLOW:
            await asyncio.sleep(SLOW_S)
        response = await handler(request)
        response.headers[ERA_HEADER] = str(self.era)
        writes = request.method != "GET"
        if self.fault is StoreFault.LOSING and writes and self.random.random() < 0.5:
            assert request.transport is not None
            request.transport.abort()
        return response

    async def _async_get(self, request: web.Request) -> web.Response:
        item = self.items.get(request.query["key"])
        if item is None:
            return web.json_response({}, status=404)
        return web.json_response({**item.encode(), "current_rev": self.revision})

    async def _async_range(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix))
        found = [self.items[key].encode() for key in keys if key > after]
        return web.json_response(
            {"items": found, "more_pages": False, "current_rev": self.revision}
        )

    async def _async_watch(self, request: web.Request) -> web.Response:
        after = int(request.query["after"])
        if not self._discarded_revision <= after <= self.revision:
            return web.json_response({}, status=410)
        events = self._list_events(after)
        if not events:
            wait_s = min(MAX_WAIT_S, int(request.query["wait_ms"]) / 1000)
            try:
                await asyncio.wait_for(self._changed.wait(), wait_s)
            except TimeoutError:
                pass
            events = self._list_events(after)
        return web.json_response({"events": events, "current_rev": self.revision})

    def _list_events(self, after: int) -> list[dict[str, Any]]:
        return [event for revision, event in self.history if revision > after]

    async def _async_commit(self, request: web.Request) -> web.Response:
        body = await request.json()
        for each in body.get("precondition") or []:
            known = self.items.get(each["key"])
            if each["revision"] != (0 if known is None else known.revision):
                current = [] if known is None else [known.encode()]
                return web.json_response({"items": current}, status=412)
        writes = body.get("set_keys") or []
        if any(each["lease"] and each["lease"] not in self._leases for each in writes):
            return web.json_response({}, status=404)
        for each in writes:
            value = base64.b64decode(each["value"])
            self.write(each["key"], value, each["lease"])
        for key in body.get("delete_keys") or []:
            self.remove(key)
        return web.json_response({"revision": self.revision})

    async def _async_grant(self, request: web.Request) -> web.Response:
        ttl_ms = float((await request.json())["ttl_ms"])
        lease = self._next_lease
        self._next_lease += 1
        self._leases[lease] = (ttl_ms / 1000, self.clock() + ttl_ms / 1000)
        return web.json_response({"lease": lease, "ttl_ms": ttl_ms})

    async def _async_renew(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["id"])
        if lease not in self._leases:
            return web.json_response({}, status=404)
        ttl_s, _ = self._leases[lease]
        self._leases[lease] = (ttl_s, self.clock() + ttl_s)
        return web.json_response({"ttl_ms": ttl_s * 1000})

    async def _async_end(self, request: web.Request) -> web.Response:
        self._drop_lease(int(request.match_info["id"]))
        return web.json_response({})
