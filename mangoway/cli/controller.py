"""The command `mangoway controller`."""

from importlib import import_module

from ..settings.options import make_command
from ..settings.process import ControllerSettings
from .commands import register_command


def _run(settings: ControllerSettings) -> None:
    # Imported only here: settings are checked before the clients are loaded.
    import_module("mangoway.daemons.controller").run(settings)


register_command(
    "controller",
    make_command(ControllerSettings, _run, "Run a controller until it is stopped."),
)
