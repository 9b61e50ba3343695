"""Listening sockets."""

import asyncio
import socket
from collections.abc import Callable
from typing import Final

BACKLOG: Final = 1024
"""Maximum number of connections that wait to be accepted. The kernel drops any further
ones, and their clients retry after a second. An asyncio server that is given a listener
resets its backlog to 100 unless this value is passed to the server too."""

ACCEPTED_PER_TURN: Final = 16
"""Connections that a listener accepts in one turn of the event loop. They take
descriptors before their protocols can close others."""


def open_listener(host: str, port: int) -> socket.socket:
    """Return a socket that listens on an address; port 0 selects a free port.

    The protocol is passed explicitly, since asyncio turns Nagle's algorithm off only
    on sockets whose protocol is TCP, and an accepted socket inherits the protocol of
    its listener. With Nagle's algorithm, responses in small parts wait some 40 ms for
    the client's delayed acknowledgements.

    Raises:
        OSError: If the address can't be used; the message contains the address.
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


async def async_serve(
    listener: socket.socket, make_protocol: Callable[[], asyncio.BaseProtocol]
) -> asyncio.Server:
    """Serve the connections of a listener; accept a few in each turn of the loop."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        make_protocol, sock=listener, backlog=ACCEPTED_PER_TURN
    )
    # The server has lowered the number of connections that wait to the same value.
    listener.listen(BACKLOG)
    return server
