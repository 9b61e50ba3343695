"""Status of a controller for operators: hosts, ledgers, copies and reasons."""

from collections.abc import Callable, Iterable
from typing import Final

from attrs import define

from ..models.identifiers import CellId, HostId, IncarnationId
from ..models.order import Ledger
from ..observability.journal import Journal
from ..peers import peers_pb2 as pb
from ..peers.directory import Directory
from ..peers.status import encode_host, explain
from ..policy.placement.runners import CopyState
from ..policy.placement.status import (
    ArtifactStatus,
    PlacementStatus,
    Reason,
    RunnerStatus,
)
from .engine_poller import PolledEngine
from .placement_driver import PlacementDriver

REASON_FOUND: Final = "loaded_before"
"""The copies were loaded before this controller started planning."""

REASON_QUEUED: Final = "queued"
"""The artifact has no copy and waits in the load queue."""


@define(eq=False, kw_only=True)
class ControllerStatus:
    """Answers status requests of operators from the state of one controller."""

    cell: CellId
    host: HostId
    own: IncarnationId
    directory: Directory
    placement: PlacementDriver
    journal: Journal
    clock: Callable[[], float]

    def async_read_status(self) -> pb.StatusReply:
        """Return the state of this controller."""
        status = self.placement.core.build_status(self.clock())
        members = self.directory.list_all()
        own = self.directory.find_incarnation(self.own)
        engines = {
            engine.address.id: engine for engine in self.placement.poller.engines
        }
        return pb.StatusReply(
            self=None if own is None else encode_host(own),
            hosts=[encode_host(member) for member in members],
            runners=[
                _encode_runner(runner, engines.get(runner.upstream_id))
                for runner in status.runners
            ],
            models=[_encode_artifact(each, status) for each in status.artifacts],
            queues=[],
            active=status.is_active,
            cell=self.cell,
        )

    def async_explain(self, request: pb.ExplainRequest) -> pb.ExplainReply:
        """Return the reasons for decisions of this controller."""
        return explain(self.journal, request, self.host)


def _encode_runner(
    runner: RunnerStatus, engine: PolledEngine | None
) -> pb.RunnerStatus:
    message = pb.RunnerStatus(
        runner=runner.upstream_id,
        data_centre=runner.data_centre,
        address="" if engine is None else engine.address.address,
        checks_fences=runner.checks_fences,
        leaving=runner.leaving,
        silent=runner.silent,
    )
    if runner.ledger is not None:
        _add_ledger(message, runner.ledger)
    return message


def _add_ledger(message: pb.RunnerStatus, ledger: Ledger) -> None:
    message.incarnation = ledger.incarnation
    message.size_mb = ledger.size_mb
    message.kv_cache_floor_mb = ledger.kv_cache_floor_mb
    message.committed_mb = ledger.committed_mb
    message.fence = ledger.fence
    groups = (("resident", ledger.resident), ("reserved", ledger.reserved))
    for state, entries in groups:
        for entry in entries:
            message.entries.add(
                artifact=str(entry.artifact),
                memory_mb=entry.memory_mb,
                state=state,
                order=entry.order or "",
            )


def _encode_artifact(
    artifact: ArtifactStatus, status: PlacementStatus
) -> pb.ModelStatus:
    reasons = status.find_reasons(artifact.artifact)
    code, detail = find_reason(artifact, status, reasons)
    return pb.ModelStatus(
        artifact=str(artifact.artifact),
        floor=artifact.floor,
        ready=_list_runners(artifact, CopyState.READY),
        loading=_list_runners(artifact, CopyState.LOADING),
        reason=code,
        detail=detail,
    )


def find_reason(
    artifact: ArtifactStatus, status: PlacementStatus, reasons: Iterable[Reason]
) -> tuple[str, str]:
    """Return the code and detail of the reason for an artifact's placement."""
    for queued in status.queue:
        if queued.artifact == artifact.artifact and queued.blocked_s:
            return "no_room", f"no runner has had room for {queued.blocked_s:.0f} s"
        if queued.artifact == artifact.artifact and not artifact.copies:
            return REASON_QUEUED, queued.rank.name.lower()
    ready = sum(copy.state is CopyState.READY for copy in artifact.copies)
    is_satisfied = ready >= max(1, artifact.floor)
    # Reasons for not loading a copy are outdated once the floor is reached.
    relevant = [each for each in reasons if each.upstream_id or not is_satisfied]
    if relevant:
        return relevant[-1].code, relevant[-1].detail
    return (REASON_FOUND, "") if artifact.copies else ("", "")


def _list_runners(artifact: ArtifactStatus, state: CopyState) -> list[str]:
    return [copy.upstream_id for copy in artifact.copies if copy.state is state]
