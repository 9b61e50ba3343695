"""Tests of the exit of the program on invalid settings."""

from pathlib import Path

import pytest

from tests.stand_ins.launcher import Launcher

pytestmark = pytest.mark.process

VALID_FLAGS = {
    "--key-value": "127.0.0.1:1",
    "--host": "host-1",
    "--data-centre": "centre-1",
    "--site": "site-1",
    "--peer-listen": "127.0.0.1:2",
}


class TestExitCode:
    """An invalid setting causes exit code 2 and one line that names the setting."""

    @pytest.mark.parametrize("command", ["gateway", "controller"])
    @pytest.mark.parametrize(
        ("flag", "value"),
        [
            ("--no-such-flag", "1"),
            ("--peer-listen", "localhost"),
            ("--host", ""),
            ("--key-value-timeout-s", "soon"),
        ],
    )
    async def test_invalid_flag(
        self, tmp_path: Path, command: str, flag: str, value: str
    ) -> None:
        flags = [
            f"{name}={text}" for name, text in {**VALID_FLAGS, flag: value}.items()
        ]
        async with Launcher(tmp_path) as launcher:
            process = await launcher.async_start("bad", "mangoway", command, *flags)
            assert await process.async_wait() == 2
        (line,) = process.log.read_text().splitlines()
        assert flag in line
