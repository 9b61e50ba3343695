"""Command `mangoway losses`."""

from typing import Annotated

import typer

from ..observability.losses import OutcomeCounts, read_lines
from .commands import register_command
from .tables import format_table


def format_losses(outcomes: OutcomeCounts) -> str:
    """Return a table of the outcomes of requests for each route."""
    tables = []
    for route, total in outcomes.list_routes():
        rows = [
            (outcome.value, reason, str(count), f"{100 * count / total:.1f}")
            for outcome, reason, count in outcomes.list_outcomes(route)
        ]
        title = f"{route or 'no route'}: {total} requests"
        tables.append(format_table(title, ("outcome", "reason", "requests", "%"), rows))
    return "\n".join(tables)


def _losses(
    log: Annotated[
        typer.FileBinaryRead,
        typer.Argument(help="File with the log lines of edges; - is standard input."),
    ],
) -> None:
    """Show by route how many requests were not served on time, and why."""
    outcomes = OutcomeCounts()
    for line in read_lines(log):
        outcomes.add(line)
    typer.echo(format_losses(outcomes), nl=False)


register_command("losses", _losses)
