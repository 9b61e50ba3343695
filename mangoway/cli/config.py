"""Commands `mangoway config check|apply|show|history|status`.

Exit codes: 0 success; 1 rejected or failed; 2 bad flag; 3 conflict with another edit;
4 accepted but not in force everywhere before the timeout; 5 unknown whether it was
accepted.
"""

import asyncio
import time
import uuid
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime
from getpass import getuser
from pathlib import Path
from re import fullmatch
from typing import Annotated, Final, TypeVar

import typer

from ..key_value.registry import make_key_value_store
from ..models.errors import ErrorCode, MangowayError
from ..models.identifiers import ConfigVersion
from ..models.member import MemberState
from ..models.verdict import Verdict
from ..observability.metrics import Metrics
from ..operators.bundle import BASE, ConfigurationBundle, PartName, name_overlay
from ..operators.const import NAME_PATTERN, OVERLAY_PART_PREFIX
from ..operators.parser import parse_base, parse_overlay
from ..operators.repository import ConfigurationRepository, Edit, Snapshot
from ..operators.rollout import (
    HostVersion,
    async_wait_in_force,
    describe_lagging,
    list_lagging,
)
from ..operators.validator import validate_bundle
from ..peers.status import name_role
from ..settings.errors import SettingError
from ..settings.options import parse_settings
from ..settings.process import KeyValueSettings
from .commands import register_group
from .inquiry import InquirySettings, async_read_fleet

EXIT_CODES: Final = {ErrorCode.CONFIG_CONFLICT: 3, ErrorCode.CONFIG_NOT_IN_FORCE: 4}
EXIT_FAILED: Final = 1
EXIT_UNSETTLED: Final = 5

ResultT = TypeVar("ResultT")
KeyValueOption = Annotated[
    str | None,
    typer.Option(help="Addresses of the key-value service. [MANGOWAY_KEY_VALUE]"),
]
PeersOption = Annotated[
    str | None,
    typer.Option(help="Peer addresses of any processes. [MANGOWAY_PEERS]"),
]
PartArgument = Annotated[str, typer.Argument(help="base or overlay/SITE.")]
FileArgument = Annotated[Path, typer.Argument(help="TOML file.")]

group = typer.Typer(no_args_is_help=True, rich_markup_mode=None)


@group.command()
def check(
    base: FileArgument,
    overlays: Annotated[
        list[Path] | None, typer.Argument(help="Overlay files of sites.")
    ] = None,
) -> None:
    """Validate files together, without the key-value service."""
    file_count = _exit_on_error(lambda: _check_files(base, overlays or []))
    typer.echo(f"valid: {file_count} files")


@group.command()
def apply(
    part: PartArgument,
    file: FileArgument,
    author: Annotated[str, typer.Option(help="Author of the edit.")] = "",
    based_on: Annotated[
        int | None, typer.Option(help="Version that the edit is based on.")
    ] = None,
    nonce: Annotated[
        str, typer.Option(help="Nonce of an earlier attempt, to retry it.")
    ] = "",
    wait: Annotated[
        bool, typer.Option("--wait", help="Wait until it is in force everywhere.")
    ] = False,
    timeout_s: Annotated[float, typer.Option(help="Seconds to wait.")] = 30.0,
    key_value: KeyValueOption = None,
    peers: PeersOption = None,
) -> None:
    """Put a new version of a document in force."""
    inquiry = parse_settings(InquirySettings, {"peers": peers}) if wait else None
    edit = Edit(
        part=_parse_part(part),
        text=_exit_on_error(lambda: _read_part(_parse_part(part), file)),
        nonce=nonce or uuid.uuid4().hex,
        edited_at=time.time(),
        based_on=None if based_on is None else ConfigVersion(based_on),
    )
    record = _run(key_value, lambda repo: repo.async_apply(edit, author or getuser()))
    typer.echo(f"accepted: version {record.version}")
    if inquiry is None:
        return
    waiting = async_wait_in_force(
        lambda: _async_read_versions(inquiry), record.version, timeout_s
    )
    count = _exit_on_error(lambda: asyncio.run(waiting))
    typer.echo(f"in force: version {record.version} in {count} processes")


@group.command()
def show(
    part: Annotated[
        str | None, typer.Argument(help="base or overlay/SITE; all if not given.")
    ] = None,
    key_value: KeyValueOption = None,
) -> None:
    """Show the versions in force, or the text of one document."""
    wanted = None if part is None else _parse_part(part)
    snapshot = _run(key_value, lambda repo: repo.async_read_snapshot())
    if wanted is None:
        typer.echo(format_parts(snapshot), nl=False)
    else:
        typer.echo(snapshot.bundle.find_text(wanted), nl=False)


@group.command()
def history(key_value: KeyValueOption = None) -> None:
    """Show the history of edits, latest first."""
    snapshot = _run(key_value, lambda repo: repo.async_read_snapshot())
    typer.echo(format_history(snapshot), nl=False)


@group.command()
def status(key_value: KeyValueOption = None, peers: PeersOption = None) -> None:
    """Show in how many processes the latest version is in force, and which lag."""
    inquiry = parse_settings(InquirySettings, {"peers": peers})
    head = _run(key_value, lambda repo: repo.async_read_head())
    hosts = _exit_on_error(lambda: asyncio.run(_async_read_versions(inquiry)))
    lagging = list_lagging(hosts, head.version)
    typer.echo(
        f"version {head.version}: in force in {len(hosts) - len(lagging)} processes"
    )
    if lagging:
        typer.echo(f"lagging: {describe_lagging(lagging)}")
        raise typer.Exit(EXIT_CODES[ErrorCode.CONFIG_NOT_IN_FORCE])


def format_parts(snapshot: Snapshot) -> str:
    """Return the version in force and the version of each document."""
    lines = [f"version {snapshot.head.version}"]
    lines += [f"{name} {version}" for name, version in snapshot.head.parts.items()]
    return "\n".join(lines) + "\n"


def format_history(snapshot: Snapshot) -> str:
    """Return one line for each kept edit, latest first."""
    lines = []
    for record in reversed(snapshot.history):
        edited_at = datetime.fromtimestamp(record.edited_at, UTC)
        hunks = record.delta.hunks if record.delta else ()
        inserted = sum(len(hunk.inserted) for hunk in hunks)
        removed = sum(hunk.removed for hunk in hunks)
        change = f"+{inserted} -{removed} lines" if record.delta else "large change"
        time_text = edited_at.isoformat(timespec="seconds")
        lines.append(
            f"{record.version} {time_text} {record.author} {record.part} {change}"
        )
    return "".join(f"{line}\n" for line in lines)


def _check_files(base: Path, overlays: list[Path]) -> int:
    version = ConfigVersion(1)
    text = _read_part(BASE, base)
    bundle = ConfigurationBundle().replace_part(BASE, text, version)
    for overlay in overlays:
        part = name_overlay(str(overlay))
        bundle = bundle.replace_part(part, _read_part(part, overlay), version)
    validate_bundle(bundle)
    return 1 + len(overlays)


def _read_part(part: PartName, file: Path) -> str:
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise MangowayError(
            ErrorCode.CONFIG_MALFORMED, f"{file}: can't be read: {error}"
        ) from error
    if part == BASE:
        parse_base(text, str(file))
    else:
        parse_overlay(text, str(file))
    return text


def _parse_part(text: str) -> PartName:
    site = text.removeprefix(OVERLAY_PART_PREFIX)
    is_overlay = site != text and fullmatch(NAME_PATTERN, site) is not None
    if text != BASE and not is_overlay:
        raise SettingError("PART", f"expected base or overlay/SITE, not {text!r}")
    return PartName(text)


def _run(
    key_value: str | None,
    call: Callable[[ConfigurationRepository], Awaitable[ResultT]],
) -> ResultT:
    settings = parse_settings(KeyValueSettings, {"key_value": key_value})

    async def async_call() -> ResultT:
        store = make_key_value_store(settings, Metrics())
        try:
            return await call(ConfigurationRepository(store))
        finally:
            store.close()

    return _exit_on_error(lambda: asyncio.run(async_call()))


def _exit_on_error(action: Callable[[], ResultT]) -> ResultT:
    try:
        return action()
    except MangowayError as error:
        typer.echo(f"mangoway: {' '.join(str(error).split())}", err=True)
        raise typer.Exit(find_exit_code(error)) from None


def find_exit_code(error: MangowayError) -> int:
    """Return the exit code of a failed command."""
    if error.failure.verdict is Verdict.MAY_HAVE_RUN:
        return EXIT_UNSETTLED
    return EXIT_CODES.get(error.code, EXIT_FAILED)


async def _async_read_versions(settings: InquirySettings) -> tuple[HostVersion, ...]:
    fleet = await async_read_fleet(settings.peers)
    silent = set(fleet.unreachable)
    return tuple(
        HostVersion(
            process=f"{host.host} ({name_role(host.role)})",
            version=(
                None
                if host.peer_address in silent
                else ConfigVersion(host.config_version)
            ),
        )
        for host in fleet.hosts
        if host.state == MemberState.LIVE.value
    )


register_group("config", group, "Check, apply and show the configuration.")
