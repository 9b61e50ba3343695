"""The link to the leading scheduler, which relays the state of the store."""

import asyncio
import math
from collections.abc import Callable
from random import Random
from typing import Final

from attrs import define, evolve, field

from ..coordination.mirror import Mirror
from ..coordination.store import NO_REVISION
from ..coordination.view import FleetView
from ..models.fleet import Role
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..util.address import CONNECT_ERRORS, split_address
from ..util.ticks import async_sleep_to_tick
from .connection_backoff import ConnectionBackoff
from .link import Link
from .messages import (
    ClockResponse,
    Heartbeat,
    Hello,
    Message,
    RelayedStatement,
    RetainedItems,
    StoreChanges,
    StoreSnapshot,
)
from .remote_clock import RemoteClock

CHECK_S: Final = 0.1
"""Time between two checks of the link."""

SILENCE_S: Final = 0.5
SILENT_HEARTBEATS: Final = 3.3
"""Silence after which the scheduler counts as lost, in seconds and in heartbeat
periods; the longer one applies. Callers expect the first event within 0.4 s, so waiting
requests can be on time only if the loss is detected before."""

SEED_WAIT_S: Final = 0.6
"""Time after its start in which a process reads the store before it connects to a seed.
A process that has read the store lacks few changes when it connects to the leader. One
that connects to a seed as well receives all keys a second time, mostly from another
data centre."""

MAX_STORE_AGE_S: Final = 0.65
"""Age of the leader's last response from the store, on top of the heartbeat period,
from which followers read the store themselves. A watch of the leader waits up to
0.3 s; the rest is a margin for a slow store."""


@define(eq=False)
class LeaderLink:
    """Keeps a link to the leader, or, at an edge that can't reach it, to a standby."""

    hello: Hello
    view: FleetView
    clock: Callable[[], float]
    on_message: Callable[[Message], None] = lambda message: None
    """Called with each message that is not about the store."""

    on_statement: Callable[[RelayedStatement], None] = lambda message: None
    """Called with each relayed crash statement."""

    on_leading: Callable[[Link], None] = lambda link: None
    """Called with the link when the other end reports that it leads now."""

    on_lost: Callable[[Link], None] = lambda link: None
    """Called with the link when it is lost."""

    mirror: Mirror | None = None
    """Receives the state of the store that the leader relays."""

    seeds: tuple[str, ...] = ()
    """Schedulers to connect to while neither the store nor a leader is known."""

    random: Random = field(factory=Random)

    link: Link | None = field(default=None, init=False)
    leading: bool = field(default=False, init=False)
    """Whether the other end reports that it leads."""

    grants_plain: bool = field(default=False, init=False)
    """Whether the other end grants requests for plain services short of room, and this
    process uses such grants."""

    takes_transfers: bool = field(default=False, init=False)
    """Whether the other end understands reports about transferred streams."""

    _address: str = field(default="", init=False)
    _skipped_until: dict[str, float] = field(factory=dict, init=False)
    """Addresses that were silent or unreachable, and until when they are skipped."""

    _backoff: ConnectionBackoff = field(init=False)
    _remote_clock: RemoteClock | None = field(default=None, init=False)
    """Clock of the other end of the link."""

    _is_handshake_done: bool = field(default=False, init=False)

    _skipped_leader: str | None = field(default=None, init=False)
    """The leader's address while the link is to a standby; empty if there was no
    leader, None if the link is to the leader."""

    _retry_leader_at: float = field(default=0.0, init=False)
    """Time from which the leader is tried again if the standby does not grant."""

    _store_age_s: float = field(default=1e9, init=False)
    _period_s: float = field(default=0.0, init=False)
    """Time between two heartbeats, as reported by the other end."""

    _has_state: bool = field(default=False, init=False)
    _era: int = field(default=0, init=False)
    """Era of the state that the other end relays."""

    _seeds_from: float = field(default=0.0, init=False)
    """Time from which seeds are tried while no configuration is known."""

    _exhausted_until: dict[str, float] = field(factory=dict, init=False)
    """Customers with an exhausted quota, and until when it is exhausted."""

    def __attrs_post_init__(self) -> None:
        self._backoff = ConnectionBackoff(self.random)

    async def async_run(self) -> None:
        """Keep a link to the leader until cancelled."""
        self._seeds_from = self.clock() + SEED_WAIT_S
        while True:
            await self._async_update_connection()
            await async_sleep_to_tick(CHECK_S)

    def close(self, reason: str = "this process stops") -> None:
        """Close the link."""
        if self.link is not None:
            self.link.close(reason)

    def send_statement(self, message: RelayedStatement) -> bool:
        """Send a statement for the other end to relay; False if not connected."""
        if self.link is None or not self.link.is_open:
            return False
        self.link.send(message)
        return True

    def measure_quota_wait(self, customer: str) -> float:
        """Return the seconds until a customer's quota is available again."""
        return max(0.0, self._exhausted_until.get(customer, 0.0) - self.clock())

    def list_exhausted(self) -> list[str]:
        """Return the customers whose quota was exhausted at the last heartbeat."""
        return list(self._exhausted_until)

    @property
    def has_current_state(self) -> bool:
        """Return whether the other end has sent its state of the current era."""
        if self.mirror is None or not self._has_state:
            return False
        return self._era >= self.mirror.era

    def is_fresh(self) -> bool:
        """Return whether the leader has relayed recent state of the store."""
        link = self.link
        # A scheduler that doesn't lead may itself follow this process or another one;
        # then none of them would read the store.
        if link is None or not self.leading or not self._has_state:
            return False
        if self.mirror is not None and not self.has_current_state:
            return False
        return self.measure_age() < MAX_STORE_AGE_S + self._period_s

    def measure_age(self) -> float:
        """Return the seconds since the store last responded to the other end."""
        if self.link is None:
            return math.inf
        return self._store_age_s + self.clock() - self.link.last_received_at

    async def _async_update_connection(self) -> None:
        leader = self.view.leader
        address = self._choose_address()
        if leader is not None and leader.member.incarnation == self.hello.edge:
            # This process is the leader.
            self.close("this process leads")
            return
        if self.link is not None:
            self._check_link(self.link, address)
        if self.link is None and address and not self._is_skipped(address):
            self._skipped_leader = None
            await self._async_connect(address)
        if (
            self.link is None
            and self.hello.requests_grants
            and self.view.table is not None
        ):
            await self._async_connect_standby(address)

    def _check_link(self, link: Link, leader: str) -> None:
        """Close the link if it is silent or should be replaced."""
        if self.clock() - link.last_received_at > self._get_max_silence():
            self._skip(self._address)
            self.close("the scheduler is silent")
        elif self._skipped_leader is None:
            if leader and leader != self._address:
                self.close("another scheduler leads")
        elif leader == self._address:
            self._skipped_leader = None
        elif leader and leader != self._skipped_leader:
            self.close("another scheduler leads")
        elif leader and not self.leading and self.clock() >= self._retry_leader_at:
            self.close("retrying the leader")

    async def _async_connect_standby(self, leader: str) -> None:
        """Connect to a standby, which grants if it has lost the leader as well.

        All edges try the same standby first. A standby that has all requests fills
        runners up to their limits, whereas 200 edges that grant requests locally exceed
        the limit of each runner.
        """
        for address in self._list_standbys(leader):
            if self._is_skipped(address):
                continue
            self._skipped_leader = leader
            # If the leader were skipped beyond this time, the next attempt would
            # connect to a standby again.
            self._retry_leader_at = self._skip(leader)
            await self._async_connect(address)
            if self.link is not None:
                return
            self._skip(address)

    def _list_standbys(self, leader: str) -> list[str]:
        members = sorted(self.view.members.items())
        return [
            each.peer_address
            for _, each in members
            if each.role is Role.SCHEDULER and each.peer_address not in ("", leader)
        ]

    def _skip(self, address: str) -> float:
        """Skip a scheduler for a while; return the end of that time."""
        until = self.clock() + self._backoff.choose_retry_delay()
        self._skipped_until[address] = until
        return until

    def _is_skipped(self, address: str) -> bool:
        return self.clock() < self._skipped_until.get(address, 0.0)

    def _get_max_silence(self) -> float:
        if not self._is_handshake_done:
            return self._backoff.get_handshake_timeout(len(self.view.members))
        return max(SILENCE_S, SILENT_HEARTBEATS * self._period_s)

    def _choose_address(self) -> str:
        """Return the leader's address, or a seed's while no configuration is known."""
        leader = self.view.leader
        if leader is not None and not self.hello.requests_grants:
            if leader.member.host == self.hello.host:
                # The entry belongs to an earlier incarnation, which has ended.
                return ""
        if leader is not None:
            return leader.member.peer_address
        uses_seeds = self.view.table is None and self.clock() >= self._seeds_from
        if uses_seeds and self.seeds and self.link is None:
            return self.random.choice(self.seeds)
        return ""

    async def _async_connect(self, address: str) -> None:
        loop = asyncio.get_running_loop()
        link = Link(self.hello.edge, self._handle_message, self._handle_connection_lost)
        try:
            host, port = split_address(address)
            async with asyncio.timeout(self._backoff.get_connect_timeout()):
                await loop.create_connection(lambda: link, host, port)
        except TimeoutError:
            # The connection is retried soon. Its loss has been logged already.
            self._backoff.record_failure()
            return
        except CONNECT_ERRORS:
            # Nothing listens there, for example during a start, so the backoff does
            # not grow.
            return
        self.link, self._address, self._is_handshake_done = link, address, False
        self.leading, self._has_state, self._store_age_s = False, False, 1e9
        self.grants_plain = self.takes_transfers = False
        known_revision = self.mirror.revision if self.mirror is not None else None
        link.send(evolve(self.hello, revision=known_revision or NO_REVISION))
        if self.mirror is not None:
            self._remote_clock = RemoteClock(self.mirror.boot_clock)
            link.send(self._remote_clock.make_request())
        log_event(log.LinkOpened(peer=address))

    def _handle_message(self, link: Link, message: Message) -> None:
        if isinstance(message, Heartbeat):
            self._is_handshake_done = True
            self._backoff.record_handshake()
            starts_leading = message.leading and not self.leading
            self.leading = message.leading
            self.grants_plain = message.grants_plain and self.hello.grants_plain
            self.takes_transfers |= message.takes_transfers
            self._store_age_s = message.store_age_s
            self._period_s = message.period_s
            self._era = message.era
            if self.mirror is not None:
                self.mirror.learn_era(message.era)
            self._record_known_at(link, message.known_at)
            now = self.clock()
            self._exhausted_until = {
                name: now + wait_s for name, wait_s in message.exhausted
            }
            if message.leading:
                self.view.absent_edges = frozenset(message.absent)
            if starts_leading:
                self.on_leading(link)
        elif isinstance(message, StoreSnapshot | StoreChanges):
            self._handle_state(message)
        elif isinstance(message, RetainedItems):
            if self.mirror is not None:
                self.mirror.apply_retained(message.items)
        elif isinstance(message, ClockResponse):
            if self._remote_clock is not None:
                self._remote_clock.handle_response(message)
        elif isinstance(message, RelayedStatement):
            self.on_statement(message)
        else:
            self.on_message(message)

    def _record_known_at(self, link: Link, known_at: float) -> None:
        """Record the time up to which the other end has relayed all store changes.

        Heartbeats may stay unread for long while this host is suspended. The relevant
        time is therefore when the other end queried the store, converted to the local
        clock, and not when the heartbeat is read.
        """
        clock = self._remote_clock
        if self.mirror is None or clock is None or not self._has_state:
            return
        at = clock.convert(known_at)
        if at is not None and self._era == self.mirror.era:
            self.mirror.advance_known_at(at)
        if clock.should_request():
            link.send(clock.make_request())

    def _handle_state(self, message: StoreSnapshot | StoreChanges) -> None:
        if self.mirror is None:
            return
        if message.retention_s > 0:
            self.mirror.record_relayed_outage(message.retention_s)
        if isinstance(message, StoreSnapshot):
            self.mirror.apply_partial_snapshot(
                message.keys, message.items, message.revision
            )
            self._has_state = True
        elif self._has_state or self.mirror.revision is not None:
            # The first changes on a link start at the revision of the hello.
            self._has_state = True
            self.mirror.apply_changes(message.changes)

    def _handle_connection_lost(self, link: Link, reason: str) -> None:
        if link is not self.link:
            return
        if not self._is_handshake_done:
            self._backoff.record_failure()
        self.link, self.leading, self.grants_plain = None, False, False
        self.takes_transfers = False
        log_event(log.LinkLost(peer=self._address, reason=reason))
        self.on_lost(link)
