"""Tests of the HTTP adapter."""

import pytest

from mangoway.host_list import http
from mangoway.host_list.http import HttpHostList
from mangoway.models.errors import ErrorCode, MangowayError
from mangoway.settings.errors import SettingError


class TestHttpHostList:
    """Accepted URLs, and reuse of parsed lists."""

    def test_https_url_is_rejected_and_not_read_unencrypted(self) -> None:
        with pytest.raises(SettingError, match="--host-list-url"):
            HttpHostList("https://10.0.0.1/hosts")

    async def test_only_a_changed_list_is_parsed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        group = (
            b'{"targets": ["10.0.0.%d:1"], "labels": {"role": "runner", '
            b'"host": "r%d", "data_centre": "dc", "state": "live"}}'
        )
        one = b"[" + group % (1, 1) + b"]"
        two = b"[" + group % (1, 1) + b", " + group % (2, 2) + b"]"
        bodies = [one, one, b"{", one, two, b""]
        parsed: list[bytes] = []
        parse = http.parse_listing

        async def async_respond(_: object) -> bytes:
            return bodies.pop(0)

        def record(body: bytes) -> object:
            parsed.append(body)
            return parse(body)

        monkeypatch.setattr(http, "async_exchange", async_respond)
        monkeypatch.setattr(http, "parse_listing", record)
        host_list = HttpHostList("http://10.0.0.1/hosts")
        counts = [len((await host_list.async_read()).upstreams) for _ in range(2)]
        with pytest.raises(MangowayError) as raised:
            await host_list.async_read()
        counts += [len((await host_list.async_read()).upstreams) for _ in range(2)]
        assert raised.value.code is ErrorCode.PLATFORM_UNAVAILABLE
        assert counts == [1, 1, 1, 2]
        assert parsed == [one, b"{", two]
        with pytest.raises(MangowayError):
            await host_list.async_read()
