"""Copies that must remain when another copy is unloaded."""

from math import inf

from attrs import define

from ...models.artifact import Artifact
from ...models.identifiers import UpstreamId
from .runners import PendingOrder, Runner
from .state import PlacementState


@define
class UnloadCheck:
    """A marked unload that waits for reads of the remaining copies' ledgers."""

    runner: Runner
    order: PendingOrder
    pending_reads: dict[UpstreamId, int]
    """Number of ledger reads to wait for, by runner."""

    remaining: tuple[UpstreamId, ...]
    """Runners whose copies must meet the floor after the unload."""

    def count_read(self, upstream_id: UpstreamId) -> bool:
        """Count a read of a runner's ledger; return whether it was the last one."""
        pending = self.pending_reads.get(upstream_id)
        if pending is None:
            return False
        self.pending_reads[upstream_id] = pending - 1
        if pending == 1:
            del self.pending_reads[upstream_id]
        return not self.pending_reads


def list_remaining_copies(
    state: PlacementState, runner: Runner, artifact: Artifact, now: float
) -> list[UpstreamId]:
    """Return other runners with a ready copy, a fresh report and no pending write."""
    return [
        upstream_id
        for upstream_id in state.copies.list_ready(artifact)
        if upstream_id != runner.id
        and state.runners[upstream_id].is_fresh(now)
        and state.runners[upstream_id].pending_write is None
    ]


def is_floor_met(
    state: PlacementState, artifact: Artifact, remaining: list[UpstreamId]
) -> bool:
    """Return whether the remaining copies alone meet the floor of an artifact."""
    floor = max(1, state.offered.get(artifact, 0))
    spread = state.find_spread(artifact)
    return len(remaining) >= floor and len(state.list_data_centres(remaining)) >= spread


def remove_replacement(runner: Runner, order: PendingOrder) -> None:
    """Remove an unsent unload whose mark replaced that of an earlier unload.

    Its mark then stays until a report proves the earlier unload over, since that
    unload may still arrive.
    """
    if order.replaces_mark and runner.unsent_unloads.get(order.artifact) == order:
        del runner.unsent_unloads[order.artifact]


def cancel_unload(runner: Runner, order: PendingOrder) -> None:
    """Record that a marked unload will not be sent."""
    runner.order_tracker.unloads.record_closed(order.artifact, order.id, -inf)
    remove_replacement(runner, order)
