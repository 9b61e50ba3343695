"""Counts of requests by outcome and reason, from the log lines of edges."""

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
"""If the wait for a runner took more than this share of the time to a late first event,
the wait is the cause; otherwise the runner was slow."""


class Outcome(Enum):
    """Outcome of a request."""

    ON_TIME = "on time"
    QUEUED = "late: waited for a runner"
    SLOW = "late: the runner was slow"
    PAUSED = "late: the stream paused"
    REJECTED = "refused"
    FAILED = "failed"
    ABANDONED = "its caller left"


@define
class OutcomeCounts:
    """Numbers of logged requests by route and outcome."""

    counts: Counter[tuple[str, Outcome, str]] = field(factory=Counter)
    """Requests by route, outcome and the reason in the log line."""

    def add(self, line: dict[str, Any]) -> None:
        """Count a line, unless it does not report the end of a request."""
        outcome = classify_line(line)
        if outcome is not None:
            key = (str(line.get("route") or ""), outcome, str(line.get("reason") or ""))
            self.counts[key] += 1

    def list_routes(self) -> list[tuple[str, int]]:
        """Return the routes and their numbers of requests, most requests first."""
        totals: Counter[str] = Counter()
        for (route, _, _), count in self.counts.items():
            totals[route] += count
        return totals.most_common()

    def list_outcomes(self, route: str) -> list[tuple[Outcome, str, int]]:
        """Return the outcomes, reasons and counts of a route, most requests first."""
        rows = [
            (outcome, reason, count)
            for (name, outcome, reason), count in self.counts.items()
            if name == route
        ]
        return sorted(rows, key=lambda row: -row[2])


def classify_line(line: dict[str, Any]) -> Outcome | None:
    """Return the outcome in a line; None if it does not report the end of a request."""
    kind = line.get("message_type")
    if kind == SERVED:
        return _classify_served(line)
    if kind == REJECTED:
        return Outcome.REJECTED
    if kind == FAILED:
        return Outcome.FAILED
    return Outcome.ABANDONED if kind == ABANDONED else None


def _classify_served(line: dict[str, Any]) -> Outcome:
    if line["first_s"] > line["objective_s"]:
        queued = line["queued_s"] > QUEUED_SHARE * line["first_s"]
        return Outcome.QUEUED if queued else Outcome.SLOW
    gap_objective_s = line["gap_objective_s"]
    if gap_objective_s and line["longest_gap_s"] > gap_objective_s:
        return Outcome.PAUSED
    return Outcome.ON_TIME


def read_lines(lines: Iterable[bytes]) -> Iterator[dict[str, Any]]:
    """Yield the JSON object of each line that has one; text before it is skipped."""
    for line in lines:
        _, brace, rest = line.partition(b"{")
        try:
            fields = orjson.loads(brace + rest)
        except ValueError:
            # Logs may contain lines of other programs.
            continue
        if isinstance(fields, dict):
            yield fields
