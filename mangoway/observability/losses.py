"""Why requests were not served on time, counted from the edges' log lines."""

from collections import Counter
from collections.abc import Iterable, Iterator
from enum import Enum
from typing import Any, Final

import orjson
from attrs import define, field

SERVED: Final = "RequestServed"
REJECTED: Final = "RequestRejected"
FAILED: Final = "RequestFailed"
ABANDONED: Final = "RequestAbandoned"

QUEUED_SHARE: Final = 0.5
"""Part of a late first event's time from which waiting for a runner is the cause."""


class Loss(Enum):
    """What became of a request."""

    NONE = "on time"
    QUEUED = "late: waited for a runner"
    SLOW = "late: the runner was slow"
    PAUSED = "late: the stream paused"
    REJECTED = "refused"
    FAILED = "failed"
    ABANDONED = "its caller left"


@define
class Losses:
    """Requests of the log by route and what became of them."""

    counts: Counter[tuple[str, Loss, str]] = field(factory=Counter)
    """Requests by route, loss, and the reason that the line gives."""

    def add(self, line: dict[str, Any]) -> None:
        """Count a line; those that end no request are passed over."""
        loss = judge(line)
        if loss is not None:
            key = (str(line.get("route") or ""), loss, str(line.get("reason") or ""))
            self.counts[key] += 1

    def list_routes(self) -> list[tuple[str, int]]:
        """Return the routes with their requests, most requests first."""
        totals: Counter[str] = Counter()
        for (route, _, _), count in self.counts.items():
            totals[route] += count
        return totals.most_common()

    def list_causes(self, route: str) -> list[tuple[Loss, str, int]]:
        """Return what became of a route's requests, most requests first."""
        rows = [
            (loss, reason, count)
            for (name, loss, reason), count in self.counts.items()
            if name == route
        ]
        return sorted(rows, key=lambda row: -row[2])


def judge(line: dict[str, Any]) -> Loss | None:
    """Return what became of a request; None if the line ends none."""
    kind = line.get("message_type")
    if kind == SERVED:
        return _judge_served(line)
    if kind == REJECTED:
        return Loss.REJECTED
    if kind == FAILED:
        return Loss.FAILED
    return Loss.ABANDONED if kind == ABANDONED else None


def _judge_served(line: dict[str, Any]) -> Loss:
    if line["first_s"] > line["objective_s"]:
        queued = line["queued_s"] > QUEUED_SHARE * line["first_s"]
        return Loss.QUEUED if queued else Loss.SLOW
    gap_objective_s = line["gap_objective_s"]
    if gap_objective_s and line["longest_gap_s"] > gap_objective_s:
        return Loss.PAUSED
    return Loss.NONE


def read_lines(lines: Iterable[bytes]) -> Iterator[dict[str, Any]]:
    """Return the JSON lines of a log; what precedes an object in a line is skipped."""
    for line in lines:
        _, brace, rest = line.partition(b"{")
        try:
            fields = orjson.loads(brace + rest)
        except ValueError:
            # Logs hold lines of other programs too.
            continue
        if isinstance(fields, dict):
            yield fields
