"""Records of where streams ran, and checks that each run was at one place."""

import time

from attrs import define, field

OVERLAP_S = 0.4
"""Time for which a run may still be in progress at the runner that it has left."""

LEAVING_S = 3.0
"""Time after a runner has announced its leaving from which nothing may reach it."""


@define(eq=False)
class Segment:
    """Part of a stream that one runner generated."""

    runner_id: str
    signature: str
    """Signature of its run."""

    is_continued: bool
    """Whether the run had begun at another runner."""

    after: int = field(default=0, kw_only=True)
    """Number of the event after which the runner generates events."""

    began: float = field(factory=time.monotonic)
    ended: float | None = None


@define(eq=False)
class StreamRecords:
    """The segments of all streams."""

    segments: dict[str, list[Segment]] = field(factory=dict, init=False)
    """Segments by id of the request, in the order in which they began."""

    def begin(self, request_id: str, segment: Segment) -> Segment:
        """Record that a runner begins to generate a stream, or continues it."""
        self.segments.setdefault(request_id, []).append(segment)
        return segment

    def count_continued(self) -> int:
        """Return how often a run has continued."""
        segments = (each for rows in self.segments.values() for each in rows)
        return sum(each.is_continued for each in segments)

    def find_starts(self) -> dict[str, set[int]]:
        """Return the events after which each run began or went on, by its number."""
        starts: dict[str, set[int]] = {}
        for segments in self.segments.values():
            for each in segments:
                starts.setdefault(get_run_number(each.signature), set()).add(each.after)
        return starts

    def check(self, leaving: dict[str, float]) -> list[str]:
        """Return the violated guarantees.

        Args:
            leaving: Time from which each runner has been leaving.
        """
        violations = []
        for request_id, segments in self.segments.items():
            for number, each in enumerate(segments):
                if each.is_continued:
                    violations += _check_overlap(request_id, each, segments[:number])
                    violations += _check_run(request_id, each, segments[:number])
                    violations += _check_leaving(request_id, each, leaving)
        return violations


def get_run_number(signature: str) -> str:
    """Return the number of a run, which its events name."""
    return signature.rpartition(".")[2]


def _check_overlap(request_id: str, later: Segment, before: list[Segment]) -> list[str]:
    """Check that a run no longer was in progress where it had been."""
    return [
        f"overlap: {request_id} ran at {each.runner_id} and {later.runner_id}"
        for each in before
        if (each.ended or time.monotonic()) - later.began > OVERLAP_S
    ]


def _check_run(request_id: str, later: Segment, before: list[Segment]) -> list[str]:
    """Check that a stream continues its last run, not an earlier or another one."""
    if before and before[-1].signature == later.signature:
        return []
    return [f"joined: {request_id} continued another run at {later.runner_id}"]


def _check_leaving(
    request_id: str, later: Segment, leaving: dict[str, float]
) -> list[str]:
    """Check that a run didn't continue at a runner that had long been leaving."""
    left_s = later.began - leaving.get(later.runner_id, later.began)
    if left_s <= LEAVING_S:
        return []
    return [
        f"drain: {request_id} continued at {later.runner_id} {left_s:.1f} s after it "
        "had announced its leaving"
    ]
