"""Tests of the status that a controller reports to operators."""

import pytest
from attrs import evolve

from mangoway.daemons.controller_status import find_reason
from mangoway.models.artifact import Artifact
from mangoway.models.identifiers import UpstreamId
from mangoway.policy.placement.load_queue import NeedRank
from mangoway.policy.placement.runners import CopyState
from mangoway.policy.placement.status import (
    ArtifactStatus,
    CopyStatus,
    PlacementStatus,
    QueuedLoad,
    Reason,
)

CHAT = Artifact.parse("chat@1")
RUNNER = UpstreamId("r1")
IDLE = PlacementStatus(is_active=True, runners=(), artifacts=(), queue=(), reasons=())


def make_reason(code: str, upstream_id: UpstreamId | None) -> Reason:
    return Reason(at=0.0, artifact=CHAT, upstream_id=upstream_id, code=code, detail="")


NO_ROOM = make_reason("no_room", None)
LOADED = make_reason("load_floor", RUNNER)


class TestFindReason:
    """Reasons for the placement of an artifact."""

    @pytest.mark.parametrize(
        ("copies", "reasons", "code"),
        [
            (1, (NO_ROOM,), "loaded_before"),
            (1, (LOADED, NO_ROOM), "load_floor"),
            (1, (), "loaded_before"),
            (0, (LOADED, NO_ROOM), "no_room"),
            (0, (), ""),
        ],
    )
    def test_reason(self, copies: int, reasons: tuple[Reason, ...], code: str) -> None:
        copy = CopyStatus(upstream_id=RUNNER, state=CopyState.READY)
        artifact = ArtifactStatus(
            artifact=CHAT, floor=1, copies=(copy,) * copies, requests_per_second=0.0
        )
        assert find_reason(artifact, IDLE, reasons)[0] == code

    def test_artifact_in_the_load_queue_is_queued(self) -> None:
        artifact = ArtifactStatus(
            artifact=CHAT, floor=1, copies=(), requests_per_second=0.0
        )
        queued = QueuedLoad(
            artifact=CHAT, rank=NeedRank.LAST_COPY, score=0.0, blocked_s=0.0
        )
        status = evolve(IDLE, queue=(queued,))
        assert find_reason(artifact, status, ()) == ("queued", "last_copy")
