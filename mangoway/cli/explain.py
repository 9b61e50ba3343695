"""Command `mangoway explain`."""

import asyncio
from collections.abc import Iterable
from datetime import UTC, datetime
from typing import Annotated

import typer

from ..models.errors import MangowayError
from ..peers import peers_pb2 as pb
from ..peers.status import KIND_TRACE, make_query
from ..settings.errors import SettingError
from ..settings.options import parse_settings
from .commands import register_command
from .inquiry import InquirySettings, async_explain


def format_entries(entries: Iterable[pb.ExplainEntry]) -> str:
    """Return one line for each entry, oldest first."""
    lines = [_format_entry(entry) for entry in entries]
    return (
        "\n".join(lines) + "\n"
        if lines
        else "Nothing is known about it; old entries are not kept.\n"
    )


def _format_entry(entry: pb.ExplainEntry) -> str:
    time = datetime.fromtimestamp(entry.time, UTC).isoformat(timespec="milliseconds")
    fields = " ".join(f"{field.name}={field.value}" for field in entry.fields)
    return f"{time} {entry.host} {entry.name} {fields}".rstrip()


def _explain(
    kind: Annotated[
        str, typer.Argument(help="request, model, runner, version or trace.")
    ],
    identifier: Annotated[str, typer.Argument(help="Identifier of that kind.")],
    peers: Annotated[
        str | None,
        typer.Option(
            help="Peer addresses of any processes, separated by commas. "
            "[MANGOWAY_PEERS]"
        ),
    ] = None,
) -> None:
    """Show the decisions on a request, model, runner or version and their reasons.

    For a trace, show its spans.
    """
    settings = parse_settings(InquirySettings, {"peers": peers})
    _check_query(kind, identifier)
    request = pb.ExplainRequest(kind=kind, id=identifier)
    entries = asyncio.run(async_explain(settings.peers, request))
    typer.echo(format_entries(entries), nl=False)


def _check_query(kind: str, identifier: str) -> None:
    if kind == KIND_TRACE:
        return
    try:
        make_query(kind, identifier)
    except MangowayError as error:
        raise SettingError("KIND ID", error.failure.detail) from None


register_command("explain", _explain)
