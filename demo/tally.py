"""Results of the requests, and checks against the records of the upstreams."""

from collections import Counter
from statistics import quantiles
from typing import Any

from attrs import define, field

from tests.stand_ins.caller import Ending, Result

COLUMNS = ("kind", "sent", *(ending.value for ending in Ending), "p50 ms", "p95 ms")
COLUMN_WIDTH = 10


@define
class Tally:
    """Results by kind of request, and by identifier for non-idempotent calls."""

    results: dict[str, list[Result]] = field(factory=dict)
    non_idempotent: dict[str, Result] = field(factory=dict)
    """Results of calls that may run at most once, by call name and body identifier."""

    def add(self, kind: str, result: Result) -> None:
        """Record the result of a request."""
        self.results.setdefault(kind, []).append(result)

    def count(self, ending: Ending) -> int:
        """Return the number of requests with an ending."""
        all_results = (
            result for results in self.results.values() for result in results
        )
        return sum(result.ending is ending for result in all_results)

    def format_table(self) -> str:
        """Return a table with one row for each kind of request."""
        rows = [COLUMNS, *(self._make_row(kind) for kind in self.results)]
        return "\n".join(
            f"{row[0]:<22}" + "".join(f"{cell!s:>{COLUMN_WIDTH}}" for cell in row[1:])
            for row in rows
        )

    def _make_row(self, kind: str) -> tuple[object, ...]:
        results = self.results[kind]
        endings = Counter(result.ending for result in results)
        durations_ms = [
            answer.duration_s * 1000
            for answer in results
            if answer.ending is Ending.ANSWERED
        ]
        cut_points = (
            quantiles(durations_ms, n=20) if len(durations_ms) > 1 else [0.0] * 19
        )
        counts = (endings[ending] for ending in Ending)
        return (
            kind,
            len(results),
            *counts,
            round(cut_points[9]),
            round(cut_points[18]),
        )

    def list_details(self) -> list[str]:
        """Return the most frequent results other than answers, with their counts."""
        details = Counter(
            f"{kind}: {result.ending.value}: {result.detail}"
            for kind, results in self.results.items()
            for result in results
            if result.ending is not Ending.ANSWERED
        )
        return [f"{count:5} x {detail}" for detail, count in details.most_common(12)]


@define
class Check:
    """A condition that must hold, and its violations."""

    name: str
    violations: list[str]


def check_all(
    tally: Tally, services: list[dict[str, Any]], engines: list[dict[str, Any]]
) -> list[Check]:
    """Compare the results of the callers with the records of the upstreams."""
    runs: Counter[str] = Counter()
    for service in services:
        runs.update(service["runs"])
    wrong, lost = tally.count(Ending.WRONG), tally.count(Ending.LOST)
    return [
        Check("nothing lost", [f"{lost} requests"] if lost else []),
        Check("nothing mixed up", [f"{wrong} answers"] if wrong else []),
        Check("nothing doubled", _list_repeated_runs(tally, runs)),
        Check("answered means run", _list_missing_runs(tally, runs)),
        Check("refused means not run", _list_refused_runs(tally, runs)),
        Check("no memory over its size", _list_over_size(engines)),
    ]


def _list_repeated_runs(tally: Tally, runs: Counter[str]) -> list[str]:
    return [f"{key}: {runs[key]} runs" for key in tally.non_idempotent if runs[key] > 1]


def _list_missing_runs(tally: Tally, runs: Counter[str]) -> list[str]:
    answered = [
        call_id
        for call_id, result in tally.non_idempotent.items()
        if result.ending is Ending.ANSWERED
    ]
    return [key for key in answered if runs[key] == 0]


def _list_refused_runs(tally: Tally, runs: Counter[str]) -> list[str]:
    refused = [
        call_id
        for call_id, result in tally.non_idempotent.items()
        if result.ending is Ending.REJECTED
    ]
    return [
        f"{key}: {tally.non_idempotent[key].detail}" for key in refused if runs[key]
    ]


def _list_over_size(engines: list[dict[str, Any]]) -> list[str]:
    return [
        f"{engine['upstream']}: {engine['peak_mb']} of {engine['memory_mb']} MB"
        for engine in engines
        if engine["over_size"]
    ]
