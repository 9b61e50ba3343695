"""The command `mangoway losses`."""

from typing import Annotated

import typer

from ..observability.losses import Losses, read_lines
from .commands import register_command
from .tables import format_table


def format_losses(losses: Losses) -> str:
    """Return a table for each route."""
    tables = []
    for route, total in losses.list_routes():
        rows = [
            (loss.value, reason, str(count), f"{100 * count / total:.1f}")
            for loss, reason, count in losses.list_causes(route)
        ]
        title = f"{route or 'no route'}: {total} requests"
        tables.append(format_table(title, ("outcome", "reason", "requests", "%"), rows))
    return "\n".join(tables)


def _losses(
    log: Annotated[
        typer.FileBinaryRead,
        typer.Argument(
            help="File with the log lines of edges; - reads standard input."
        ),
    ],
) -> None:
    """Say why requests were not served on time, by route, from the edges' logs."""
    losses = Losses()
    for line in read_lines(log):
        losses.add(line)
    typer.echo(format_losses(losses), nl=False)


register_command("losses", _losses)
