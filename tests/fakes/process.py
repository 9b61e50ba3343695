"""A process that mirrors a store and keeps itself announced in it."""

import asyncio

from mangoway.coordination.mirror import Mirror
from mangoway.coordination.presence import Presence
from mangoway.coordination.view import FleetView
from mangoway.daemons.fleet_process import EXPIRE_PERIOD_S
from mangoway.models.fleet import Member, Role
from mangoway.platform.documents import OWN_PREFIX
from mangoway.platform.receiver import StoreReceiver

from .coordination_store import FakeCoordinationStore, FakeStoreClient, loop_clock


class FakeProcess:
    """The coordination of one edge, without listeners."""

    def __init__(self, store: FakeCoordinationStore, host: str) -> None:
        clock = loop_clock()
        self.client = FakeStoreClient(store)
        self.view = FleetView()
        member = Member(
            host=host,
            role=Role.EDGE,
            data_centre="dc1",
            incarnation=f"inc-{host}",
            peer_address="",
            caller_address=f"{host}:1",
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
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.mirror.async_run()),
            loop.create_task(self.presence.async_run()),
            loop.create_task(self._async_expire()),
        ]

    async def _async_expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_PERIOD_S)
            self.view.expire_missing(self.mirror.clock())
            self.view.expire_missing_members(self.mirror.clock())

    def kill(self) -> None:
        """End the process without a planned stop."""
        for task in self.tasks:
            task.cancel()
