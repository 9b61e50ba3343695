"""The command `mangoway edge`."""

from ..settings.fleet import EdgeSettings
from ..settings.options import make_command
from .commands import register_command
from .imports import leave_out_tls


def _run(settings: EdgeSettings) -> None:
    leave_out_tls()
    # Imported only here: settings are checked before the servers are loaded.
    from ..daemons import edge

    edge.run(settings)


register_command(
    "edge", make_command(EdgeSettings, _run, "Run an edge until it is stopped.")
)
