"""Reads fields of decoded documents, and refuses those of another type."""

from collections.abc import Mapping
from typing import Any


class DocumentError(Exception):
    """A document of the platform can't be read."""


def read_object(value: Any, what: str) -> Mapping[str, Any]:
    """Return a value that must be an object.

    Raises:
        DocumentError: If it is none.
    """
    if not isinstance(value, dict):
        raise DocumentError(f"{what} is no object")
    return value


def read_list(value: Any, what: str) -> list[Any]:
    """Return a value that must be a list; a missing one is empty.

    Raises:
        DocumentError: If it is none.
    """
    if value is None:
        return []
    if not isinstance(value, list):
        raise DocumentError(f"{what} is no list")
    return value


def read_text(fields: Mapping[str, Any], name: str) -> str:
    """Return a field that must hold text.

    Raises:
        DocumentError: If it is missing, empty or of another type.
    """
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise DocumentError(f"{name} is no text: {value!r}")
    return value


def read_integer(
    fields: Mapping[str, Any], name: str, default: int | None = None
) -> int:
    """Return a field that must hold a whole number.

    Args:
        fields: The document.
        name: Name of the field.
        default: Value of a missing field; None if it must be there.

    Raises:
        DocumentError: If it is missing or of another type.
    """
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise DocumentError(f"{name} is no whole number: {value!r}")
    return value


def read_number(fields: Mapping[str, Any], name: str) -> float | None:
    """Return a field that must hold a number; None if it is missing.

    Raises:
        DocumentError: If it is of another type.
    """
    value = fields.get(name)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise DocumentError(f"{name} is no number: {value!r}")
    return float(value)
