"""What was sent and how it ended, and what the upstreams say really happened."""

from collections import Counter
from statistics import quantiles
from typing import Any

from attrs import define, field

from tests.stand_ins.caller import Ending, Result

HEADINGS = ("kind", "sent", *(ending.value for ending in Ending), "p50 ms", "p95 ms")
WIDTH = 10


@define
class Tally:
    """Results by kind of work, and by id of non-idempotent calls."""

    results: dict[str, list[Result]] = field(factory=dict)
    once: dict[str, Result] = field(factory=dict)
    """Results of calls that may run once at most, by their name and body id."""

    def add(self, kind: str, result: Result) -> None:
        """Note how one request ended."""
        self.results.setdefault(kind, []).append(result)

    def count(self, ending: Ending) -> int:
        """Return how many requests ended so."""
        every = (result for results in self.results.values() for result in results)
        return sum(result.ending is ending for result in every)

    def format_table(self) -> str:
        """Return one line for each kind of work."""
        rows = [HEADINGS, *(self._make_row(kind) for kind in self.results)]
        return "\n".join(
            f"{row[0]:<22}" + "".join(f"{cell!s:>{WIDTH}}" for cell in row[1:])
            for row in rows
        )

    def _make_row(self, kind: str) -> tuple[object, ...]:
        results = self.results[kind]
        endings = Counter(result.ending for result in results)
        spent = [r.duration_s * 1000 for r in results if r.ending is Ending.ANSWERED]
        cuts = quantiles(spent, n=20) if len(spent) > 1 else [0.0] * 19
        counts = (endings[ending] for ending in Ending)
        return (kind, len(results), *counts, round(cuts[9]), round(cuts[18]))

    def list_details(self) -> list[str]:
        """Return the endings other than an answer, with how often each came."""
        details = Counter(
            f"{kind}: {result.ending.value}: {result.detail}"
            for kind, results in self.results.items()
            for result in results
            if result.ending is not Ending.ANSWERED
        )
        return [f"{count:5} x {detail}" for detail, count in details.most_common(12)]


@define
class Check:
    """One thing that must hold, and what speaks against it."""

    name: str
    faults: list[str]


def check_all(
    tally: Tally, services: list[dict[str, Any]], engines: list[dict[str, Any]]
) -> list[Check]:
    """Compare what callers were told with what the upstreams really did."""
    runs: Counter[str] = Counter()
    for service in services:
        runs.update(service["runs"])
    wrong, lost = tally.count(Ending.WRONG), tally.count(Ending.LOST)
    return [
        Check("nothing lost", [f"{lost} requests"] if lost else []),
        Check("nothing mixed up", [f"{wrong} answers"] if wrong else []),
        Check("nothing doubled", _list_doubled(tally, runs)),
        Check("answered means run", _list_not_run(tally, runs)),
        Check("refused means not run", _list_run(tally, runs)),
        Check("no memory over its size", _list_over_size(engines)),
    ]


def _list_doubled(tally: Tally, runs: Counter[str]) -> list[str]:
    return [f"{key}: {runs[key]} runs" for key in tally.once if runs[key] > 1]


def _list_not_run(tally: Tally, runs: Counter[str]) -> list[str]:
    answered = [k for k, r in tally.once.items() if r.ending is Ending.ANSWERED]
    return [key for key in answered if runs[key] == 0]


def _list_run(tally: Tally, runs: Counter[str]) -> list[str]:
    refused = [k for k, r in tally.once.items() if r.ending is Ending.REFUSED]
    return [f"{key}: {tally.once[key].detail}" for key in refused if runs[key]]


def _list_over_size(engines: list[dict[str, Any]]) -> list[str]:
    return [
        f"{engine['upstream']}: {engine['peak_mb']} of {engine['memory_mb']} MB"
        for engine in engines
        if engine["over_size"]
    ]
