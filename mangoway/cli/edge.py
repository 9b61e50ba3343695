"""Command `mangoway edge`."""

from ..settings.fleet import EdgeSettings
from ..settings.options import make_command
from .commands import register_command
from .imports import block_ssl_import


def _run(settings: EdgeSettings) -> None:
    block_ssl_import()
    # Imported here so that settings are validated before the servers are loaded.
    from ..daemons import edge

    edge.run(settings)


register_command(
    "edge", make_command(EdgeSettings, _run, "Run an edge until it is stopped.")
)
