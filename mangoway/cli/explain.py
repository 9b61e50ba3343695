"""The command `mangoway explain`."""

import asyncio
from collections.abc import Iterable
from datetime import UTC, datetime
from typing import Annotated

import typer

from ..peers import peers_pb2 as pb
from ..peers.status import make_query
from ..settings.options import parse_settings
from .commands import register_command
from .inquiry import InquirySettings, async_explain


def format_entries(entries: Iterable[pb.ExplainEntry]) -> str:
    """Return one line for each entry, oldest first."""
    lines = [_format_entry(entry) for entry in entries]
    return "\n".join(lines) + "\n" if lines else "Nothing is known of it any more.\n"


def _format_entry(entry: pb.ExplainEntry) -> str:
    time = datetime.fromtimestamp(entry.time, UTC).isoformat(timespec="milliseconds")
    fields = " ".join(f"{field.name}={field.value}" for field in entry.fields)
    return f"{time} {entry.host} {entry.name} {fields}".rstrip()


def _explain(
    kind: Annotated[str, typer.Argument(help="request, model, runner or version.")],
    identifier: Annotated[str, typer.Argument(help="Its identifier.")],
    peers: Annotated[
        str | None,
        typer.Option(
            help="Peer addresses of any processes, separated by commas. "
            "[MANGOWAY_PEERS]"
        ),
    ] = None,
) -> None:
    """Show why a request, model, runner or version was treated as it was."""
    settings = parse_settings(InquirySettings, {"peers": peers})
    make_query(kind, identifier)
    request = pb.ExplainRequest(kind=kind, id=identifier)
    entries = asyncio.run(async_explain(settings.peers, request))
    typer.echo(format_entries(entries), nl=False)


register_command("explain", _explain)
