"""The command `mangoway controller`."""

from ..settings.options import make_command
from ..settings.process import ControllerSettings
from .commands import register_command
from .imports import leave_out_tls


def _run(settings: ControllerSettings) -> None:
    leave_out_tls()
    # Imported only here: settings are checked before the clients are loaded.
    from ..daemons import controller

    controller.run(settings)


register_command(
    "controller",
    make_command(ControllerSettings, _run, "Run a controller until it is stopped."),
)
