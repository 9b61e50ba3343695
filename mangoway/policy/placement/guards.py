"""Copies that are relied on when another copy is unloaded."""

from math import inf

from attrs import define

from ...models.artifact import Artifact
from ...models.identifiers import UpstreamId
from .runners import PendingOrder, Runner
from .state import PlacementState


@define
class UnloadCheck:
    """A marked unload that waits until its guards' ledgers were read."""

    runner: Runner
    order: PendingOrder
    waiting: dict[UpstreamId, int]
    """Reads that must come back, by runner."""

    guards: tuple[UpstreamId, ...]
    """Runners whose copies are relied on."""

    def count_read(self, guard: UpstreamId) -> bool:
        """Count a read of a guard's ledger; return whether it was the last one."""
        left = self.waiting.get(guard)
        if left is None:
            return False
        self.waiting[guard] = left - 1
        if left == 1:
            del self.waiting[guard]
        return not self.waiting


def list_guards(
    state: PlacementState, runner: Runner, artifact: Artifact, now: float
) -> list[UpstreamId]:
    """Return other runners with a ready copy, a fresh report and no pending write."""
    return [
        one
        for one in state.copies.list_ready(artifact)
        if one != runner.id
        and state.runners[one].is_fresh(now)
        and state.runners[one].write is None
    ]


def do_guards_suffice(
    state: PlacementState, artifact: Artifact, guards: list[UpstreamId]
) -> bool:
    """Return whether some runners hold the floor of an artifact by themselves."""
    floor = max(1, state.offered.get(artifact, 0))
    spread = state.find_spread(artifact)
    return len(guards) >= floor and len(state.list_data_centres(guards)) >= spread


def drop_replacing(runner: Runner, order: PendingOrder) -> None:
    """Leave the mark of an unsent unload to the evidence if it replaced one.

    The unload that the earlier mark was for may still arrive.
    """
    if order.replaces and runner.unsent.get(order.artifact) == order:
        del runner.unsent[order.artifact]


def give_up(runner: Runner, order: PendingOrder) -> None:
    """Note that a marked unload will not be sent."""
    runner.evidence.unloads.close(order.artifact, order.id, -inf)
    drop_replacing(runner, order)
