"""Tests of the registry of adapters."""

import pytest

from mangoway.key_value.etcd import EtcdStore
from mangoway.key_value.registry import make_key_value_store
from mangoway.observability.metrics import Metrics
from mangoway.settings.errors import SettingError
from mangoway.settings.process import KeyValueSettings


class TestMakeKeyValueStore:
    """Tests of the adapter chosen in the settings."""

    async def test_known_kind(self) -> None:
        settings = KeyValueSettings(key_value=("127.0.0.1:1",))
        assert isinstance(make_key_value_store(settings, Metrics()), EtcdStore)

    async def test_error_contains_the_unknown_kind(self) -> None:
        settings = KeyValueSettings(key_value=("127.0.0.1:1",), key_value_kind="zoo")
        with pytest.raises(SettingError, match="expected one of etcd, not 'zoo'"):
            make_key_value_store(settings, Metrics())
