"""An edge whose streams are transferred and backed up, with two runners or more."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from attrs import define, evolve

from mangoway.policy.scheduling.events import TransferReason, TransferStream

from ..fakes.fleet import make_table
from ..fakes.polling import async_wait_until
from .copying_runner import EVENTS, CopyingRunner
from .world import FIXED, STREAM, EdgeWorld, Reply, make_call, make_event, start_edge

HANDLE_S = 0.4
WHOLE = b"".join(make_event(each) for each in range(1, EVENTS + 1))
"""Body of a complete stream, whichever runners have sent it."""

PART = b"".join(make_event(each) for each in range(1, 4))
"""Body of a stream that ends when its run is stopped."""


@define(eq=False)
class ContinuationWorld:
    """An edge with a source `r1` and a target, or backup, `r2`."""

    edge: EdgeWorld
    source: CopyingRunner
    target: CopyingRunner

    def offer(
        self, *, moves: bool = True, backups: bool = True, handle_s: float = HANDLE_S
    ) -> None:
        """Apply a configuration with an engine that offers moves, backups or both."""
        table = self.edge.view.table
        assert table is not None
        profile = table.services["llm"]
        assert profile.engine is not None
        engine = evolve(profile.engine, moves=moves, backups=backups, handle_s=handle_s)
        services = {"llm": evolve(profile, engine=engine)}
        self.edge.view.apply_table(
            evolve(table, version=table.version + 1, services=services)
        )

    async def async_begin(self, path: str = "/fixed/x") -> "asyncio.Task[Reply]":
        """Send a request, and return its reply once its stream has begun."""
        call = asyncio.create_task(self.edge.async_call(path))
        await self.async_wait_events()
        return call

    async def async_begin_abandoned(self) -> asyncio.StreamWriter:
        """Send a request, and return the connection of a caller that can leave."""
        _, writer = await asyncio.open_connection("127.0.0.1", self.edge.port)
        writer.write(make_call("/fixed/x"))
        await self.async_wait_events()
        return writer

    async def async_wait_events(self) -> None:
        """Wait until the first event has arrived and been delivered."""
        await async_wait_until(lambda: bool(self.edge.grant_provider.first_events))
        await asyncio.sleep(0.02)

    def order(self, target_runner_id: str = "r2", source_runner_id: str = "r1") -> None:
        """Order to transfer the stream."""
        provider = self.edge.grant_provider
        grant_id = provider.grant_requests[-1].request_id
        provider.transfer_handlers[grant_id](
            TransferStream(
                edge="e1",
                request_id=grant_id,
                source_runner_id=source_runner_id,
                target_runner_id=target_runner_id,
                reason=TransferReason.LEAVING,
            )
        )

    def set_versions(self, source: str, target: str) -> None:
        """Let both runners state the versions of their software."""
        for runner_id, version in (("r1", source), ("r2", target)):
            entry = self.edge.view.runners[runner_id]
            self.edge.view.update_runner(evolve(entry, software_version=version))

    def count_credits(self) -> int:
        """Return how many retry credits the service has used."""
        return self.edge.forwarder.retry_budgets.get("llm").repeats

    def get_copy(self, runner: CopyingRunner) -> str:
        """Return the copy from which a runner was last told to continue."""
        _, _, rest = runner.streams[-1].partition("Kv-From: ")
        return rest.split("\r\n")[0]


@asynccontextmanager
async def start_world(
    source: CopyingRunner | None = None,
    target: CopyingRunner | None = None,
    *,
    backup: bool = False,
) -> AsyncIterator[ContinuationWorld]:
    """Start an edge with a source and a target, or with a backup."""
    async with (
        source or CopyingRunner() as first,
        target or CopyingRunner() as second,
        start_edge((FIXED, STREAM)) as edge,
    ):
        table = make_table(2, (FIXED, STREAM))
        profile = table.services["llm"]
        assert profile.engine is not None
        engine = evolve(profile.engine, moves=True, backups=True, handle_s=HANDLE_S)
        services = {"llm": evolve(profile, engine=engine)}
        edge.view.apply_table(evolve(table, services=services))
        edge.add("r1", first.server, "llm")
        edge.add("r2", second.server, "llm")
        if backup:
            edge.grant_provider.backup_runner_id = "r2"
        yield ContinuationWorld(edge, first, second)
