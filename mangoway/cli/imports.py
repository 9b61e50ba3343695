"""Keeps modules that a process doesn't need from being loaded."""

import sys
from typing import Any


def leave_out_tls() -> None:
    """Keep asyncio and grpclib from loading `ssl`, which takes 4.5 MB.

    Both run without it, as on an interpreter built so. These processes speak no TLS:
    their peers, the key-value service and the engines are reached in plain text.
    """
    modules: dict[str, Any] = sys.modules
    # None makes an import fail; what is loaded already stays.
    modules.setdefault("ssl", None)
