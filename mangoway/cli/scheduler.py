"""The command `mangoway scheduler`."""

from ..settings.fleet import SchedulerSettings
from ..settings.options import make_command
from .commands import register_command
from .imports import leave_out_tls


def _run(settings: SchedulerSettings) -> None:
    leave_out_tls()
    # Imported only here: settings are checked before the clients are loaded.
    from ..daemons import scheduler

    scheduler.run(settings)


register_command(
    "scheduler",
    make_command(SchedulerSettings, _run, "Run a scheduler until it is stopped."),
)
