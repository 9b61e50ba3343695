"""Tests of the HTTP adapter's settings."""

import pytest

from mangoway.host_list.http import HttpHostList
from mangoway.settings.errors import SettingError


class TestHttpHostList:
    """URLs that the adapter takes."""

    def test_encrypted_url_is_refused_and_not_read_in_the_clear(self) -> None:
        with pytest.raises(SettingError, match="--host-list-url"):
            HttpHostList("https://10.0.0.1/hosts")
