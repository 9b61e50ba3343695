"""Command `mangoway scheduler`."""

from ..settings.fleet import SchedulerSettings
from ..settings.options import make_command
from .commands import register_command
from .imports import block_ssl_import


def _run(settings: SchedulerSettings) -> None:
    block_ssl_import()
    # Imported here so that settings are validated before the clients are loaded.
    from ..daemons import scheduler

    scheduler.run(settings)


register_command(
    "scheduler",
    make_command(SchedulerSettings, _run, "Run a scheduler until it is stopped."),
)
