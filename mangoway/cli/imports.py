"""Avoids an import that a process does not need."""

import sys
from typing import Any


def block_ssl_import() -> None:
    """Prevent asyncio and grpclib from importing `ssl`, which takes 4.5 MB of memory.

    Both run without it, as on an interpreter that is built without TLS. These processes
    use no TLS: their connections to peers, the key-value service and the engines are in
    plain text.
    """
    modules: dict[str, Any] = sys.modules
    # None makes an import fail; a module that is already loaded stays.
    modules.setdefault("ssl", None)
