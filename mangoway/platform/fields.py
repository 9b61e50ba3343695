"""Type-checked access to the fields of decoded documents.

Other processes write them, so that a value is accepted only if it can be used: numbers
in a range, bounded texts and lists. Messages of errors are bounded too, since each
process logs them.
"""

import reprlib
from collections.abc import Mapping
from typing import Any, Final

from ..util.address import parse_address

MAX_NAME_CHARACTERS: Final = 256
"""Longest name. Keys of the store, which hold the IDs of runners, have 200 bytes."""

MAX_TEXT_CHARACTERS: Final = 4096
"""Longest other text, for example a path."""

MAX_EXACT: Final = 2**53 - 1
"""Largest whole number that JSON readers and floats keep exactly."""

MAX_ENTRIES: Final = 1_000_000
"""Largest list, for example of customers; values of the store are smaller."""


class DocumentError(Exception):
    """A document of the platform is invalid."""


def read_object(value: Any, description: str) -> Mapping[str, Any]:
    """Return a value that must be an object.

    Raises:
        DocumentError: If it is not an object.
    """
    if not isinstance(value, dict):
        raise DocumentError(f"{description} is not an object")
    return value


def read_list(value: Any, description: str, max_length: int = MAX_ENTRIES) -> list[Any]:
    """Return a value that must be a list; an empty list if it is None.

    Raises:
        DocumentError: If it is not a list, or too long.
    """
    if value is None:
        return []
    if not isinstance(value, list):
        raise DocumentError(f"{description} is not a list")
    if len(value) > max_length:
        raise DocumentError(f"{description} has {len(value)} entries")
    return value


def read_text(fields: Mapping[str, Any], name: str) -> str:
    """Return a field that must be a non-empty string of bounded length.

    Raises:
        DocumentError: If it is missing, empty, too long or of another type.
    """
    return check_text(fields.get(name), name)


def check_text(
    value: Any, description: str, max_length: int = MAX_TEXT_CHARACTERS
) -> str:
    """Return a value that must be a non-empty string of bounded length.

    Raises:
        DocumentError: If it is not.
    """
    if not isinstance(value, str) or not value:
        raise DocumentError(
            f"{description} is not a non-empty string: {reprlib.repr(value)}"
        )
    if len(value) > max_length:
        raise DocumentError(f"{description} has {len(value)} characters")
    return value


def read_name(fields: Mapping[str, Any], name: str) -> str:
    """Return a field that must be a name.

    Raises:
        DocumentError: If it is not.
    """
    return check_name(fields.get(name), name)


def check_name(value: Any, description: str) -> str:
    """Return a value that must be a name, which any header field can carry.

    Raises:
        DocumentError: If it is not a non-empty string, is too long, begins or ends with
            a space, or contains a character that can't be printed.
    """
    text = check_text(value, description, MAX_NAME_CHARACTERS)
    if not text.isprintable() or text != text.strip():
        raise DocumentError(f"{description} is not a name: {reprlib.repr(text)}")
    return text


def read_address(fields: Mapping[str, Any], name: str) -> str:
    """Return a field that must be `ip:port`, in canonical form.

    Raises:
        DocumentError: If nothing can listen there.
    """
    text = read_text(fields, name)
    try:
        return parse_address(text)
    except ValueError as error:
        raise DocumentError(
            f"{name} is not an address: {reprlib.repr(text)}: {error}"
        ) from error


def read_integer(
    fields: Mapping[str, Any],
    name: str,
    default: int | None = None,
    *,
    minimum: int = 0,
    maximum: int = MAX_EXACT,
) -> int:
    """Return a field that must be an integer.

    Args:
        fields: The document.
        name: Name of the field.
        default: Value used if the field is missing; None if it is required.
        minimum: Least valid value.
        maximum: Largest valid value.

    Raises:
        DocumentError: If it is missing, of another type or out of range.
    """
    value = fields.get(name, default)
    return check_integer(value, name, minimum=minimum, maximum=maximum)


def check_integer(
    value: Any, description: str, *, minimum: int = 0, maximum: int = MAX_EXACT
) -> int:
    """Return a value that must be an integer in a range.

    Raises:
        DocumentError: If it is not.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise DocumentError(f"{description} is not an integer: {reprlib.repr(value)}")
    if not minimum <= value <= maximum:
        raise DocumentError(
            f"{description} is not from {minimum} to {maximum}: {value}"
        )
    return value


def read_number(
    fields: Mapping[str, Any],
    name: str,
    *,
    minimum: float = 0.0,
    maximum: float = MAX_EXACT,
) -> float | None:
    """Return a field that must be a number; None if it is missing.

    Args:
        fields: The document.
        name: Name of the field.
        minimum: Least valid value.
        maximum: Largest valid value.

    Raises:
        DocumentError: If it is of another type, out of range or not finite.
    """
    value = fields.get(name)
    if value is None:
        return None
    return check_number(value, name, minimum=minimum, maximum=maximum)


def check_number(
    value: Any, description: str, *, minimum: float = 0.0, maximum: float = MAX_EXACT
) -> float:
    """Return a value that must be a number in a range.

    Raises:
        DocumentError: If it is not.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise DocumentError(f"{description} is not a number: {reprlib.repr(value)}")
    # No comparison holds for a NaN.
    if not minimum <= value <= maximum:
        raise DocumentError(
            f"{description} is not from {minimum:g} to {maximum:g}: {value}"
        )
    return float(value)


def read_count(fields: Mapping[str, Any], name: str, default: int | None = None) -> int:
    """Return a field that must be a non-negative number, without its fraction.

    Args:
        fields: The document.
        name: Name of the field.
        default: Value used if the field is missing; None if it is required.

    Raises:
        DocumentError: If it is missing, of another type or out of range.
    """
    value = read_number(fields, name)
    if value is None:
        if default is None:
            raise DocumentError(f"{name} is missing")
        return default
    return int(value)
