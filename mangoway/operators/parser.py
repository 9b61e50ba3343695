"""Parsing of the operators' documents."""

import tomllib
from collections.abc import Iterator
from re import fullmatch
from typing import Any, Final, TypeVar

from cattrs.errors import BaseValidationError

from ..models.errors import ErrorCode, MangowayError
from .const import BASE_FILE, MAX_DOCUMENT_BYTES, NAME_PATTERN, OVERLAY_FILE
from .converter import Fault, KeyPath, list_faults, make_converter
from .documents import BaseDocument, OverlayDocument
from .ranges import RANGES

DocumentT = TypeVar("DocumentT")

NAME_TABLES: Final = frozenset(
    {"models", "versions", "adapters", "services", "calls", "callers"}
)
"""Tables whose keys are names chosen by operators."""

_CONVERTER: Final = make_converter()


def parse_base(text: str, file: str = BASE_FILE) -> BaseDocument:
    """Parse a base file.

    Args:
        text: The TOML text.
        file: Name of the file in errors.

    Raises:
        MangowayError: CONFIG_MALFORMED with the line, or CONFIG_UNKNOWN_KEY or
            CONFIG_INVALID with the file and key.
    """
    return _parse(text, file, BaseDocument)


def parse_overlay(text: str, file: str = OVERLAY_FILE) -> OverlayDocument:
    """Parse a site's overlay; see `parse_base` for arguments and errors."""
    return _parse(text, file, OverlayDocument)


def _parse(text: str, file: str, kind: type[DocumentT]) -> DocumentT:
    raw = _decode(text, file)
    try:
        document = _CONVERTER.structure(raw, kind)
    except BaseValidationError as error:
        raise make_error(file, tuple(list_faults(error))) from None
    faults = tuple(_check_table(raw, ()))
    if faults:
        raise make_error(file, faults)
    return document


def make_error(file: str, faults: tuple[Fault, ...]) -> MangowayError:
    """Return the error for a file, with all faults found in it.

    If a key is unknown, its error code takes precedence, since an unknown key hides
    other faults.
    """
    codes = {fault.code for fault in faults}
    unknown = ErrorCode.CONFIG_UNKNOWN_KEY
    code = unknown if unknown in codes else faults[0].code
    lines = "; ".join(str(fault) for fault in faults)
    return MangowayError(code, f"{file}: {lines}")


def _decode(text: str, file: str) -> dict[str, Any]:
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        raise MangowayError(
            ErrorCode.CONFIG_MALFORMED,
            f"{file}: longer than {MAX_DOCUMENT_BYTES} bytes",
        )
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise MangowayError(ErrorCode.CONFIG_MALFORMED, f"{file}: {error}") from None


def _check_table(table: dict[str, Any], path: KeyPath) -> Iterator[Fault]:
    # Tables and names alternate in a path: in `models.versions`, `versions` is the name
    # of a model.
    has_free_names = bool(path) and path[-1] in NAME_TABLES and len(path) % 2 == 1
    for key, value in table.items():
        inner = (*path, key)
        if has_free_names and not fullmatch(NAME_PATTERN, key):
            yield Fault(
                ErrorCode.CONFIG_INVALID,
                inner,
                "not a valid name: expected up to 100 letters, digits, dots, dashes "
                "and underscores, the first a letter or digit",
            )
        yield from _check_value(value, inner)


def _check_value(value: Any, path: KeyPath) -> Iterator[Fault]:
    if isinstance(value, dict):
        yield from _check_table(value, path)
    elif isinstance(value, list):
        for index, entry in enumerate(value):
            yield from _check_value(entry, (*path, str(index)))
    elif isinstance(value, int | float) and not isinstance(value, bool):
        yield from _check_number(value, path)


def _check_number(value: float, path: KeyPath) -> Iterator[Fault]:
    allowed = RANGES.get(path[-1])
    if allowed is None or allowed.lowest <= value <= allowed.highest:
        return
    detail = f"{value} is out of range {allowed}"
    yield Fault(ErrorCode.CONFIG_INVALID, path, detail)
