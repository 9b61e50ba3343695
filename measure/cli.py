"""The command line of the measurements."""

import asyncio
import sys
import time
from pathlib import Path
from typing import Annotated

import typer

from .campaign import Job, list_cases, merge_cases, run_cases
from .const import SEEDS
from .plot import draw_scores
from .report import build_tables, write_section
from .score import RunScore

app = typer.Typer(no_args_is_help=True, add_completion=False)
_MAX_PROCESSES = 4
_SITES = ("khangai", "cascadia")


@app.callback()
def main() -> None:
    """Measure the policy and write the figures into the pages."""


@app.command()
def policy(
    pages: Annotated[Path, typer.Option(help="Folder of the pages.")] = Path("docs"),
    processes: Annotated[
        int, typer.Option(min=1, max=_MAX_PROCESSES, help="Processes to run in.")
    ] = _MAX_PROCESSES,
    faults: Annotated[bool, typer.Option(help="Also measure with faults.")] = True,
    only: Annotated[
        list[str] | None, typer.Option(help="Measure only this policy (repeatable).")
    ] = None,
    seeds: Annotated[
        int, typer.Option(min=1, max=len(SEEDS), help="Number of seeds.")
    ] = len(SEEDS),
    write: Annotated[bool, typer.Option(help="Write the pages.")] = True,
) -> None:
    """Replay both deployments' demand with every policy, with and without faults."""
    began = time.monotonic()
    cases = list_cases(_SITES, faults)
    if only:
        cases = [case for case in cases if case.policy in only]
    runs: list[tuple[Job, RunScore]] = []
    for run in run_cases(cases, processes, SEEDS[:seeds]):
        runs.append(run)
        print(f"\r{len(runs)}/{len(cases) * seeds} runs", end="", file=sys.stderr)
    print(f" in {time.monotonic() - began:.0f} s", file=sys.stderr)
    scores = merge_cases(runs)
    tables = build_tables(scores, runs)
    print(tables)
    if write and not only:
        write_section(pages / "POLICY.md", tables)
        draw_scores(pages / "policy.png", scores)


@app.command()
def path() -> None:
    """Measure what the gateway adds to a request and to a streamed chunk."""
    # Imported here, since the processes it starts must not load the simulation.
    from .path.__main__ import main as measure_path

    asyncio.run(measure_path())


@app.command()
def capacity(
    pages: Annotated[Path, typer.Option(help="Folder of the pages.")] = Path("docs"),
    write: Annotated[bool, typer.Option(help="Write the page.")] = True,
) -> None:
    """Measure how costs grow by size, and work out each role at the target size."""
    # Imported here, since the processes of the other measures must not load it.
    from .capacity.figures import take_figures
    from .capacity.page import build_page

    began = time.monotonic()
    figures = take_figures(lambda line: print(line, file=sys.stderr))
    print(f"{time.monotonic() - began:.0f} s", file=sys.stderr)
    tables = build_page(figures)
    print(tables)
    if write:
        write_section(pages / "CAPACITY.md", tables)
