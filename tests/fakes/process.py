"""A process that mirrors a store and keeps itself announced in it."""

import asyncio

from mangoway.coordination.leadership import Leadership
from mangoway.coordination.mirror import Mirror
from mangoway.coordination.presence import Presence
from mangoway.coordination.store import Changes, Item, Snapshot
from mangoway.coordination.view import FleetView
from mangoway.daemons.fleet_process import EXPIRE_PERIOD_S
from mangoway.models.fleet import Member, Role
from mangoway.platform.documents import OWN_PREFIX
from mangoway.platform.receiver import StoreReceiver

from .coordination_store import FakeCoordinationStore, FakeStoreClient, loop_clock

ORDER_DELAY_S = 0.5
MAX_FEED_AGE_S = 0.8
"""Age of a leader's last response from which its followers read the store."""


class FakeProcess:
    """The coordination of one process, without listeners."""

    def __init__(
        self,
        store: FakeCoordinationStore,
        host: str,
        role: Role = Role.EDGE,
        incarnation: int = 1,
    ) -> None:
        clock = loop_clock()
        self.client = FakeStoreClient(store)
        self.view = FleetView()
        member = Member(
            host=host,
            role=role,
            data_centre="dc1",
            incarnation=f"inc-{host}-{incarnation}",
            peer_address=f"10.0.0.{ord(host[-1])}:2" if role is Role.SCHEDULER else "",
            caller_address=f"10.0.0.{ord(host[-1])}:1",
        )
        self.key = OWN_PREFIX + member.key
        self.presence = Presence(self.client, member, OWN_PREFIX, clock=clock)
        self.mirror = Mirror(
            self.client,
            StoreReceiver(self.view, clock),
            clock,
            lambda: self.presence.handle_state(self.mirror),
            boot_clock=clock,
        )
        self.leadership = Leadership(
            store=self.client,
            view=self.view,
            presence=self.presence,
            prefix=OWN_PREFIX,
            order_delay_s=ORDER_DELAY_S,
            runners_check_fences=True,
            clock=clock,
            find_item=lambda key: self.mirror.items.get(key),
        )
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.mirror.async_run()),
            loop.create_task(self.presence.async_run()),
            loop.create_task(self._async_expire()),
        ]
        if role is Role.SCHEDULER:
            self.mirror.follower = FakeRelay()
            self.tasks.append(loop.create_task(self.leadership.async_run()))

    async def _async_expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_PERIOD_S)
            self.view.expire_missing(self.mirror.clock())
            self.view.expire_missing_members(self.mirror.clock())

    def kill(self) -> None:
        """End the process without a planned stop."""
        for task in self.tasks:
            task.cancel()


class FakeRelay:
    """Relays the state of a scheduler to the processes that follow it, at once."""

    def __init__(self) -> None:
        self.followers: list[Mirror] = []
        self.scheduler: FakeProcess | None = None
        self.max_age_s = MAX_FEED_AGE_S

    def connect(self, scheduler: FakeProcess, follower: FakeProcess) -> None:
        """Add a follower, and send it the state of the scheduler."""
        self.scheduler = scheduler
        self.followers.append(follower.mirror)
        follower.mirror.feed = FakeFeed(scheduler, follower, self)
        scheduler.mirror.learn_era(follower.mirror.era)
        snapshot = scheduler.mirror.make_snapshot()
        if snapshot is not None:
            self._send_snapshot(follower.mirror, snapshot)
            follower.mirror.apply_retained(
                tuple(scheduler.mirror.restores.retained.values())
            )

    def disconnect(self, follower: FakeProcess) -> None:
        """Remove a follower."""
        if follower.mirror in self.followers:
            self.followers.remove(follower.mirror)
        follower.mirror.feed = None

    def relay_snapshot(self, snapshot: Snapshot) -> None:
        for each in self.followers:
            self._send_snapshot(each, snapshot)

    def relay_changes(self, changes: Changes) -> None:
        for each in self.followers:
            self._relay_retention(each)
            each.apply_changes(changes)

    def relay_retained(self, items: tuple[Item, ...]) -> None:
        for each in self.followers:
            each.apply_retained(items)

    def _relay_retention(self, mirror: Mirror) -> None:
        assert self.scheduler is not None
        retention_s = self.scheduler.view.get_retention_s(mirror.clock())
        if retention_s > 0:
            mirror.record_relayed_outage(retention_s)

    def _send_snapshot(self, mirror: Mirror, snapshot: Snapshot) -> None:
        self._relay_retention(mirror)
        keys = tuple(each.key for each in snapshot.items)
        mirror.apply_partial_snapshot(keys, snapshot.items, snapshot.revision)


class FakeFeed:
    """The link of a follower to the scheduler that it follows."""

    def __init__(
        self, scheduler: FakeProcess, follower: FakeProcess, relay: FakeRelay
    ) -> None:
        self.scheduler = scheduler
        self.follower = follower
        self.relay = relay

    def is_fresh(self) -> bool:
        mirror = self.scheduler.mirror
        if self.scheduler.leadership.fence is None:
            return False
        if mirror.era < self.follower.mirror.era:
            return False
        self.follower.mirror.advance_known_at(mirror.known_at)
        return self.measure_age() < self.relay.max_age_s

    def measure_age(self) -> float:
        mirror = self.scheduler.mirror
        return mirror.clock() - mirror.responded_at
