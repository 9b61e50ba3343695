"""Listening sockets."""

import socket
from typing import Final

BACKLOG: Final = 1024
"""Connections that wait to be accepted. Beyond it the kernel drops them, and they are
tried again after a second. A loop that is given a listener sets its own, 100, unless
it is told this one."""


def open_listener(host: str, port: int) -> socket.socket:
    """Listen on an address; port 0 takes a free one.

    The protocol is named on purpose: asyncio turns Nagle's algorithm off only on
    sockets that say that they are TCP, and an accepted socket takes after its
    listener. With it on, answers in small parts wait some 40 ms for the caller's
    delayed acknowledgements.

    Raises:
        OSError: If the address can't be used; its text names the address.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except OSError as error:
        listener.close()
        reason = f"cannot listen on {host}:{port}: {error.strerror}"
        raise OSError(error.errno, reason) from error
    return listener
