"""Leader election: acquires and holds the scheduler's key in the store."""

import asyncio
import math
from collections.abc import Callable
from typing import Final

from attrs import define, field

from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..util.clock import read_boot_clock
from .members import LEADER_KEY, SHORT_TERM_KEY, encode_member
from .presence import Presence
from .store import (
    NO_REVISION,
    CoordinationStore,
    Item,
    LeaseEndedError,
    Precondition,
    StoreUnavailableError,
    Write,
)
from .view import FleetView, Leader

YIELD_S: Final = 0.4
"""Time for which a scheduler without edges leaves a free key to one that has edges, and
so has the state of their requests. A little longer than the time between two checks."""

CHECK_S: Final = 0.25
"""Time between two checks of whether the key is free; a check needs no store call."""


SHORT_TERM_S: Final = 5.5
"""Time for which a leader must have led for the loads of its predecessors not to count
any more: the window of the weight store, and a margin for the delay of orders."""

REMOVAL_RETRY_S: Final = 1.0
"""Time between two attempts to remove the key of a short term."""


@define(eq=False)
class Leadership:
    """Holder of the scheduler's key, bound to the lease of the process's presence.

    The fence number is derived from the key's revision and era, so that it increases
    with each holder, also after the store came back from a copy. Whether
    this process holds the key is derived from the view and the expiry of the lease, so
    that a lost response to the write needs no further call.

    If runners check fence numbers, the holder continues while the store does not
    respond to renewals. If another process has acquired the key since, the runners that
    received its orders reject the lower fence number, and all other runners still
    belong to this holder.
    """

    store: CoordinationStore
    view: FleetView
    presence: Presence
    prefix: str
    order_delay_s: float
    """Time after a change of holder in which no orders are sent, so that the orders of
    two holders never interleave."""

    runners_check_fences: bool = False
    find_item: Callable[[str], Item | None] = lambda key: None
    """Returns an item of the mirrored state of the store by its key."""

    has_edges: Callable[[], bool] = lambda: True
    """Whether edges already request grants from this process."""

    clock: Callable[[], float] = read_boot_clock
    _free_since: float | None = field(default=None, init=False)
    """When the key was first seen free after another process had held it."""

    _held_fence: int | None = field(default=None, init=False)
    _last_fence: int = field(default=0, init=False)
    """Fence number with which the key was last held under a valid lease."""

    _orders_allowed_from: float = field(default=0.0, init=False)
    _rejected_fence: int = field(default=0, init=False)
    _stopped: bool = field(default=False, init=False)
    _term_began_at: float = field(default=-math.inf, init=False)
    _after_short_term: bool = field(default=False, init=False)
    """Whether the previous leader of the key to be acquired had a short term."""

    _remove_from: float = field(default=0.0, init=False)
    """Time from which the removal of the key of a short term may be attempted."""

    _was_held: bool = field(default=False, init=False)
    """Whether any process has held the key since this process started."""

    async def async_run(self) -> None:
        """Acquire the key whenever it is free, until stopped or cancelled."""
        while not self._stopped:
            self.update()
            self._update_free_since()
            if self._can_acquire() and not self._should_yield():
                await self._async_acquire()
            if self._is_term_long_enough():
                await self._async_end_short_term()
            await asyncio.sleep(CHECK_S)

    @property
    def fence(self) -> int | None:
        """Return the fence number while the key is held; None otherwise."""
        self.update()
        return self._held_fence

    @property
    def is_granting(self) -> bool:
        """Return whether edges should request grants from this process.

        Grants need no lease. Two processes that grant at the same time overload runners
        slightly, and the runners reject the requests for which they have no slot.
        """
        if self._stopped:
            return False
        leader = self.view.leader
        if leader is None:
            return self._last_fence > 0
        return leader.member.incarnation == self.presence.member.incarnation

    @property
    def may_order(self) -> bool:
        """Return whether orders may be sent now."""
        fence = self.fence
        is_delay_over = self.clock() >= self._orders_allowed_from
        return fence is not None and is_delay_over and fence > self._rejected_fence

    @property
    def may_load_from_store(self) -> bool:
        """Return whether loads from the weight store may be ordered.

        The weight store tolerates the first loads of one new leader beside those of the
        previous one, but not of several that follow one another within its window.
        """
        is_term_short = self.clock() < self._term_began_at + SHORT_TERM_S
        return not (is_term_short and self._after_short_term)

    def handle_fence_rejected(self, fence: int) -> None:
        """Stop using a fence number after a runner has seen a higher one."""
        self._rejected_fence = max(self._rejected_fence, fence)
        log_event(log.FenceRefused(fence=fence))
        self.presence.discard_lease("a higher fence number is in use")

    def stop(self) -> None:
        """Stop acquiring the key."""
        self._stopped = True
        self._held_fence = None

    def update(self) -> None:
        """Update the fence number from the view and the lease."""
        fence = self._find_fence()
        if fence == self._held_fence:
            return
        if fence is not None and fence != self._last_fence:
            self._start_term(fence)
        elif fence is None and self._held_fence is not None:
            log_event(log.LeadershipLost(fence=self._held_fence))
        self._held_fence = fence

    def _find_fence(self) -> int | None:
        leader = self.view.leader
        own_incarnation = self.presence.member.incarnation
        if (
            self._stopped
            or leader is None
            or leader.member.incarnation != own_incarnation
        ):
            return None
        if leader.lease_id == self.presence.lease_id and self.presence.is_valid():
            return leader.fence
        is_unrenewed = (
            self.presence.failing
            and leader.fence == self._last_fence
            and leader.revision.era >= self.store.era
        )
        return leader.fence if is_unrenewed and self.runners_check_fences else None

    def _start_term(self, fence: int) -> None:
        """Start a term; the previous holder may send orders until the delay is over."""
        self._last_fence = fence
        self._term_began_at = self.clock()
        self._orders_allowed_from = self.clock() + self.order_delay_s
        log_event(log.LeadershipTaken(fence=fence, orders_after_s=self.order_delay_s))

    def _can_acquire(self) -> bool:
        return (
            (self.view.leader is None or self._is_earlier_incarnation(self.view.leader))
            and self.view.table is not None
            and self.presence.is_valid()
        )

    def _update_free_since(self) -> None:
        if self.view.leader is not None:
            self._free_since = None
            self._was_held = True
        elif self._free_since is None and self._was_held:
            self._free_since = self.clock()

    def _should_yield(self) -> bool:
        """Return whether to leave the key to a standby that has edges."""
        if self._free_since is None or self.has_edges():
            return False
        return self.clock() < self._free_since + YIELD_S

    def _is_earlier_incarnation(self, leader: Leader) -> bool:
        """Return whether an earlier incarnation of this process holds the key.

        That incarnation has ended, since this one listens on the same address.
        Therefore its lease need not expire first.
        """
        own = self.presence.member
        same = (leader.member.host, leader.member.peer_address)
        earlier = leader.member.incarnation != own.incarnation
        return earlier and same == (own.host, own.peer_address)

    async def _async_acquire(self) -> None:
        key = self.prefix + LEADER_KEY
        write = Write(
            key=key,
            value=encode_member(self.presence.member),
            lease_id=self.presence.lease_id,
        )
        leader = self.view.leader
        precondition = Precondition(
            key=key, revision=NO_REVISION if leader is None else leader.revision
        )
        short_term_key = self.prefix + SHORT_TERM_KEY
        short_term = self.find_item(short_term_key)
        self._after_short_term = short_term is not None
        # The precondition holds only if the mirrored state of this key is current.
        short_term_precondition = Precondition(
            key=short_term_key,
            revision=NO_REVISION if short_term is None else short_term.revision,
        )
        short_term_write = Write(
            key=short_term_key, value=self.presence.member.incarnation.encode()
        )
        try:
            result = await self.store.async_commit(
                (precondition, short_term_precondition), (write, short_term_write)
            )
            if not result.committed:
                log_event(
                    log.LeadershipMissed(reason="another process has acquired the key")
                )
        except LeaseEndedError:
            self.presence.discard_lease("it has ended")
        except StoreUnavailableError as error:
            # The write may still have taken effect; in that case the view will show it.
            log_event(log.LeadershipMissed(reason=str(error)))

    def _is_term_long_enough(self) -> bool:
        """Return whether the key of this leader's short term has to be removed."""
        now = self.clock()
        if self.fence is None or now < self._term_began_at + SHORT_TERM_S:
            return False
        is_written = self.find_item(self.prefix + SHORT_TERM_KEY) is not None
        return is_written and now >= self._remove_from

    async def _async_end_short_term(self) -> None:
        key = self.prefix + SHORT_TERM_KEY
        item = self.find_item(key)
        if item is None:
            return
        self._remove_from = self.clock() + REMOVAL_RETRY_S
        precondition = Precondition(key=key, revision=item.revision)
        try:
            await self.store.async_commit((precondition,), (), (key,))
        except StoreUnavailableError as error:
            # A short term that is not marked as over only delays the next leader.
            log_event(log.ShortTermKept(reason=str(error)))
