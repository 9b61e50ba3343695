"""A connection to the leading scheduler, which passes on what the store says."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from attrs import define, evolve, field

from ..coordination.mirror import Mirror
from ..coordination.view import FleetView
from ..models.fleet import Role
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..util.address import split_address
from ..util.ticks import async_sleep_to_tick
from .link import Link
from .messages import (
    ClockTold,
    Heartbeat,
    Hello,
    Message,
    RelayedStatement,
    StateChanged,
    StateRead,
)
from .patience import Patience
from .remote_clock import RemoteClock

CHECK_S: Final = 0.1
"""Time between two looks at the connection."""

SILENCE_S: Final = 0.5
SILENT_HEARTBEATS: Final = 3.3
"""Silence from which the scheduler counts as gone, and the same in heartbeats, where
these are rarer. Callers want the first event within 0.4 s, so that what waits can still
be on time only if the loss is noticed before."""

SEED_WAIT_S: Final = 0.6
"""Time from the start in which a process reads the store before it asks a seed. Who has
read it lacks little when it comes to the leader; who asks a seed as well gets all keys
a second time, mostly from another data centre."""

STORE_SILENCE_S: Final = 0.65
"""Age of the leader's last answer from the store, with the time between two heartbeats
on top, from which others read themselves. Its watch waits 0.4 s; the rest is for a slow
store."""


@define(eq=False)
class LeaderLink:
    """Follows the leader, whoever it is."""

    hello: Hello
    view: FleetView
    clock: Callable[[], float]
    on_message: Callable[[Message], None] = lambda message: None
    """Told of messages that are not about the store."""

    on_statement: Callable[[RelayedStatement], None] = lambda message: None
    """Told of statements on crashes."""

    on_leading: Callable[[Link], None] = lambda link: None
    """Told of a connection whose other end begins to lead."""

    on_lost: Callable[[Link], None] = lambda link: None
    mirror: Mirror | None = None
    """Gets what the leader reads in the store."""

    seeds: tuple[str, ...] = ()
    """Addresses of schedulers to ask while neither store nor leader is known."""

    random: Random = field(factory=Random)

    link: Link | None = field(default=None, init=False)
    leading: bool = field(default=False, init=False)
    """Whether the other end says that it leads."""

    _address: str = field(default="", init=False)
    _avoided: dict[str, float] = field(factory=dict, init=False)
    """Addresses that were silent or not reached, and until when they are left alone."""

    _patience: Patience = field(init=False)
    _remote_clock: RemoteClock | None = field(default=None, init=False)
    """That of the other end of the connection."""

    _greeted: bool = field(default=False, init=False)

    _passed_over: str | None = field(default=None, init=False)
    """The leader's address while the connection is to a standby; empty if there was no
    leader, None if the connection is to the leader."""

    _try_leader_at: float = field(default=0.0, init=False)
    """When a standby that doesn't grant is left for the leader again."""

    _store_age_s: float = field(default=1e9, init=False)
    _period_s: float = field(default=0.0, init=False)
    """Time between two heartbeats, as the other end says."""

    _has_state: bool = field(default=False, init=False)
    _seeds_from: float = field(default=0.0, init=False)
    """Time from which seeds are asked while nothing is known."""

    _exhausted_until: dict[str, float] = field(factory=dict, init=False)
    """Customers who have nothing left of their quotas, and until when."""

    def __attrs_post_init__(self) -> None:
        self._patience = Patience(self.random)

    async def async_run(self) -> None:
        """Keep a connection to the leader until cancelled."""
        self._seeds_from = self.clock() + SEED_WAIT_S
        while True:
            await self._async_follow()
            await async_sleep_to_tick(CHECK_S)

    def close(self, reason: str = "this process stops") -> None:
        """Close the connection."""
        if self.link is not None:
            self.link.close(reason)

    def send_statement(self, message: RelayedStatement) -> bool:
        """Tell the other end, which tells all others; False if there is none."""
        if self.link is None or not self.link.is_open:
            return False
        self.link.send(message)
        return True

    def measure_exhausted(self, customer: str) -> float:
        """Return the seconds until a customer has something left of its quota."""
        return max(0.0, self._exhausted_until.get(customer, 0.0) - self.clock())

    def list_exhausted(self) -> list[str]:
        """Return the customers who had nothing left when that was last heard."""
        return list(self._exhausted_until)

    def is_fresh(self) -> bool:
        """Return whether the leader has passed on what the store said lately."""
        link = self.link
        # One that doesn't lead may itself follow others: none of them would read.
        if link is None or not self.leading or not self._has_state:
            return False
        age_s = self._store_age_s + self.clock() - link.last_received_at
        return age_s < STORE_SILENCE_S + self._period_s

    async def _async_follow(self) -> None:
        leader = self.view.leader
        address = self._choose_address()
        if leader is not None and leader.member.incarnation == self.hello.edge:
            # This process leads itself.
            self.close("this process leads")
            return
        if self.link is not None:
            self._check_link(self.link, address)
        if self.link is None and address and not self._is_avoided(address):
            self._passed_over = None
            await self._async_connect(address)
        if (
            self.link is None
            and self.hello.requests_grants
            and self.view.table is not None
        ):
            await self._async_connect_standby(address)

    def _check_link(self, link: Link, leader: str) -> None:
        """Close a connection that is silent, or that another one should replace."""
        if self.clock() - link.last_received_at > self._bear_silence():
            self._avoid(self._address)
            self.close("it is silent")
        elif self._passed_over is None:
            if leader and leader != self._address:
                self.close("another scheduler leads")
        elif leader == self._address:
            self._passed_over = None
        elif leader and leader != self._passed_over:
            self.close("another scheduler leads")
        elif leader and not self.leading and self.clock() >= self._try_leader_at:
            self.close("the leader is tried again")

    async def _async_connect_standby(self, leader: str) -> None:
        """Connect to a standby, which grants places if it has lost the leader as well.

        All edges try the same one first: one that knows of all requests fills runners
        to their limits, where 200 edges that choose alone overfill each of them.
        """
        for address in self._list_standbys(leader):
            if self._is_avoided(address):
                continue
            self._passed_over = leader
            # Left alone for just as long: later it would be passed over again.
            self._try_leader_at = self._avoid(leader)
            await self._async_connect(address)
            if self.link is not None:
                return
            self._avoid(address)

    def _list_standbys(self, leader: str) -> list[str]:
        members = sorted(self.view.members.items())
        return [
            each.peer_address
            for _, each in members
            if each.role is Role.SCHEDULER and each.peer_address not in ("", leader)
        ]

    def _avoid(self, address: str) -> float:
        """Leave a scheduler alone for a while; returns until when."""
        until = self.clock() + self._patience.choose_pause()
        self._avoided[address] = until
        return until

    def _is_avoided(self, address: str) -> bool:
        return self.clock() < self._avoided.get(address, 0.0)

    def _bear_silence(self) -> float:
        if not self._greeted:
            return self._patience.choose_greeting(len(self.view.members))
        return max(SILENCE_S, SILENT_HEARTBEATS * self._period_s)

    def _choose_address(self) -> str:
        """Return the leader's address, or a seed's while nothing is known at all."""
        leader = self.view.leader
        if leader is not None and not self.hello.requests_grants:
            if leader.member.host == self.hello.host:
                # An earlier life of this process, which has ended.
                return ""
        if leader is not None:
            return leader.member.peer_address
        asks_seeds = self.view.table is None and self.clock() >= self._seeds_from
        if asks_seeds and self.seeds and self.link is None:
            return self.random.choice(self.seeds)
        return ""

    async def _async_connect(self, address: str) -> None:
        loop = asyncio.get_running_loop()
        host, port = split_address(address)
        link = Link(self.hello.edge, self._take, self._lose)
        try:
            async with asyncio.timeout(self._patience.choose_timeout()):
                await loop.create_connection(lambda: link, host, port)
        except TimeoutError:
            # Tried again soon; that no scheduler answers was logged when it was lost.
            self._patience.note_failed()
            return
        except OSError:
            # Nobody listens there, as while it starts: no reason to wait for longer.
            return
        self.link, self._address, self._greeted = link, address, False
        self.leading, self._has_state, self._store_age_s = False, False, 1e9
        known = 0 if self.mirror is None else self.mirror.revision or 0
        link.send(evolve(self.hello, revision=known))
        if self.mirror is not None:
            self._remote_clock = RemoteClock(self.mirror.boot_clock)
            link.send(self._remote_clock.ask())
        log_event(log.LinkOpened(peer=address))

    def _take(self, link: Link, message: Message) -> None:
        if isinstance(message, Heartbeat):
            self._greeted = True
            self._patience.note_greeted()
            begins = message.leading and not self.leading
            self.leading = message.leading
            self._store_age_s = message.store_age_s
            self._period_s = message.period_s
            self._note_known(link, message.known_at)
            now = self.clock()
            self._exhausted_until = {
                name: now + wait_s for name, wait_s in message.exhausted
            }
            if begins:
                self.on_leading(link)
        elif isinstance(message, StateRead | StateChanged):
            self._take_state(message)
        elif isinstance(message, ClockTold):
            if self._remote_clock is not None:
                self._remote_clock.take(message)
        elif isinstance(message, RelayedStatement):
            self.on_statement(message)
        else:
            self.on_message(message)

    def _note_known(self, link: Link, known_at: float) -> None:
        """Note up to when the other end has passed on all that the store says.

        Heartbeats may lie unread for long while this host is suspended, so what counts
        is when the other end asked the store, on our clock, and not when they come.
        """
        clock = self._remote_clock
        if self.mirror is None or clock is None or not self._has_state:
            return
        at = clock.convert(known_at)
        if at is not None:
            self.mirror.note_known(at)
        if clock.should_ask():
            link.send(clock.ask())

    def _take_state(self, message: StateRead | StateChanged) -> None:
        if self.mirror is None:
            return
        if message.retention_s > 0:
            self.mirror.receiver.note_outage_ended(message.retention_s)
        if isinstance(message, StateRead):
            self.mirror.take_reading(message.keys, message.items, message.revision)
            self._has_state = True
        elif self._has_state or self.mirror.revision is not None:
            # The first ones on a connection are those since the revision of the hello.
            self._has_state = True
            self.mirror.take_changes(message.changes)

    def _lose(self, link: Link, reason: str) -> None:
        if link is not self.link:
            return
        if not self._greeted:
            self._patience.note_failed()
        self.link, self.leading = None, False
        log_event(log.LinkLost(peer=self._address, reason=reason))
        self.on_lost(link)
