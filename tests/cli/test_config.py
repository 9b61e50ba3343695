"""Tests of the configuration commands against the fake key-value service."""

from pathlib import Path

import pytest

from mangoway.cli import config
from mangoway.cli.application import main
from mangoway.models.identifiers import ConfigVersion
from mangoway.operators.rollout import HostVersion
from tests.fakes.key_value import FakeKeyValueStore

BASE = '[models.chat]\ndefault_version = "1"\n[models.chat.versions.1]\nmemory_mb = 5\n'
SERVICE = ["--key-value", "127.0.0.1:1"]
PEERS = ["--peers", "127.0.0.1:2"]


class TestConfigCommands:
    """Tests of the output and exit codes of the commands."""

    @pytest.fixture
    def store(self, monkeypatch: pytest.MonkeyPatch) -> FakeKeyValueStore:
        store = FakeKeyValueStore()
        monkeypatch.setattr(config, "make_key_value_store", lambda *_: store)
        return store

    @pytest.fixture
    def base(self, tmp_path: Path) -> Path:
        file = tmp_path / "base.toml"
        file.write_text(BASE)
        return file

    def run(self, *arguments: str | Path) -> int:
        with pytest.raises(SystemExit) as ended:
            main(["config", *map(str, arguments)])
        return int(ended.value.code or 0)

    def test_apply_show_history(
        self,
        store: FakeKeyValueStore,
        base: Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        assert self.run("apply", "base", base, "--author", "anna", *SERVICE) == 0
        assert self.run("show", "base", *SERVICE) == 0
        assert self.run("history", *SERVICE) == 0
        output = capsys.readouterr().out
        assert output.startswith(f"accepted: version 1\n{BASE}1 ")
        assert "anna base +4 -0 lines" in output

    def test_outdated_edit(self, store: FakeKeyValueStore, base: Path) -> None:
        assert self.run("apply", "base", base, *SERVICE) == 0
        base.write_text(BASE + "floor = 2\n")
        assert self.run("apply", "base", base, "--based-on", "0", *SERVICE) == 3

    def test_outage(self, store: FakeKeyValueStore, base: Path) -> None:
        store.down = True
        assert self.run("apply", "base", base, *SERVICE) == 1

    def test_retry_with_nonce(
        self, store: FakeKeyValueStore, base: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        for _ in range(2):
            assert self.run("apply", "base", base, "--nonce", "n", *SERVICE) == 0
        assert capsys.readouterr().out == "accepted: version 1\n" * 2

    def test_malformed_file_is_named_with_its_key(
        self, base: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        base.write_text(BASE + "[site]\nmove_prise = 2\n")
        assert self.run("check", base) == 1
        assert f"{base}: site.move_prise: unknown key" in capsys.readouterr().err

    @pytest.mark.parametrize("part", ["overlay", "overlay/", "overlay/a/b", "x"])
    def test_bad_part(self, part: str, base: Path) -> None:
        assert self.run("apply", part, base, *SERVICE) == 2

    def test_wait_and_status_name_lagging_processes(
        self,
        store: FakeKeyValueStore,
        base: Path,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        versions = [1, 0]

        async def async_read(_: object) -> tuple[HostVersion, ...]:
            return tuple(
                HostVersion(process=f"host-{number}", version=ConfigVersion(version))
                for number, version in enumerate(versions)
            )

        monkeypatch.setattr(config, "_async_read_versions", async_read)
        arguments = ["apply", "base", base, "--nonce", "n", "--wait", *SERVICE, *PEERS]
        assert self.run(*arguments, "--timeout-s", "0") == 4
        assert "host-1 has 0" in capsys.readouterr().err
        assert self.run("status", *SERVICE, *PEERS) == 4
        versions[1] = 1
        assert self.run(*arguments) == 0
        assert self.run("status", *SERVICE, *PEERS) == 0
