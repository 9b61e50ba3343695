"""Tests that the pages agree with the code and the repository."""

import re
import shlex
from collections.abc import Iterator
from itertools import takewhile
from pathlib import Path

import pytest
import typer
from typer.core import TyperGroup

from mangoway.callers.statuses import STATUSES
from mangoway.cli.commands import add_commands
from mangoway.observability import catalogue  # noqa: F401  # Registers all events.
from mangoway.observability.event_log import LogLevel, list_specs
from mangoway.observability.metrics import Metrics

ROOT = Path(__file__).parents[1]
PAGES = [
    ROOT / "README.md",
    ROOT / "CONTRIBUTING.md",
    ROOT / "CHANGELOG.md",
    *sorted((ROOT / "docs").glob("*.md")),
]
EVENTS = {spec.number: spec for spec in list_specs()}

LINK = re.compile(r"\]\((?!\w+:)([^)#]+)")
EVENT = re.compile(r"\bevents? (\d{3})\b", re.IGNORECASE)
EVENT_ROW = re.compile(r"^\| (\d{3}) (\w+) \|", re.MULTILINE)
CODE_ROW = re.compile(r"^\| `(\w+)` \| (\d{3}) \|", re.MULTILINE)
CODE = re.compile(r"```.*?^```|`[^`\n]+`", re.DOTALL | re.MULTILINE)
COMMAND = re.compile(r"^`?mangoway ([a-z][^`\n|]*)", re.MULTILINE)
FLAG = re.compile(r"`(--[a-z][a-z-]*)")
SCRIPT = re.compile(r"\bscript/(\w+)")
METRIC = re.compile(r"\bmangoway_[a-z_]+[a-z]\b")


def read_group() -> TyperGroup:
    app = typer.Typer()
    app.callback()(lambda: None)
    add_commands(app, None)
    group = typer.main.get_command(app)
    assert isinstance(group, TyperGroup)
    return group


def find_command(words: list[str]) -> list[str]:
    """Return the flags of the command at the start of the words."""
    command = read_group()
    while isinstance(command, TyperGroup) and words and words[0] != "...":
        command = command.commands[words.pop(0)]
    return [option for parameter in command.params for option in parameter.opts]


def list_flags(group: TyperGroup) -> Iterator[str]:
    for command in group.commands.values():
        if isinstance(command, TyperGroup):
            yield from list_flags(command)
        yield from (option for each in command.params for option in each.opts)


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
class TestReferences:
    """Tests that everything exists to which a page refers."""

    def test_links_have_targets(self, page: Path) -> None:
        links = LINK.findall(page.read_text())
        assert [each for each in links if not (page.parent / each).exists()] == []

    def test_events_have_these_numbers_and_names(self, page: Path) -> None:
        text = page.read_text()
        unknown = [each for each in EVENT.findall(text) if int(each) not in EVENTS]
        assert unknown == []
        for number, name in EVENT_ROW.findall(text):
            assert EVENTS[int(number)].name == name

    def test_commands_and_their_flags_exist(self, page: Path) -> None:
        code = "\n".join(CODE.findall(page.read_text()))
        for line in COMMAND.findall(code):
            words = list(takewhile(lambda word: word != "&", shlex.split(line)))
            flags = [word.split("=")[0] for word in words if word.startswith("--")]
            assert set(flags) <= set(find_command(words)), line

    def test_flags_exist(self, page: Path) -> None:
        flags = set(FLAG.findall(page.read_text()))
        assert flags - set(list_flags(read_group())) == set()

    def test_scripts_exist(self, page: Path) -> None:
        names = set(SCRIPT.findall(page.read_text()))
        assert [each for each in names if not (ROOT / "script" / each).exists()] == []

    def test_metrics_exist(self, page: Path) -> None:
        offered = Metrics().render().decode()
        names = set(METRIC.findall(page.read_text()))
        assert [each for each in names if f"# HELP {each} " not in offered] == []


class TestCompleteness:
    """Tests that lists on the pages for operators and callers are complete."""

    def test_every_warning_has_a_row(self) -> None:
        text = (ROOT / "docs" / "OPERATIONS.md").read_text()
        rows = {int(number) for number, _ in EVENT_ROW.findall(text)}
        alarms = {
            spec.number
            for spec in EVENTS.values()
            if spec.level in (LogLevel.WARNING, LogLevel.ERROR)
        }
        assert rows == alarms

    def test_every_metric_is_listed(self) -> None:
        text = (ROOT / "docs" / "OPERATIONS.md").read_text()
        offered = re.findall(r"# HELP (\w+) ", Metrics().render().decode())
        assert set(offered) - set(METRIC.findall(text)) == set()

    def test_every_code_has_a_row_with_its_status(self) -> None:
        text = (ROOT / "docs" / "CALLERS.md").read_text()
        stated = [(code, int(status)) for code, status in CODE_ROW.findall(text)]
        coded = {code.value: status.value for code, status in STATUSES.items()}
        assert len(stated) == len(coded)
        assert dict(stated) == coded
