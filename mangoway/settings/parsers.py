"""Parsers of settings; they raise `ValueError` with the expected format."""

import ipaddress
import math
import re
from collections.abc import Callable
from typing import Any, Final
from urllib.parse import urlsplit

from ..observability.event_log import LogLevel
from ..util.address import parse_address

NAME_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
TRUE_WORDS: Final = ("1", "true", "yes", "on")
FALSE_WORDS: Final = ("0", "false", "no", "off")


def parse_name(text: str) -> str:
    """Parse a name of a host, data centre, cell or site."""
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError(
            "expected a name of up to 63 letters, digits, dots, dashes and "
            "underscores, the first a letter or digit"
        )
    return text


def parse_addresses(text: str) -> tuple[str, ...]:
    """Parse a comma-separated list of addresses."""
    return tuple(parse_address(part.strip()) for part in text.split(","))


def parse_optional_addresses(text: str) -> tuple[str, ...]:
    """Parse a comma-separated list of addresses, or an empty text."""
    return parse_addresses(text) if text.strip() else ()


def parse_url(text: str) -> str:
    """Parse an http URL whose host is an IP number, so that no DNS lookup is needed."""
    parts = urlsplit(text)
    if parts.scheme != "http":
        raise ValueError("expected an http:// URL")
    try:
        ipaddress.ip_address(parts.hostname or "")
    except ValueError:
        raise ValueError(
            "expected an http:// URL with an IP number as its host"
        ) from None
    # Accessing the port validates it: the library raises ValueError if out of range.
    _ = parts.port
    return text


def parse_flag(text: str) -> bool:
    """Parse a yes-or-no setting."""
    word = text.lower()
    if word in TRUE_WORDS:
        return True
    if word in FALSE_WORDS:
        return False
    raise ValueError("expected true or false")


def parse_optional(parse: Callable[[str], Any], default: Any) -> Callable[[str], Any]:
    """Return a parser that returns the default for an empty text."""

    def parse_or_default(text: str) -> Any:
        return parse(text) if text.strip() else default

    return parse_or_default


def parse_level(text: str) -> LogLevel:
    """Parse a log level."""
    try:
        return LogLevel[text.upper()]
    except KeyError:
        names = ", ".join(level.name.lower() for level in LogLevel)
        raise ValueError(f"expected one of {names}") from None


def float_between(low: float, high: float) -> Callable[[str], float]:
    """Return a parser of numbers in an inclusive range."""

    def parse(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if not low <= value <= high:
            raise ValueError(f"expected a number from {low:g} to {high:g}")
        return value

    return parse


def int_between(low: int, high: int) -> Callable[[str], int]:
    """Return a parser of integers in an inclusive range."""

    def parse(text: str) -> int:
        if not re.fullmatch(r"[0-9]{1,18}", text) or not low <= int(text) <= high:
            raise ValueError(f"expected a whole number from {low} to {high}")
        return int(text)

    return parse
