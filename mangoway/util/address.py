"""Addresses of the form `ip:port`."""

import re
from ipaddress import IPv6Address, ip_address
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    # Not at runtime: a controller keeps asyncio from loading TLS before its import.
    import asyncio

MAX_PORT: Final = 65_535
PORT: Final = re.compile("[0-9]{1,5}")

CONNECT_ERRORS: Final = (OSError, ValueError, TypeError, OverflowError)
"""Errors that opening a connection raises, whatever the address.

Besides the OSError of the network, the standard library raises ValueError for a NUL,
UnicodeError for a name that it can't encode, OverflowError for a port out of range and
TypeError for a name that a socket can't take.
"""


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and port of `ip:port`, without IPv6 brackets.

    Raises:
        ValueError: If the port is missing or not a number.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def get_peer_address(transport: "asyncio.BaseTransport") -> str:
    """Return the address of the other end of a connection; empty if it is unknown."""
    name = transport.get_extra_info("peername")
    return f"{name[0]}:{name[1]}" if name else ""


def parse_address(text: str) -> str:
    """Parse `ip:port` (IPv6 as `[ip]:port`) and return it in canonical form.

    Raises:
        ValueError: If it is not an IP number with a port that can be connected to.
    """
    host, found, port = text.rpartition(":")
    if not found:
        raise ValueError("expected IP number and port, such as 10.0.0.1:80 or [::1]:80")
    bare = host.removeprefix("[").removesuffix("]")
    try:
        ip = ip_address(bare)
    except ValueError:
        raise ValueError("expected an IP number before the port") from None
    if not PORT.fullmatch(port) or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"expected a port from 1 to {MAX_PORT}")
    if isinstance(ip, IPv6Address):
        # The library accepts any text as a zone, line breaks included.
        if ip.scope_id is not None or host != f"[{bare}]":
            raise ValueError("expected IPv6 as [ip]:port, without a zone")
        return f"[{ip}]:{int(port)}"
    if host != bare:
        raise ValueError("expected brackets for IPv6 only")
    return f"{ip}:{int(port)}"
