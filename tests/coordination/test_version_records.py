"""Tests of the records of software versions in the store."""

from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from mangoway.coordination.version_records import (
    MAX_NAME_CHARACTERS,
    VERSION_KEYS,
    VersionRecord,
    VersionRecordError,
    decode_version_record,
    encode_version_record,
)

RECORD = VersionRecord(("llm", "v1"), 40.0)
FIELDS = {"service": "llm", "software_version": "v1", "lease_s": 40.0}


class TestCodec:
    """Encoding of records."""

    @given(st.text(max_size=20), st.text(max_size=20))
    def test_record_is_decoded_and_fits_a_key(self, service: str, version: str) -> None:
        record = VersionRecord((service, version), 25.0)
        assert decode_version_record(record.key, encode_version_record(record)) == (
            record
        )
        assert len(f"mangoway/{record.key}".encode()) <= 200

    def test_versions_have_keys_of_their_own(self) -> None:
        pairs = [("a", "bc"), ("ab", "c"), ("a", ""), ("", "a"), ("a bc", "")]
        assert len({VersionRecord(each, 40.0).key for each in pairs}) == len(pairs)

    @given(
        st.binary()
        | st.recursive(
            st.none() | st.booleans() | st.integers(0, 9) | st.floats(0, 9) | st.text(),
            lambda each: (
                st.lists(each) | st.dictionaries(st.sampled_from(list(FIELDS)), each)
            ),
            max_leaves=4,
        ).map(orjson.dumps)
    )
    def test_any_value_is_a_record_or_an_error_of_its_own(self, value: bytes) -> None:
        with pytest.raises(VersionRecordError):
            decode_version_record(RECORD.key, value)

    @pytest.mark.parametrize(
        "changed",
        [
            {"service": 1},
            {"service": "other"},
            {"software_version": None},
            {"software_version": ["v1"]},
            {"software_version": "v" * (MAX_NAME_CHARACTERS + 1)},
            {"lease_s": "40"},
            {"lease_s": 0.0},
            {"lease_s": True},
        ],
    )
    def test_odd_fields_are_rejected(self, changed: dict[str, Any]) -> None:
        decode_version_record(RECORD.key, orjson.dumps(FIELDS))
        with pytest.raises(VersionRecordError):
            decode_version_record(RECORD.key, orjson.dumps({**FIELDS, **changed}))

    @pytest.mark.parametrize("version", [(["x"], "v1"), ("llm", {}), ("llm", [])])
    def test_fields_of_another_type_are_rejected_under_a_key_of_their_own(
        self, version: Any
    ) -> None:
        record = VersionRecord(version, 40.0)
        with pytest.raises(VersionRecordError):
            decode_version_record(record.key, encode_version_record(record))

    def test_record_under_another_key_is_rejected(self) -> None:
        with pytest.raises(VersionRecordError):
            decode_version_record(f"{VERSION_KEYS}x", encode_version_record(RECORD))

    def test_long_names_are_not_written(self) -> None:
        assert RECORD.is_valid
        assert not VersionRecord(
            ("llm", "v" * (MAX_NAME_CHARACTERS + 1)), 40.0
        ).is_valid
