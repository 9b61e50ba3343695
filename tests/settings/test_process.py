"""Tests of the settings of processes."""

from pathlib import Path

import pytest

from mangoway.observability.event_log import LogLevel
from mangoway.settings.errors import SettingError
from mangoway.settings.options import parse_settings
from mangoway.settings.page import render_settings
from mangoway.settings.process import ControllerSettings, GatewaySettings

GOOD = {
    "key_value": "127.0.0.1:2379,[::1]:2379",
    "host": "g1",
    "data_centre": "ub1",
    "site": "khangai",
    "peer_listen": "127.0.0.1:7000",
    "caller_listen": "127.0.0.1:8000",
}

BAD = [
    ("peer_listen", "127.0.0.1", "IP number and port"),
    ("peer_listen", "localhost:7000", "IP number"),
    ("peer_listen", "127.0.0.1:0", "port from 1"),
    ("peer_listen", "127.0.0.1:65536", "port from 1"),
    ("peer_listen", "0.0.0.0:7000", "--peer-address"),
    ("caller_listen", "127.0.0.1:7000", "same as --peer-listen"),
    ("caller_listen", "127.0.0.1:+80", "port from 1"),
    ("key_value", "", "IP number and port"),
    ("key_value", "127.0.0.1:1,x", "IP number and port"),
    ("host", "a b", "name of up to 63"),
    ("host", "", "name of up to 63"),
    ("host_list_url", "ftp://127.0.0.1/", "an http:// URL"),
    ("host_list_url", "https://127.0.0.1/", "an http:// URL"),
    ("host_list_url", "http://hosts/", "an IP number"),
    ("host_list_url", "http://", "an IP number"),
    ("host_list_url", "http://127.0.0.1:99999/", "out of range"),
    ("stop_deadline_s", "-1", "number from 0"),
    ("stop_deadline_s", "nan", "number from 0"),
    ("log_level", "loud", "one of debug"),
    ("trace_sample_ratio", "1.5", "number from 0 to 1"),
    ("log_spans", "maybe", "true or false"),
    ("max_body_bytes", "1e6", "whole number"),
    ("seeds", "10.0.0.256:1", "IP number"),
]


class TestGatewaySettings:
    """Tests of parsing and validation of the flags and variables."""

    def test_good_settings(self) -> None:
        settings = parse_settings(GatewaySettings, GOOD, {})
        assert settings.key_value == ("127.0.0.1:2379", "[::1]:2379")
        assert settings.cell == "ub1"
        assert settings.caller_address == "127.0.0.1:8000"

    def test_variable_is_used_if_the_flag_is_missing(self) -> None:
        variables = {"MANGOWAY_HOST": "other", "MANGOWAY_LOG_LEVEL": "debug"}
        settings = parse_settings(GatewaySettings, GOOD, variables)
        assert (settings.host, settings.log_level) == ("g1", LogLevel.DEBUG)

    @pytest.mark.parametrize(("name", "text", "expected"), BAD)
    def test_bad_setting_is_named(self, name: str, text: str, expected: str) -> None:
        with pytest.raises(SettingError, match=expected) as caught:
            parse_settings(GatewaySettings, {**GOOD, name: text}, {})
        assert name.partition("_")[0] in str(caught.value)

    @pytest.mark.parametrize("name", sorted(GOOD))
    def test_missing_setting_is_named(self, name: str) -> None:
        flags = {key: text for key, text in GOOD.items() if key != name}
        flag = "--" + name.replace("_", "-")
        with pytest.raises(SettingError, match=f"{flag}: must be given"):
            parse_settings(GatewaySettings, flags, {})

    def test_bad_variable_is_named(self) -> None:
        with pytest.raises(SettingError, match="MANGOWAY_SEEDS: expected"):
            parse_settings(GatewaySettings, GOOD, {"MANGOWAY_SEEDS": "x"})


class TestControllerSettings:
    """Tests of the controller's own settings."""

    def test_lease_is_validated(self) -> None:
        flags = {**GOOD, "lease_s": "0"}
        with pytest.raises(SettingError, match="--lease-s: expected a number from 1"):
            parse_settings(ControllerSettings, flags, {})


class TestPage:
    """Tests of the page of settings."""

    def test_page_matches_the_code(self) -> None:
        page = Path(__file__).parents[2] / "docs" / "SETTINGS.md"
        assert page.read_text() == render_settings()
