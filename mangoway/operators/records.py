"""Values of the configuration keys in the key-value service, and their encoding."""

from collections.abc import Mapping
from typing import Final, TypeVar

from attrs import field, frozen
from cattrs import BaseValidationError
from cattrs.preconf.orjson import make_converter
from orjson import JSONDecodeError

from ..models.errors import ErrorCode, MangowayError
from ..models.identifiers import ConfigVersion
from .bundle import PartName
from .delta import ConfigurationDelta

RecordT = TypeVar("RecordT")

_CONVERTER: Final = make_converter(omit_if_default=True)


@frozen(kw_only=True)
class HeadRecord:
    """Value of the head key, which defines the version in force."""

    version: ConfigVersion = ConfigVersion(0)
    nonce: str = ""
    """Nonce of the edit that created the version."""

    parts: Mapping[PartName, ConfigVersion] = field(factory=dict)
    """Version that last changed each part."""


@frozen(kw_only=True)
class HistoryRecord:
    """Value of a history key, which records one accepted edit."""

    version: ConfigVersion
    nonce: str
    author: str
    edited_at: float
    """Wall-clock time in seconds since the epoch."""

    part: PartName
    delta: ConfigurationDelta | None = None
    """The delta, or None if it was too large to keep."""


def encode_record(record: object) -> bytes:
    """Return a record or an update as JSON."""
    return _CONVERTER.dumps(record)


def decode_record(value: bytes, kind: type[RecordT]) -> RecordT:
    """Return the record or update of a type from JSON.

    Raises:
        MangowayError: CONFIG_MALFORMED if the bytes encode no object of this type.
    """
    try:
        return _CONVERTER.loads(value, kind)
    except (BaseValidationError, JSONDecodeError, KeyError, TypeError) as error:
        detail = f"not a valid {kind.__name__}: {error}"
        raise MangowayError(ErrorCode.CONFIG_MALFORMED, detail) from error
