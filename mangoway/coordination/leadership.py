"""Takes and keeps the scheduler's key, of which there is one holder at a time."""

import asyncio
from collections.abc import Callable
from typing import Final

from attrs import define, field

from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..util.clock import read_boot_clock
from .members import LEADER_KEY, encode_member
from .presence import Presence
from .store import (
    CoordinationStore,
    LeaseEndedError,
    Precondition,
    StoreUnavailableError,
    Write,
)
from .view import FleetView, Leader

YIELD_S: Final = 0.4
"""Time for which a scheduler without edges leaves a free key to one that has some and
knows what they run and ask for: a little longer than between two looks."""

RETRY_S: Final = 0.25
"""Pause between two looks at whether the key is free; a look costs no call."""


@define(eq=False)
class Leadership:
    """Holds the scheduler's key with the lease of the process's presence.

    The key's revision is the fence number, which grows with each holder. Whether the
    key is held is read from the view and the lease's own clock, so that a lost answer
    to the write needs no further call.

    Where runners check fence numbers, the holder also goes on while the store answers
    nobody's renewals: if another has taken the key meanwhile, runners that it ordered
    refuse the lower number, and all others are still this holder's.
    """

    store: CoordinationStore
    view: FleetView
    presence: Presence
    prefix: str
    order_delay_s: float
    """Time after a change of holder in which no orders are given: two holders must
    not take turns within it."""

    runners_check_fences: bool = False
    has_edges: Callable[[], bool] = lambda: True
    """Whether edges ask this process for places already."""

    clock: Callable[[], float] = read_boot_clock
    _free_since: float | None = field(default=None, init=False)
    """When the key was first seen free, after somebody else had held it."""

    _held_fence: int | None = field(default=None, init=False)
    _last_fence: int = field(default=0, init=False)
    """The fence number under which the key was last held with a valid lease."""

    _orders_from: float = field(default=0.0, init=False)
    _refused_fence: int = field(default=0, init=False)
    _stopped: bool = field(default=False, init=False)
    _seen_held: bool = field(default=False, init=False)
    """Whether the key was held by anybody in this process's life."""

    async def async_run(self) -> None:
        """Take the key whenever it is free, until cancelled."""
        while not self._stopped:
            self.update()
            self._note_free()
            if self._may_take() and not self._yields():
                await self._async_take()
            await asyncio.sleep(RETRY_S)

    @property
    def fence(self) -> int | None:
        """Return the fence number while the key is held; None otherwise."""
        self.update()
        return self._held_fence

    @property
    def is_granting(self) -> bool:
        """Return whether edges are to ask this process for places.

        Grants need no lease: two processes that grant overfill runners a little, and
        the runners refuse what they have no room for.
        """
        if self._stopped:
            return False
        leader = self.view.leader
        if leader is None:
            return self._last_fence > 0
        return leader.member.incarnation == self.presence.member.incarnation

    @property
    def may_order(self) -> bool:
        """Return whether orders may be given now."""
        fence = self.fence
        waited = self.clock() >= self._orders_from
        return fence is not None and waited and fence > self._refused_fence

    def handle_fence_refused(self, fence: int) -> None:
        """Note that a runner has seen a higher fence number; this one is over."""
        self._refused_fence = max(self._refused_fence, fence)
        log_event(log.FenceRefused(fence=fence))
        self.presence.discard_lease("a higher fence number is in use")

    def stop(self) -> None:
        """Take the key no more."""
        self._stopped = True
        self._held_fence = None

    def update(self) -> None:
        """Take over what the view and the lease say about the key."""
        fence = self._find_fence()
        if fence == self._held_fence:
            return
        if fence is not None and fence != self._last_fence:
            self._begin(fence)
        elif fence is None and self._held_fence is not None:
            log_event(log.LeadershipLost(fence=self._held_fence))
        self._held_fence = fence

    def _find_fence(self) -> int | None:
        leader = self.view.leader
        own = self.presence.member.incarnation
        if self._stopped or leader is None or leader.member.incarnation != own:
            return None
        if leader.lease_id == self.presence.lease_id and self.presence.is_valid():
            return leader.fence
        unanswered = self.presence.failing and leader.fence == self._last_fence
        return leader.fence if unanswered and self.runners_check_fences else None

    def _begin(self, fence: int) -> None:
        """Wait out the holder before, who may still order in good faith."""
        self._last_fence = fence
        self._orders_from = self.clock() + self.order_delay_s
        log_event(log.LeadershipTaken(fence=fence, orders_after_s=self.order_delay_s))

    def _may_take(self) -> bool:
        return (
            (self.view.leader is None or self._is_own_past(self.view.leader))
            and self.view.table is not None
            and self.presence.is_valid()
        )

    def _note_free(self) -> None:
        if self.view.leader is not None:
            self._free_since = None
            self._seen_held = True
        elif self._free_since is None and self._seen_held:
            self._free_since = self.clock()

    def _yields(self) -> bool:
        """Return whether the key is left to a scheduler that stands in."""
        if self._free_since is None or self.has_edges():
            return False
        return self.clock() < self._free_since + YIELD_S

    def _is_own_past(self, leader: Leader) -> bool:
        """Return whether the key is held by an earlier life of this process.

        That one has ended, since this one listens at its address: there is no need to
        wait for the end of its lease.
        """
        own = self.presence.member
        same = (leader.member.host, leader.member.peer_address)
        earlier = leader.member.incarnation != own.incarnation
        return earlier and same == (own.host, own.peer_address)

    async def _async_take(self) -> None:
        key = self.prefix + LEADER_KEY
        write = Write(
            key=key,
            value=encode_member(self.presence.member),
            lease_id=self.presence.lease_id,
        )
        leader = self.view.leader
        held = Precondition(key=key, revision=0 if leader is None else leader.fence)
        try:
            result = await self.store.async_commit((held,), (write,))
            if not result.committed:
                log_event(log.LeadershipMissed(reason="another one has taken the key"))
        except LeaseEndedError:
            self.presence.discard_lease("it has ended")
        except StoreUnavailableError as error:
            # The write may have taken effect: the view shows it.
            log_event(log.LeadershipMissed(reason=str(error)))
