"""Tests that the page of proofs agrees with the existing tests."""

import ast
import re
from pathlib import Path

TESTS = Path(__file__).parent
PAGE = TESTS.parent / "docs" / "PROOFS.md"
REFERENCE = re.compile(r"`([\w/]+\.(?:py|feature))::([^`]+)`")
SCENARIO = re.compile(r"^\s*Scenario(?: Outline)?: (.+)$", re.MULTILINE)


def list_names(path: Path) -> set[str]:
    """Return the scenarios of a feature file, or the names in a test module."""
    if path.suffix == ".feature":
        return set(SCENARIO.findall(path.read_text()))
    names = set()
    for node in ast.parse(path.read_text()).body:
        names.update({getattr(node, "name", "")})
        if isinstance(node, ast.ClassDef):
            names.update(f"{node.name}::{getattr(e, 'name', '')}" for e in node.body)
        if isinstance(node, ast.Assign):
            names.update(ast.unparse(target) for target in node.targets)
    return names


class TestProofsPage:
    """Tests that the page names all scenarios, and only tests that exist."""

    def test_every_named_test_exists(self) -> None:
        references = REFERENCE.findall(PAGE.read_text())
        assert len(references) > 100
        missing = [
            f"{file}::{name}"
            for file, name in references
            if not (TESTS / file).exists() or name not in list_names(TESTS / file)
        ]
        assert missing == []

    def test_every_scenario_is_named(self) -> None:
        named = set(REFERENCE.findall(PAGE.read_text()))
        scenarios = {
            (path.relative_to(TESTS).as_posix(), title)
            for path in TESTS.glob("scenarios/*.feature")
            for title in list_names(path)
        }
        assert scenarios - named == set()
