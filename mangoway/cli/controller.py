"""Command `mangoway controller`."""

from ..settings.options import make_command
from ..settings.process import ControllerSettings
from .commands import register_command
from .imports import block_ssl_import


def _run(settings: ControllerSettings) -> None:
    block_ssl_import()
    # Imported here so that settings are validated before the clients are loaded.
    from ..daemons import controller

    controller.run(settings)


register_command(
    "controller",
    make_command(ControllerSettings, _run, "Run a controller until it is stopped."),
)
