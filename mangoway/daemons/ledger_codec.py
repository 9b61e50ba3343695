"""Encoding and decoding of stored memory ledgers."""

from typing import Any, Final

import orjson
from cattrs import Converter
from cattrs.errors import BaseValidationError

from ..models.artifact import Artifact
from ..models.errors import ErrorCode, MangowayError
from ..models.order import Ledger
from .const import LEDGER_FORMAT

FORMAT_FIELD: Final = "format"
LEDGER_FIELD: Final = "ledger"

# Unknown fields are rejected, since they may hold memory that this version would not
# count.
_converter = Converter(forbid_extra_keys=True)
_converter.register_structure_hook(Artifact, lambda text, _: Artifact.parse(text))
_converter.register_unstructure_hook(Artifact, str)


def encode_ledger(ledger: Ledger) -> bytes:
    """Return the stored form of a ledger."""
    fields = _converter.unstructure(ledger)
    return orjson.dumps({FORMAT_FIELD: LEDGER_FORMAT, LEDGER_FIELD: fields})


def decode_ledger(value: bytes) -> Ledger:
    """Return the ledger decoded from its stored form.

    Raises:
        MangowayError: LEDGER_UNREADABLE if any part of it is unknown or invalid, or its
            commitments exceed its size.
    """
    try:
        fields = _parse(value)
        ledger = _converter.structure(fields, Ledger)
    except (
        BaseValidationError,
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
    ) as error:
        raise _make_error(f"{type(error).__name__}: {error}") from error
    _check(ledger)
    return ledger


def _parse(value: bytes) -> Any:
    document = orjson.loads(value)
    if document[FORMAT_FIELD] != LEDGER_FORMAT:
        raise ValueError(f"unsupported format {document[FORMAT_FIELD]!r}")
    return document[LEDGER_FIELD]


def _check(ledger: Ledger) -> None:
    entries = (*ledger.resident, *ledger.reserved)
    if any(entry.memory_mb < 0 for entry in entries):
        raise _make_error("an entry has a negative size")
    if ledger.free_mb < 0:
        detail = f"{ledger.committed_mb} MB committed of {ledger.size_mb} MB"
        raise _make_error(detail)


def _make_error(detail: str) -> MangowayError:
    return MangowayError(ErrorCode.LEDGER_UNREADABLE, f"stored ledger: {detail}")
