"""Records of software versions in the store, which outlive all processes.

Each names a service and a version that its runners have had within the life of a
stream. A record is bound to a lease that outlasts this time, and rewritten while the
version has runners. Each process reads all records along with the other keys.
"""

from typing import Any, Final

import orjson
from attrs import frozen
from xxhash import xxh3_128_hexdigest

from ..policy.edge.software_versions import ServiceVersion

VERSION_KEYS: Final = "versions/"
MAX_NAME_CHARACTERS: Final = 200
"""Longest name of a service and longest version that are recorded."""


class VersionRecordError(Exception):
    """A record of a software version can't be decoded."""


@frozen
class VersionRecord:
    """A version of a service's runners."""

    version: ServiceVersion
    lease_s: float
    """Time to live of the lease. It is a part of the value, so that records are written
    again if a configuration has longer streams."""

    @property
    def key(self) -> str:
        """Return the key, without the prefix of the system's own keys."""
        return VERSION_KEYS + xxh3_128_hexdigest(orjson.dumps(self.version))

    @property
    def is_valid(self) -> bool:
        """Return whether it can be written."""
        return all(len(each) <= MAX_NAME_CHARACTERS for each in self.version)


def encode_version_record(record: VersionRecord) -> bytes:
    """Encode a record for the store."""
    service, version = record.version
    fields = {
        "service": service,
        "software_version": version,
        "lease_s": float(record.lease_s),
    }
    return orjson.dumps(fields)


def decode_version_record(key: str, value: bytes) -> VersionRecord:
    """Decode a record.

    Args:
        key: Key of the record, without the prefix of the system's own keys.
        value: Encoded record.

    Raises:
        VersionRecordError: If it can't be decoded, or belongs to another key.
    """
    try:
        fields = orjson.loads(value)
        record = VersionRecord(
            (_read_text(fields["service"]), _read_text(fields["software_version"])),
            _read_seconds(fields["lease_s"]),
        )
        if not record.is_valid or record.key != key:
            raise ValueError("it is too long, or belongs to another key")
    except (LookupError, TypeError, ValueError) as error:
        raise VersionRecordError(f"cannot decode record {key}: {error!r}") from error
    return record


def _read_text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"not a text: {value!r:.100}")
    return value


def _read_seconds(value: Any) -> float:
    if not isinstance(value, float) or value <= 0.0:
        raise ValueError(f"not a time: {value!r:.100}")
    return value
