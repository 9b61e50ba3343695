"""Addresses: an IP number and a port in one text."""


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of `ip:port`, without the brackets of an IPv6 number."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
