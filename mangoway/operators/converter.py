"""Strict conversion of decoded documents to typed documents."""

from collections.abc import Iterator
from math import isfinite
from typing import Any

from attrs import frozen
from cattrs import Converter
from cattrs.errors import (
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
)

from ..models.errors import ErrorCode

KeyPath = tuple[str, ...]


@frozen
class Fault:
    """Fault in a document, with the path of the key concerned."""

    code: ErrorCode
    path: KeyPath
    detail: str

    def __str__(self) -> str:
        return f"{'.'.join(self.path) or 'document'}: {self.detail}"


def make_converter() -> Converter:
    """Return a converter that rejects unknown keys and does not coerce values."""
    converter = Converter(forbid_extra_keys=True)
    converter.register_structure_hook(int, _read_int)
    converter.register_structure_hook(float, _read_float)
    converter.register_structure_hook(str, _read_str)
    converter.register_structure_hook(bool, _read_bool)
    return converter


def list_faults(error: BaseException, path: KeyPath = ()) -> Iterator[Fault]:
    """Yield every fault in a conversion error, which may be nested."""
    if isinstance(error, ClassValidationError):
        noted, rest = error.group_exceptions()
        for inner, note in noted:
            yield from list_faults(inner, (*path, note.name))
        for inner in rest:
            yield from list_faults(inner, path)
    elif isinstance(error, IterableValidationError):
        entries, rest = error.group_exceptions()
        for inner, entry in entries:
            yield from list_faults(inner, (*path, str(entry.index)))
        for inner in rest:
            yield from list_faults(inner, path)
    elif isinstance(error, ForbiddenExtraKeysError):
        for key in sorted(error.extra_fields):
            yield Fault(ErrorCode.CONFIG_UNKNOWN_KEY, (*path, key), "unknown key")
    elif isinstance(error, KeyError):
        yield Fault(ErrorCode.CONFIG_INVALID, path, "required key is missing")
    elif isinstance(error, AttributeError | TypeError):
        yield Fault(ErrorCode.CONFIG_INVALID, path, "expected a table or a list")
    else:
        yield Fault(ErrorCode.CONFIG_INVALID, path, str(error))


def _read_int(value: Any, _: type) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"expected a whole number, not {value!r}")
    return value


def _read_float(value: Any, _: type) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"expected a number, not {value!r}")
    if not isfinite(value):
        raise ValueError(f"expected a finite number, not {value!r}")
    return float(value)


def _read_str(value: Any, _: type) -> str:
    if not isinstance(value, str):
        raise ValueError(f"expected a text, not {value!r}")
    return value


def _read_bool(value: Any, _: type) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"expected true or false, not {value!r}")
    return value
