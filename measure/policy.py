"""Measure the policies in a simulation and write the results into the pages."""

import sys
import time
from pathlib import Path
from typing import Annotated

import typer

from .campaign import Job, list_cases, list_jobs, merge_cases, run_jobs
from .const import SEEDS
from .plot import draw_scores
from .report import build_tables, write_section
from .score import RunScore

_MAX_PROCESSES = 4
_SITES = ("khangai", "cascadia")


def main(
    pages: Annotated[Path, typer.Option(help="Directory of the pages.")] = Path("docs"),
    processes: Annotated[
        int, typer.Option(min=1, max=_MAX_PROCESSES, help="Number of worker processes.")
    ] = _MAX_PROCESSES,
    faults: Annotated[bool, typer.Option(help="Also measure with faults.")] = True,
    only: Annotated[
        list[str] | None, typer.Option(help="Measure only this policy (repeatable).")
    ] = None,
    seeds: Annotated[
        int,
        typer.Option(min=1, max=len(SEEDS), help="Maximum number of seeds per case."),
    ] = len(SEEDS),
    write: Annotated[
        bool, typer.Option(help="Write the pages, unless --only is used.")
    ] = True,
) -> None:
    """Simulate the demand of both sites with every policy, with and without faults."""
    started_at = time.monotonic()
    cases = list_cases(_SITES, faults)
    if only:
        cases = [case for case in cases if case.policy in only]
    runs: list[tuple[Job, RunScore]] = []
    jobs = list_jobs(cases, seeds)
    for run in run_jobs(jobs, processes):
        runs.append(run)
        print(f"\r{len(runs)}/{len(jobs)} runs", end="", file=sys.stderr, flush=True)
    print(f" in {time.monotonic() - started_at:.0f} s", file=sys.stderr)
    scores = merge_cases(runs)
    tables = build_tables(scores, runs)
    print(tables)
    if write and not only:
        write_section(pages / "POLICY.md", tables)
        draw_scores(pages / "policy.png", scores)


if __name__ == "__main__":
    typer.run(main)
