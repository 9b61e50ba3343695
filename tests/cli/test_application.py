"""Tests of the command line."""

import socket
import subprocess
import sys

import pytest

from mangoway.cli.application import main

GOOD = [
    "--key-value=127.0.0.1:2379",
    "--host=g1",
    "--data-centre=ub1",
    "--site=khangai",
    "--peer-listen=127.0.0.1:7000",
    "--caller-listen=127.0.0.1:8000",
]
UNUSED_BY_CONTROLLER = {
    "aiohttp",
    "blacksheep",
    "hashlib",
    "mangoway.policy.dispatch.events",
    "numpy",
    "opentelemetry",
    "pydantic",
    "rich",
    "ssl",
    "uvicorn",
}


class TestMain:
    """Tests of the exit code and the error output."""

    @pytest.mark.parametrize(
        ("arguments", "named"),
        [
            (["gateway", *GOOD, "--caller-listen=127.0.0.1:x"], "--caller-listen"),
            (["gateway", *GOOD[1:]], "--key-value"),
            (["gateway", *GOOD, "--prot=1"], "--prot"),
            (["controller", "--host"], "--host"),
            (["gatway"], "gatway"),
            (["explain", "cable", "1", "--peers=127.0.0.1:1"], "cable"),
            (["explain", "version", "x", "--peers=127.0.0.1:1"], "version"),
            ([], "command"),
        ],
    )
    def test_bad_usage_exits_with_code_2_and_one_line(
        self,
        arguments: list[str],
        named: str,
        capsys: pytest.CaptureFixture[str],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        monkeypatch.delenv("MANGOWAY_KEY_VALUE", raising=False)
        with pytest.raises(SystemExit) as caught:
            main(arguments)
        captured = capsys.readouterr()
        assert caught.value.code == 2
        assert captured.out == ""
        assert captured.err.count("\n") == 1
        assert named in captured.err

    def test_address_in_use_exits_with_code_1_and_one_line(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            port = taken.getsockname()[1]
            with pytest.raises(SystemExit) as caught:
                main(["controller", *GOOD[:4], f"--peer-listen=127.0.0.1:{port}"])
        assert caught.value.code == 1
        errors = capsys.readouterr().err.splitlines()
        assert [line for line in errors if not line.startswith("{")] == errors[-1:]
        assert str(port) in errors[-1]

    def test_help_lists_the_commands(self, capsys: pytest.CaptureFixture[str]) -> None:
        with pytest.raises(SystemExit) as caught:
            main(["--help"])
        assert caught.value.code == 0
        assert {"gateway", "controller"} <= set(capsys.readouterr().out.split())


@pytest.mark.process
class TestProcess:
    """Tests of the program as a process."""

    def test_bad_setting_exits_with_code_2(self) -> None:
        done = subprocess.run(
            [sys.executable, "-m", "mangoway", "controller", "--peer-listen=here"],
            capture_output=True,
            env={"MANGOWAY_KEY_VALUE": "127.0.0.1:1", "MANGOWAY_HOST": "c d"},
            timeout=30,
        )
        assert done.returncode == 2
        assert done.stderr.count(b"\n") == 1
        assert b"MANGOWAY_HOST" in done.stderr
        assert done.stdout == b""


class TestFootprint:
    """Tests of modules that a controller must not load, to save memory for engines."""

    def test_controller_loads_no_unused_modules(self) -> None:
        """The unknown key-value adapter stops it once all modules are loaded."""
        command = ["controller", *GOOD[:-1], "--key-value-kind=none"]
        code = (
            "import sys\n"
            "from mangoway.cli import main\n"
            "try:\n"
            f"    main({command})\n"
            "finally:\n"
            "    print(*sorted(n for n in sys.modules if sys.modules[n]))\n"
        )
        ended = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True
        )
        loaded = set(ended.stdout.split())
        assert {"mangoway.daemons.controller", "mangoway.key_value.etcd"} <= loaded
        assert loaded.isdisjoint(UNUSED_BY_CONTROLLER)
