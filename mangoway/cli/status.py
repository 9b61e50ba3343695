"""Command `mangoway status`."""

import asyncio

import typer

from ..peers import peers_pb2 as pb
from ..peers.status import name_role
from ..settings.options import make_command
from .commands import register_command
from .inquiry import FleetStatus, InquirySettings, async_read_fleet
from .tables import format_table


def format_status(status: FleetStatus) -> str:
    """Return the status as text for operators."""
    parts = [_format_hosts(status), _format_planner(status)]
    planner = status.planner
    if planner is not None:
        parts += [_format_runners(planner), _format_models(planner)]
    parts.append(_format_queues(status))
    parts += [f"No answer from {address}.\n" for address in status.unreachable]
    return "\n".join(parts)


def _format_hosts(status: FleetStatus) -> str:
    headings = (
        "host",
        "role",
        "data centre",
        "state",
        "ready",
        "config",
        "incarnation",
    )
    rows = [
        (
            host.host,
            name_role(host.role),
            host.data_centre,
            host.state,
            "yes" if host.ready else "no",
            str(host.config_version),
            host.incarnation,
        )
        for host in status.hosts
    ]
    return format_table("Hosts", headings, rows)


def _format_planner(status: FleetStatus) -> str:
    planner = status.planner
    if planner is None:
        return "No controller plans now; loaded models are still served.\n"
    return f"Cell {planner.cell} is planned by {planner.self.host}.\n"


def _format_runners(planner: pb.StatusReply) -> str:
    headings = ("runner", "data centre", "committed", "size", "fence", "state", "holds")
    rows = [
        (
            runner.runner,
            runner.data_centre,
            f"{runner.committed_mb} MB",
            f"{runner.size_mb} MB",
            f"{runner.fence} {'checked' if runner.checks_fences else 'not checked'}",
            _name_state(runner),
            ", ".join(map(_format_entry, runner.entries)),
        )
        for runner in planner.runners
    ]
    return format_table("Runners", headings, rows)


def _name_state(runner: pb.RunnerStatus) -> str:
    if runner.silent:
        return "silent"
    if runner.leaving:
        return "leaving"
    return "live" if runner.incarnation else "ledger not known"


def _format_entry(entry: pb.ArtifactStatus) -> str:
    mark = "" if entry.state == "resident" else f" ({entry.state})"
    return f"{entry.artifact}{mark}"


def _format_models(planner: pb.StatusReply) -> str:
    headings = ("model", "floor", "ready on", "loading on", "why")
    rows = [
        (
            model.artifact,
            str(model.floor),
            ", ".join(model.ready) or "-",
            ", ".join(model.loading) or "-",
            " ".join(filter(None, (model.reason, model.detail))),
        )
        for model in planner.models
    ]
    return format_table("Models", headings, rows)


def _format_queues(status: FleetStatus) -> str:
    rows = [
        (queue.target, str(queue.urgent), str(queue.patient))
        for queue in status.queues
        if queue.urgent or queue.patient
    ]
    return format_table("Waiting requests", ("target", "urgent", "patient"), rows)


def _run(settings: InquirySettings) -> None:
    status = asyncio.run(async_read_fleet(settings.peers))
    typer.echo(format_status(status), nl=False)


register_command(
    "status",
    make_command(
        InquirySettings,
        _run,
        "Show hosts, runners, models with their copies, and queues.",
    ),
)
