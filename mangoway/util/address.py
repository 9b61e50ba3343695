"""Addresses of the form `ip:port`."""


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and port of `ip:port`, without IPv6 brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
