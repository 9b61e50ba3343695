"""Command `mangoway gateway`."""

from ..settings.options import make_command
from ..settings.process import GatewaySettings
from .commands import register_command


def _run(settings: GatewaySettings) -> None:
    # Imported here so that settings are validated before the servers are loaded.
    from ..daemons import gateway

    gateway.run(settings)


register_command(
    "gateway", make_command(GatewaySettings, _run, "Run a gateway until it is stopped.")
)
