"""The command `mangoway controller`."""

import sys
from typing import Any

from ..settings.options import make_command
from ..settings.process import ControllerSettings
from .commands import register_command


def _run(settings: ControllerSettings) -> None:
    _leave_out_tls()
    # Imported only here: settings are checked before the clients are loaded.
    from ..daemons import controller

    controller.run(settings)


def _leave_out_tls() -> None:
    """Keep asyncio and grpclib from loading `ssl`, which takes 4.5 MB.

    Both run without it, as on an interpreter built so. A controller speaks no TLS:
    its peers, the key-value service and the engines are reached in plain text.
    """
    modules: dict[str, Any] = sys.modules
    # None makes an import fail; what is loaded already stays.
    modules.setdefault("ssl", None)


register_command(
    "controller",
    make_command(ControllerSettings, _run, "Run a controller until it is stopped."),
)
