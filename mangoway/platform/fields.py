"""Type-checked access to the fields of decoded documents."""

from collections.abc import Mapping
from typing import Any


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


def read_list(value: Any, description: str) -> list[Any]:
    """Return a value that must be a list; an empty list if it is None.

    Raises:
        DocumentError: If it is not a list.
    """
    if value is None:
        return []
    if not isinstance(value, list):
        raise DocumentError(f"{description} is not a list")
    return value


def read_text(fields: Mapping[str, Any], name: str) -> str:
    """Return a field that must be a non-empty string.

    Raises:
        DocumentError: If it is missing, empty or of another type.
    """
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise DocumentError(f"{name} is not a non-empty string: {value!r}")
    return value


def read_integer(
    fields: Mapping[str, Any], name: str, default: int | None = None
) -> int:
    """Return a field that must be an integer.

    Args:
        fields: The document.
        name: Name of the field.
        default: Value used if the field is missing; None if it is required.

    Raises:
        DocumentError: If it is missing or of another type.
    """
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise DocumentError(f"{name} is not an integer: {value!r}")
    return value


def read_number(fields: Mapping[str, Any], name: str) -> float | None:
    """Return a field that must be a number; None if it is missing.

    Raises:
        DocumentError: If it is of another type.
    """
    value = fields.get(name)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise DocumentError(f"{name} is not a number: {value!r}")
    return float(value)
